"""The events that a balancer handles.

Times are integer nanoseconds; endpoint ids are opaque integers.  Classes, tenants and zones are referred to
by their positions in the :class:`~lugtally.balancing.settings.Settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lugtally.balancing.timers import Timer


class AttemptResult(Enum):
    """How an attempt finished, in the detail that load balancing needs."""

    OK = "ok"
    ERROR = "error"
    DECLINED = "declined"
    """The response reports a fault of the request; every other endpoint would decline it as well."""
    REJECTED = "rejected"
    """The endpoint answered that it did not process the request."""
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"


NOT_PROCESSED = frozenset({AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NEVER_SENT})
"""Results after which it is certain that the endpoint did not process the request."""


class EndpointUpdateKind(Enum):
    """What an :class:`EndpointUpdate` carries."""

    DELTA = "delta"
    """Only the entries that changed since the previous update."""
    FULL = "full"
    """The complete list: endpoints that are missing from it are removed."""
    CACHED = "cached"
    """The complete list from the cache of before a restart: the first event of every process."""
    FAILED = "failed"
    """No entries: discovery failed to deliver a list."""


class EndpointState(Enum):
    """The state of an endpoint according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list.  ``started_ns`` is on the balancer's clock; 0: started long ago."""

    id: int
    zone: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    started_ns: int = 0


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list, or the failure to receive one."""

    kind: EndpointUpdateKind
    endpoints: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A client's request has arrived; it gets exactly one final answer, unless the client disconnects."""

    id: str
    class_index: int
    tenant_index: int
    time_left_ns: int
    is_retry: bool = False
    """Whether the client marked it as a retry of an earlier request of its own."""


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected: the request ends without a final answer."""

    request_id: str


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has finished; ``request_finished``: the request has its final answer as well."""

    request_id: str
    attempt: int
    endpoint_id: int
    result: AttemptResult
    request_finished: bool
    duration_ns: int
    load_report: tuple[float, ...] | None = None
    """Values of ``Settings.load_report_fields``, in that order; ``None``: the response had no report."""


@dataclass(slots=True)
class ResponseStarted:
    """A response has begun to stream to the client: no other attempt can serve the request."""

    request_id: str
    attempt: int
    endpoint_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by :class:`~lugtally.balancing.actions.SetTimer` has fired."""

    timer: Timer


@dataclass(slots=True)
class HealthCheckFinished:
    """An active health check has finished.  The balancer requests none and ignores this event."""

    endpoint_id: int
    healthy: bool


@dataclass(slots=True)
class GossipReceived:
    """A message from another balancer has arrived.  The balancer sends none and ignores this event."""

    sender: int
    text: str


Event = (
    EndpointUpdate
    | Request
    | ClientDisconnected
    | AttemptFinished
    | ResponseStarted
    | TimerFired
    | HealthCheckFinished
    | GossipReceived
)
