"""Fault events of a run: the start and end of each fault, and the servers that it affects."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from lugtally.testbed.scenario.random_streams import draw_from, stream
from lugtally.testbed.scenario.scenario import Bounds, Fault, Scenario

ServerIndices = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """The start or end of a fault on some servers, ``at`` seconds after the start of the run."""

    at: float
    begins: bool  # True for the start of the fault, False for its end
    fault: Fault
    server_indices: ServerIndices

    @property
    def active_size(self) -> float:
        """Size of the fault after this event: 0 if the fault has ended."""
        return self.fault.size if self.begins else 0.0


def draw_fault_events(scenario: Scenario, seed: int, zones: tuple[str, ...]) -> tuple[FaultEvent, ...]:
    """Draw all events, in the order of their times; ``zones`` has the zone of each server."""
    events: list[FaultEvent] = []
    targets = _choose_servers(scenario, seed, zones)
    for index, (fault, server_indices) in enumerate(zip(scenario.faults, targets, strict=True)):
        if not fault.every_s:
            events += _begin_and_end(seed, index, fault, fault.at_s, server_indices)
            continue
        for position, server_index in enumerate(server_indices):
            events += _begin_and_end(seed, index, fault, fault.at_s + position * fault.every_s, (server_index,))
    return tuple(sorted(events, key=lambda event: event.at))


def _choose_servers(scenario: Scenario, seed: int, zones: tuple[str, ...]) -> list[ServerIndices]:
    """Return the servers that each fault affects."""
    chosen: list[ServerIndices] = []
    next_joining_index = scenario.fleet.servers  # of the next server that joins the fleet
    for index, fault in enumerate(scenario.faults):
        if fault.kind == "join":
            server_indices = tuple(range(next_joining_index, next_joining_index + (fault.servers or 1)))
            next_joining_index = server_indices[-1] + 1
        elif fault.same_as is not None:
            server_indices = chosen[fault.same_as]
        else:
            server_indices = _draw_servers(scenario, seed, index, fault, zones)
        chosen.append(server_indices)
    return chosen


def _draw_servers(scenario: Scenario, seed: int, index: int, fault: Fault, zones: tuple[str, ...]) -> ServerIndices:
    """Draw the servers of a fault from those in its zone."""
    eligible = [
        server_index for server_index in range(scenario.fleet.servers) if fault.zone in (None, zones[server_index])
    ]
    if fault.server_share is None and fault.servers is None:
        return tuple(eligible)
    count = fault.servers
    if count is None:
        count = max(1, round((fault.server_share or 0) * len(eligible)))
    shuffled = stream(seed, "trouble", index).permutation(len(eligible))
    return tuple(sorted(eligible[int(position)] for position in shuffled[:count]))


def _begin_and_end(
    seed: int, index: int, fault: Fault, start: float, server_indices: ServerIndices
) -> list[FaultEvent]:
    """Return the events of a fault that starts at ``start``."""
    begin = FaultEvent(start, True, fault, server_indices)
    if fault.for_s is None:
        return [begin]
    end = FaultEvent(start + fault.for_s, False, fault, server_indices)
    if fault.on_off_s is None:
        return [begin, end]
    events: list[FaultEvent] = []
    for server_index in server_indices:
        random = stream(seed, "on-off", index, server_index)
        events += _alternate(random, fault.on_off_s, begin, end, (server_index,))
    return events


def _alternate(
    random: np.random.Generator,
    on_off_s: Bounds,
    begin: FaultEvent,
    end: FaultEvent,
    server_indices: ServerIndices,
) -> Iterator[FaultEvent]:
    """Yield the events of a fault that goes on and off between ``begin`` and ``end``."""
    at, begins = begin.at, True
    while at < end.at:
        yield FaultEvent(at, begins, begin.fault, server_indices)
        at += draw_from(random, on_off_s)
        begins = not begins
    yield FaultEvent(end.at, False, begin.fault, server_indices)
