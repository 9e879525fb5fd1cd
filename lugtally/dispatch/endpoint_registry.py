"""The endpoints as discovery lists them, with the drains that operators order laid over."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lugtally.balancing import Endpoint, EndpointState, EndpointUpdateKind

READY = "ready"
DRAINING = "draining"
REMOVED = "gone"
_STATES = {READY: EndpointState.READY, DRAINING: EndpointState.DRAINING}


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint as the endpoint list names it; ``state`` is the list's own word."""

    id: int
    zone: int
    cell: int
    state: str
    started_ns: int


class EndpointRegistry:
    """What is known of each endpoint, and which of them operators have taken out."""

    def __init__(self) -> None:
        self._listed: dict[int, ListedEndpoint] = {}
        self._ever_listed: set[int] = set()
        self._drained: set[int] = set()
        # Back from an operator's drain: warming up from then on, whatever the list says.
        self._restarted_ns: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._listed)

    def update(self, kind: EndpointUpdateKind, endpoints: Iterable[ListedEndpoint]) -> list[Endpoint]:
        """Take over an update of the list; returns it as the balancer is told it."""
        updated = list(endpoints)
        for endpoint in updated:
            if endpoint.state == REMOVED:
                self._remove(endpoint.id)
            else:
                self._listed[endpoint.id] = endpoint
                self._ever_listed.add(endpoint.id)
        if kind is EndpointUpdateKind.FULL:
            for endpoint_id in self._listed.keys() - {endpoint.id for endpoint in updated}:
                self._remove(endpoint_id)
        return [self._effective(endpoint) for endpoint in updated]

    def all(self) -> list[Endpoint]:
        """Return the whole list as the balancer is to see it."""
        return [self._effective(endpoint) for endpoint in self._listed.values()]

    def was_listed(self, endpoint_id: int) -> bool:
        """Return whether the endpoint was listed at any time since the start."""
        return endpoint_id in self._ever_listed

    def drained_count(self) -> int:
        """Return how many listed endpoints operators have taken out."""
        return len(self._drained & self._listed.keys())

    def start_drain(self, endpoint_id: int) -> Endpoint | None:
        """Take the endpoint out; returns it as the balancer is to see it, or ``None`` where nothing changes."""
        if endpoint_id in self._drained:
            return None
        self._drained.add(endpoint_id)
        return self._effective_of(endpoint_id)

    def end_drain(self, endpoint_id: int, now_ns: int) -> Endpoint | None:
        """Bring the endpoint back as one that has just started; returns it as :meth:`start_drain` does."""
        if endpoint_id not in self._drained:
            return None
        self._drained.discard(endpoint_id)
        if endpoint_id in self._listed:
            self._restarted_ns[endpoint_id] = now_ns
        return self._effective_of(endpoint_id)

    def _remove(self, endpoint_id: int) -> None:
        self._listed.pop(endpoint_id, None)
        self._restarted_ns.pop(endpoint_id, None)

    def _effective_of(self, endpoint_id: int) -> Endpoint | None:
        endpoint = self._listed.get(endpoint_id)
        return None if endpoint is None else self._effective(endpoint)

    def _effective(self, endpoint: ListedEndpoint) -> Endpoint:
        """An endpoint that operators have taken out drains, whatever the list says."""
        state = _STATES.get(endpoint.state, EndpointState.REMOVED)
        if endpoint.id in self._drained and endpoint.state != REMOVED:
            state = EndpointState.DRAINING
        started_ns = max(endpoint.started_ns, self._restarted_ns.get(endpoint.id, 0))
        return Endpoint(endpoint.id, endpoint.zone, endpoint.cell, state, started_ns)
