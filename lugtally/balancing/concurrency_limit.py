"""Limits on this balancer's requests in flight, by Little's law (docs/design.md, "Concurrency limits").

"Own" requests are those of this balancer; a baseline is the response time of a class without a queue.
"""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.fleet_quota import FleetQuota
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.settings import Settings
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_MS

UPDATE_INTERVAL_NS = 250 * NS_PER_MS
"""Minimum time between two updates of the limits."""
INITIAL_UPDATES = 4
"""Number of updates before the throughput estimate is used."""
INITIAL_LIMIT_PER_MEMBER = 2.0
"""Limit until then, per member of the subset.  After a restart, all clients connect at the same time."""
MIN_INITIAL_MEMBERS = 4
"""Lower bound of the number of members in the initial limit."""
THROUGHPUT_SMOOTHING = 0.3
"""Weight of the newest interval in the throughput estimate."""
LIMIT_TO_CONGESTION_RATIO = 1.8
"""The limit as a multiple of the number in flight at which congestion starts."""
HEADROOM_DIVISOR = 6
"""Minimum response time that indicates congestion, as a divisor of the tightest latency objective."""
MARGIN_DEVIATIONS = 3.0
"""Standard deviations added to the limit, because a small number of requests in flight varies randomly."""
MIN_LIMIT = 4.0
"""Lower bound of the limit on this balancer's requests in flight."""
MIN_FLEET_LIMIT_PER_MEMBER = 4
"""Lower bound of the sum of the limits of all balancers, per member of the subset."""
MAX_ENDPOINT_LIMIT = 64.0
"""Upper bound of the limit on this balancer's requests in flight at one endpoint."""
ENDPOINT_LIMIT_DECREASE_FACTOR = 0.8
"""Factor by which the limit of an endpoint falls when responses are late."""
CONGESTION_RESULTS = (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.REJECTED)
"""Results that lower the limit of an endpoint; ``OK`` only if the endpoint is slow."""


class ConcurrencyLimiter:
    """The limit on all of this balancer's requests in flight, and the limits at single endpoints."""

    def __init__(
        self, settings: Settings, subset: Subset, latency: LatencyTracker, quota: FleetQuota
    ) -> None:
        self._settings = settings
        self._subset = subset
        self._latency = latency
        self._quota = quota
        self._update_count = 0
        self._work_done_ns = 0.0
        """Sum of the baselines of the responses since the last update."""
        self._throughput = 0.0
        """Work done per nanosecond, smoothed; by Little's law the number in flight if none is queued."""
        self.limit = MIN_LIMIT
        """Maximum number of this balancer's requests in flight."""

    def record_response(self, attempt: InFlightAttempt, baseline_ns: float) -> None:
        """Count the work of a successful response."""
        self._work_done_ns += baseline_ns
        self._quota.record_response(attempt)

    def adjust_endpoint_limit(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Adjust the limit of an endpoint by additive increase and multiplicative decrease.

        Attempts sent before the last decrease do not lower the limit again: each late batch lowers it once.
        """
        endpoint = attempt.endpoint
        limit = endpoint.concurrency_limit
        if attempt.result is AttemptResult.OK and endpoint.slowness < self._latency.congested_ratio:
            was_half_used = len(endpoint.in_flight) + 1 >= limit / 2
            if was_half_used:
                endpoint.concurrency_limit = min(MAX_ENDPOINT_LIMIT, limit + 1 / limit)
        elif attempt.result in CONGESTION_RESULTS:
            sent_after_last_decrease = now_ns - attempt.duration_ns >= endpoint.limit_lowered_ns
            if sent_after_last_decrease:
                endpoint.limit_lowered_ns = now_ns
                endpoint.concurrency_limit = max(1.0, limit * ENDPOINT_LIMIT_DECREASE_FACTOR)

    def update(self, now_ns: int, elapsed_ns: int) -> None:
        """Recompute the limit from the work done in the ``elapsed_ns`` since the last update."""
        self._update_count += 1
        interval_weight = min(1.0, THROUGHPUT_SMOOTHING * elapsed_ns / UPDATE_INTERVAL_NS)
        weight = max(interval_weight, 1 / self._update_count)  # the first updates count equally
        self._throughput += weight * (self._work_done_ns / elapsed_ns - self._throughput)
        self._work_done_ns = 0.0
        if self._update_count > INITIAL_UPDATES:
            self.limit = min(self._limit_by_throughput(), self._quota.update(now_ns, elapsed_ns))

    def apply_initial_limit(self) -> None:
        """Set a generous limit until the throughput is known."""
        if self._update_count <= INITIAL_UPDATES:
            self.limit = INITIAL_LIMIT_PER_MEMBER * max(MIN_INITIAL_MEMBERS, len(self._subset.members))

    def _limit_by_throughput(self) -> float:
        floor = max(
            MIN_LIMIT, MIN_FLEET_LIMIT_PER_MEMBER * len(self._subset.members) / self._settings.fleet_size
        )
        congestion_ratio = max(self._latency.congested_ratio, self._latency.headroom / HEADROOM_DIVISOR)
        base_limit = LIMIT_TO_CONGESTION_RATIO * congestion_ratio * self._throughput
        standard_deviation: float = self._throughput**0.5  # math.sqrt may round the last bit differently
        return max(floor, base_limit + MARGIN_DEVIATIONS * standard_deviation)
