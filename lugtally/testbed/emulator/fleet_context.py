"""What all emulated servers of a run share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugtally.testbed.emulator.idempotency import IdempotencyStore
from lugtally.testbed.emulator.timer_lag import TimerLag
from lugtally.testbed.verification.records import Record


@dataclass(frozen=True, slots=True)
class NetworkTimes:
    """The network between sidecars and servers."""

    same_zone_s: float  # one way
    cross_zone_s: float
    handshake_round_trips: float  # before the first request of a connection
    idle_timeout_s: float  # after which a server closes a connection


@dataclass(frozen=True, slots=True)
class FleetContext:
    """Clock, event log, network and request catalogue of a run."""

    seed: int
    loopback_block: int
    clock: Callable[[], float]
    record: Callable[[Record], None]
    timer_lag: TimerLag
    work_of: Callable[[str], float | None]  # by request id, in core-seconds; none for an unknown request
    methods: dict[str, str]  # by class name
    sidecar_zones: tuple[str, ...]
    network: NetworkTimes
    attempt_noise: float  # standard deviation of an even factor on the work of each attempt
    health_check_work: float  # core-seconds
    error_rate: float
    idempotency: IdempotencyStore
