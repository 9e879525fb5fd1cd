"""Slow start: a token bucket limits the requests to an endpoint that has just started."""

from __future__ import annotations

from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.retry_budget import RetryBudget
from lugtally.balancing.settings import Settings
from lugtally.balancing.subset import Subset

REFILL_SHARE = 0.4
"""Refill rate as a share of the configured overload multiple of this balancer's mean rate per member."""
MAX_TOKENS = 1.5
"""Capacity of a bucket, in sends."""
MIN_WARM_SHARE = 0.5
"""Lower bound of the share of members that counts as warm: with fewer of them the refill rate rises."""


class SlowStart:
    """Which endpoints are warming up, and the rate at which they may be sent requests during the warm-up."""

    def __init__(self, settings: Settings, subset: Subset, retry_budget: RetryBudget) -> None:
        self._settings = settings
        self._subset = subset
        self._retry_budget = retry_budget
        self._warm_member_count = 1

    def is_warming_up(self, now_ns: int, endpoint: EndpointStats) -> bool:
        """Return whether the endpoint started less than the slow-start window ago."""
        started_ns = endpoint.started_ns
        return started_ns > 0 and now_ns - started_ns < self._settings.slow_start_window_ns

    def warm_fraction(self, now_ns: int, endpoint: EndpointStats) -> float:
        """Return the share of its full capacity that an endpoint is sure to have at ``now_ns``."""
        if not self.is_warming_up(now_ns, endpoint):
            return 1.0
        settings = self._settings
        elapsed_share = max(0, now_ns - endpoint.started_ns) / settings.slow_start_window_ns
        return settings.initial_capacity + (1 - settings.initial_capacity) * elapsed_share

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
        """Count the members among which the traffic is divided."""
        members = self._subset.members
        warm_count = sum(not self.is_warming_up(now_ns, member) for member in members)
        warm_share = max(MIN_WARM_SHARE, warm_count / max(1, len(members)))
        self._warm_member_count = max(1, round(warm_share * len(members)))

    def _refill(self, now_ns: int, endpoint: EndpointStats) -> None:
        # The rate is per member, not per endpoint: a balancer sends to only a few endpoints of a large fleet.
        elapsed_ns = now_ns - endpoint.refilled_ns
        requests_per_member = self._retry_budget.requests_per_ns / self._warm_member_count * elapsed_ns
        earned_tokens = (
            requests_per_member
            * REFILL_SHARE
            * self._settings.overload_multiple
            * self.warm_fraction(now_ns, endpoint)
        )
        endpoint.tokens = min(MAX_TOKENS, endpoint.tokens + earned_tokens)
        endpoint.refilled_ns = now_ns
