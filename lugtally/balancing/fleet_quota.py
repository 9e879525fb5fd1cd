"""This balancer's share of a fleet-wide limit on requests in flight.

Endpoints report how many requests from all balancers they process.  Every balancer measures its own share of
them and takes the same share of the fleet-wide limit; balancers exchange no messages (docs/design.md,
"Fleet-wide limit on requests in flight").

The limit depends on the objective share: the response time as a share of the class's latency objective.
"""

from __future__ import annotations

from math import exp, inf

from lugtally.balancing.attempts import InFlightAttempt, InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.endpoint_table import EndpointTable
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_S

MIN_FLEET_LIMIT_PER_ENDPOINT = 3.5
"""Initial limit and lower bound of the limit on requests in flight at an endpoint from all balancers."""
LOAD_DECAY_NS = 5 * NS_PER_S
"""Time in which the recorded loads decay to 1/e."""
MAX_REPORT_AGE_NS = 2 * NS_PER_S
"""Age from which a load report is no longer used."""
OBJECTIVE_SHARE_SMOOTHING = 0.02
"""Weight of the newest response in the mean objective share."""
PROMPT_OBJECTIVE_SHARE = 0.25
"""Objective share below which responses show that endpoints could process more requests concurrently."""
PROMPT_TO_MIN_RATIO = 1.6
"""The same bound as a multiple of the smallest recent objective share."""
MIN_SHARE_RISE_PER_S = 0.01
"""Relative rise of the smallest objective share per second, so that an old minimum is forgotten."""
FULL_SHARE = 0.7
"""Share of the limit above which endpoints count as full, so that the limit is adjusted."""
LIMIT_CHANGE_PER_S = 0.4
"""Relative rise or fall of the limit per second while endpoints are full."""
SLACK_SHARE = 0.75
"""Share of the limit below which the quota is raised, in inverse proportion to the mean load."""
MIN_REPORTED_LOAD = 0.1
"""Lower bound of the mean load that the quota is divided by."""
MIN_QUOTA = 2.0
"""Lower bound of the quota, in requests of this balancer in flight."""


class FleetQuota:
    """Derives this balancer's quota of requests in flight from the load reports of the endpoints."""

    def __init__(
        self,
        endpoints: EndpointTable,
        subset: Subset,
        attempts: InFlightAttempts,
        latency: LatencyTracker,
    ) -> None:
        self._endpoints = endpoints
        self._subset = subset
        self._attempts = attempts
        self._latency = latency
        self._objective_share = 0.0
        self._min_objective_share = 0.0
        self.fleet_limit_per_endpoint = MIN_FLEET_LIMIT_PER_ENDPOINT
        """Requests that all balancers together should have in flight at an endpoint."""
        self.own_load = 0.0
        """Requests of this balancer in flight, multiplied by time and decaying."""
        self.fleet_load_per_endpoint = 0.0
        """Requests of all balancers in flight at an endpoint, multiplied by time and decaying."""

    @property
    def traffic_share(self) -> float:
        """This balancer's share of the fleet's traffic, 0 if unknown."""
        if not self.fleet_load_per_endpoint:
            return 0.0
        return self.own_load / self.fleet_load_per_endpoint / max(1, len(self._endpoints.usable))

    def record_response(self, attempt: InFlightAttempt) -> None:
        """Update the mean objective share with a successful response."""
        share = attempt.duration_ns / attempt.request_class.latency_objective_ns
        self._objective_share += OBJECTIVE_SHARE_SMOOTHING * (share - self._objective_share)

    def update(self, now_ns: int, elapsed_ns: int) -> float:
        """Adjust the fleet-wide limit and return the quota, infinite while load reports are missing."""
        reporting_members = self._members_with_recent_report(now_ns)
        if not self._latency.load_reports_seen or not reporting_members:
            return inf
        mean_load = sum(member.reported_load for member in reporting_members) / len(reporting_members)
        self._record_load(mean_load, elapsed_ns)
        self._update_min_share(elapsed_ns)
        if mean_load > FULL_SHARE * self.fleet_limit_per_endpoint:
            self._adjust_limit(elapsed_ns)
        quota = self.fleet_limit_per_endpoint * self.own_load / max(1.0, self.fleet_load_per_endpoint) + 1.0
        slack_factor = max(
            1.0, SLACK_SHARE * self.fleet_limit_per_endpoint / max(MIN_REPORTED_LOAD, mean_load)
        )
        return max(MIN_QUOTA, quota * slack_factor)

    def _members_with_recent_report(self, now_ns: int) -> list[EndpointStats]:
        oldest_ns = now_ns - MAX_REPORT_AGE_NS
        return [
            member
            for member in self._subset.members
            if member.load_estimated_ns and member.load_estimated_ns > oldest_ns
        ]

    def _record_load(self, mean_load: float, elapsed_ns: int) -> None:
        decay = exp(-elapsed_ns / LOAD_DECAY_NS)
        self.own_load = decay * self.own_load + len(self._attempts) * elapsed_ns
        self.fleet_load_per_endpoint = decay * self.fleet_load_per_endpoint + mean_load * elapsed_ns

    def _update_min_share(self, elapsed_ns: int) -> None:
        share, min_share = self._objective_share, self._min_objective_share
        raised_min_share = min_share * (1 + MIN_SHARE_RISE_PER_S * elapsed_ns / NS_PER_S)
        self._min_objective_share = min(share, raised_min_share) if min_share else share

    def _adjust_limit(self, elapsed_ns: int) -> None:
        """Raise the limit while responses are prompt, otherwise lower it.

        Called only while endpoints are full, when prompt responses show that they have many cores.
        """
        is_prompt = self._objective_share < min(
            PROMPT_OBJECTIVE_SHARE, PROMPT_TO_MIN_RATIO * self._min_objective_share
        )
        change_per_s = LIMIT_CHANGE_PER_S if is_prompt else -LIMIT_CHANGE_PER_S
        changed = self.fleet_limit_per_endpoint * (1 + change_per_s * elapsed_ns / NS_PER_S)
        self.fleet_limit_per_endpoint = max(MIN_FLEET_LIMIT_PER_ENDPOINT, changed)
