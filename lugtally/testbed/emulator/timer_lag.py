"""Lag of the timers of a testbed process: how late they fire.

A busy machine delays the testbed as well as the sidecar, and this delay must not be attributed to the sidecar.
"""

from __future__ import annotations

import resource

from hdrh.histogram import HdrHistogram

from lugtally.testbed.verification.records import TimerLagReport

MAX_LAG_US = 60_000_000
SIGNIFICANT_FIGURES = 2


class TimerLag:
    """A histogram of lags between 1 microsecond and 1 minute (HdrHistogram, G. Tene)."""

    def __init__(self, process: str) -> None:
        self._process = process
        self._histogram = HdrHistogram(1, MAX_LAG_US, SIGNIFICANT_FIGURES)

    def add(self, seconds: float) -> None:
        """Record by how many seconds an action was late."""
        self._histogram.record_value(min(MAX_LAG_US, max(1, int(seconds * 1e6))))

    def report(self) -> TimerLagReport:
        """Summarize the lags and the processor time of this process in a record."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return TimerLagReport(
            self._process,
            self._histogram.get_total_count(),
            self._histogram.get_value_at_percentile(99) / 1000,
            self._histogram.get_max_value() / 1000,
            used.ru_utime + used.ru_stime,
        )
