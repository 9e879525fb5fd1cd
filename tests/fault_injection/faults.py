"""The seeded schedule of timed faults; ``injector`` injects them."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from tests.fault_injection.behaviour import TimedFault

FIRST_FAULT_S = 0.5
FAULT_GAP_S = (0.2, 1.2)
"""The range of the time between the starts of two successive faults."""
DURATIONS_S: dict[TimedFault, tuple[float, float]] = {
    TimedFault.STOP: (0.2, 3.0),
    TimedFault.DRAIN: (0.5, 2.0),
    TimedFault.ENDPOINT_KILL: (0.2, 1.5),
    TimedFault.DISCOVERY_SILENCE: (0.5, 4.0),
    TimedFault.SLOW_CONNECT: (0.1, 1.0),
    TimedFault.STARVE: (1.0, 2.0),
    TimedFault.IDLE_FLOOD: (0.5, 2.5),
    TimedFault.BUFFER_FLOOD: (1.0, 3.0),
}
"""The range of the duration of each fault; the other faults have no duration."""
FLOOD_CONNECTION_COUNT = (20, 90)


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """One fault, with the parameters drawn for it."""

    at_s: float
    """The time of the injection since the start of the run."""
    fault: TimedFault
    target: int
    """Selects a sidecar or an endpoint: the injector takes this number modulo the number of them."""
    duration_s: float
    connection_count: int
    """The number of connections of an idle flood or a buffer flood.

    If that of an idle flood is odd, each connection sends half a request.
    """


def draw_schedule(seed: int, duration_s: float, enabled: tuple[TimedFault, ...]) -> list[ScheduledFault]:
    """Return the faults of a run, ordered by time; equal arguments give equal schedules."""
    random = Random(f"{seed}/faults")
    schedule: list[ScheduledFault] = []
    at_s = FIRST_FAULT_S
    while enabled and at_s < duration_s:
        fault = random.choice(enabled)
        low_s, high_s = DURATIONS_S.get(fault, (0.0, 0.0))
        target, connection_count = random.randrange(1 << 16), random.randint(*FLOOD_CONNECTION_COUNT)
        schedule.append(
            ScheduledFault(round(at_s, 3), fault, target, round(random.uniform(low_s, high_s), 3), connection_count)
        )
        at_s += random.uniform(*FAULT_GAP_S)
    return schedule
