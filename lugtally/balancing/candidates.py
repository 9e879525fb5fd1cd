"""The members that the picker draws from, with their weights by speed, warm-up and zone."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.settings import Settings
from lugtally.balancing.slow_start import SlowStart
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_S

FORGET_AFTER_NS = 2 * NS_PER_S
"""Time without a response after which the slowness of an endpoint moves back towards the baseline."""
FORGET_RATE = 0.05
"""Part of the distance to the baseline that slowness moves with each update then."""
MIN_SLOWNESS = 0.3
"""Least slowness, in baselines, that the weight of an endpoint is divided by."""
MAX_SLOWNESS = 8.0
"""Greatest slowness, in baselines, that the weight of an endpoint is divided by."""
INITIAL_CROSS_ZONE_WEIGHT = 0.1
"""First weight of endpoints in other zones, against 1 for the own zone."""
MIN_CROSS_ZONE_WEIGHT = 0.03
"""Lowest such weight: some requests must cross, to learn how fast the other zones are."""
CROSS_ZONE_RISE = 1.1
"""Factor of that weight with each update while the own zone is slower."""
CROSS_ZONE_FALL = 0.95
"""Factor of that weight with each update while the own zone is not slower."""
SLOWER_ZONE_RATIO = 1.3
"""Mean slowness of the own zone, as a multiple of the others', from which more is sent to these."""


class WeightedCandidates:
    """The members that are not ejected; all members where that leaves none."""

    def __init__(self, settings: Settings, rng: Random, subset: Subset, slow_start: SlowStart) -> None:
        self._settings = settings
        self._rng = rng
        self._subset = subset
        self._slow_start = slow_start
        self._cross_zone_weight = INITIAL_CROSS_ZONE_WEIGHT
        self._endpoints: list[EndpointStats] = []
        self._weights: list[float] = []
        """Cumulative weights."""
        self._zone_aware_weights: list[float] = []
        """Cumulative weights with the preference for the own zone."""

    def __len__(self) -> int:
        return len(self._endpoints)

    def draw(self, *, zone_aware: bool) -> EndpointStats:
        """Draw a candidate by weight; there must be one."""
        weights = self._zone_aware_weights if zone_aware else self._weights
        position = self._rng.random() * weights[-1]
        return self._endpoints[bisect(weights, position, 0, len(weights) - 1)]

    def update(self, now_ns: int) -> None:
        """Recompute candidates and weights."""
        members = self._subset.members
        self._endpoints = [member for member in members if not member.is_ejected(now_ns)] or members
        self._update_cross_zone_weight()
        self._forget_old_slowness(now_ns)
        weights = [self._weight(now_ns, endpoint) for endpoint in self._endpoints]
        factors = [
            1.0 if self._is_own_zone(endpoint) else self._cross_zone_weight for endpoint in self._endpoints
        ]
        self._weights = list(accumulate(weights))
        self._zone_aware_weights = list(
            accumulate(weight * factor for weight, factor in zip(weights, factors, strict=True))
        )

    def _weight(self, now_ns: int, endpoint: EndpointStats) -> float:
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, endpoint.slowness))
        return self._slow_start.warm_fraction(now_ns, endpoint) / slowness

    def _is_own_zone(self, endpoint: EndpointStats) -> bool:
        return endpoint.zone == self._settings.zone

    def _forget_old_slowness(self, now_ns: int) -> None:
        for endpoint in self._endpoints:
            if now_ns - endpoint.last_response_ns > FORGET_AFTER_NS:
                endpoint.slowness += FORGET_RATE * (1 - endpoint.slowness)

    def _update_cross_zone_weight(self) -> None:
        """Prefer the own zone where crossing costs; send more to the others while they are faster."""
        if not self._settings.cross_zone_cost:
            self._cross_zone_weight = 1.0
        elif self._own_zone_is_slower():
            self._cross_zone_weight = min(1.0, self._cross_zone_weight * CROSS_ZONE_RISE)
        else:
            self._cross_zone_weight = max(MIN_CROSS_ZONE_WEIGHT, self._cross_zone_weight * CROSS_ZONE_FALL)

    def _own_zone_is_slower(self) -> bool:
        """Return whether the own zone is much slower than the others, or has no candidate."""
        own = [endpoint.slowness for endpoint in self._endpoints if self._is_own_zone(endpoint)]
        other = [endpoint.slowness for endpoint in self._endpoints if not self._is_own_zone(endpoint)]
        if not own:
            return True
        return bool(other) and sum(own) / len(own) > SLOWER_ZONE_RATIO * sum(other) / len(other)
