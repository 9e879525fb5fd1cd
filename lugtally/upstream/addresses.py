"""The addresses of endpoints.  Each address belongs to one endpoint, even if the endpoint list names it for two.

After an endpoint has stopped, a new one may listen at its address.  Until the list no longer contains the old one, its
requests would reach the new one, which may share no deduplication records with it.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.address import Address


@dataclass(slots=True, frozen=True)
class _ListedAddress:
    """The address of an endpoint in the endpoint list, and when the endpoint started."""

    address: Address
    started_ns: int


class EndpointAddresses:
    """The addresses by endpoint.  Of the endpoints at one address, only the one that started last may be used.

    Endpoints with equal start times share their address: the list does not say which of them is the later one.
    """

    def __init__(self) -> None:
        self._listed: dict[int, _ListedAddress] = {}
        self._latest_start_ns: dict[Address, int] = {}

    def __len__(self) -> int:
        return len(self._listed)

    def __contains__(self, endpoint_id: int) -> bool:
        return endpoint_id in self._listed

    def get(self, endpoint_id: int) -> Address | None:
        """Return the address of an endpoint; ``None`` if it has none or a later endpoint is listed at its address."""
        listed = self._listed.get(endpoint_id)
        if listed is None or listed.started_ns < self._latest_start_ns[listed.address]:
            return None
        return listed.address

    def set(self, endpoint_id: int, address: Address, started_ns: int) -> list[int]:
        """Set the address of an endpoint; return the endpoints whose connections are no longer valid.

        Those are the endpoint itself, if its address or its process has changed, and earlier ones at its address.
        """
        listed = _ListedAddress(address, started_ns)
        if self._listed.get(endpoint_id) == listed:
            return []
        self.remove(endpoint_id)
        invalid = [endpoint_id]
        latest_start_ns = self._latest_start_ns.get(address, started_ns)
        if latest_start_ns < started_ns:
            invalid += self._listed_at(address)
        self._listed[endpoint_id] = listed
        self._latest_start_ns[address] = max(latest_start_ns, started_ns)
        return invalid

    def remove(self, endpoint_id: int) -> None:
        """Remove an endpoint; does nothing if it is not listed."""
        listed = self._listed.pop(endpoint_id, None)
        if listed is None:
            return
        if listed.started_ns < self._latest_start_ns[listed.address]:
            return
        others = [self._listed[other].started_ns for other in self._listed_at(listed.address)]
        if others:
            self._latest_start_ns[listed.address] = max(others)
        else:
            del self._latest_start_ns[listed.address]

    def _listed_at(self, address: Address) -> list[int]:
        return [endpoint_id for endpoint_id, listed in self._listed.items() if listed.address == address]
