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

BASE_EJECTION_NS = 1 * NS_PER_S
"""Duration of an ejection after one failure; doubles with each further consecutive failure."""
MIN_EJECTION_JITTER = 0.8
"""Lowest random factor of the duration: without it, all balancers would return to it at the same time."""
MAX_EJECTION_JITTER = 1.2
"""Highest random factor of the duration."""
MAX_COUNTED_FAILURES = 3
"""Consecutive failures that are counted: an ejection lasts at most four times ``BASE_EJECTION_NS``."""
MIN_CONSECUTIVE_FAILURES = 2
"""Consecutive failures before an ejection, for results of which a single one does not show a fault."""
MAX_EJECTED_SHARE = 0.5
"""Fraction of the members that may be ejected at the same time for what may be mere slowness."""
SLOW_RATIO = 3.0
"""A member is ejected if its slowness is above this multiple of the median."""
MIN_SAMPLES = 8
"""Responses needed before an endpoint is compared with the median."""
MIN_CONGESTED_SAMPLES = 6
"""Responses needed before an endpoint that gets one request at a time counts as congested."""
MIN_MEDIAN_MEMBERS = 3
"""Members with enough responses that are needed for a median."""
SLOWNESS_AFTER_EJECTION = 1.2
"""Slowness, in baselines, that is assumed of an endpoint after it was ejected for slowness."""
RESPONSE_RESULTS = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.DECLINED)
"""Results that carry a response of the endpoint."""


class OutlierDetector:
    """Counts failures of the endpoints and ejects outliers."""

    def __init__(self, rng: Random, subset: Subset, latency: LatencyTracker) -> None:
        self._rng = rng
        self._subset = subset
        self._latency = latency

    def record_outcome(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Update an endpoint's failures from a finished attempt."""
        endpoint, result = attempt.endpoint, attempt.result
        if result in RESPONSE_RESULTS:
            endpoint.last_response_ns = endpoint.last_used_ns = now_ns
        if result is AttemptResult.OK:
            self._record_recovery(endpoint)
        elif result is AttemptResult.NO_CONNECTION:
            self.record_failure(now_ns, endpoint, is_certain=True)
        elif result is AttemptResult.REJECTED:
            self.record_failure(now_ns, endpoint, MIN_CONSECUTIVE_FAILURES, is_certain=True)
        elif result is AttemptResult.ERROR or result is AttemptResult.RESET:
            self.record_failure(now_ns, endpoint, MIN_CONSECUTIVE_FAILURES)

    def record_failure(
        self, now_ns: int, endpoint: EndpointStats, min_failures: int = 1, *, is_certain: bool = False
    ) -> None:
        """Count a failure, and eject the endpoint after ``min_failures`` consecutive ones.

        ``is_certain``: the endpoint is at fault, not merely slow; only then may more than
        ``MAX_EJECTED_SHARE`` of the members be ejected.
        """
        endpoint.consecutive_failures = min(endpoint.consecutive_failures + 1, MAX_COUNTED_FAILURES)
        if endpoint.consecutive_failures < min_failures or endpoint.is_ejected(now_ns):
            return
        if is_certain or self._may_eject_another(now_ns):
            self._eject(now_ns, endpoint)

    def eject_slow_outliers(self, now_ns: int) -> None:
        """Eject members far slower than the median, and members that are slow with one request at a time."""
        for endpoint in self._slower_than_median(now_ns):
            self._eject_for_slowness(now_ns, endpoint)
        # In the order of ids, so that all balancers eject the same endpoints.
        for endpoint in sorted(self._congested_members(), key=lambda member: member.id):
            self._eject_for_slowness(now_ns, endpoint)

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
        duration_ns = BASE_EJECTION_NS << (endpoint.consecutive_failures - 1)
        jitter = self._rng.uniform(MIN_EJECTION_JITTER, MAX_EJECTION_JITTER)
        endpoint.ejected_until_ns = now_ns + int(duration_ns * jitter)
        self._subset.is_outdated = True

    def _slower_than_median(self, now_ns: int) -> list[EndpointStats]:
        comparable = [member for member in self._subset.members if member.samples >= MIN_SAMPLES]
        slowness = sorted(member.slowness for member in comparable if not member.is_ejected(now_ns))
        median = slowness[len(slowness) // 2] if len(slowness) >= MIN_MEDIAN_MEMBERS else inf
        threshold = max(self._latency.prompt_ratio, SLOW_RATIO * median)
        return [member for member in comparable if member.slowness > threshold]

    def _congested_members(self) -> list[EndpointStats]:
        """Return the members that are slow although they get only one request at a time."""
        threshold = max(CONGESTED_RATIO, self._latency.congested_ratio)
        return [
            member
            for member in self._subset.members
            if member.concurrency_limit <= 1
            and member.samples >= MIN_CONGESTED_SAMPLES
            and member.slowness > threshold
        ]

    def _eject_for_slowness(self, now_ns: int, endpoint: EndpointStats) -> None:
        """Eject an endpoint for slowness; it returns with a limit of one request and no samples."""
        endpoint.consecutive_failures = max(endpoint.consecutive_failures, MIN_CONSECUTIVE_FAILURES)
        self.record_failure(now_ns, endpoint)
        if endpoint.is_ejected(now_ns):
            # With its old slowness, it would never be tried again in a fleet without traffic.
            endpoint.concurrency_limit = 1.0
            endpoint.slowness = SLOWNESS_AFTER_EJECTION
            endpoint.samples = 0
