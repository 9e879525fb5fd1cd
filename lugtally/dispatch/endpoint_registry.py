"""The listed endpoints, and the drains that operators started, which take precedence over the listed state."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lugtally.balancing import Endpoint, EndpointState, EndpointUpdateKind
from lugtally.config.endpoint_list import ListedState

_BALANCER_STATES = {
    ListedState.READY: EndpointState.READY,
    ListedState.DRAINING: EndpointState.DRAINING,
    ListedState.REMOVED: EndpointState.REMOVED,
    ListedState.UNKNOWN: EndpointState.REMOVED,
}


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint as the endpoint list describes it.

    Attributes:
        id: A number derived from the endpoint's id in the list.
        zone: The number of the endpoint's zone.
        cell: The number of the endpoint's cell, whose endpoints share their deduplication records.
        state: The state in the list.
        started_ns: When the endpoint started, on the event loop's clock; 0 if it started long ago.
    """

    id: int
    zone: int
    cell: int
    state: ListedState
    started_ns: int


class EndpointRegistry:
    """Holds the listed endpoints and the endpoints that operators drain.

    The balancer receives effective endpoints, which combine an entry of the endpoint list with the operators' drains.
    """

    def __init__(self) -> None:
        self._listed: dict[int, ListedEndpoint] = {}
        self._ever_listed: set[int] = set()
        self._drained: set[int] = set()
        self._drain_ended_ns: dict[int, int] = {}  # by endpoint: slow start begins again when a drain ends

    def __len__(self) -> int:
        return len(self._listed)

    def update(self, kind: EndpointUpdateKind, endpoints: Iterable[ListedEndpoint]) -> list[Endpoint]:
        """Apply an update of the list; return the effective endpoints that it updates."""
        updated = list(endpoints)
        for endpoint in updated:
            if endpoint.state is ListedState.REMOVED:
                self._remove(endpoint.id)
            else:
                self._listed[endpoint.id] = endpoint
                self._ever_listed.add(endpoint.id)
        if kind is EndpointUpdateKind.FULL:
            for endpoint_id in self._listed.keys() - {endpoint.id for endpoint in updated}:
                self._remove(endpoint_id)
        return [self._effective_endpoint(endpoint) for endpoint in updated]

    def all(self) -> list[Endpoint]:
        """Return the effective endpoints of all list entries."""
        return [self._effective_endpoint(endpoint) for endpoint in self._listed.values()]

    def was_listed(self, endpoint_id: int) -> bool:
        """Return whether the endpoint was listed at any time since the start."""
        return endpoint_id in self._ever_listed

    def drained_count(self) -> int:
        """Return how many listed endpoints are drained by operators."""
        return len(self._drained & self._listed.keys())

    def start_drain(self, endpoint_id: int) -> Endpoint | None:
        """Drain the endpoint; return the effective endpoint, or ``None`` if it is not listed or already drained."""
        if endpoint_id in self._drained:
            return None
        self._drained.add(endpoint_id)
        return self._effective_endpoint_by_id(endpoint_id)

    def end_drain(self, endpoint_id: int, now_ns: int) -> Endpoint | None:
        """End the drain of the endpoint, which then warms up.

        Return the effective endpoint, or ``None`` if it is not listed or was not drained.
        """
        if endpoint_id not in self._drained:
            return None
        self._drained.discard(endpoint_id)
        if endpoint_id in self._listed:
            self._drain_ended_ns[endpoint_id] = now_ns
        return self._effective_endpoint_by_id(endpoint_id)

    def _remove(self, endpoint_id: int) -> None:
        self._listed.pop(endpoint_id, None)
        self._drain_ended_ns.pop(endpoint_id, None)

    def _effective_endpoint_by_id(self, endpoint_id: int) -> Endpoint | None:
        endpoint = self._listed.get(endpoint_id)
        return None if endpoint is None else self._effective_endpoint(endpoint)

    def _effective_endpoint(self, endpoint: ListedEndpoint) -> Endpoint:
        """Return the effective endpoint: ``DRAINING`` while an operator drains it, unless it was removed."""
        state = _BALANCER_STATES[endpoint.state]
        if endpoint.id in self._drained and endpoint.state is not ListedState.REMOVED:
            state = EndpointState.DRAINING
        started_ns = max(endpoint.started_ns, self._drain_ended_ns.get(endpoint.id, 0))
        return Endpoint(endpoint.id, endpoint.zone, endpoint.cell, state, started_ns)
