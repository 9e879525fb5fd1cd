"""A count over a sliding window."""

from __future__ import annotations


class SlidingCounter:
    """A count over the last ``buckets`` intervals of ``bucket_ns`` each, in constant memory."""

    __slots__ = ("total", "_buckets", "_bucket_ns", "_newest")

    def __init__(self, buckets: int, bucket_ns: int) -> None:
        self.total = 0
        """Sum over the window."""
        self._buckets = [0] * buckets
        self._bucket_ns = bucket_ns
        self._newest = 0

    def advance(self, now_ns: int) -> None:
        """Drop the buckets before the window; a gap of a window's length clears them at once."""
        bucket = now_ns // self._bucket_ns
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
        """Mean rate over the window."""
        return self.total / (len(self._buckets) * self._bucket_ns)

    def add(self, count: int) -> None:
        """Count into the newest bucket."""
        self._buckets[self._newest % len(self._buckets)] += count
        self.total += count
