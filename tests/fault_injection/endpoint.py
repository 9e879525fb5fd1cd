"""Endpoints that can be killed, restarted, and made to accept connections late."""

from __future__ import annotations

import asyncio
import socket

from lugtally.units import NS_PER_S
from tests.fault_injection.clock import now_ns
from tests.fault_injection.endpoint_connection import EndpointConnection, SharedEndpointState

BACKLOG = 256


class Endpoint:
    """One endpoint: a listening socket and its connections."""

    def __init__(self, name: str, shared: SharedEndpointState, zone: str, cell: int) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self._shared = shared
        self._listener = _listen(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._connections: dict[asyncio.Task[None], socket.socket] = {}
        self._accept_task: asyncio.Task[None] | None = None
        self._accepts_from_ns = 0

    def start(self) -> None:
        """Start to accept connections."""
        self._accept_task = asyncio.create_task(self._accept())

    def delay_accepts(self, duration_s: float) -> None:
        """Accept no connection for the duration."""
        self._accepts_from_ns = now_ns() + int(duration_s * NS_PER_S)

    async def stop(self) -> None:
        """Close the listener and reset every connection."""
        tasks = [*self._connections, *([self._accept_task] if self._accept_task else [])]
        self._listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def restart(self) -> None:
        """Listen again at the same address."""
        self._listener = _listen(self.address)
        self.start()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        listener = self._listener
        while True:
            while (wait_ns := self._accepts_from_ns - now_ns()) > 0:
                await asyncio.sleep(wait_ns / NS_PER_S)
            sock, peer = await loop.sock_accept(listener)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.create_task(EndpointConnection(self._shared, self.name, sock, peer[1]).serve())
            self._connections[task] = sock
            task.add_done_callback(lambda done: self._connections.pop(done, None))


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
