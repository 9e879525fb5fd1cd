"""How late a party of the kit itself runs: without it, a busy machine would be taken for a bad sidecar."""

from __future__ import annotations

import resource

from hdrh.histogram import HdrHistogram

from lugtally.testbed.verification.records import TimerLagReport

MOST_US = 60_000_000


class Lateness:
    """A histogram of lateness: 1 microsecond to a minute, two significant figures (HdrHistogram, G. Tene)."""

    def __init__(self, party: str) -> None:
        self.party = party
        self._histogram = HdrHistogram(1, MOST_US, 2)

    def add(self, seconds: float) -> None:
        """Something due was done that long after its time."""
        self._histogram.record_value(min(MOST_US, max(1, int(seconds * 1e6))))

    def record(self) -> TimerLagReport:
        """What the judge needs: a run whose kit ran late is void."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return TimerLagReport(
            self.party,
            self._histogram.get_total_count(),
            self._histogram.get_value_at_percentile(99) / 1000,
            self._histogram.get_max_value() / 1000,
            used.ru_utime + used.ru_stime,
        )
