"""Converts the start times of endpoints from Unix time to the clock of the event loop."""

from __future__ import annotations

from typing import NamedTuple

from lugtally.config.endpoint_list import EndpointRecord, ListedState
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS


class _StartTime(NamedTuple):
    """A start time in Unix time, as listed, and on the clock of the event loop."""

    started_ms: int
    started_ns: int


class StartTimeConverter:
    """Converts each start time of an endpoint only once.

    If a start time were converted again after a step of the wall clock, the result would differ.  The endpoint would
    seem to have restarted and would warm up again.
    """

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._converted: dict[int, _StartTime] = {}

    def convert(self, record: EndpointRecord) -> int:
        """Return when the endpoint started, on the event loop's clock; 0 if that is long ago."""
        if record.started_ms <= 0:
            return 0
        previous = self._converted.get(record.endpoint_id)
        if previous is not None and previous.started_ms == record.started_ms:
            return previous.started_ns
        clock_offset_ns = self._loop.wall_clock() - self._loop.now()
        started_ns = max(1, record.started_ms * NS_PER_MS - clock_offset_ns)
        if record.state is not ListedState.REMOVED:
            self._converted[record.endpoint_id] = _StartTime(record.started_ms, started_ns)
        return started_ns

    def forget(self, endpoint_id: int) -> None:
        """Drop the start time of an endpoint."""
        self._converted.pop(endpoint_id, None)
