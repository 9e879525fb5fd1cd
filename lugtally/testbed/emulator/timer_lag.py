"""Lag of the timers of a testbed process.

A busy machine delays the testbed as well, and the delay must not be attributed to the sidecar.
"""

from __future__ import annotations

import resource

from hdrh.histogram import HdrHistogram

from lugtally.testbed.verification.records import TimerLagReport

MAX_LAG_US = 60_000_000
SIGNIFICANT_FIGURES = 2


class TimerLag:
    """A histogram of lags from 1 microsecond to a minute (HdrHistogram, G. Tene)."""

    def __init__(self, process: str) -> None:
        self._process = process
        self._histogram = HdrHistogram(1, MAX_LAG_US, SIGNIFICANT_FIGURES)

    def add(self, seconds: float) -> None:
        """Record the lag of an action behind its due time."""
        self._histogram.record_value(min(MAX_LAG_US, max(1, int(seconds * 1e6))))

    def report(self) -> TimerLagReport:
        """Summarize the lags and the processor time of this process."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return TimerLagReport(
            self._process,
            self._histogram.get_total_count(),
            self._histogram.get_value_at_percentile(99) / 1000,
            self._histogram.get_max_value() / 1000,
            used.ru_utime + used.ru_stime,
        )
