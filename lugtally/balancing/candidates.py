"""Weighted candidates: the endpoints that the picker draws from, weighted by latency, warm-up and zone.

Slowness is the response time of an endpoint as a multiple of the latency baseline, so 1 is the baseline.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.settings import Settings
from lugtally.balancing.slow_start import SlowStart
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_S

SLOWNESS_EXPIRY_NS = 2 * NS_PER_S
"""Time without a response after which the slowness of an endpoint decays towards the baseline."""
SLOWNESS_DECAY = 0.05
"""Share of the distance to the baseline by which slowness decays with each update from then on."""
MIN_SLOWNESS = 0.3
"""Lower bound of the slowness that the weight of an endpoint is divided by."""
MAX_SLOWNESS = 8.0
"""Upper bound of the slowness that the weight of an endpoint is divided by."""
INITIAL_CROSS_ZONE_WEIGHT = 0.1
"""Initial weight of endpoints in other zones, relative to 1 for the local zone."""
MIN_CROSS_ZONE_WEIGHT = 0.03
"""Lower bound of that weight, so that some requests measure the speed of the other zones."""
CROSS_ZONE_INCREASE_FACTOR = 1.1
"""Factor by which that weight rises with each update while the local zone is slower."""
CROSS_ZONE_DECREASE_FACTOR = 0.95
"""Factor by which that weight falls with each update while the local zone is not slower."""
SLOWER_ZONE_RATIO = 1.3
"""Mean slowness of the local zone, relative to the other zones, above which more is sent to the others."""


class WeightedCandidates:
    """The subset members that are not ejected, or all members if every one of them is."""

    def __init__(self, settings: Settings, rng: Random, subset: Subset, slow_start: SlowStart) -> None:
        self._settings = settings
        self._rng = rng
        self._subset = subset
        self._slow_start = slow_start
        self._cross_zone_weight = INITIAL_CROSS_ZONE_WEIGHT
        self._endpoints: list[EndpointStats] = []
        self._cumulative_weights: list[float] = []
        """Cumulative weights without regard to zones."""
        self._zone_aware_cumulative_weights: list[float] = []
        """Cumulative weights with the preference for the local zone."""

    def __len__(self) -> int:
        return len(self._endpoints)

    def draw(self, *, zone_aware: bool) -> EndpointStats:
        """Draw a candidate with a probability proportional to its weight; the list must not be empty."""
        cumulative_weights = self._zone_aware_cumulative_weights if zone_aware else self._cumulative_weights
        position = self._rng.random() * cumulative_weights[-1]
        return self._endpoints[bisect(cumulative_weights, position, 0, len(cumulative_weights) - 1)]

    def update(self, now_ns: int) -> None:
        """Recompute candidates and weights."""
        members = self._subset.members
        self._endpoints = [member for member in members if not member.is_ejected(now_ns)] or members
        self._update_cross_zone_weight()
        self._decay_expired_slowness(now_ns)
        weights = [self._weight(now_ns, endpoint) for endpoint in self._endpoints]
        zone_weights = [
            1.0 if self._is_local(endpoint) else self._cross_zone_weight for endpoint in self._endpoints
        ]
        self._cumulative_weights = list(accumulate(weights))
        self._zone_aware_cumulative_weights = list(
            accumulate(
                weight * zone_weight for weight, zone_weight in zip(weights, zone_weights, strict=True)
            )
        )

    def _weight(self, now_ns: int, endpoint: EndpointStats) -> float:
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, endpoint.slowness))
        return self._slow_start.warm_fraction(now_ns, endpoint) / slowness

    def _is_local(self, endpoint: EndpointStats) -> bool:
        return endpoint.zone == self._settings.zone

    def _decay_expired_slowness(self, now_ns: int) -> None:
        for endpoint in self._endpoints:
            if now_ns - endpoint.last_response_ns > SLOWNESS_EXPIRY_NS:
                endpoint.slowness += SLOWNESS_DECAY * (1 - endpoint.slowness)

    def _update_cross_zone_weight(self) -> None:
        """Prefer the local zone if crossing zones has a cost, unless the others are clearly faster."""
        if not self._settings.cross_zone_cost:
            self._cross_zone_weight = 1.0
        elif self._is_local_zone_slower():
            self._cross_zone_weight = min(1.0, self._cross_zone_weight * CROSS_ZONE_INCREASE_FACTOR)
        else:
            self._cross_zone_weight = max(
                MIN_CROSS_ZONE_WEIGHT, self._cross_zone_weight * CROSS_ZONE_DECREASE_FACTOR
            )

    def _is_local_zone_slower(self) -> bool:
        """Return whether the local zone is much slower than the others, or has no candidate."""
        local = [endpoint.slowness for endpoint in self._endpoints if self._is_local(endpoint)]
        remote = [endpoint.slowness for endpoint in self._endpoints if not self._is_local(endpoint)]
        if not local:
            return True
        return bool(remote) and sum(local) / len(local) > SLOWER_ZONE_RATIO * sum(remote) / len(remote)
