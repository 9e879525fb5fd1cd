"""The connections of the clients beside one sidecar, most recently used first."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from lugtally.testbed.emulator import loopback
from lugtally.testbed.loadgen.connection import ClientConnection

CONNECT_TIMEOUT_S = 2.0
UseConnection = Callable[[ClientConnection | None], None]  # none where the sidecar cannot be reached


class ConnectionPool:
    """A bounded pool; who finds no connection waits in turn."""

    def __init__(self, host: str, max_connections: int) -> None:
        self._host = host
        self._max_connections = max_connections
        self._open = 0
        self._idle: list[ClientConnection] = []
        self._waiting: deque[UseConnection] = deque()

    def acquire(self, use: UseConnection) -> None:
        """Give an idle connection to ``use``, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                use(connection)
                return
        self.acquire_new(use)

    def acquire_new(self, use: UseConnection) -> None:
        """Give a new connection to ``use``."""
        if self._open >= self._max_connections:
            self._waiting.append(use)  # its latency counts from its intended time all the same
            return
        self._open += 1
        asyncio.get_running_loop().create_task(self._connect(use))

    def release(self, connection: ClientConnection) -> None:
        """Take a connection back after a complete response: another request may use it."""
        if not connection.is_reusable or not connection.is_open:
            connection.close()
        elif self._waiting:
            self._waiting.popleft()(connection)
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections, at the end of the run."""
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
