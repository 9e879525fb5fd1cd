"""The events that a balancer decides on.  Times are integer nanoseconds; endpoints are opaque integers.

Classes, tenants and zones are positions in the :class:`~lugtally.balancing.settings.Settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lugtally.balancing.timers import Timer


class AttemptResult(Enum):
    """How an attempt finished, as far as decisions depend on it."""

    OK = "ok"
    ERROR = "error"
    DECLINED = "declined"
    """The request itself is at fault; another endpoint would decline it as well."""
    REJECTED = "rejected"
    """The endpoint said that it did not process the request."""
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"


NOT_PROCESSED = frozenset({AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NEVER_SENT})
"""Results that prove that the endpoint did not process the request."""


class EndpointUpdateKind(Enum):
    """What an :class:`EndpointUpdate` carries."""

    DELTA = "delta"
    """Changes since the update before."""
    FULL = "full"
    """The complete list: endpoints that it does not contain are removed."""
    CACHED = "cached"
    """The list as it was cached before a restart: the first event of every process."""
    FAILED = "failed"
    """Nothing: discovery gave no list."""


class EndpointState(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list.  ``started_ns`` is on the balancer's clock; 0: long ago."""

    id: int
    zone: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    started_ns: int = 0


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list, or the failure to get one."""

    kind: EndpointUpdateKind
    endpoints: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A client's request has arrived; it gets exactly one final answer."""

    id: str
    class_index: int
    tenant_index: int
    time_left_ns: int
    is_retry: bool = False
    """The client marked it as a repeat of an earlier request of its own."""


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected: the request ends without an answer."""

    request_id: str


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has finished; ``request_finished`` says that the request has its final answer as well."""

    request_id: str
    attempt: int
    endpoint_id: int
    result: AttemptResult
    request_finished: bool
    duration_ns: int
    load_report: tuple[float, ...] | None = None
    """Values of ``Settings.load_report_fields`` in their order; ``None``: the response had no report."""


@dataclass(slots=True)
class ResponseStarted:
    """A response is being streamed to the client: no other attempt can serve the request."""

    request_id: str
    attempt: int
    endpoint_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by :class:`~lugtally.balancing.actions.SetTimer` has fired."""

    timer: Timer


@dataclass(slots=True)
class HealthCheckFinished:
    """The result of an active health check.  The balancer orders none; it ignores this event."""

    endpoint_id: int
    healthy: bool


@dataclass(slots=True)
class GossipReceived:
    """A message of another balancer.  The balancer sends none; it ignores this event."""

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
