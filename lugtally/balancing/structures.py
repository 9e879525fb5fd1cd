"""Generic data structures without any threshold in them."""

from __future__ import annotations

from collections.abc import Container
from heapq import heappop, heappush


class SlidingCounter:
    """A count over the last ``buckets`` stretches of ``bucket_ns`` each, in constant memory."""

    __slots__ = ("total", "_buckets", "_bucket_ns", "_newest")

    def __init__(self, buckets: int, bucket_ns: int) -> None:
        self.total = 0
        self._buckets = [0] * buckets
        self._bucket_ns = bucket_ns
        self._newest = 0

    def advance(self, now: int) -> None:
        """Drop what has left the window; constant work, as a gap of a whole window clears everything."""
        bucket = now // self._bucket_ns
        newest = self._newest
        if bucket == newest and newest:
            return
        size = len(self._buckets)
        if newest == 0 or bucket - newest >= size:
            self._buckets = [0] * size
            self.total = 0
            self._newest = bucket
        while self._newest < bucket:
            self._newest += 1
            self.total -= self._buckets[self._newest % size]
            self._buckets[self._newest % size] = 0

    @property
    def rate_per_ns(self) -> float:
        """Mean rate over the whole window."""
        return self.total / (len(self._buckets) * self._bucket_ns)

    def add(self, count: int) -> None:
        """Count into the newest bucket."""
        self._buckets[self._newest % len(self._buckets)] += count
        self.total += count


class DeadlineQueue:
    """Attempts by the instant at which each comes due."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[int, tuple[str, int]]] = []

    def push(self, due_ns: int, key: tuple[str, int]) -> None:
        """Add an attempt."""
        heappush(self._heap, (due_ns, key))

    def pop_due(self, now: int) -> tuple[str, int] | None:
        """Take out the first attempt that has come due, if any."""
        return heappop(self._heap)[1] if self._heap and self._heap[0][0] <= now else None

    def next_due_ns(self, live: Container[tuple[str, int]]) -> int | None:
        """Return when the first of the ``live`` attempts comes due; drop the others before it."""
        while self._heap and self._heap[0][1] not in live:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None
