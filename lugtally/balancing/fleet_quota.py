"""The part of a fleet-wide limit on requests in flight that this balancer may use.

Endpoints report how many requests from all balancers they process.  Every balancer measures its own part of
that and takes the same part of the fleet-wide limit; balancers exchange no messages (docs/design.md,
"Fleet-wide limit on requests in flight").
"""

from __future__ import annotations

from math import exp, inf

from lugtally.balancing.attempts import InFlightAttempt, InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.endpoint_table import EndpointTable
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.subset import Subset
from lugtally.units import NS_PER_S

MIN_FLEET_LIMIT = 3.5
"""Requests in flight at an endpoint from all balancers: the first limit, and the lowest."""
LOAD_DECAY_NS = 5 * NS_PER_S
"""Time in which what was seen of the own part decays to 1/e."""
MAX_REPORT_AGE_NS = 2 * NS_PER_S
"""Age from which a load report is not used."""
OBJECTIVE_SHARE_SMOOTHING = 0.02
"""Weight of the newest response in the mean part of the latency objective that responses take."""
PROMPT_SHARE = 0.25
"""Part of the objective within which a response shows that endpoints could hold more."""
PROMPT_RATIO = 1.6
"""The same as a multiple of the smallest part that was seen."""
MIN_SHARE_RISE_PER_S = 0.01
"""Relative rise of the smallest part a second, so that an old minimum is forgotten."""
FULL_SHARE = 0.7
"""Part of the fleet limit from which endpoints count as full, and the limit changes."""
LIMIT_CHANGE_PER_S = 0.4
"""Relative rise or fall of the fleet limit a second while endpoints are full."""
SLACK_SHARE = 0.75
"""Part of the fleet limit below which the own quota is raised in proportion."""
MIN_REPORTED_LOAD = 0.1
"""Least mean load that the quota is divided by."""
MIN_QUOTA = 2.0
"""Lowest limit that the quota sets, in own requests in flight."""


class FleetQuota:
    """Own and fleet-wide requests in flight, as far as load reports show them."""

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
        self.fleet_limit_per_endpoint = MIN_FLEET_LIMIT
        """Requests that all balancers together should let an endpoint hold."""
        self.own_load = 0.0
        """Own requests in flight multiplied by time, decaying."""
        self.fleet_load_per_endpoint = 0.0
        """Requests in flight at an endpoint multiplied by time, decaying."""

    @property
    def traffic_share(self) -> float:
        """This balancer's part of the fleet's traffic, 0 if unknown."""
        if not self.fleet_load_per_endpoint:
            return 0.0
        return self.own_load / self.fleet_load_per_endpoint / max(1, len(self._endpoints.usable))

    def record_response(self, attempt: InFlightAttempt) -> None:
        """Learn from a good response which part of its latency objective it took."""
        share = attempt.duration_ns / attempt.request_class.latency_objective_ns
        self._objective_share += OBJECTIVE_SHARE_SMOOTHING * (share - self._objective_share)

    def update(self, now_ns: int, elapsed_ns: int) -> float:
        """Return the quota: a limit on own requests in flight, infinite while load reports are missing."""
        recent = self._members_with_recent_report(now_ns)
        if not self._latency.load_reports_seen or not recent:
            return inf
        load = sum(member.reported_load for member in recent) / len(recent)
        self._record_load(load, elapsed_ns)
        self._update_min_share(elapsed_ns)
        if load > FULL_SHARE * self.fleet_limit_per_endpoint:
            self._change_fleet_limit(elapsed_ns)
        quota = self.fleet_limit_per_endpoint * self.own_load / max(1.0, self.fleet_load_per_endpoint) + 1.0
        slack = max(1.0, SLACK_SHARE * self.fleet_limit_per_endpoint / max(MIN_REPORTED_LOAD, load))
        return max(MIN_QUOTA, quota * slack)

    def _members_with_recent_report(self, now_ns: int) -> list[EndpointStats]:
        oldest_ns = now_ns - MAX_REPORT_AGE_NS
        return [
            member
            for member in self._subset.members
            if member.load_estimated_ns and member.load_estimated_ns > oldest_ns
        ]

    def _record_load(self, load: float, elapsed_ns: int) -> None:
        decay = exp(-elapsed_ns / LOAD_DECAY_NS)
        self.own_load = decay * self.own_load + len(self._attempts) * elapsed_ns
        self.fleet_load_per_endpoint = decay * self.fleet_load_per_endpoint + load * elapsed_ns

    def _update_min_share(self, elapsed_ns: int) -> None:
        share, min_share = self._objective_share, self._min_objective_share
        risen = min_share * (1 + MIN_SHARE_RISE_PER_S * elapsed_ns / NS_PER_S)
        self._min_objective_share = min(share, risen) if min_share else share

    def _change_fleet_limit(self, elapsed_ns: int) -> None:
        """Raise the fleet limit while responses are prompt, as endpoints have many cores; else lower it."""
        is_prompt = self._objective_share < min(PROMPT_SHARE, PROMPT_RATIO * self._min_objective_share)
        change_per_s = LIMIT_CHANGE_PER_S if is_prompt else -LIMIT_CHANGE_PER_S
        changed = self.fleet_limit_per_endpoint * (1 + change_per_s * elapsed_ns / NS_PER_S)
        self.fleet_limit_per_endpoint = max(MIN_FLEET_LIMIT, changed)
