"""Detection of overload of a server that is warming up, by the work that arrives in a sliding window.  Does no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

ALLOWED_EXCESS_REQUESTS = 2  # above the limit, because arrivals are random


class _Arrival(NamedTuple):
    """A request that reached the server, and its work in core-seconds."""

    at: float
    work: float
    sidecar: int


class ColdOverloadDetector:
    """Compares the work that arrives in a sliding window with the capacity.  Times are in seconds."""

    def __init__(self, capacity_multiple: float, window_s: float) -> None:
        """Allow arriving work of ``capacity_multiple`` times the capacity, averaged over ``window_s``."""
        self._capacity_multiple = capacity_multiple
        self._window_s = window_s
        self._arrivals: deque[_Arrival] = deque()  # in the last window
        self._work = 0.0  # of these arrivals

    def add_arrival_and_check(self, now_s: float, work: float, sidecar: int, capacity: float) -> bool:
        """Add an arrival and return whether the work in the window exceeds the limit for the current capacity."""
        self._arrivals.append(_Arrival(now_s, work, sidecar))
        self._work += work
        while self._arrivals and self._arrivals[0].at < now_s - self._window_s:
            self._work -= self._arrivals.popleft().work
        limit = self._capacity_multiple * capacity * self._window_s + ALLOWED_EXCESS_REQUESTS * work
        return self._work > limit

    def work_by_sidecar(self) -> dict[int, float]:
        """Return the work that each sidecar sent in the last window."""
        by_sidecar: dict[int, float] = {}
        for arrival in self._arrivals:
            by_sidecar[arrival.sidecar] = by_sidecar.get(arrival.sidecar, 0.0) + arrival.work
        return by_sidecar
