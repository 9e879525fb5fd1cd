"""One connection to an endpoint: its socket, its parser, and the waits on it."""

from __future__ import annotations

import errno
import fcntl
import os
import socket
import struct
from collections.abc import Callable

from loguru import logger

from lugtally.address import Address
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, WRITABLE, EventLoop, WakeReason
from lugtally.http1 import Message, MessageParser
from lugtally.upstream.errors import AttemptAborted

READ_CHUNK_BYTES = 64 * 1024
_SIOCOUTQNSD = 0x894B
"""Linux: asks how many bytes of a TCP connection have not been sent yet."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def open_socket(address: Address) -> socket.socket:
    """Create a non-blocking socket for an address.

    Raises:
        AttemptAborted: No descriptor is free.
    """
    host, _ = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        logger.warning(
            "no descriptor for a connection to an endpoint: {reason}",
            event="upstream.no_descriptor",
            reason=error.strerror,
        )
        raise AttemptAborted(AttemptOutcome.NO_DESCRIPTOR) from error


class UpstreamConnection:
    """One connection to an endpoint; it carries one request at a time.

    It owns its registration with the event loop and its descriptor: the number is nobody's to use once it is closed.

    Attributes:
        idle_since_ns: When its last response was complete; 0 where it has not been used.
        carries_request: Whether a request may have begun on it whose response has not been read whole: it is good for
            nothing else then.
        is_retired: Whether it must not be used again: the idle connections to its endpoint were closed meanwhile.
    """

    __slots__ = ("sock", "fd", "address", "parser", "idle_since_ns", "carries_request", "is_retired", "_watching_loop")

    def __init__(self, sock: socket.socket, address: Address, max_body_bytes: int) -> None:
        self.sock = sock
        self.address = address
        self.fd = sock.fileno()
        self.parser = MessageParser(responses=True, max_body_bytes=max_body_bytes, streams=True)
        self.idle_since_ns = 0
        self.carries_request = False
        self.is_retired = False
        self._watching_loop: EventLoop | None = None

    def connect(self, loop: EventLoop, timeout_ns: int, deadline_ns: int) -> None:
        """Connect, within the timeout and by the deadline of the attempt.

        Raises:
            AttemptAborted: The connection was refused, did not come up in time, or the attempt was cancelled.
        """
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_number = self.sock.connect_ex(self.address)
        if error_number == errno.EINPROGRESS:
            limit_ns = loop.now() + timeout_ns
            if limit_ns < deadline_ns:
                self.wait_writable(loop, limit_ns, AttemptOutcome.CONNECT_TIMEOUT)
            else:
                self.wait_writable(loop, deadline_ns, AttemptOutcome.TIMEOUT_BEFORE_SENT)
            error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error_number and self._is_connected_to_itself():
            error_number = errno.ECONNREFUSED
        if error_number:
            host, port = self.address
            logger.debug(
                "connecting to {host}:{port}: {reason}",
                event="upstream.connect_failed",
                host=host,
                port=port,
                reason=os.strerror(error_number),
            )
            raise AttemptAborted(AttemptOutcome.CONNECTION_REFUSED)

    def _is_connected_to_itself(self) -> bool:
        """Return whether both ends are this one: our port may be drawn as that of an endpoint that is down.

        The kernel allows that on one machine.  The request would come back as its response, and the port stay taken.
        """
        host, port = self.sock.getsockname()[:2]
        return bool((host, port) == self.address)

    def watch(self, loop: EventLoop, on_event: Callable[[int], None]) -> None:
        """Call ``on_event`` when bytes come or the connection ends, until :meth:`unwatch`."""
        loop.register(self.fd, READABLE, on_event)
        self._watching_loop = loop

    def unwatch(self) -> None:
        """End the watch, if there is one."""
        if self._watching_loop is not None:
            self._watching_loop.unregister(self.fd)
            self._watching_loop = None

    def close(self) -> bool:
        """Close the connection; return whether it was open.

        What of a request has not gone out by then does not go out any more: its attempt is over.
        """
        if self.fd < 0:
            return False
        self.unwatch()  # first: the number may be another connection's as soon as it is closed
        if self.carries_request and self._has_unsent_bytes():
            # Else the kernel would send them as the endpoint reads, and only then the end of the connection.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.fd = -1
        self.sock.close()
        return True

    def _has_unsent_bytes(self) -> bool:
        try:
            answer = fcntl.ioctl(self.fd, _SIOCOUTQNSD, bytes(4))
        except OSError:
            return False  # a kernel that does not say: the close must go on
        return any(answer)

    def wait_writable(
        self, loop: EventLoop, deadline_ns: int, timeout_outcome: AttemptOutcome, *, or_readable: bool = False
    ) -> None:
        """Wait until bytes of the request can be written, or with ``or_readable`` until some have come.

        Raises:
            AttemptAborted: With ``timeout_outcome`` at the deadline, or the attempt was cancelled before it was sent.
        """
        reason = loop.wait(self.fd, WRITABLE | READABLE if or_readable else WRITABLE, deadline_ns)
        if reason is not WakeReason.READY:
            timed_out = reason is WakeReason.TIMEOUT
            raise AttemptAborted(timeout_outcome if timed_out else AttemptOutcome.CANCELLED_BEFORE_SENT)

    def wait_readable(self, loop: EventLoop, deadline_ns: int) -> None:
        """Wait until bytes of the response can be read.

        Raises:
            AttemptAborted: The deadline has come, even where more can be read, or the attempt was cancelled.
        """
        if loop.now() >= deadline_ns:
            raise AttemptAborted(AttemptOutcome.TIMEOUT)  # an endless response is ready before each timer fires
        reason = loop.wait(self.fd, READABLE, deadline_ns)
        if reason is not WakeReason.READY:
            timed_out = reason is WakeReason.TIMEOUT
            raise AttemptAborted(AttemptOutcome.TIMEOUT if timed_out else AttemptOutcome.CANCELLED)

    def receive(self) -> bytes:
        """Return what has come, at most a chunk; nothing at the end of the connection.

        Raises:
            OSError: The connection failed; a :class:`BlockingIOError` where nothing has come.
        """
        return self.sock.recv(READ_CHUNK_BYTES)

    def is_quiet(self) -> bool:
        """Return whether the connection is open and holds no byte that belongs to no response."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # it has ended, or holds such bytes

    def has_bytes(self) -> bool:
        """Return whether bytes have come that have not been read, whatever has become of the connection."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def is_reusable_after(self, response: Message) -> bool:
        """Return whether another request may follow: this response, and nothing more, has been read."""
        return response.keep_alive and not response.streamed and self.parser.is_idle
