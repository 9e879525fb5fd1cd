"""The state of one request from its submission to its final answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lugtally import balancing
from lugtally.dispatch.decision import Decision
from lugtally.eventloop import Event, EventLoop

UNKNOWN_TENANT = -1
"""The tenant index of a request without a tenant, or with one that is not in the settings."""
NO_ATTEMPT = -1
"""The attempt number that means that no attempt streams its response."""


@dataclass(slots=True)
class StartedAttempt:
    """An attempt that was started.

    Attributes:
        endpoint_id: The endpoint that the attempt is made at.
        started_ns: When the attempt was started, on the event loop's clock.
        may_have_run: Whether the endpoint may have processed the request; false once an outcome rules this out.
    """

    endpoint_id: int
    started_ns: int
    may_have_run: bool = True


class PendingRequest:
    """A request in progress.

    Attributes:
        id: The id that the balancer knows the request by; empty until the request is submitted.
        class_index: The index of the request's class in the settings.
        tenant_index: The index of the tenant in the settings, or ``UNKNOWN_TENANT``.
        deadline_ns: When the final answer is due, on the event loop's clock.
        deadline_was_shortened: Whether ``deadline_ns`` was moved earlier while attempts may have been in flight.
        is_retry: Whether the client marked the request as a retry.
        cancel_attempt: Cancels the attempt with a given number, which reports its outcome later.
        decisions: Decisions that the task of the request has not processed yet.
        decision_ready: Set when a decision is added or the deadline changes.
        attempts: All attempts, by number.
        in_flight: The numbers of the attempts that have not finished.
        submitted: Whether the request was submitted to the dispatcher.
        awaited_timer: The timer of the balancer that the request waits for while no attempt is in flight.
        finished: Whether the final decision has been made.
        streaming_attempt: The attempt whose response is streamed to the client, or ``NO_ATTEMPT``.
    """

    __slots__ = (
        "attempts",
        "awaited_timer",
        "cancel_attempt",
        "class_index",
        "deadline_ns",
        "deadline_was_shortened",
        "decision_ready",
        "decisions",
        "finished",
        "id",
        "in_flight",
        "is_retry",
        "streaming_attempt",
        "submitted",
        "tenant_index",
    )

    def __init__(
        self,
        loop: EventLoop,
        class_index: int,
        deadline_ns: int,
        is_retry: bool,
        cancel_attempt: Callable[[int], None],
        tenant_index: int = UNKNOWN_TENANT,
    ) -> None:
        self.id = ""
        self.class_index = class_index
        self.tenant_index = tenant_index
        self.deadline_ns = deadline_ns
        self.deadline_was_shortened = False
        self.is_retry = is_retry
        self.cancel_attempt = cancel_attempt
        self.decisions: deque[Decision] = deque()
        self.decision_ready = Event(loop)
        self.attempts: list[StartedAttempt] = []
        self.in_flight: set[int] = set()
        self.submitted = False
        self.awaited_timer: balancing.Timer | None = None
        self.finished = False
        self.streaming_attempt = NO_ATTEMPT

    @property
    def is_streaming(self) -> bool:
        """Whether the response of an attempt is being streamed to the client."""
        return self.streaming_attempt != NO_ATTEMPT

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have processed the request."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def is_stalled(self) -> bool:
        """Whether the request is unfinished, but waits for no attempt, timer or stream that could finish it."""
        return not (self.finished or self.is_streaming or self.in_flight or self.awaited_timer is not None)

    def allows_attempt(self, number: int, now_ns: int) -> bool:
        """Return whether the attempt may start, or its writing may continue, at ``now_ns``.

        It may not if the request has finished, another attempt streams its response, the attempt is no longer in
        flight, or the deadline has passed.
        """
        if self.finished or number not in self.in_flight or now_ns >= self.deadline_ns:
            return False
        return not self.is_streaming or number == self.streaming_attempt
