"""State and settings that all emulated servers of a run share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugtally.testbed.emulator.idempotency import IdempotencyStore
from lugtally.testbed.emulator.timer_lag import TimerLag
from lugtally.testbed.verification.records import Record


@dataclass(frozen=True, slots=True)
class NetworkTimes:
    """Delays and timeouts of the network between the sidecars and the servers."""

    same_zone_s: float  # one-way delay within a zone
    cross_zone_s: float  # one-way delay between zones
    handshake_round_trips: float  # round trips that a handshake adds to the first request of a connection
    idle_timeout_s: float  # after which a server closes an idle connection


@dataclass(frozen=True, slots=True)
class FleetContext:
    """Clock, event log, network and expected requests of a run."""

    seed: int
    loopback_block: int
    clock: Callable[[], float]  # seconds since the base time of the run
    record: Callable[[Record], None]  # writes to the event log
    timer_lag: TimerLag
    work_of: Callable[[str], float | None]  # work by request id, in core-seconds; None for an unknown request
    methods: dict[str, str]  # HTTP method by class name
    sidecar_zones: tuple[str, ...]
    network: NetworkTimes
    attempt_noise: float  # standard deviation of a uniform factor on the work of each attempt
    health_check_work: float  # of one health check, in core-seconds
    error_rate: float  # share of the responses that are errors without any fault
    idempotency: IdempotencyStore

    def one_way_delay_s(self, zone: str, sidecar: int) -> float:
        """Return the one-way network delay, in seconds, between a server in ``zone`` and a sidecar."""
        is_same_zone = self.sidecar_zones[sidecar] == zone
        return self.network.same_zone_s if is_same_zone else self.network.cross_zone_s
