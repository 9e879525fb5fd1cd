"""Sockets for the clients, endpoints and discovery services of a sidecar under test."""

from __future__ import annotations

import socket
import struct


def listener(backlog: int = 64) -> socket.socket:
    """Return a listening socket on an unused loopback port."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def address(sock: socket.socket) -> str:
    """Return the address of a listening socket as ``host:port``."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def reset_on_close(sock: socket.socket) -> None:
    """Make closing the socket reset its connection: it lingers for 0 s."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
