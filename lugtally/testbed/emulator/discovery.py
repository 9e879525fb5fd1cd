"""The emulated discovery service.

Sidecars use long polls: a call returns the full endpoint list, or waits until the list changes and returns the changes.
The number of calls that are processed at the same time is limited, for all sidecars together.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.discovery_connection import DiscoveryConnection
from lugtally.testbed.emulator.endpoint_registry import EndpointChanges, EndpointEntry, EndpointRegistry
from lugtally.testbed.scenario.scenario import Discovery
from lugtally.testbed.verification.records import DiscoveryCall, EndpointChanged, EndpointNotified, Record

ENDPOINT_LIST_PATH = "/catalog/members"
MAX_HOLD_MS = 60_000
ENTRIES_PER_CALL_DURATION = 100  # returning this many entries takes as long as a call without entries


class _PollParameters(NamedTuple):
    """Parameters in the query of a call."""

    version: int | None  # of the list that the caller has; None requests the full list
    hold_s: float  # longest wait for a change


class DiscoveryService:
    """The discovery service, which all sidecars share."""

    def __init__(
        self,
        hosts: list[str],
        registry: EndpointRegistry,
        clock: Callable[[], float],
        record: Callable[[Record], None],
        address_of: Callable[[str, int], str],
        settings: Discovery,
    ) -> None:
        """Serve ``registry`` at ``hosts``, one host for each sidecar.

        ``address_of`` returns the address at which a sidecar reaches a server.
        """
        self.clock = clock
        self.extra_call_s = 0.0  # that a fault adds to the duration of each call
        self._hosts = hosts
        self._registry = registry
        self._record = record
        self._address_of = address_of
        self._base_call_s = settings.call_ms / 1000
        self._max_wait_s = settings.max_wait_s
        self._slots = asyncio.Semaphore(settings.max_parallel_calls)
        self._changed = asyncio.Event()
        self._is_down = False
        self._connections: set[DiscoveryConnection] = set()
        self._listeners: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen at the host of every sidecar."""
        loop = asyncio.get_running_loop()
        for sidecar, host in enumerate(self._hosts):
            listener = await loop.create_server(
                lambda sidecar=sidecar: DiscoveryConnection(self, sidecar),  # type: ignore[misc]
                host,
                loopback.PORT,
                family=socket.AF_INET,
            )
            self._listeners.append(listener)

    def update(self, entry: EndpointEntry) -> None:
        """Apply a change to the list and wake the calls that wait for one."""
        if self._registry.update(entry):
            self._record(EndpointChanged(self.clock(), entry.server, entry.state, _restarted_at(entry)))
            self._changed.set()
            self._changed = asyncio.Event()

    def set_down(self, is_down: bool) -> None:
        """Stop the service, which resets all connections, or resume it."""
        self._is_down = is_down
        if is_down:
            for connection in list(self._connections):
                connection.reset()

    def connection_opened(self, connection: DiscoveryConnection) -> bool:
        """Register a connection; return False if the service is down."""
        if self._is_down:
            # A recorded call, even a failed one, shows that the sidecar polls.  The verifier counts a sidecar as
            # notified if it makes no calls for too long.
            self.record_failed_call(connection.sidecar, self.clock())
            return False
        self._connections.add(connection)
        return True

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Unregister a connection."""
        self._connections.discard(connection)

    def record_failed_call(self, sidecar: int, began_at: float) -> None:
        """Record a call that returned no list."""
        self._record(DiscoveryCall(sidecar, began_at, self.clock(), False))

    async def handle_call(self, connection: DiscoveryConnection, target: str) -> None:
        """Process a call and respond to it."""
        began_at = self.clock()
        path, _, query = target.partition("?")
        if path != ENDPOINT_LIST_PATH:
            connection.respond(404, b"{}")
            return
        try:
            parameters = _parse_parameters(query)
        except ValueError:
            connection.respond(400, b"{}")
            return
        await self._wait_for_change(parameters, began_at + parameters.hold_s)
        if not await self._acquire_slot():
            self.record_failed_call(connection.sidecar, began_at)
            connection.respond(503, b"{}")
            return
        try:
            version, changes = self._registry.version, self._registry.changes_since(parameters.version)
            await asyncio.sleep(self._call_duration_s(changes))
        finally:
            self._slots.release()
        if self._is_down or not connection.is_open:
            self.record_failed_call(connection.sidecar, began_at)
            connection.reset()
            return
        connection.respond(200, self._serialize(version, changes, connection.sidecar))
        self._record_notifications(changes, connection.sidecar, began_at)

    async def _acquire_slot(self) -> bool:
        """Wait until the service has capacity for a call; return False if the wait times out."""
        try:
            await asyncio.wait_for(self._slots.acquire(), self._max_wait_s)
        except TimeoutError:
            return False
        return True

    def _call_duration_s(self, changes: EndpointChanges) -> float:
        """Return the duration, in seconds, of a call that returns these changes."""
        return self._base_call_s * (1 + len(changes.entries) / ENTRIES_PER_CALL_DURATION) + self.extra_call_s

    async def _wait_for_change(self, parameters: _PollParameters, wait_until: float) -> None:
        """Wait until the list is newer than the caller's version, at most until ``wait_until``."""
        if parameters.version is None or parameters.hold_s <= 0:
            return
        while parameters.version >= self._registry.version and (remaining_s := wait_until - self.clock()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return

    def _serialize(self, version: int, changes: EndpointChanges, sidecar: int) -> bytes:
        """Encode the changes as JSON, with the addresses at which this sidecar reaches the servers."""
        entries = [
            {
                "id": entry.server,
                "addr": self._address_of(entry.server, sidecar),
                "zone": entry.zone,
                "kind": "std",
                "cell": entry.cell,
                "state": entry.state,
                "weight": 1.0,
                "started_ms": entry.started_ms,
            }
            for entry in changes.entries
        ]
        return msgspec.json.encode({"version": version, "full": changes.is_full, "servers": entries})

    def _record_notifications(self, changes: EndpointChanges, sidecar: int, began_at: float) -> None:
        """Record that these entries were sent to a sidecar."""
        now_s = self.clock()
        for entry in changes.entries:
            self._record(EndpointNotified(now_s, sidecar, entry.server, entry.state, _restarted_at(entry)))
        self._record(DiscoveryCall(sidecar, began_at, now_s, True, len(changes.entries)))


def _parse_parameters(query: str) -> _PollParameters:
    """Parse the query of a call.  Raises ValueError."""
    fields = parse_qs(query)
    version = int(fields["from"][0]) if "from" in fields else None
    return _PollParameters(version, min(MAX_HOLD_MS, int(fields.get("hold_ms", ["0"])[0])) / 1000)


def _restarted_at(entry: EndpointEntry) -> float | None:
    """Return the time of the last restart in seconds since the epoch, None if the server has never restarted."""
    return entry.started_ms / 1000 or None
