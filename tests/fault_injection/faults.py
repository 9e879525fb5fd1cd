"""The seeded schedule of timed faults; ``injector`` injects them."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from tests.fault_injection.behaviour import TimedFault

FIRST_FAULT_S = 0.5
FAULT_GAP_S = (0.2, 1.2)
"""The range of the time between the starts of two faults."""
DURATIONS_S: dict[TimedFault, tuple[float, float]] = {
    TimedFault.STOP: (0.2, 3.0),
    TimedFault.DRAIN: (0.5, 2.0),
    TimedFault.ENDPOINT_KILL: (0.2, 1.5),
    TimedFault.DISCOVERY_SILENCE: (0.5, 4.0),
    TimedFault.SLOW_CONNECT: (0.1, 1.0),
    TimedFault.STARVE: (1.0, 2.0),
    TimedFault.IDLE_FLOOD: (0.5, 2.5),
}
"""The range of the duration of each fault; faults not listed here have no duration of their own."""
FLOOD_CONNECTIONS = (20, 90)


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """One fault, with its time since the start of the run."""

    at_s: float
    fault: TimedFault
    target: int
    """Drawn from a large range; the injector uses it modulo the number of sidecars or endpoints."""
    duration_s: float
    strength: int
    """The number of connections of an idle flood."""


def draw_schedule(seed: int, duration_s: float, enabled: tuple[TimedFault, ...]) -> list[ScheduledFault]:
    """Return the faults of a run in order of time; equal arguments give equal schedules."""
    random = Random(f"{seed}/faults")
    schedule: list[ScheduledFault] = []
    at_s = FIRST_FAULT_S
    while enabled and at_s < duration_s:
        fault = random.choice(enabled)
        low_s, high_s = DURATIONS_S.get(fault, (0.0, 0.0))
        target, strength = random.randrange(1 << 16), random.randint(*FLOOD_CONNECTIONS)
        schedule.append(
            ScheduledFault(round(at_s, 3), fault, target, round(random.uniform(low_s, high_s), 3), strength)
        )
        at_s += random.uniform(*FAULT_GAP_S)
    return schedule
