"""Limits how much of the process's time input may use that completes no valid request.

Without the limit, clients that send such input as fast as it is read would use most of the processor, although the
event loop serves every connection once in each turn.
"""

from __future__ import annotations

from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS

TIME_SHARE_DIVISOR = 4
"""Input that completes no request uses at most one in this many parts of the time, on all connections together."""
MIN_READ_COST_NS = 50_000
"""Smallest cost of a read, which includes its turn of the event loop."""
MAX_READ_COST_NS = 5 * NS_PER_MS
"""Largest cost of a read; if it took longer, the process was stopped or got no CPU."""
REJECTION_COST_NS = 500_000
"""Time that an invalid request takes: its connection, its first read and its error response."""


class InputThrottle:
    """Schedules the reads of input that completes no request, and the error responses to invalid requests.

    Each of them has a cost in time.  While earlier ones have used more than the allowed share of the time, the next one
    is due later.  A client alone that sends one invalid request is not delayed.
    """

    __slots__ = ("_free_ns", "_loop")

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._free_ns = 0
        """When the costs counted so far are at most the allowed share of the time."""

    def count_read(self, started_ns: int) -> int:
        """Count a read and its parsing, which began at ``started_ns``; return when the next read is due."""
        duration_ns = self._loop.now() - started_ns
        return self._count(min(max(duration_ns, MIN_READ_COST_NS), MAX_READ_COST_NS))

    def count_rejection(self) -> int:
        """Count an invalid request; return when its error response is due."""
        return self._count(REJECTION_COST_NS)

    def _count(self, cost_ns: int) -> int:
        due_ns = max(self._free_ns, self._loop.now())
        self._free_ns = due_ns + TIME_SHARE_DIVISOR * cost_ns
        return due_ns
