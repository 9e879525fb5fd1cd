"""Blocking socket operations of a task."""

from __future__ import annotations

import socket

from lugtally.eventloop.loop import WRITABLE, EventLoop
from lugtally.eventloop.task import WakeReason


def send_all(loop: EventLoop, sock: socket.socket, data: bytes, deadline_ns: int) -> bool:
    """Block the running task until all data is sent; return false if ``deadline_ns`` passes first.

    The socket must be non-blocking.  Also returns false if the task is interrupted.

    Raises:
        OSError: The connection failed.
    """
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[sock.send(unsent) :]
        except BlockingIOError:
            if loop.wait(sock.fileno(), WRITABLE, deadline_ns) is not WakeReason.READY:
                return False
    return True
