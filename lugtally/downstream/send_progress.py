"""Whether a client reads what was written to its connection.

A socket with a full send buffer becomes writable only when about a third of the buffer is free.  A client that reads
steadily may take seconds for that, so that the wait alone does not distinguish it from one that has stopped.  The
number of bytes that its kernel has not acknowledged does.
"""

from __future__ import annotations

import socket

from lugtally.eventloop.tcp_socket import unacknowledged_bytes
from lugtally.units import NS_PER_MS

PROGRESS_CHECK_INTERVAL_NS = 100 * NS_PER_MS
"""How often to check the progress of a client while waiting for it."""


class SendProgress:
    """The progress of one client while nothing is written to its connection."""

    __slots__ = ("_sock", "last_ns", "unacknowledged")

    def __init__(self, sock: socket.socket, now_ns: int) -> None:
        self._sock = sock
        self.unacknowledged = unacknowledged_bytes(sock)
        """The number of bytes that the client's kernel has not acknowledged; ``None`` if that is not known."""
        self.last_ns = now_ns
        """When progress was last seen, or the wait began."""

    def update(self, now_ns: int) -> None:
        """Check whether bytes were acknowledged since the last check."""
        unacknowledged = unacknowledged_bytes(self._sock)
        if unacknowledged != self.unacknowledged:
            self.unacknowledged = unacknowledged
            self.last_ns = now_ns
