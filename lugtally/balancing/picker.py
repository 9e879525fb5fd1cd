"""Endpoint picker: of two members drawn at random by weight, the one with fewer requests in flight.

Only the requests of this balancer are counted.
"""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.candidates import WeightedCandidates
from lugtally.balancing.concurrency_limit import ConcurrencyLimiter
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.endpoint_table import EndpointTable
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.priority import PriorityTracker
from lugtally.balancing.request import RequestState
from lugtally.balancing.retry_rules import RetryRules

ZONE_AWARE_DRAWS = 6
"""Number of draws that prefer the local zone; later draws ignore zones."""
MAX_DRAWS = 12
"""Number of draws before the picker gives up on the members."""
ANY_PRIORITY_SHARE = 0.4
"""Share of the limits that is open to every priority; the rest is open in proportion to the priority."""
DECISIVE_LATENCY_RATIO = 1.25
"""The second member drawn is chosen only if the first is expected to take more than this many times as long.

With a smaller factor, all endpoints but the fastest would be starved.
"""


class EndpointPicker:
    """Chooses the endpoint of each attempt, within the retry rules and the concurrency limits."""

    def __init__(
        self,
        endpoints: EndpointTable,
        candidates: WeightedCandidates,
        attempts: InFlightAttempts,
        rules: RetryRules,
        priority: PriorityTracker,
        latency: LatencyTracker,
        limiter: ConcurrencyLimiter,
    ) -> None:
        self._endpoints = endpoints
        self._candidates = candidates
        self._attempts = attempts
        self._rules = rules
        self._priority = priority
        self._latency = latency
        self._limiter = limiter

    def pick(self, now_ns: int, request: RequestState) -> EndpointStats | None:
        """Choose an endpoint that the rules and limits allow; ``None`` if there is none."""
        priority = self._priority.relative_priority(request) or 1.0
        limit_share = ANY_PRIORITY_SHARE + (1 - ANY_PRIORITY_SHARE) * priority
        if self._attempts.active >= self._limiter.limit * limit_share:
            return None
        endpoint = self._pick_candidate(now_ns, request, limit_share)
        if endpoint is None and request.endpoint_ids:
            return self._pick_from_all(now_ns, request)
        return endpoint

    def _pick_candidate(self, now_ns: int, request: RequestState, limit_share: float) -> EndpointStats | None:
        """Return the better of two allowed candidates, the only one found, or ``None``."""
        first: EndpointStats | None = None
        for draw in range(MAX_DRAWS if self._candidates else 0):
            zone_aware = draw < ZONE_AWARE_DRAWS
            endpoint = self._candidates.draw(zone_aware=zone_aware)
            if endpoint is first or not self._may_use(now_ns, request, endpoint, limit_share):
                continue
            if first is not None:
                return self._better(now_ns, first, endpoint)
            if not zone_aware:
                return endpoint
            first = endpoint
        return first

    def _may_use(
        self, now_ns: int, request: RequestState, endpoint: EndpointStats, limit_share: float
    ) -> bool:
        if endpoint.active >= max(1.0, endpoint.concurrency_limit * limit_share):
            return False
        return endpoint.id not in request.endpoint_ids and self._rules.may_send_to(now_ns, request, endpoint)

    def _better(self, now_ns: int, first: EndpointStats, second: EndpointStats) -> EndpointStats:
        """Return the one with fewer requests in flight; if equal, the second only if it is clearly faster."""
        if first.active != second.active:
            return second if second.active < first.active else first
        first_ratio = self._latency.expected_ratio(now_ns, first)
        second_ratio = self._latency.expected_ratio(now_ns, second)
        return second if second_ratio * DECISIVE_LATENCY_RATIO < first_ratio else first

    def _pick_from_all(self, now_ns: int, request: RequestState) -> EndpointStats | None:
        """Return the usable endpoint with the fewest requests in flight.

        All usable endpoints are searched, because the rules may allow only a few for a retry.
        """
        allowed = (
            endpoint
            for endpoint in self._endpoints.usable
            if not endpoint.is_ejected(now_ns)
            and endpoint.id not in request.endpoint_ids
            and endpoint.active < endpoint.concurrency_limit
            and self._rules.may_send_to(now_ns, request, endpoint)
        )
        return min(allowed, key=lambda endpoint: (endpoint.active, endpoint.slowness), default=None)
