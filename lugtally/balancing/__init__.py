"""Load-balancing decisions: events in, actions out, without a clock and without I/O.

The package owns admission, the choice of an endpoint, retries, outlier detection and slow start.  It must not
depend on sockets, protocols or configuration formats, and it knows the time only from the events.
"""

from lugtally.balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from lugtally.balancing.balancer import Balancer
from lugtally.balancing.events import (
    NOT_PROCESSED,
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    GossipReceived,
    HealthCheckFinished,
    Request,
    ResponseStarted,
    TimerFired,
)
from lugtally.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant
from lugtally.balancing.timers import OverdueTimer, PollTimer, RetryTimer, Timer

__all__ = [
    "NOT_PROCESSED",
    "Action",
    "AttemptFinished",
    "AttemptResult",
    "Balancer",
    "CancelAttempt",
    "ClientDisconnected",
    "CloseIdleConnections",
    "DeduplicationScope",
    "Endpoint",
    "EndpointState",
    "EndpointUpdate",
    "EndpointUpdateKind",
    "Event",
    "FailRequest",
    "GossipReceived",
    "HealthCheckFinished",
    "Idempotency",
    "OverdueTimer",
    "PollTimer",
    "RejectRequest",
    "Request",
    "RequestClass",
    "ResponseStarted",
    "RetryTimer",
    "SendAttempt",
    "SetTimer",
    "Settings",
    "Tenant",
    "Timer",
    "TimerFired",
    "WatchEndpoints",
]
