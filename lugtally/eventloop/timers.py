"""The timers of the event loop: a heap of waiters, ordered by deadline."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from lugtally.eventloop.task import Waiter

MAX_DONE_BEFORE_COMPACTION = 256
"""The heap is compacted only if it has more entries of finished waiters than this."""

TimerEntry = tuple[int, int, Waiter]
"""Deadline, sequence number and waiter.

Entries are ordered by deadline.  The sequence number is unique, so that timers with equal deadlines fire in the order
in which they were set, and waiters are never compared.  A plain tuple, because every blocking call with a deadline
creates one.
"""


class ExpiredTimer(NamedTuple):
    """A timer whose deadline passed while its waiter was blocked."""

    deadline_ns: int
    waiter: Waiter


class TimerHeap:
    """Waiters, ordered by deadline.

    The entry of a waiter that was resumed before its deadline stays until it is first or the heap is compacted.
    """

    __slots__ = ("_done_count", "_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[TimerEntry] = []
        self._sequence = 0
        self._done_count = 0  # entries whose waiter is done

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, deadline_ns: int, waiter: Waiter) -> None:
        """Set a timer that ends the waiter's blocking call at ``deadline_ns``."""
        self._sequence += 1
        waiter.has_timer = True
        heappush(self._heap, (deadline_ns, self._sequence, waiter))
        if self._done_count > MAX_DONE_BEFORE_COMPACTION and self._done_count > len(self._heap) // 2:
            self._compact()

    def _compact(self) -> None:
        """Remove the entries of finished waiters.

        Most blocking calls end long before their deadline: at thousands of requests per second with deadlines of 8 s,
        these entries used 15 MB.  Compacting when they are half of the heap has a constant amortized cost per timer.
        """
        self._heap = [entry for entry in self._heap if not entry[2].done]
        heapify(self._heap)
        self._done_count = 0

    def waiter_done(self) -> None:
        """Count a waiter that is in the heap and was resumed before its deadline."""
        self._done_count += 1

    def next_deadline(self) -> int | None:
        """Return the earliest deadline of a blocked waiter, or ``None`` if no timer is set."""
        heap = self._heap
        while heap:
            deadline_ns, _, waiter = heap[0]
            if not waiter.done:
                return deadline_ns
            heappop(heap)
            self._done_count -= 1
        return None

    def pop_due(self, now_ns: int) -> Iterator[ExpiredTimer]:
        """Remove and yield the timers of blocked waiters whose deadline has been reached."""
        heap = self._heap
        while heap and heap[0][0] <= now_ns:
            deadline_ns, _, waiter = heappop(heap)
            if waiter.done:
                self._done_count -= 1
            else:
                waiter.has_timer = False
                yield ExpiredTimer(deadline_ns, waiter)
