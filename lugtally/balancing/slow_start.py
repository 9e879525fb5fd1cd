"""Slow start: an endpoint that has just started is sent little, by a token bucket."""

from lugtally.balancing.records import BalancerState, EndpointStats

RATE_SHARE = 0.4  # part of the configured multiple that this balancer uses of its own mean rate
MAX_TOKENS = 1.5


def is_warming_up(state: BalancerState, now: int, endpoint: EndpointStats) -> bool:
    """Return whether the endpoint started less than the slow-start window ago."""
    started_ns = endpoint.started_ns
    return started_ns > 0 and now - started_ns < state.settings.slow_start_window_ns


def warm_fraction(state: BalancerState, now: int, endpoint: EndpointStats) -> float:
    """Return the part of its capacity that an endpoint surely has by now."""
    if not is_warming_up(state, now, endpoint):
        return 1.0
    age = max(0, now - endpoint.started_ns) / state.settings.slow_start_window_ns
    return state.settings.initial_capacity + (1 - state.settings.initial_capacity) * age


def has_token(state: BalancerState, now: int, endpoint: EndpointStats) -> bool:
    """Refill the bucket of a warming endpoint at our rate per member; return whether it allows a send."""
    # Per member, not per endpoint: most of a large fleet never hears of us.
    rate = state.budget.requests.rate_per_ns / state.subset.warm_members * (now - endpoint.refilled_ns)
    earned = rate * RATE_SHARE * state.settings.overload_multiple * warm_fraction(state, now, endpoint)
    endpoint.tokens = min(MAX_TOKENS, endpoint.tokens + earned)
    endpoint.refilled_ns = now
    return endpoint.tokens >= 1


def count_warm_members(state: BalancerState, now: int) -> None:
    """Count the members that share the traffic; at least half of them count as warm."""
    members = state.subset.members
    warm = sum(not is_warming_up(state, now, member) for member in members) / max(1, len(members))
    state.subset.warm_members = max(1, round(max(0.5, warm) * len(members)))
