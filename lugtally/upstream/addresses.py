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
        self._start_times: dict[Address, dict[int, int]] = {}  # by address: when each endpoint started, by endpoint
        self._usable: dict[int, Address] = {}
        # The dictionary's own method instead of a wrapper, because it is called for each attempt.
        self.get = self._usable.get
        """Return the address of an endpoint; ``None`` if it has none or a later endpoint is listed at its address."""

    def __len__(self) -> int:
        return len(self._listed)

    def __contains__(self, endpoint_id: int) -> bool:
        return endpoint_id in self._listed

    def set(self, endpoint_id: int, address: Address, started_ns: int) -> list[int]:
        """Set the address of an endpoint; return the endpoints whose connections are no longer valid.

        Those are the endpoint itself, if its address or its process has changed, and earlier ones at its address.
        """
        listed = _ListedAddress(address, started_ns)
        if self._listed.get(endpoint_id) == listed:
            return []
        self.remove(endpoint_id)
        self._listed[endpoint_id] = listed
        self._start_times.setdefault(address, {})[endpoint_id] = started_ns
        unusable = self._update_usable(address)
        return [endpoint_id, *(other for other in unusable if other != endpoint_id)]

    def remove(self, endpoint_id: int) -> None:
        """Remove an endpoint; does nothing if it is not listed."""
        listed = self._listed.pop(endpoint_id, None)
        if listed is not None:
            self._usable.pop(endpoint_id, None)
            del self._start_times[listed.address][endpoint_id]
            self._update_usable(listed.address)

    def _update_usable(self, address: Address) -> list[int]:
        """Find the endpoints at an address that may be used; return the others, which started earlier."""
        start_times = self._start_times[address]
        if not start_times:
            del self._start_times[address]
            return []
        latest_start_ns = max(start_times.values())
        unusable = [endpoint_id for endpoint_id, started_ns in start_times.items() if started_ns < latest_start_ns]
        self._usable.update(dict.fromkeys(start_times, address))
        for endpoint_id in unusable:
            del self._usable[endpoint_id]
        return unusable
