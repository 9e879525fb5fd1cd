"""Minimal servers and discovery service that ``saturate.py`` runs upstream of the sidecar."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import httptools
import uvloop

from lugtally.testbed.emulator import loopback

WATCH_HOLD_S = 10  # before a watch is answered
LISTEN_BACKLOG = 512
MAX_LIFETIME_S = 3600  # of the process, if its parent does not end it


class ServerConnection(asyncio.Protocol):
    """A connection to a server, which responds immediately to each request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the parser of the connection."""
        self._transport: Any = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Respond to a complete request."""
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")


class DiscoveryConnection(asyncio.Protocol):
    """A connection to the discovery service, whose endpoint list never changes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the connection."""
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """Answer a watch: after the hold time, report that no endpoint has changed."""
        body = b'{"version":1,"full":false,"servers":[]}'
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        asyncio.get_running_loop().call_later(WATCH_HOLD_S, self._transport.write, response)


def run_servers(block: int, server_count: int, ready: Any, cores: set[int]) -> None:
    """Run the servers and the discovery service on these cores, as a process of their own.

    ``ready`` is a multiprocessing event that is set when all of them listen.
    """
    os.sched_setaffinity(0, cores)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        for server_index in range(server_count):
            host = loopback.server_host(block, server_index, 0)
            await loop.create_server(ServerConnection, host, loopback.PORT, backlog=LISTEN_BACKLOG)
        await loop.create_server(DiscoveryConnection, loopback.discovery_host(block, 0), loopback.PORT)
        ready.set()
        await asyncio.sleep(MAX_LIFETIME_S)

    uvloop.run(serve())
