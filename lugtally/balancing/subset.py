"""Subset: the endpoints of the list that may be sent to, and the few, random but lasting, that are."""

from lugtally.balancing.events import EndpointState, EndpointUpdate, EndpointUpdateKind
from lugtally.balancing.records import BalancerState, EndpointStats
from lugtally.units import NS_PER_S

MAX_POLL_BACKOFF_NS = 8 * NS_PER_S
MIN_MEMBERS = 10
INITIAL_CONCURRENCY_LIMIT = 2.0  # own requests in flight at an endpoint, to begin with


def draw_poll_backoff_ns(state: BalancerState) -> int:
    """Draw the delay before the next poll after a failed one."""
    state.poll_failures = min(state.poll_failures + 1, 5)
    bound_ns = min(MAX_POLL_BACKOFF_NS, NS_PER_S << state.poll_failures)
    # Never beyond what the settings allow between two polls, or a drain is overlooked in an outage.
    return int(state.rng.uniform(0.2, 1) * min(bound_ns, state.settings.max_poll_interval_ns or bound_ns))


def apply_update(state: BalancerState, now: int, update: EndpointUpdate) -> None:
    """Take over an update of the endpoint list."""
    state.poll_failures = 0
    endpoints, is_binding = state.endpoints, state.settings.removal_is_binding
    for entry in update.endpoints:
        known = endpoints.get(entry.id)
        endpoint = known or EndpointStats(entry.id, state.rng.random())
        if known is None or entry.started_ns > known.started_ns:  # another process
            # In a large fleet each balancer sends so rarely that it must not wait for a whole token.
            endpoint.reset(now, INITIAL_CONCURRENCY_LIMIT, tokens=endpoint.rank * 1e6 % 1)
        endpoint.update(entry)
        endpoints[entry.id] = endpoint
    if update.kind is not EndpointUpdateKind.DELTA:
        named = {entry.id for entry in update.endpoints}
        for endpoint in endpoints.values():
            if endpoint.id not in named and (endpoint.state is EndpointState.READY or is_binding):
                endpoint.state = EndpointState.REMOVED
    usable = [e for e in endpoints.values() if e.state is EndpointState.READY]
    removed = [e for e in endpoints.values() if e.state is EndpointState.REMOVED]
    if is_binding:  # ids are never reused: on a long day thousands come and go
        for endpoint in removed:
            if not endpoint.in_flight:
                del endpoints[endpoint.id]
    elif not usable:
        usable = removed
    state.usable = sorted(usable, key=lambda endpoint: endpoint.rank)


def draw_members(state: BalancerState) -> None:
    """Choose the members: enough to keep a busy balancer near one request in flight at each second one."""
    subset = state.subset
    subset.is_outdated = False
    subset.mean_in_flight += 0.3 * (len(state.attempts) - subset.mean_in_flight)
    fair_share = -(-3 * len(state.usable) // state.settings.fleet_size)
    subset.members = state.usable[: max(MIN_MEMBERS, fair_share, int(2 * subset.mean_in_flight))]
