"""One request from its arrival to its final answer, as the dispatcher sees it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lugtally import balancing
from lugtally.dispatch.decision import Decision
from lugtally.eventloop import Event, EventLoop

UNKNOWN_TENANT = -1
"""The tenant of a request that names none, or one that the settings do not know."""
NO_ATTEMPT = -1
"""In the place of an attempt's number."""


@dataclass(slots=True)
class SentAttempt:
    """Where and when an attempt was started, and whether it may have run: until its end proves the contrary."""

    endpoint_id: int
    started_ns: int
    may_have_run: bool = True


class PendingRequest:
    """A request that is owed its final answer."""

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
        """``cancel_attempt`` calls off the attempt of that number, which reports its end later."""
        self.id = ""
        self.class_index = class_index
        self.tenant_index = tenant_index
        self.deadline_ns = deadline_ns
        self.deadline_was_shortened = False
        """Whether it had more time when its attempts began, which may go on for longer then."""
        self.is_retry = is_retry
        self.cancel_attempt = cancel_attempt
        self.decisions: deque[Decision] = deque()
        self.decision_ready = Event(loop)
        self.attempts: list[SentAttempt] = []
        self.in_flight: set[int] = set()
        self.submitted = False
        """Whether the balancer has been told of it."""
        self.awaited_timer: balancing.Timer | None = None
        """The balancer's timer that it waits for, with nothing in flight."""
        self.finished = False
        self.streaming_attempt = NO_ATTEMPT
        """The attempt whose response is passed on as it comes: the request is bound to it."""

    @property
    def is_streaming(self) -> bool:
        """Whether part of a response has gone to the client."""
        return self.streaming_attempt != NO_ATTEMPT

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have processed it."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def is_stranded(self) -> bool:
        """Whether it is owed an answer and nothing is under way that could bring one."""
        return not (self.finished or self.is_streaming or self.in_flight or self.awaited_timer is not None)

    def wants(self, number: int, now_ns: int) -> bool:
        """Return whether that attempt may begin at ``now_ns``, or go on being written.

        It may not where an answer has come or begun, the attempt was called off or the request's time is over.
        """
        if self.finished or number not in self.in_flight or now_ns >= self.deadline_ns:
            return False
        return not self.is_streaming or number == self.streaming_attempt
