"""The actions that a balancer returns for its caller to carry out.

Delays and timeouts are integer nanoseconds, counted from the event that the action answers.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.balancing.timers import Timer


@dataclass(slots=True)
class SendAttempt:
    """Send the next attempt of a request to an endpoint; it times out after ``timeout_ns``."""

    request_id: str
    endpoint_id: int
    timeout_ns: int


@dataclass(slots=True)
class RejectRequest:
    """Answer the request with a rejection, which promises that the client may safely retry it.

    ``retry_after_ns`` is the delay that the client should wait before the retry; 0 if none is suggested.
    """

    request_id: str
    retry_after_ns: int


@dataclass(slots=True)
class FailRequest:
    """Answer the request with a failure: an endpoint may have processed it."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel one attempt in flight."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a :class:`~lugtally.balancing.events.TimerFired` event with this timer after ``delay_ns``."""

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
