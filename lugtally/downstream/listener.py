"""Listening sockets: bound by this process, or inherited from its parent."""

from __future__ import annotations

import socket

from lugtally.address import Address
from lugtally.eventloop.tcp_socket import listen_tcp

LISTEN_BACKLOG = 1024
"""How many clients may wait to be accepted; the kernel may set a lower limit."""


def bind_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens on this address only.

    Raises:
        OSError: the address cannot be bound.
    """
    host, port = address
    return listen_tcp(host, port, LISTEN_BACKLOG)


def adopt_listener(fd: int) -> socket.socket:
    """Return the listening socket of an inherited descriptor.

    Raises:
        ValueError: the descriptor is not usable; the message is one line.  The descriptor stays open.
    """
    try:
        listener = socket.socket(fileno=fd)
    except OSError as error:
        raise ValueError(f"PROXY_SOCKET_FD: {fd}: {error.strerror}") from None
    try:
        listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        socket_type = listener.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
    except OSError as error:
        listener.detach()
        raise ValueError(f"PROXY_SOCKET_FD: {fd}: {error.strerror}") from None
    if listener.family not in (socket.AF_INET, socket.AF_INET6) or socket_type != socket.SOCK_STREAM or not listening:
        listener.detach()
        raise ValueError(f"PROXY_SOCKET_FD: {fd} is not a listening TCP socket")
    listener.setblocking(False)
    return listener
