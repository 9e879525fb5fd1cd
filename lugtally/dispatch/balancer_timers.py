"""The timers that the balancer has set and that have not fired yet."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple

from lugtally import balancing

NO_REQUEST = ""
"""The request id of a timer that no request waits for."""


class BalancerTimer(NamedTuple):
    """A timer of the balancer.  ``sequence`` orders the timers that are due at the same time."""

    due_ns: int
    sequence: int
    timer: balancing.Timer
    request_id: str
    """The request that waits for this timer alone, or ``NO_REQUEST``."""


class BalancerTimers:
    """A priority queue of timers.  Timers that are due at the same time fire in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[BalancerTimer] = []
        self._sequence = 0

    def add(self, due_ns: int, timer: balancing.Timer, request_id: str = NO_REQUEST) -> None:
        """Add a timer that is due at ``due_ns`` on the clock of the event loop."""
        self._sequence += 1
        heappush(self._heap, BalancerTimer(due_ns, self._sequence, timer, request_id))

    def pop_due(self, now_ns: int) -> BalancerTimer | None:
        """Remove and return the earliest timer that is due; ``None`` if there is none."""
        if self._heap and self._heap[0].due_ns <= now_ns:
            return heappop(self._heap)
        return None

    def next_due_ns(self) -> int | None:
        """Return the time at which the next timer is due; ``None`` if there is none."""
        return self._heap[0].due_ns if self._heap else None
