"""Priority: what a response brings for its work, by class and tenant (docs/design.md, "Priority")."""

from math import exp

from lugtally.balancing.records import BalancerState, RequestState
from lugtally.units import NS_PER_S

DEMAND_DECAY_NS = 5 * NS_PER_S  # how fast the demand seen fades
MIN_DEMAND = 0.01
WITHIN_QUOTA = -1  # in place of a tenant: any within its quota


def record_demand(state: BalancerState, key: tuple[int, int]) -> None:
    """Count a first attempt by class and tenant."""
    state.priority.demand[key] = state.priority.demand.get(key, 0.0) + 1


def relative_priority(state: BalancerState, request: RequestState) -> float:
    """Return a request's relative priority; its class's where no more is known."""
    relative, index = state.priority.relative, request.class_index
    return relative.get((index, request.tenant_index), relative.get((index, WITHIN_QUOTA), 0.0))


def update_priorities(state: BalancerState, elapsed_ns: int, traffic_share: float) -> None:
    """Derive the priorities; ``traffic_share``: our part of the fleet's traffic, 0 if unknown."""
    settings, decay = state.settings, exp(-elapsed_ns / DEMAND_DECAY_NS)
    demand = {key: n * decay for key, n in state.priority.demand.items() if n * decay > MIN_DEMAND}
    absolute = {
        (index, WITHIN_QUOTA): settings.request_class(index).priority_weight / max(1.0, baseline_ns)
        for index, baseline_ns in state.latency.baseline_ns.items()
    }
    highest = max(absolute.values(), default=0.0) or 1.0
    # Of whole priorities alone: by what is past a quota, one rare kind would shield all others.
    state.priority.lowest = min(absolute.values(), default=highest) / highest
    for index, tenant in demand:
        quota = settings.tenants[tenant].quota_per_s if 0 <= tenant < len(settings.tenants) else 0.0
        if quota and traffic_share and (index, WITHIN_QUOTA) in absolute:
            seen = sum(n for (_, other), n in demand.items() if other == tenant)
            within = min(1.0, quota * traffic_share * DEMAND_DECAY_NS / NS_PER_S / seen)
            factor = within + (1 - within) * settings.over_quota_weight
            absolute[index, tenant] = absolute[index, WITHIN_QUOTA] * factor
    state.priority.demand = demand
    state.priority.relative = {key: value / highest for key, value in absolute.items()}
