"""Pick: of two members drawn at random by weight, the one with fewer own requests in flight."""

from bisect import bisect
from itertools import accumulate

from lugtally.balancing.priority import relative_priority
from lugtally.balancing.records import BalancerState, EndpointStats, RequestState
from lugtally.balancing.rules import may_send_to
from lugtally.balancing.slow_start import warm_fraction
from lugtally.units import NS_PER_S

ZONE_AWARE_DRAWS, MAX_DRAWS = 6, 12  # the later draws are blind to zones
ANY_CLASS_SHARE = 0.4  # part of the limits that any class may use
CLEARLY_FASTER = 1.25  # a small lead would starve all but the fastest
FORGET_AFTER_NS = 2 * NS_PER_S
INITIAL_CROSS_ZONE_WEIGHT = 0.1


def pick(state: BalancerState, now: int, request: RequestState) -> EndpointStats | None:
    """Choose an endpoint that the rules and limits allow; of the limits low priorities use a part."""
    share = ANY_CLASS_SHARE + (1 - ANY_CLASS_SHARE) * (relative_priority(state, request) or 1.0)
    if state.active >= state.concurrency.limit * share:
        return None
    subset, candidates = state.subset, state.subset.candidates
    best: EndpointStats | None = None
    for draw in range(MAX_DRAWS if candidates else 0):
        weights = subset.zone_aware_weights if draw < ZONE_AWARE_DRAWS else subset.weights
        endpoint = candidates[bisect(weights, state.rng.random() * weights[-1], 0, len(weights) - 1)]
        if endpoint is best or endpoint.active >= max(1.0, endpoint.concurrency_limit * share):
            continue
        if endpoint.id in request.endpoint_ids or not may_send_to(state, now, request, endpoint):
            continue
        if best is not None:
            return _better(state, now, endpoint, best)
        if draw >= ZONE_AWARE_DRAWS:
            return endpoint
        best = endpoint
    return _search(state, now, request) if best is None and request.endpoint_ids else best


def _better(state: BalancerState, now: int, endpoint: EndpointStats, best: EndpointStats) -> EndpointStats:
    """Return the less busy one, and between equals the second only if it is clearly faster."""
    if endpoint.active != best.active:
        return endpoint if endpoint.active < best.active else best
    faster = _expected_time(state, now, endpoint) * CLEARLY_FASTER < _expected_time(state, now, best)
    return endpoint if faster else best


def _search(state: BalancerState, now: int, request: RequestState) -> EndpointStats | None:
    """Look at every endpoint: few may take a retry."""
    free = (e for e in state.usable if e.ejected_until_ns <= now and e.id not in request.endpoint_ids)
    fit = (e for e in free if e.active < e.concurrency_limit and may_send_to(state, now, request, e))
    return min(fit, key=lambda endpoint: (endpoint.active, endpoint.slowness), default=None)


def _expected_time(state: BalancerState, now: int, endpoint: EndpointStats) -> float:
    """Return how many baselines a response takes; what was last seen of the queue there soon fades."""
    fresh, mean_load = 1 / (1 + (now - endpoint.load_estimated_ns) / NS_PER_S), state.latency.mean_load
    return endpoint.slowness * (1 + mean_load + (endpoint.load_estimate - mean_load) * fresh)


def update_weights(state: BalancerState, now: int) -> None:
    """Weigh the members that are not ejected by speed, warmth and zone."""
    subset, zone = state.subset, state.settings.zone
    fit = subset.candidates = [m for m in subset.members if m.ejected_until_ns <= now] or subset.members
    _update_cross_zone_weight(state)
    for endpoint in fit:
        if now - endpoint.last_response_ns > FORGET_AFTER_NS:
            endpoint.slowness += 0.05 * (1 - endpoint.slowness)
    weights = [warm_fraction(state, now, e) / min(8.0, max(0.3, e.slowness)) for e in fit]
    subset.weights = list(accumulate(weights))
    factors = [1.0 if e.zone == zone else subset.cross_zone_weight for e in fit]
    subset.zone_aware_weights = list(accumulate(w * f for w, f in zip(weights, factors, strict=True)))


def _update_cross_zone_weight(state: BalancerState) -> None:
    """Prefer the own zone where crossing costs; send more across while it answers later."""
    subset, zone = state.subset, state.settings.zone
    if not state.settings.cross_zone_cost:
        subset.cross_zone_weight = 1.0
        return
    own = [e.slowness for e in subset.candidates if e.zone == zone]
    other = [e.slowness for e in subset.candidates if e.zone != zone]
    if not own or (other and sum(own) / len(own) > 1.3 * sum(other) / len(other)):
        subset.cross_zone_weight = min(1.0, subset.cross_zone_weight * 1.1)
    else:
        subset.cross_zone_weight = max(0.03, subset.cross_zone_weight * 0.95)
