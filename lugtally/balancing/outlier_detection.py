"""Outlier detection: ejects endpoints that fail, stop responding or are much slower than the median.

The reasons are in docs/design.md, "Outlier detection".
"""

from __future__ import annotations

from math import inf
from random import Random

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.latency import CONGESTED_RATIO, LatencyTracker
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_S

EJECTION_NS = 1 * NS_PER_S
"""Length of an ejection after one failure; doubles with each further failure in a row."""
MIN_EJECTION_JITTER = 0.8
"""Lowest factor of the length, which is drawn so that balancers do not return together."""
MAX_EJECTION_JITTER = 1.2
"""Highest factor of the length."""
MAX_FAILURES = 3
"""Failures in a row that lengthen an ejection: no more than four times ``EJECTION_NS``."""
FAILURES_IN_A_ROW = 2
"""Failures that eject where a single one says nothing of the endpoint."""
MAX_EJECTED_SHARE = 0.5
"""Part of the members that may be ejected at once for faults that may only be slowness."""
SLOW_RATIO = 3.0
"""Slowness, as a multiple of the median member's, that ejects."""
MIN_SAMPLES = 8
"""Responses before an endpoint is compared with the median."""
MIN_CONGESTED_SAMPLES = 6
"""Responses before an endpoint with one request at a time counts as congested."""
MIN_MEDIAN_MEMBERS = 3
"""Members with enough responses before their median is used."""
SLOWNESS_AFTER_EJECTION = 1.2
"""Slowness, in baselines, with which an endpoint starts after an ejection for slowness."""
RESPONSES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.DECLINED)
"""Results that show that the endpoint responds."""


class OutlierDetector:
    """Failures of the endpoints, and their ejections."""

    def __init__(self, rng: Random, subset: Subset, latency: LatencyTracker) -> None:
        self._rng = rng
        self._subset = subset
        self._latency = latency

    def record_outcome(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Learn of an endpoint's health from a finished attempt."""
        endpoint, result = attempt.endpoint, attempt.result
        if result in RESPONSES:
            endpoint.last_response_ns = endpoint.last_used_ns = now_ns
        if result is AttemptResult.OK:
            self._record_recovery(endpoint)
        elif result is AttemptResult.NO_CONNECTION:
            self.record_failure(now_ns, endpoint, is_certain=True)
        elif result is AttemptResult.REJECTED:
            self.record_failure(now_ns, endpoint, FAILURES_IN_A_ROW, is_certain=True)
        elif result is AttemptResult.ERROR or result is AttemptResult.RESET:
            self.record_failure(now_ns, endpoint, FAILURES_IN_A_ROW)

    def record_failure(
        self, now_ns: int, endpoint: EndpointStats, min_failures: int = 1, *, is_certain: bool = False
    ) -> None:
        """Count a failure, and eject the endpoint after ``min_failures`` in a row.

        Unless the fault ``is_certain``, no endpoint is ejected beyond ``MAX_EJECTED_SHARE`` of the members.
        """
        endpoint.consecutive_failures = min(endpoint.consecutive_failures + 1, MAX_FAILURES)
        if endpoint.consecutive_failures < min_failures or endpoint.is_ejected(now_ns):
            return
        if is_certain or self._may_eject_another(now_ns):
            self._eject(now_ns, endpoint)

    def eject_slow_outliers(self, now_ns: int) -> None:
        """Eject members far slower than the median, and those that are slow with one request at a time."""
        for endpoint in self._slower_than_median(now_ns):
            self._eject_to_recover(now_ns, endpoint)
        # In the order of ids, so that all balancers eject the same ones.
        for endpoint in sorted(self._congested(), key=lambda member: member.id):
            self._eject_to_recover(now_ns, endpoint)

    def _record_recovery(self, endpoint: EndpointStats) -> None:
        if endpoint.consecutive_failures:
            endpoint.consecutive_failures = 0
            endpoint.ejected_until_ns = 0
            self._subset.is_outdated = True

    def _may_eject_another(self, now_ns: int) -> bool:
        members = self._subset.members
        ejected = sum(member.is_ejected(now_ns) for member in members)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(members)

    def _eject(self, now_ns: int, endpoint: EndpointStats) -> None:
        duration_ns = EJECTION_NS << (endpoint.consecutive_failures - 1)
        jitter = self._rng.uniform(MIN_EJECTION_JITTER, MAX_EJECTION_JITTER)
        endpoint.ejected_until_ns = now_ns + int(duration_ns * jitter)
        self._subset.is_outdated = True

    def _slower_than_median(self, now_ns: int) -> list[EndpointStats]:
        judged = [member for member in self._subset.members if member.samples >= MIN_SAMPLES]
        slowness = sorted(member.slowness for member in judged if not member.is_ejected(now_ns))
        median = slowness[len(slowness) // 2] if len(slowness) >= MIN_MEDIAN_MEMBERS else inf
        bound = max(self._latency.prompt_ratio, SLOW_RATIO * median)
        return [member for member in judged if member.slowness > bound]

    def _congested(self) -> list[EndpointStats]:
        """Return the members that are slow though they get one request at a time."""
        bound = max(CONGESTED_RATIO, self._latency.congested_ratio)
        return [
            member
            for member in self._subset.members
            if member.concurrency_limit <= 1
            and member.samples >= MIN_CONGESTED_SAMPLES
            and member.slowness > bound
        ]

    def _eject_to_recover(self, now_ns: int, endpoint: EndpointStats) -> None:
        """Eject an endpoint for slowness; it returns with the state of one that may be tried carefully."""
        endpoint.consecutive_failures = max(endpoint.consecutive_failures, FAILURES_IN_A_ROW)
        self.record_failure(now_ns, endpoint)
        if endpoint.is_ejected(now_ns):
            # With its old slowness a fleet without traffic would never try it again.
            endpoint.concurrency_limit = 1.0
            endpoint.slowness = SLOWNESS_AFTER_EJECTION
            endpoint.samples = 0
