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


MAX_CLOCK_DRIFT_NS = 100 * NS_PER_MS
"""A larger change of the offset between the two clocks is a step of the wall clock."""
OLD_OFFSET_VALID_NS = 60_000 * NS_PER_MS
"""How long after a step start times may still be those of the clock before it; longer than any warm-up."""


class StartTimeConverter:
    """Converts each start time of an endpoint only once.

    If a start time were converted again after a step of the wall clock, the result would differ.  The endpoint would
    seem to have restarted and would warm up again.
    """

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._converted: dict[int, _StartTime] = {}
        self._offset_ns = self._clock_offset_ns()
        self._previous_offset_ns = self._offset_ns
        self._changed_ns = 0

    def convert(self, record: EndpointRecord) -> int:
        """Return when the endpoint started, on the event loop's clock; 0 if that is long ago."""
        if record.started_ms <= 0:
            return 0
        previous = self._converted.get(record.endpoint_id)
        if previous is not None and previous.started_ms == record.started_ms:
            return previous.started_ns
        started_ns = self._to_loop_time(record.started_ms * NS_PER_MS)
        if record.state is not ListedState.REMOVED:
            self._converted[record.endpoint_id] = _StartTime(record.started_ms, started_ns)
        return started_ns

    def forget(self, endpoint_id: int) -> None:
        """Drop the start time of an endpoint."""
        self._converted.pop(endpoint_id, None)

    def _to_loop_time(self, unix_ns: int) -> int:
        """Convert a time in the past from Unix time.

        After a step, it is not known which clock the time was read from.  The later result is used, because an endpoint
        that has just started must not get the load of one that is warm.
        """
        self._detect_clock_change()
        offset_ns = self._offset_ns
        if self._changed_ns and self._loop.now() - self._changed_ns < OLD_OFFSET_VALID_NS:
            offset_ns = min(offset_ns, self._previous_offset_ns)
        return min(max(1, unix_ns - offset_ns), self._loop.now())

    def _detect_clock_change(self) -> None:
        offset_ns = self._clock_offset_ns()
        if abs(offset_ns - self._offset_ns) > MAX_CLOCK_DRIFT_NS:
            self._previous_offset_ns = self._offset_ns
            self._changed_ns = self._loop.now()
        self._offset_ns = offset_ns

    def _clock_offset_ns(self) -> int:
        return self._loop.wall_clock() - self._loop.now()
