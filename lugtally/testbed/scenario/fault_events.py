"""Events of a run's faults: when each begins and ends, and for which servers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lugtally.testbed.scenario.random_streams import between, stream
from lugtally.testbed.scenario.scenario import Fault, Scenario


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A fault begins or ends at ``at`` seconds, for the servers of these places."""

    at: float
    begins: bool
    fault: Fault
    places: tuple[int, ...]


def draw_fault_events(scenario: Scenario, seed: int, zones: tuple[str, ...]) -> tuple[FaultEvent, ...]:
    """Draw all events in order of time; ``zones`` are the servers' by place."""
    events: list[FaultEvent] = []
    for index, (fault, places) in enumerate(_choose_places(scenario, seed, zones)):
        if not fault.every_s:
            events += _begin_and_end(seed, index, fault, fault.at_s, places)
            continue
        for turn, place in enumerate(places):
            events += _begin_and_end(seed, index, fault, fault.at_s + turn * fault.every_s, (place,))
    return tuple(sorted(events, key=lambda event: event.at))


def _choose_places(scenario: Scenario, seed: int, zones: tuple[str, ...]) -> Iterator[tuple[Fault, tuple[int, ...]]]:
    chosen: list[tuple[int, ...]] = []
    next_place = scenario.fleet.servers  # of a server that joins
    for index, fault in enumerate(scenario.faults):
        if fault.kind == "join":
            places = tuple(range(next_place, next_place + (fault.servers or 1)))
            next_place = places[-1] + 1
        elif fault.same_as is not None:
            places = chosen[fault.same_as]
        else:
            places = _draw_places(scenario, seed, index, fault, zones)
        chosen.append(places)
        yield fault, places


def _draw_places(scenario: Scenario, seed: int, index: int, fault: Fault, zones: tuple[str, ...]) -> tuple[int, ...]:
    eligible = [place for place in range(scenario.fleet.servers) if fault.zone in (None, zones[place])]
    if fault.server_share is None and fault.servers is None:
        return tuple(eligible)
    count = fault.servers
    if count is None:
        count = max(1, round((fault.server_share or 0) * len(eligible)))
    order = stream(seed, "trouble", index).permutation(len(eligible))
    return tuple(sorted(eligible[int(position)] for position in order[:count]))


def _begin_and_end(seed: int, index: int, fault: Fault, start: float, places: tuple[int, ...]) -> list[FaultEvent]:
    if fault.for_s is None:
        return [FaultEvent(start, True, fault, places)]
    if fault.on_off_s is None:
        return [FaultEvent(start, True, fault, places), FaultEvent(start + fault.for_s, False, fault, places)]
    events: list[FaultEvent] = []
    for place in places:
        events += _alternate(seed, index, fault, start, start + fault.for_s, place, fault.on_off_s)
    return events


def _alternate(
    seed: int, index: int, fault: Fault, start: float, end: float, place: int, on_off_s: tuple[float, float]
) -> Iterator[FaultEvent]:
    """One server goes on and off by itself."""
    random = stream(seed, "on-off", index, place)
    now, begins = start, True
    while now < end:
        yield FaultEvent(now, begins, fault, (place,))
        now += between(random, on_off_s)
        begins = not begins
    yield FaultEvent(end, False, fault, (place,))
