"""Relative priority by class and tenant: the value of a response for the work that it takes.

The reasons are in docs/design.md, "Priority".
"""

from __future__ import annotations

from math import exp
from typing import NamedTuple

from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.request import RequestState
from lugtally.balancing.settings import Settings
from lugtally.units import NS_PER_S

DEMAND_DECAY_NS = 5 * NS_PER_S
"""Time in which the demand seen decays to 1/e."""
MIN_DEMAND = 0.01
"""Demand, in requests, below which a class and tenant are forgotten."""


class TrafficKey(NamedTuple):
    """A class and a tenant, by their positions in the settings."""

    class_index: int
    tenant_index: int


class PriorityTracker:
    """The priorities relative to the highest, and the demand by which tenants exceed their quotas."""

    def __init__(self, settings: Settings, latency: LatencyTracker) -> None:
        self._settings = settings
        self._latency = latency
        self._by_class: dict[int, float] = {}
        """Relative priority within quotas by class."""
        self._by_tenant: dict[TrafficKey, float] = {}
        """Relative priority by class and tenant, for tenants with a quota."""
        self.lowest = 1.0
        """The lowest relative priority within quotas."""
        self.demand: dict[TrafficKey, float] = {}
        """Number of first attempts by class and tenant, decaying."""

    def record_demand(self, class_index: int, tenant_index: int) -> None:
        """Count a request that is no retry of a client."""
        key = TrafficKey(class_index, tenant_index)
        self.demand[key] = self.demand.get(key, 0.0) + 1

    def relative_priority(self, request: RequestState) -> float:
        """Return the priority of a request from 0 to 1; of its class where its tenant is not known."""
        if self._by_tenant:
            priority = self._by_tenant.get(TrafficKey(request.class_index, request.tenant_index))
            if priority is not None:
                return priority
        return self._by_class.get(request.class_index, 0.0)

    def update(self, elapsed_ns: int, traffic_share: float) -> None:
        """Recompute the priorities.

        ``traffic_share`` is this balancer's part of the fleet's traffic, 0 if unknown.
        """
        self._decay_demand(elapsed_ns)
        absolute = {
            index: self._class_priority(index, baseline_ns)
            for index, baseline_ns in self._latency.baselines_ns.items()
        }
        highest = max(absolute.values(), default=0.0) or 1.0
        # Only priorities within quotas count: one rare class beyond its quota would shield all others.
        self.lowest = min(absolute.values(), default=highest) / highest
        by_tenant = self._tenant_priorities(absolute, traffic_share) if traffic_share else {}
        self._by_class = {index: priority / highest for index, priority in absolute.items()}
        self._by_tenant = {key: priority / highest for key, priority in by_tenant.items()}

    def _decay_demand(self, elapsed_ns: int) -> None:
        decay = exp(-elapsed_ns / DEMAND_DECAY_NS)
        self.demand = {key: count * decay for key, count in self.demand.items() if count * decay > MIN_DEMAND}

    def _class_priority(self, class_index: int, baseline_ns: float) -> float:
        return self._settings.request_class(class_index).priority_weight / max(1.0, baseline_ns)

    def _tenant_priorities(self, absolute: dict[int, float], traffic_share: float) -> dict[TrafficKey, float]:
        """Return the priority by class and tenant with a quota, lower where demand exceeds the quota."""
        priorities: dict[TrafficKey, float] = {}
        for key in self.demand:
            quota_per_s = self._quota_per_s(key.tenant_index)
            if not quota_per_s or key.class_index not in absolute:
                continue
            demand = sum(
                count for other, count in self.demand.items() if other.tenant_index == key.tenant_index
            )
            within = min(1.0, quota_per_s * traffic_share * DEMAND_DECAY_NS / NS_PER_S / demand)
            factor = within + (1 - within) * self._settings.over_quota_weight
            priorities[key] = absolute[key.class_index] * factor
        return priorities

    def _quota_per_s(self, tenant_index: int) -> float:
        """Return the quota of a tenant, 0 where it has none or is unknown."""
        tenants = self._settings.tenants
        return tenants[tenant_index].quota_per_s if 0 <= tenant_index < len(tenants) else 0.0
