"""Recovery of pending requests after the balancer has raised an exception.

After an exception, actions of the balancer may be lost, and it may wait for attempts that were never started.
"""

from __future__ import annotations

from collections.abc import Callable

from lugtally import balancing
from lugtally.dispatch.decision import Decision, Failed, Rejected
from lugtally.dispatch.guarded_policy import GuardedPolicy
from lugtally.dispatch.pending_request import PendingRequest
from lugtally.units import NS_PER_MS

FAULT_RETRY_NS = 500 * NS_PER_MS
"""The delay after which a timer or endpoint update on which the balancer failed is sent to it again."""


class FaultRecovery:
    """Finishes requests for which the balancer makes no decision because of a fault."""

    def __init__(
        self,
        balancer: GuardedPolicy,
        handle_event: Callable[[balancing.Event], bool],
        finish: Callable[[PendingRequest, Decision], None],
    ) -> None:
        """Initialize the recovery.

        Args:
            balancer: The balancer, which reports whether it has ever failed.
            handle_event: Sends an event to the balancer.
            finish: Gives a request its final decision.
        """
        self._balancer = balancer
        self._handle_event = handle_event
        self._finish = finish

    def continue_without_balancer(self, request: PendingRequest) -> None:
        """Continue a request without the balancer, which has failed on an event of this request.

        The balancer's decision is lost, and it may number later attempts differently, so it must not decide on this
        request again.  Attempts in flight may still be served.  If there are none, the request is finished now.
        """
        self.drop_from_balancer(request)
        request.awaited_timer = None
        self.reject_or_fail_if_stalled(request)

    def reject_or_fail_if_stalled(self, request: PendingRequest) -> None:
        """Finish a request that waits for nothing, if a fault may have lost a decision on it."""
        if self._balancer.has_failed and request.is_stalled:
            self.reject_or_fail(request)

    def reject_or_fail(self, request: PendingRequest) -> None:
        """Reject the request, or fail it if an endpoint may have processed it."""
        self._finish(request, Failed() if request.may_have_run else Rejected(0))
        self.drop_from_balancer(request)

    def drop_from_balancer(self, request: PendingRequest) -> None:
        """Make the balancer drop its state of the request, so that it starts no further attempt for it.

        A balancer that has failed may have recorded one attempt that was never started.  That attempt is reported as
        never sent, because otherwise it would count as in flight at its endpoint until the process ends.
        """
        if self._balancer.has_failed:
            unstarted_number = len(request.attempts)
            self._handle_event(
                balancing.AttemptFinished(request.id, unstarted_number, 0, balancing.AttemptResult.NEVER_SENT, True, 0)
            )
        self._handle_event(balancing.ClientDisconnected(request.id))
