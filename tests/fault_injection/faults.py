"""The seeded schedule of timed faults, as typed values; ``injector`` carries them out."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from tests.fault_injection.behaviour import TimedFault

FIRST_FAULT_S = 0.5
FAULT_GAP_S = (0.2, 1.2)
"""Between the beginnings of two faults."""
DURATIONS_S: dict[TimedFault, tuple[float, float]] = {
    TimedFault.STOP: (0.2, 3.0),
    TimedFault.DRAIN: (0.5, 2.0),
    TimedFault.ENDPOINT_KILL: (0.2, 1.5),
    TimedFault.DISCOVERY_SILENCE: (0.5, 4.0),
    TimedFault.SLOW_DIAL: (0.1, 1.0),
    TimedFault.STARVE: (1.0, 2.0),
    TimedFault.IDLE_FLOOD: (0.5, 2.5),
}
"""How long each lasts; those that are not here are over at once, or when their sidecar is back."""
FLOOD_CONNECTIONS = (20, 90)


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """One fault at its time from the start of the run."""

    at_s: float
    fault: TimedFault
    target: int
    """Drawn from a large range: the injector takes it modulo the sidecars or endpoints there are."""
    duration_s: float
    strength: int
    """Of an idle flood: its connections."""


def draw_schedule(seed: int, duration_s: float, enabled: tuple[TimedFault, ...]) -> list[ScheduledFault]:
    """Return the faults of a run, by time: the same for the same arguments."""
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
