"""Connection of a sidecar to the emulated discovery service, for one call at a time."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

import httptools


class CallHandler(Protocol):
    """The methods of the discovery service that a connection uses."""

    def clock(self) -> float:
        """Return the seconds since the base time of the run."""

    def connection_opened(self, connection: DiscoveryConnection) -> bool:
        """Register a connection; return whether it is accepted."""

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        """Unregister a connection."""

    def record_failed_call(self, sidecar: int, began_at: float) -> None:
        """Record a call that returned no list."""

    async def handle_call(self, connection: DiscoveryConnection, target: str) -> None:
        """Process a call and respond to it."""


class DiscoveryConnection(asyncio.Protocol):
    """Parses the calls of a sidecar and writes the responses."""

    def __init__(self, handler: CallHandler, sidecar: int) -> None:
        self.sidecar = sidecar
        self.is_open = False
        self._handler = handler
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._call: asyncio.Task[None] | None = None
        self._call_began_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection.  Reset it if the service rejects it."""
        self._transport, self.is_open = transport, True
        if not self._handler.connection_opened(self):
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel the call in progress."""
        self.is_open = False
        self._handler.connection_closed(self)
        if self._call is not None and not self._call.done():
            self._call.cancel()
            self._handler.record_failed_call(self.sidecar, self._call_began_at)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a call.  Reset the connection if they are malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_message_begin(self) -> None:
        """Reset the request target for a new call."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Start a task that processes the complete call."""
        self._call_began_at = self._handler.clock()
        call = self._handler.handle_call(self, self._target.decode("latin-1"))
        self._call = asyncio.get_running_loop().create_task(call)

    def respond(self, status: int, body: bytes) -> None:
        """Write a complete response."""
        if self.is_open:
            head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            self._transport.write(head.encode() + body)

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
