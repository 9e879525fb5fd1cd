"""Clients that send useless input as fast as the sidecar reads it, and read what they are sent.

Usage: python -m tests.flooding_clients HOST PORT CONNECTIONS SECONDS FLOOD

A client whose connection ends connects again immediately.  The last line of output is the number of connections that
were opened.
"""

from __future__ import annotations

import select
import socket
import sys
import time
from enum import Enum
from typing import NamedTuple

PIECE_BYTES = 64 * 1024
HEAD = b"POST /read HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: flood\r\nTransfer-Encoding: chunked\r\n\r\n"


class Flood(Enum):
    """What the clients send."""

    EMPTY_LINES = "empty lines"
    TRAILERS = "trailers"
    SMALL_CHUNKS = "small chunks"
    CHUNK_EXTENSIONS = "chunk extensions"
    AFTER_ERROR = "after error"
    INVALID_REQUESTS = "invalid requests"
    HEALTH_CHECKS = "health checks"


class Input(NamedTuple):
    """The first bytes of a connection, and those that follow them without end."""

    start: bytes
    repeated: bytes


INPUTS = {
    Flood.EMPTY_LINES: Input(b"", b"\r\n"),
    Flood.TRAILERS: Input(HEAD + b"0\r\n", b"X-More: 1234\r\n"),
    Flood.SMALL_CHUNKS: Input(HEAD, b"1\r\nx\r\n"),
    Flood.CHUNK_EXTENSIONS: Input(HEAD, b"1;" + b"e" * 250 + b"\r\nx\r\n"),
    Flood.AFTER_ERROR: Input(b"malformed\r\n\r\n", b"x" * 64),
    Flood.INVALID_REQUESTS: Input(b"", b"GET / HTTP/1.1\r\n\r\n"),
    Flood.HEALTH_CHECKS: Input(b"", b"GET /_health HTTP/1.1\r\n\r\n"),
}


class FloodingClient:
    """One client; its socket is non-blocking."""

    def __init__(self, address: tuple[str, int], flood: Flood) -> None:
        start, repeated = INPUTS[flood]
        self._address = address
        self._start = start
        self._piece = repeated * (PIECE_BYTES // len(repeated))
        self.opened = 0
        self.connect()

    def connect(self) -> None:
        """Open a new connection."""
        self.sock = socket.create_connection(self._address)
        self.sock.setblocking(False)
        self.opened += 1
        self._unsent = memoryview(self._start + self._piece)

    def fileno(self) -> int:
        """Return the descriptor of the socket, for ``select``."""
        return self.sock.fileno()

    def reconnect(self) -> None:
        """Replace the connection."""
        self.sock.close()
        self.connect()

    def send(self) -> None:
        """Send as much as the socket accepts."""
        self._unsent = self._unsent[self.sock.send(self._unsent) :] or memoryview(self._piece)


def run(address: tuple[str, int], connections: int, seconds: float, flood: Flood) -> int:
    """Send for this time; return how many connections were opened."""
    clients = [FloodingClient(address, flood) for _ in range(connections)]
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        readable, writable, _ = select.select(clients, clients, [], 0.05)
        for client in writable:
            try:
                if client not in readable:
                    client.send()
                elif not client.sock.recv(PIECE_BYTES):
                    client.reconnect()
            except OSError:
                client.reconnect()
    return sum(client.opened for client in clients)


if __name__ == "__main__":
    host, port, connections, seconds, flood = sys.argv[1:]
    print(run((host, int(port)), int(connections), float(seconds), Flood(flood)), flush=True)
