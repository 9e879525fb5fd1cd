"""Slow start: an endpoint that has just started is sent few requests, limited by a token bucket."""

from __future__ import annotations

from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.retry_budget import RetryBudget
from lugtally.balancing.settings import Settings
from lugtally.balancing.subset import Subset

RATE_SHARE = 0.4
"""Part of the configured overload multiple that this balancer uses of its own mean rate."""
MAX_TOKENS = 1.5
"""Content of a full bucket, in sends."""
MIN_WARM_SHARE = 0.5
"""Least part of the members that counts as warm: the rate of each rises with fewer of them."""


class SlowStart:
    """The warm-up of endpoints, and the rate at which they may be sent requests meanwhile."""

    def __init__(self, settings: Settings, subset: Subset, retry_budget: RetryBudget) -> None:
        self._settings = settings
        self._subset = subset
        self._retry_budget = retry_budget
        self._warm_members = 1

    def is_warming_up(self, now_ns: int, endpoint: EndpointStats) -> bool:
        """Return whether the endpoint started less than the slow-start window ago."""
        started_ns = endpoint.started_ns
        return started_ns > 0 and now_ns - started_ns < self._settings.slow_start_window_ns

    def warm_fraction(self, now_ns: int, endpoint: EndpointStats) -> float:
        """Return the part of its capacity that an endpoint certainly has at ``now_ns``."""
        if not self.is_warming_up(now_ns, endpoint):
            return 1.0
        settings = self._settings
        age = max(0, now_ns - endpoint.started_ns) / settings.slow_start_window_ns
        return settings.initial_capacity + (1 - settings.initial_capacity) * age

    def allows(self, now_ns: int, endpoint: EndpointStats) -> bool:
        """Return whether slow start allows a send to the endpoint; refills its bucket."""
        if not self.is_warming_up(now_ns, endpoint):
            return True
        self._refill(now_ns, endpoint)
        return endpoint.tokens >= 1

    def record_send(self, now_ns: int, endpoint: EndpointStats) -> None:
        """Take a token for a send to an endpoint that is warming up."""
        if self.is_warming_up(now_ns, endpoint):
            endpoint.tokens -= 1

    def count_warm_members(self, now_ns: int) -> None:
        """Count the members that share the traffic."""
        members = self._subset.members
        warm = sum(not self.is_warming_up(now_ns, member) for member in members)
        warm_share = max(MIN_WARM_SHARE, warm / max(1, len(members)))
        self._warm_members = max(1, round(warm_share * len(members)))

    def _refill(self, now_ns: int, endpoint: EndpointStats) -> None:
        # The rate is that of a member, not of an endpoint: a balancer sends to few of a large fleet.
        elapsed_ns = now_ns - endpoint.refilled_ns
        requests = self._retry_budget.requests_per_ns / self._warm_members * elapsed_ns
        earned = (
            requests * RATE_SHARE * self._settings.overload_multiple * self.warm_fraction(now_ns, endpoint)
        )
        endpoint.tokens = min(MAX_TOKENS, endpoint.tokens + earned)
        endpoint.refilled_ns = now_ns
