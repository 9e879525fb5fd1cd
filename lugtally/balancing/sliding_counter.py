"""A counter over a sliding window."""

from __future__ import annotations


class SlidingCounter:
    """A count over the last ``bucket_count`` intervals of ``bucket_ns`` each, in constant memory."""

    __slots__ = ("total", "_buckets", "_bucket_ns", "_newest_interval")

    def __init__(self, bucket_count: int, bucket_ns: int) -> None:
        self.total = 0
        """Sum over the window."""
        self._buckets = [0] * bucket_count
        self._bucket_ns = bucket_ns
        self._newest_interval = 0
        """Number of the newest interval since time 0; 0 also means that the counter has not started."""

    def advance(self, now_ns: int) -> None:
        """Move the window to ``now_ns``; a gap as long as the window clears all buckets."""
        interval = now_ns // self._bucket_ns
        newest_interval = self._newest_interval
        if interval == newest_interval and newest_interval:
            return
        bucket_count = len(self._buckets)
        if newest_interval == 0 or interval - newest_interval >= bucket_count:
            self._buckets = [0] * bucket_count
            self.total = 0
            self._newest_interval = interval
        while self._newest_interval < interval:
            self._newest_interval += 1
            self.total -= self._buckets[self._newest_interval % bucket_count]
            self._buckets[self._newest_interval % bucket_count] = 0

    @property
    def rate_per_ns(self) -> float:
        """Mean rate over the window."""
        return self.total / (len(self._buckets) * self._bucket_ns)

    def add(self, count: int) -> None:
        """Add to the newest bucket."""
        self._buckets[self._newest_interval % len(self._buckets)] += count
        self.total += count
