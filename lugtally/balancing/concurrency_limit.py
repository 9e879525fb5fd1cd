"""Limits on own requests in flight, by Little's law (docs/design.md, "Concurrency limits")."""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.fleet_quota import FleetQuota
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.settings import Settings
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_MS

UPDATE_INTERVAL_NS = 250 * NS_PER_MS
"""Shortest time between two updates of limits."""
MIN_UPDATES = 4
"""Updates before the throughput estimate is used."""
START_LIMIT_PER_MEMBER = 2.0
"""The limit until then, for each member: the clients of a restart come all at once."""
MIN_START_MEMBERS = 4
"""Least number of members that this limit counts."""
THROUGHPUT_SMOOTHING = 0.3
"""Weight of the newest interval in the throughput estimate."""
LIMIT_RATIO = 1.8
"""The limit as a multiple of what is in flight at the edge of congestion."""
HEADROOM_SHARE = 6
"""The edge of congestion is at least the number of baselines in the tightest objective, divided by this."""
DEVIATIONS = 3.0
"""Standard deviations of the number in flight that the limit leaves free: few requests vary by chance."""
MIN_LIMIT = 4.0
"""Lowest limit on own requests in flight."""
MIN_LIMIT_PER_ENDPOINT = 4
"""Lowest limit on the requests in flight of the fleet for each member."""
MAX_ENDPOINT_LIMIT = 64.0
"""Highest limit on own requests in flight at one endpoint."""
LATE_BATCH_FACTOR = 0.8
"""Factor by which an endpoint's limit falls after late responses."""
CONGESTION_RESULTS = (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.REJECTED)
"""Results that show congestion where the endpoint is slow."""


class ConcurrencyLimiter:
    """The limit on all own requests in flight, and those at single endpoints."""

    def __init__(
        self, settings: Settings, subset: Subset, latency: LatencyTracker, quota: FleetQuota
    ) -> None:
        self._settings = settings
        self._subset = subset
        self._latency = latency
        self._quota = quota
        self._updates = 0
        self._work_done_ns = 0.0
        """Sum of the baselines of the responses since the last update."""
        self._throughput = 0.0
        """Work done a nanosecond, smoothed; by Little's law the number in flight if none queue."""
        self.limit = MIN_LIMIT
        """Highest number of own requests in flight."""

    def record_response(self, attempt: InFlightAttempt, baseline_ns: float) -> None:
        """Count the work that a good response has done."""
        self._work_done_ns += baseline_ns
        self._quota.record_response(attempt)

    def adjust_endpoint_limit(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Raise an endpoint's limit while its responses are prompt; lower it once for each late batch."""
        endpoint = attempt.endpoint
        limit = endpoint.concurrency_limit
        if attempt.result is AttemptResult.OK and endpoint.slowness < self._latency.congested_ratio:
            is_used = len(endpoint.in_flight) + 1 >= limit / 2
            if is_used:
                endpoint.concurrency_limit = min(MAX_ENDPOINT_LIMIT, limit + 1 / limit)
        elif attempt.result in CONGESTION_RESULTS:
            sent_after_last_fall = now_ns - attempt.duration_ns >= endpoint.limit_lowered_ns
            if sent_after_last_fall:
                endpoint.limit_lowered_ns = now_ns
                endpoint.concurrency_limit = max(1.0, limit * LATE_BATCH_FACTOR)

    def update(self, now_ns: int, elapsed_ns: int) -> None:
        """Recompute the limit from the work done in the ``elapsed_ns`` since the last update."""
        self._updates += 1
        newest_weight = min(1.0, THROUGHPUT_SMOOTHING * elapsed_ns / UPDATE_INTERVAL_NS)
        weight = max(newest_weight, 1 / self._updates)
        self._throughput += weight * (self._work_done_ns / elapsed_ns - self._throughput)
        self._work_done_ns = 0.0
        if self._updates > MIN_UPDATES:
            self.limit = min(self._limit_by_throughput(), self._quota.update(now_ns, elapsed_ns))

    def apply_initial_limit(self) -> None:
        """Set a generous limit until the throughput is known."""
        if self._updates <= MIN_UPDATES:
            self.limit = START_LIMIT_PER_MEMBER * max(MIN_START_MEMBERS, len(self._subset.members))

    def _limit_by_throughput(self) -> float:
        floor = max(MIN_LIMIT, MIN_LIMIT_PER_ENDPOINT * len(self._subset.members) / self._settings.fleet_size)
        edge_ratio = max(self._latency.congested_ratio, self._latency.headroom / HEADROOM_SHARE)
        edge = LIMIT_RATIO * edge_ratio * self._throughput
        deviation: float = self._throughput**0.5  # math.sqrt may round the last bit differently
        return max(floor, edge + DEVIATIONS * deviation)
