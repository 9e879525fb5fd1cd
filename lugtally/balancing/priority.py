"""Relative priority by class and tenant: the priority weight of a response per unit of work that it takes.

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
"""Time in which recorded demand decays to 1/e."""
MIN_DEMAND = 0.01
"""Demand, in requests, below which a class and tenant are forgotten."""


class TrafficKey(NamedTuple):
    """A class and a tenant, by their positions in the settings."""

    class_index: int
    tenant_index: int


class PriorityTracker:
    """Priorities relative to the highest, lowered for tenants whose demand exceeds their quota."""

    def __init__(self, settings: Settings, latency: LatencyTracker) -> None:
        self._settings = settings
        self._latency = latency
        self._priority_by_class: dict[int, float] = {}
        """Relative priority by class, within quotas."""
        self._priority_by_key: dict[TrafficKey, float] = {}
        """Relative priority by class and tenant, for tenants with a quota."""
        self.lowest = 1.0
        """The lowest relative priority within quotas."""
        self.demand: dict[TrafficKey, float] = {}
        """Number of requests by class and tenant without clients' retries, decaying."""

    def record_demand(self, class_index: int, tenant_index: int) -> None:
        """Count a request that is not a client's retry."""
        key = TrafficKey(class_index, tenant_index)
        self.demand[key] = self.demand.get(key, 0.0) + 1

    def relative_priority(self, request: RequestState) -> float:
        """Return the priority of a request, from 0 to 1.

        This is the priority of its tenant in its class; if there is none, the priority of its class.
        """
        if self._priority_by_key:
            priority = self._priority_by_key.get(TrafficKey(request.class_index, request.tenant_index))
            if priority is not None:
                return priority
        return self._priority_by_class.get(request.class_index, 0.0)

    def update(self, elapsed_ns: int, traffic_share: float) -> None:
        """Recompute the priorities.

        ``traffic_share`` is this balancer's share of the fleet's traffic, 0 if unknown.
        """
        self._decay_demand(elapsed_ns)
        class_priorities = {
            class_index: self._class_priority(class_index, baseline_ns)
            for class_index, baseline_ns in self._latency.baselines_ns.items()
        }
        highest = max(class_priorities.values(), default=0.0) or 1.0
        # Only priorities within quotas count: otherwise one rare class beyond its quota would keep all others
        # from being shed.
        self.lowest = min(class_priorities.values(), default=highest) / highest
        tenant_priorities = self._tenant_priorities(class_priorities, traffic_share) if traffic_share else {}
        self._priority_by_class = {
            class_index: priority / highest for class_index, priority in class_priorities.items()
        }
        self._priority_by_key = {key: priority / highest for key, priority in tenant_priorities.items()}

    def _decay_demand(self, elapsed_ns: int) -> None:
        decay = exp(-elapsed_ns / DEMAND_DECAY_NS)
        self.demand = {key: count * decay for key, count in self.demand.items() if count * decay > MIN_DEMAND}

    def _class_priority(self, class_index: int, baseline_ns: float) -> float:
        return self._settings.request_class(class_index).priority_weight / max(1.0, baseline_ns)

    def _tenant_priorities(
        self, class_priorities: dict[int, float], traffic_share: float
    ) -> dict[TrafficKey, float]:
        """Return the priorities of tenants with a quota, by class; lower where demand exceeds the quota."""
        priorities: dict[TrafficKey, float] = {}
        for key in self.demand:
            quota_per_s = self._quota_per_s(key.tenant_index)
            if not quota_per_s or key.class_index not in class_priorities:
                continue
            tenant_demand = sum(
                count for other, count in self.demand.items() if other.tenant_index == key.tenant_index
            )
            # At a constant rate, decaying demand settles at the rate times DEMAND_DECAY_NS.
            within_quota = min(1.0, quota_per_s * traffic_share * DEMAND_DECAY_NS / NS_PER_S / tenant_demand)
            quota_factor = within_quota + (1 - within_quota) * self._settings.over_quota_weight
            priorities[key] = class_priorities[key.class_index] * quota_factor
        return priorities

    def _quota_per_s(self, tenant_index: int) -> float:
        """Return the quota of a tenant, 0 if it has none or is unknown."""
        tenants = self._settings.tenants
        return tenants[tenant_index].quota_per_s if 0 <= tenant_index < len(tenants) else 0.0
