"""Connections of the clients of one sidecar.  The most recently used idle one is reused first."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from lugtally.testbed.emulator import loopback
from lugtally.testbed.loadgen.connection import ClientConnection

CONNECT_TIMEOUT_S = 2.0
UseConnection = Callable[[ClientConnection | None], None]  # None if the sidecar cannot be reached


class ConnectionPool:
    """A bounded pool.  Requests beyond the bound wait in a FIFO queue."""

    def __init__(self, host: str, max_connections: int) -> None:
        self._host = host
        self._max_connections = max_connections
        self._open = 0
        self._idle: list[ClientConnection] = []
        self._waiting: deque[UseConnection] = deque()

    def acquire(self, use: UseConnection) -> None:
        """Call ``use`` with an idle connection, or with a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                use(connection)
                return
        self.acquire_new(use)

    def acquire_new(self, use: UseConnection) -> None:
        """Call ``use`` with a new connection as soon as the bound allows one."""
        if self._open >= self._max_connections:
            self._waiting.append(use)  # the wait is part of the measured latency
            return
        self._open += 1
        asyncio.get_running_loop().create_task(self._connect(use))

    def release(self, connection: ClientConnection) -> None:
        """Return a connection after a complete response, so that another request can use it."""
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

    async def _connect(self, use: UseConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._on_closed), self._host, loopback.PORT, family=socket.AF_INET
                )
        except (OSError, TimeoutError):
            self._open -= 1
            use(None)
            return
        use(connection if connection.is_open else None)

    def _on_closed(self, connection: ClientConnection) -> None:
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self.acquire_new(self._waiting.popleft())
