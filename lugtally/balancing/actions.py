"""The actions that a balancer orders.  Delays are integer nanoseconds from the event that led to them."""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.balancing.timers import Timer


@dataclass(slots=True)
class SendAttempt:
    """Start the request's next attempt; it times out after ``timeout_ns``."""

    request_id: str
    endpoint_id: int
    timeout_ns: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: a repeat is safe, and advised after ``retry_after_ns`` (0: no advice)."""

    request_id: str
    retry_after_ns: int


@dataclass(slots=True)
class FailRequest:
    """Final answer: the request failed, and may have run."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send :class:`~lugtally.balancing.events.TimerFired` with this timer after ``delay_ns``."""

    delay_ns: int
    timer: Timer


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | WatchEndpoints
    | CloseIdleConnections
)
