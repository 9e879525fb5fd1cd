"""Recovery of pending requests after the balancer raised an exception.

After such a fault, actions of the balancer may be lost, and the balancer may wait for attempts that never started.
"""

from __future__ import annotations

from collections.abc import Callable

from lugtally import balancing
from lugtally.dispatch.decision import Decision, Failed, Rejected
from lugtally.dispatch.guarded_policy import GuardedPolicy
from lugtally.dispatch.pending_request import PendingRequest
from lugtally.units import NS_PER_MS

FAULT_RETRY_NS = 500 * NS_PER_MS
"""The delay before the balancer receives a timer or the endpoint list again after it failed on it."""


class FaultRecovery:
    """Gives requests their final answer where the balancer cannot."""

    def __init__(
        self,
        balancer: GuardedPolicy,
        handle_event: Callable[[balancing.Event], bool],
        finish: Callable[[PendingRequest, Decision], None],
    ) -> None:
        """Initialize the recovery.

        Args:
            balancer: Knows whether the policy has ever failed.
            handle_event: Sends an event to the balancer.
            finish: Gives a request its final decision.
        """
        self._balancer = balancer
        self._handle_event = handle_event
        self._finish = finish

    def continue_without_balancer(self, request: PendingRequest) -> None:
        """Continue a request without the balancer, which failed on an event of it.

        The decision is lost, and the balancer may number later attempts differently, so it must not decide on this
        request again.  Attempts in flight may still be served; without any, the request is answered now.
        """
        self.drop_from_balancer(request)
        request.awaited_timer = None
        self.reject_or_fail_if_stuck(request)

    def reject_or_fail_if_stuck(self, request: PendingRequest) -> None:
        """Answer a request that waits for nothing, if a fault may have lost a decision on it."""
        if self._balancer.has_failed and request.is_stuck:
            self.reject_or_fail(request)

    def reject_or_fail(self, request: PendingRequest) -> None:
        """Reject the request, or fail it if an attempt may have run."""
        self._finish(request, Failed() if request.may_have_run else Rejected(0))
        self.drop_from_balancer(request)

    def drop_from_balancer(self, request: PendingRequest) -> None:
        """Make the balancer drop its state of the request, so that it starts no further attempt for it.

        A balancer that failed may have recorded one more attempt than it started.  That attempt is reported as never
        sent: otherwise it would count as in flight at its endpoint until the process ends.
        """
        if self._balancer.has_failed:
            unstarted_number = len(request.attempts)
            self._handle_event(
                balancing.AttemptFinished(request.id, unstarted_number, 0, balancing.AttemptResult.NEVER_SENT, True, 0)
            )
        self._handle_event(balancing.ClientDisconnected(request.id))
