"""The timers that the balancer has set, by the time at which they come due."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple

from lugtally import balancing

NO_REQUEST = ""
"""In the place of a request's id: no request waits for the timer alone."""


class BalancerTimer(NamedTuple):
    """One timer; ``sequence`` keeps those of the same time in the order in which they were set."""

    due_ns: int
    sequence: int
    timer: balancing.Timer
    request_id: str
    """The request for which nothing but this timer is under way, or ``NO_REQUEST``."""


class BalancerTimers:
    """A heap of timers; those of the same time come due in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[BalancerTimer] = []
        self._sequence = 0

    def add(self, due_ns: int, timer: balancing.Timer, request_id: str = NO_REQUEST) -> None:
        """Schedule a timer for that time."""
        self._sequence += 1
        heappush(self._heap, BalancerTimer(due_ns, self._sequence, timer, request_id))

    def pop_due(self, now_ns: int) -> BalancerTimer | None:
        """Remove and return a timer that has come due, or ``None``."""
        if self._heap and self._heap[0].due_ns <= now_ns:
            return heappop(self._heap)
        return None

    def next_due_ns(self) -> int | None:
        """Return when the next timer comes due, or ``None``."""
        return self._heap[0].due_ns if self._heap else None
