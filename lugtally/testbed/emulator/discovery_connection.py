"""One connection of a sidecar to the emulated discovery service: one call at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import httptools

if TYPE_CHECKING:
    from lugtally.testbed.emulator.discovery import DiscoveryService


class DiscoveryConnection(asyncio.Protocol):
    """The bytes of a sidecar's calls."""

    def __init__(self, service: DiscoveryService, sidecar: int) -> None:
        self.sidecar = sidecar
        self.is_open = False
        self._service = service
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._call: asyncio.Task[None] | None = None
        self._call_began_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection; the service may refuse it."""
        self._transport, self.is_open = transport, True
        if not self._service.connection_opened(self):
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end, and cancel a call that waits."""
        self.is_open = False
        self._service.connection_closed(self)
        if self._call is not None and not self._call.done():
            self._call.cancel()
            self._service.record_failed_call(self.sidecar, self._call_began_at)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a call."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_message_begin(self) -> None:
        """Begin a call."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Start work on a complete call."""
        self._call_began_at = self._service.clock()
        call = self._service.handle_call(self, self._target.decode("latin-1"))
        self._call = asyncio.get_running_loop().create_task(call)

    def respond(self, status: int, body: bytes) -> None:
        """Write the response to the call."""
        if self.is_open:
            head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            self._transport.write(head.encode() + body)

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
