"""Creation and inspection of non-blocking TCP sockets."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import socket
import struct

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of ``SO_LINGER`` (on, 0 s) that makes a close reset the connection."""
_FIONREAD = 0x541B
"""The Linux ioctl request that returns how many received bytes of a socket are unread."""
_ZERO = bytes(4)
"""The integer 0 in the form of the argument of an ioctl request."""
_SIOCOUTQ = 0x5411
"""The Linux ioctl request that returns how many bytes in the send queue of a TCP socket have not been acknowledged."""


TRANSIENT_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
"""Errors of a call that says nothing about its connection: the call can be repeated."""


def disable_nagle(sock: socket.socket) -> None:
    """Send small writes immediately; does nothing if the option cannot be set, which costs only latency."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(sock: socket.socket) -> None:
    """Make the close reset the connection and discard the send queue; does nothing if the option cannot be set."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def create_tcp_socket(host: str) -> socket.socket:
    """Create a non-blocking TCP socket of the address family of ``host``, a numeric address.

    Raises:
        OSError: No file descriptor is available.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)


def listen_tcp(host: str, port: int, backlog: int) -> socket.socket:
    """Return a non-blocking socket that listens on this address only.

    Raises:
        OSError: The address cannot be bound, or no file descriptor is available.
    """
    listener = create_tcp_socket(host)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether there are bytes to read, even if the peer has closed the connection after them.

    Raises:
        OSError: The connection failed.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def is_open_without_input(sock: socket.socket) -> bool:
    """Return whether the connection is open and there is nothing to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # closed by the peer, or unread bytes


def is_empty(fd: int) -> bool:
    """Return whether no received byte of a socket is unread; false if that is not known."""
    try:
        return fcntl.ioctl(fd, _FIONREAD, _ZERO) == _ZERO
    except OSError:
        return False


def unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Return how many written bytes the peer's kernel has not acknowledged; ``None`` if that is not supported."""
    try:
        count = fcntl.ioctl(sock.fileno(), _SIOCOUTQ, bytes(4))
    except OSError:
        return None
    return int(struct.unpack("i", count)[0])
