"""Subset: the few endpoints, drawn at random and stable over time, that this balancer sends to."""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.endpoint_table import EndpointTable
from lugtally.balancing.settings import Settings

MIN_MEMBERS = 10
"""Smallest subset, if there are as many endpoints."""
BALANCERS_PER_ENDPOINT = 3
"""How many subsets of the fleet contain each endpoint, on average and at least."""
MEMBERS_PER_REQUEST = 2
"""Members for each own request in flight: every second member is near one request in flight."""
IN_FLIGHT_SMOOTHING = 0.3
"""Weight of the newest number of requests in flight in their mean."""


class Subset:
    """The members of the subset."""

    def __init__(self, settings: Settings, endpoints: EndpointTable, attempts: InFlightAttempts) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._attempts = attempts
        self._mean_in_flight = 0.0
        self.members: list[EndpointStats] = []
        self.is_outdated = False
        """Whether members and weights must be recomputed before the next pick."""

    def select_members(self) -> None:
        """Select the members: more of them while more own requests are in flight."""
        self.is_outdated = False
        self._mean_in_flight += IN_FLIGHT_SMOOTHING * (len(self._attempts) - self._mean_in_flight)
        usable = self._endpoints.usable
        fair_share = -(-BALANCERS_PER_ENDPOINT * len(usable) // self._settings.fleet_size)  # rounded up
        needed = int(MEMBERS_PER_REQUEST * self._mean_in_flight)
        self.members = usable[: max(MIN_MEMBERS, fair_share, needed)]
