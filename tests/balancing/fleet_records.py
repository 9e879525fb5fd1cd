"""The settings of a simulated fleet, and the records that it keeps of servers, requests and attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from lugtally import balancing
from lugtally.testbed.emulator.server_model import Job, ServerModel, ServerTraits

DEFAULT_SERVER_TRAITS = ServerTraits(initial_capacity=0.3, warm_up_s=8.0)


class LoadReportTiming(NamedTuple):
    """Interval and delay of load reports; each value is random, between 0.5 and 1.5 times its mean."""

    mean_interval_ns: int
    mean_delay_ns: int


@dataclass(frozen=True)
class FleetSettings:
    """The size of a fleet, its traffic and its servers."""

    balancing: balancing.Settings
    sidecars: int
    servers: int
    request_rate: float  # requests per second, all sidecars together
    work_s: tuple[float, ...]  # mean CPU seconds of one core, by class
    class_shares: tuple[float, ...] = (1.0,)
    tenant_shares: tuple[float, ...] = (1.0,)
    seed: int = 1
    server_traits: tuple[ServerTraits, ...] = (
        DEFAULT_SERVER_TRAITS,
    )  # server n has server_traits[n % len(server_traits)]
    load_reports: LoadReportTiming | None = None  # None: responses carry no load report


class RequestOutcome(Enum):
    """The outcome of a request; ``ARRIVED`` is counted for every request."""

    ARRIVED = "arrived"
    SERVED = "served"
    LATE = "late"  # served after its latency objective
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"  # its sidecar was restarted


class AttemptKey(NamedTuple):
    """Identifies one attempt by its sidecar, request and number."""

    sidecar: int
    request_id: str
    attempt: int


class SentAttempt(NamedTuple):
    """When an attempt was sent, and its job; ``None`` if the server did not exist any more."""

    sent_ns: int
    job: Job | None


@dataclass
class FleetServer:
    """One server, its model, and the attempts that were sent to it."""

    endpoint: balancing.Endpoint
    model: ServerModel
    send_times_ns: list[int] = field(default_factory=list)
    reported_in_flight: float | None = None  # in its load reports, since the last refresh
    attempts: dict[Job, AttemptKey] = field(default_factory=dict)
    next_wake_s: float = inf  # when the model must be advanced next


@dataclass
class FleetRequest:
    """One request of one sidecar."""

    class_index: int
    tenant: int
    work_s: float
    endpoint_ids: list[int] = field(default_factory=list)  # by attempt number
    open_attempts: dict[int, SentAttempt] = field(default_factory=dict)
    outcome: RequestOutcome | None = None
