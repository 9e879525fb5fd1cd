"""Subset: the few endpoints that this balancer sends to, chosen at random and stable over time."""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.endpoint_table import EndpointTable
from lugtally.balancing.settings import Settings

MIN_MEMBERS = 10
"""Minimum size of the subset, if there are that many endpoints."""
MIN_BALANCERS_PER_ENDPOINT = 3
"""Minimum number of balancers, on average, whose subsets contain an endpoint."""
MEMBERS_PER_REQUEST_IN_FLIGHT = 2
"""Members for each of this balancer's requests in flight, so that about half of the members have one."""
IN_FLIGHT_SMOOTHING = 0.3
"""Weight of the newest number of requests in flight in their mean."""


class Subset:
    """The members: the first usable endpoints in their fixed random order, up to the number needed."""

    def __init__(self, settings: Settings, endpoints: EndpointTable, attempts: InFlightAttempts) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._attempts = attempts
        self._mean_in_flight = 0.0
        self.members: list[EndpointStats] = []
        self.is_outdated = False
        """Whether members and weights must be recomputed before the next pick."""

    def select_members(self) -> None:
        """Select the members: more of them while more of this balancer's requests are in flight."""
        self.is_outdated = False
        self._mean_in_flight += IN_FLIGHT_SMOOTHING * (len(self._attempts) - self._mean_in_flight)
        usable = self._endpoints.usable
        # Rounded up.
        size_for_coverage = -(-MIN_BALANCERS_PER_ENDPOINT * len(usable) // self._settings.fleet_size)
        size_for_traffic = int(MEMBERS_PER_REQUEST_IN_FLIGHT * self._mean_in_flight)
        self.members = usable[: max(MIN_MEMBERS, size_for_coverage, size_for_traffic)]
