"""The stand-in for discovery: the list, whole or as a watch, late, from one service of bounded capacity."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import httptools
import msgspec

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.endpoint_registry import Catalog, Row
from lugtally.testbed.verification.records import DiscoveryCall, EndpointChanged, EndpointNotified

PATH = "/catalog/members"
MOST_HOLD_MS = 60_000


class ServerList:
    """One service for all sidecars.  ``down`` resets every call, ``slow`` adds seconds to each."""

    def __init__(
        self,
        block: int,
        sidecars: int,
        catalog: Catalog,
        clock: Callable[[], float],
        write: Callable[[Any], None],
        address: Callable[[str, int], str],
        *,
        at_once: int,
        call_s: float,
        wait_most_s: float,
    ) -> None:
        self.catalog = catalog
        self.down = False
        self.slow = 0.0
        self._block, self._sidecars = block, sidecars
        self.clock, self.write, self.address = clock, write, address
        self._turns = asyncio.Semaphore(at_once)
        self._call_s, self._wait_most_s = call_s, wait_most_s
        self._news = asyncio.Event()
        self._callers: set[Caller] = set()
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen for every sidecar."""
        loop = asyncio.get_running_loop()
        for sidecar in range(self._sidecars):
            self._servers.append(
                await loop.create_server(
                    lambda sidecar=sidecar: Caller(self, sidecar),  # type: ignore[misc]
                    loopback.discovery(self._block, sidecar),
                    loopback.PORT,
                    family=socket.AF_INET,
                )
            )

    def put(self, row: Row) -> None:
        """A change comes into the list."""
        if self.catalog.put(row):
            self.write(EndpointChanged(self.clock(), row.id, row.state, row.started_ms / 1000 or None))
            self._news.set()
            self._news = asyncio.Event()

    def fail(self, down: bool) -> None:
        """Go down, which ends every watch, or come up again."""
        self.down = down
        if down:
            for caller in list(self._callers):
                caller.reset()

    async def answer(self, caller: Caller, target: str) -> None:
        """Work on one call in its turn."""
        begun = self.clock()
        path, _, query = target.partition("?")
        asked = parse_qs(query)
        if path != PATH:
            caller.send(404, b"{}")
            return
        try:
            version = int(asked["from"][0]) if "from" in asked else None
            hold = min(MOST_HOLD_MS, int(asked.get("hold_ms", ["0"])[0])) / 1000
        except ValueError:
            caller.send(400, b"{}")
            return
        if version is not None and version >= self.catalog.version and hold > 0:
            until = begun + hold
            while version >= self.catalog.version and (left := until - self.clock()) > 0:
                news = self._news
                try:
                    await asyncio.wait_for(news.wait(), left)
                except TimeoutError:
                    break
        try:
            await asyncio.wait_for(self._turns.acquire(), self._wait_most_s)
        except TimeoutError:
            self.write(DiscoveryCall(caller.sidecar, begun, self.clock(), False))
            caller.send(503, b"{}")
            return
        try:
            full, rows = self.catalog.since(version)
            at = self.catalog.version
            await asyncio.sleep(self._call_s * (1 + len(rows) / 100) + self.slow)
        finally:
            self._turns.release()
        if self.down or not caller.open:
            self.write(DiscoveryCall(caller.sidecar, begun, self.clock(), False))
            caller.reset()
            return
        body = msgspec.json.encode(
            {
                "version": at,
                "full": full,
                "servers": [
                    {
                        "id": row.id,
                        "addr": self.address(row.id, caller.sidecar),
                        "zone": row.zone,
                        "kind": "std",
                        "cell": row.cell,
                        "state": row.state,
                        "weight": 1.0,
                        "started_ms": row.started_ms,
                    }
                    for row in rows
                ],
            }
        )
        caller.send(200, body)
        now = self.clock()
        for row in rows:
            self.write(EndpointNotified(now, caller.sidecar, row.id, row.state, row.started_ms / 1000 or None))
        self.write(DiscoveryCall(caller.sidecar, begun, now, True, len(rows)))

    def met(self, caller: Caller) -> bool:
        """A connection has come; false where the service is down."""
        if self.down:
            # It did ask: a sidecar that tries does not count as told of what it could not hear.
            self.write(DiscoveryCall(caller.sidecar, self.clock(), self.clock(), False))
            return False
        self._callers.add(caller)
        return True

    def left(self, caller: Caller) -> None:
        """A connection has ended."""
        self._callers.discard(caller)


class Caller(asyncio.Protocol):
    """One connection of a sidecar to the list."""

    def __init__(self, service: ServerList, sidecar: int) -> None:
        self.service = service
        self.sidecar = sidecar
        self.open = False
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._task: asyncio.Task[None] | None = None
        self._begun = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport, self.open = transport, True
        if not self.service.met(self):
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended, and with it a call that waits."""
        self.open = False
        self.service.left(self)
        if self._task is not None and not self._task.done():
            self._task.cancel()
            self.service.write(DiscoveryCall(self.sidecar, self._begun, self.service.clock(), False))

    def data_received(self, data: bytes) -> None:
        """Bytes of a call."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_message_begin(self) -> None:
        """A call begins."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Part of the target."""
        self._url += url

    def on_message_complete(self) -> None:
        """A call is whole."""
        self._begun = self.service.clock()
        self._task = asyncio.get_running_loop().create_task(self.service.answer(self, self._url.decode("latin-1")))

    def send(self, status: int, body: bytes) -> None:
        """Answer the call."""
        if self.open:
            self._transport.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )

    def reset(self) -> None:
        """End the connection."""
        if self._transport is not None:
            self._transport.abort()
