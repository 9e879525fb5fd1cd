"""What the sidecar measures of itself, smoothed over stated periods.  Free of I/O: readings are handed in."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.3
"""The weight of a new value in a moving average that is shown to people."""


@dataclass(slots=True)
class DelayPeriod:
    """Own delays of one period: from when something may have been ready until it was handled."""

    mean_ns: float
    min_ns: int
    max_ns: int
    count: int


@dataclass(slots=True)
class ResourceUsage:
    """The process's share of what the configuration grants it."""

    cpu_fraction: float
    """Of the granted cores, since the last reading."""
    memory_fraction: float
    """Resident memory, at the time of the reading."""
    descriptors_fraction: float
    """Open descriptors, at the time of the reading."""


class DelayMeter:
    """Collects own delays and hands them out a period at a time.

    An item that is handled now may have been ready since the last poll but one: the length of the turn before and the
    time since this poll bound its delay from above.  That costs two subtractions an item and no system call.
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
        self.mean_delay_ns = 0.0  # moving average of the periods' means, for people
        self.max_delay_ns = 0  # of all periods
        self.usage = ResourceUsage(0.0, 0.0, 0.0)

    def _clear(self) -> None:
        self._sum_ns = self._count = self._max_ns = 0
        self._min_ns = 1 << 62

    def record(self, delay_ns: int) -> None:
        """Take it that one item was handled that long after it may have been ready."""
        self._sum_ns += delay_ns
        self._count += 1
        if delay_ns < self._min_ns:
            self._min_ns = delay_ns
        if delay_ns > self._max_ns:
            self._max_ns = delay_ns

    def elapsed_periods(self, now_ns: int) -> int:
        """Return how many full periods have passed since the last one was handed out."""
        return (now_ns - self._period_start_ns) // self._period_ns

    def end_period(self, now_ns: int) -> DelayPeriod | None:
        """Return the period that is over and begin the next, or ``None`` while it lasts.

        A period without an item had no delay.
        """
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

    def read(self, usage: ResourceUsage) -> None:
        """Take a reading of the process's resources; the fraction of the cores is smoothed, the rest is not."""
        cpu_fraction = self.usage.cpu_fraction + SMOOTHING_WEIGHT * (usage.cpu_fraction - self.usage.cpu_fraction)
        self.usage = ResourceUsage(cpu_fraction, usage.memory_fraction, usage.descriptors_fraction)
