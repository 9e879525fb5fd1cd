"""Creation and inspection of non-blocking TCP sockets."""

from __future__ import annotations

import socket


def create_tcp_socket(host: str) -> socket.socket:
    """Create a non-blocking TCP socket of the address family of ``host``, a numeric address.

    Raises:
        OSError: No file descriptor is available.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)


def is_open_without_input(sock: socket.socket) -> bool:
    """Return whether the connection is open and there is nothing to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # closed by the peer, or unread bytes
