"""Pool of the connections to one sidecar.  The most recently used idle connection is reused first."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from lugtally.testbed.emulator import loopback
from lugtally.testbed.loadgen.connection import ClientConnection

CONNECT_TIMEOUT_S = 2.0
ConnectionCallback = Callable[[ClientConnection | None], None]  # called with None if connecting failed


class ConnectionPool:
    """A pool with a maximum number of connections.  Requests that find none wait in a FIFO queue."""

    def __init__(self, host: str, max_connections: int) -> None:
        self._host = host
        self._max_connections = max_connections
        self._open_count = 0
        self._idle: list[ClientConnection] = []
        self._waiting: deque[ConnectionCallback] = deque()

    def acquire(self, on_connection: ConnectionCallback) -> None:
        """Pass an idle connection to ``on_connection``, or a new one if none is idle."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                on_connection(connection)
                return
        self.acquire_new(on_connection)

    def acquire_new(self, on_connection: ConnectionCallback) -> None:
        """Pass a new connection to ``on_connection`` when the maximum allows one."""
        if self._open_count >= self._max_connections:
            self._waiting.append(on_connection)  # the measured latency includes this wait
            return
        self._open_count += 1
        asyncio.get_running_loop().create_task(self._connect(on_connection))

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after a complete response, so that another request can use it."""
        if not connection.is_reusable or not connection.is_open:
            connection.close()
        elif self._waiting:
            self._waiting.popleft()(connection)
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            connection.close()

    async def _connect(self, on_connection: ConnectionCallback) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._on_closed), self._host, loopback.PORT, family=socket.AF_INET
                )
        except (OSError, TimeoutError):
            self._open_count -= 1
            on_connection(None)
            return
        on_connection(connection if connection.is_open else None)

    def _on_closed(self, connection: ClientConnection) -> None:
        self._open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self.acquire_new(self._waiting.popleft())
