"""Measurements of this process, aggregated by period.  Uses no clock and no I/O: the caller passes the values."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.3
"""Weight of a new value in the moving averages that the status reports."""

MAX_DELAY_NS = 1 << 62
"""A bound that is larger than any delay."""


@dataclass(slots=True)
class DelayPeriod:
    """The scheduling delays of one period.  A delay lasts from when a request may be ready until it is handled."""

    mean_ns: float
    min_ns: int
    max_ns: int
    count: int
    """Number of requests; if 0, all delays are 0."""


@dataclass(slots=True)
class ResourceUsage:
    """The fraction of each configured resource limit that the process uses."""

    cpu_fraction: float
    """Fraction of the processor time of the configured cores, since the last reading."""
    memory_fraction: float
    """Fraction of the memory limit, at the time of the reading."""
    descriptors_fraction: float
    """Fraction of the descriptor limit, at the time of the reading."""


class DelayMeter:
    """Records the scheduling delays of requests and summarizes them by period.

    A request that the last poll of the event loop reported may have become ready right after the poll before it, so its
    delay is measured from that earlier poll.  This upper bound costs two subtractions per request and no system call.
    """

    __slots__ = (
        "_period_ns",
        "_period_start_ns",
        "_sum_ns",
        "_min_ns",
        "_max_ns",
        "_count",
        "mean_delay_ns",
        "max_delay_ns",
        "usage",
    )

    def __init__(self, period_ns: int, now_ns: int) -> None:
        self._period_ns = period_ns
        self._period_start_ns = now_ns
        self._clear()
        self.mean_delay_ns = 0.0  # for the status: the moving average of the periods' means
        self.max_delay_ns = 0  # for the status: the maximum of all periods
        self.usage = ResourceUsage(0.0, 0.0, 0.0)

    def _clear(self) -> None:
        self._sum_ns = self._count = self._max_ns = 0
        self._min_ns = MAX_DELAY_NS

    def record(self, delay_ns: int) -> None:
        """Record that a request was handled ``delay_ns`` after it may have become ready."""
        self._sum_ns += delay_ns
        self._count += 1
        if delay_ns < self._min_ns:
            self._min_ns = delay_ns
        if delay_ns > self._max_ns:
            self._max_ns = delay_ns

    def elapsed_periods(self, now_ns: int) -> int:
        """Return the number of complete periods since the last period ended."""
        return (now_ns - self._period_start_ns) // self._period_ns

    def end_period(self, now_ns: int) -> DelayPeriod | None:
        """End the current period and return it; return ``None`` if it is not over yet."""
        if now_ns - self._period_start_ns < self._period_ns:
            return None
        count = self._count
        if count:
            period = DelayPeriod(self._sum_ns / count, self._min_ns, self._max_ns, count)
        else:
            period = DelayPeriod(0.0, 0, 0, 0)
        self._period_start_ns = now_ns
        self._clear()
        self.mean_delay_ns += SMOOTHING_WEIGHT * (period.mean_ns - self.mean_delay_ns)
        self.max_delay_ns = max(self.max_delay_ns, period.max_ns)
        return period

    def record_usage(self, usage: ResourceUsage) -> None:
        """Record a reading of the resources.  Only the processor time is smoothed."""
        cpu_fraction = self.usage.cpu_fraction + SMOOTHING_WEIGHT * (usage.cpu_fraction - self.usage.cpu_fraction)
        self.usage = ResourceUsage(cpu_fraction, usage.memory_fraction, usage.descriptors_fraction)
