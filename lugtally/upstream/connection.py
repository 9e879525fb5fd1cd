"""A connection to an endpoint: its socket, its response parser, and the waits on the socket."""

from __future__ import annotations

import errno
import fcntl
import os
import socket
from collections.abc import Callable

from loguru import logger

from lugtally.address import Address
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, WRITABLE, EventLoop, WakeReason
from lugtally.eventloop.tcp_socket import (
    TRANSIENT_ERRNOS,
    create_tcp_socket,
    disable_nagle,
    has_unread_input,
    reset_on_close,
)
from lugtally.http1 import Message, MessageParser
from lugtally.memory import MemoryBudget, MemoryUse
from lugtally.upstream.errors import AttemptAborted

READ_CHUNK_BYTES = 64 * 1024
"""The largest number of bytes that one read returns."""
MIN_READ_CHUNK_BYTES = 4 * 1024
"""As ``READ_CHUNK_BYTES``, while memory is scarce."""
CONNECTION_BYTES = 3 * 1024
"""Approximate memory of an idle connection."""
_SIOCOUTQNSD = 0x894B
"""The Linux ioctl request that returns how many bytes in the send queue of a TCP socket have not been sent yet."""


def open_socket(address: Address) -> socket.socket:
    """Create a non-blocking socket for an address.

    Raises:
        AttemptAborted: No file descriptor is available.
    """
    host, _ = address
    try:
        return create_tcp_socket(host)
    except OSError as error:
        logger.warning(
            "no file descriptor for a connection to an endpoint: {reason}",
            event="upstream.no_descriptor",
            reason=error.strerror,
        )
        raise AttemptAborted(AttemptOutcome.NO_DESCRIPTOR) from error


class UpstreamConnection:
    """A connection to an endpoint, which carries one request at a time.

    The connection owns its file descriptor and the descriptor's registration with the event loop.

    Attributes:
        sock: The non-blocking socket.
        fd: The file descriptor; -1 after the connection was closed.
        address: The address that the socket connects to.
        parser: The parser of the responses.
        idle_since_ns: When the last response was complete; 0 before the first.
        carries_request: Whether a request may be in progress.  If so, the connection must not be reused.
        is_retired: Whether the pool closed the idle connections to the endpoint while an attempt waited to reuse this
            one.  If so, the connection must not be reused.
    """

    __slots__ = (
        "sock",
        "fd",
        "address",
        "parser",
        "idle_since_ns",
        "carries_request",
        "is_retired",
        "_memory",
        "_watching_loop",
    )

    def __init__(self, sock: socket.socket, address: Address, max_body_bytes: int, memory: MemoryBudget) -> None:
        memory.add(MemoryUse.CONNECTIONS, CONNECTION_BYTES)
        self._memory = memory
        self.sock = sock
        self.address = address
        self.fd = sock.fileno()
        self.parser = MessageParser(responses=True, max_body_bytes=max_body_bytes, streams=True)
        self.idle_since_ns = 0
        self.carries_request = False
        self.is_retired = False
        self._watching_loop: EventLoop | None = None

    def connect(self, loop: EventLoop, timeout_ns: int, deadline_ns: int) -> None:
        """Connect within the timeout and before the deadline of the attempt.

        Whatever the error, the request has not been sent, so that it was not processed.

        Raises:
            AttemptAborted: Connecting failed or timed out, or the attempt was cancelled.
        """
        disable_nagle(self.sock)
        try:
            error_number = self._connect(loop, timeout_ns, deadline_ns)
        except OSError as error:
            error_number = error.errno or errno.EIO
        if error_number:
            host, port = self.address
            logger.debug(
                "cannot connect to {host}:{port}: {reason}",
                event="upstream.connect_failed",
                host=host,
                port=port,
                reason=os.strerror(error_number),
            )
            raise AttemptAborted(AttemptOutcome.CONNECTION_REFUSED)

    def _connect(self, loop: EventLoop, timeout_ns: int, deadline_ns: int) -> int:
        """Connect; return the error number, 0 if the connection is established.

        Raises:
            AttemptAborted: Connecting timed out, or the attempt was cancelled.
            OSError: The state of the socket cannot be read.
        """
        error_number = self.sock.connect_ex(self.address)
        if error_number in (errno.EINPROGRESS, errno.EINTR):  # after EINTR the kernel goes on connecting
            connect_deadline_ns = loop.now() + timeout_ns
            if connect_deadline_ns < deadline_ns:
                self.wait_writable(loop, connect_deadline_ns, AttemptOutcome.CONNECT_TIMEOUT)
            else:
                self.wait_writable(loop, deadline_ns, AttemptOutcome.TIMEOUT_BEFORE_SENT)
            error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error_number and self._is_connected_to_itself():
            return errno.ECONNREFUSED
        return error_number

    def _is_connected_to_itself(self) -> bool:
        """Return whether the socket is connected to itself (TCP simultaneous open).

        If an endpoint on the same machine has stopped, the kernel may choose its port as the local port.  The request
        would then be read as its own response, and the endpoint could not bind its port.
        """
        host, port = self.sock.getsockname()[:2]
        return bool((host, port) == self.address)

    def watch(self, loop: EventLoop, on_event: Callable[[int], None]) -> None:
        """Call ``on_event`` when bytes are received or the connection is closed, until :meth:`unwatch`."""
        loop.register(self.fd, READABLE, on_event)
        self._watching_loop = loop

    def unwatch(self) -> None:
        """Stop watching.  Does nothing if the connection is not watched."""
        if self._watching_loop is not None:
            self._watching_loop.unregister(self.fd)
            self._watching_loop = None

    def close(self) -> bool:
        """Close the connection; return whether it was open.

        Unsent bytes of a request are discarded, because its attempt has finished.
        """
        if self.fd < 0:
            return False
        self.unwatch()  # before the close, after which a new connection may get the same descriptor
        if self.carries_request and self._has_unsent_bytes():
            # Otherwise the kernel would send the remaining bytes before it closes the connection.
            reset_on_close(self.sock)
        self.fd = -1
        self.sock.close()
        self._memory.add(MemoryUse.CONNECTIONS, -CONNECTION_BYTES)
        return True

    def _has_unsent_bytes(self) -> bool:
        try:
            unsent_count = fcntl.ioctl(self.fd, _SIOCOUTQNSD, bytes(4))
        except OSError:
            return False  # this kernel does not support the request
        return any(unsent_count)

    def wait_writable(
        self, loop: EventLoop, deadline_ns: int, timeout_outcome: AttemptOutcome, *, or_readable: bool = False
    ) -> None:
        """Wait until bytes can be written or, if ``or_readable`` is set, until bytes can be written or read.

        Raises:
            AttemptAborted: The deadline passed (with ``timeout_outcome``), or the attempt was cancelled.
        """
        reason = loop.wait(self.fd, WRITABLE | READABLE if or_readable else WRITABLE, deadline_ns)
        if reason is not WakeReason.READY:
            timed_out = reason is WakeReason.TIMEOUT
            raise AttemptAborted(timeout_outcome if timed_out else AttemptOutcome.CANCELLED_BEFORE_SENT)

    def wait_readable(self, loop: EventLoop, deadline_ns: int) -> None:
        """Wait until bytes of the response can be read.

        Raises:
            AttemptAborted: The deadline passed, even if bytes can be read, or the attempt was cancelled.
        """
        if loop.now() >= deadline_ns:
            raise AttemptAborted(AttemptOutcome.TIMEOUT)  # the socket of an endless response is always readable
        reason = loop.wait(self.fd, READABLE, deadline_ns)
        if reason is not WakeReason.READY:
            timed_out = reason is WakeReason.TIMEOUT
            raise AttemptAborted(AttemptOutcome.TIMEOUT if timed_out else AttemptOutcome.CANCELLED)

    def receive(self) -> bytes:
        """Read and return up to ``READ_CHUNK_BYTES`` bytes; empty if the endpoint closed the connection.

        While memory is scarce, fewer bytes are read at a time; the kernel buffers the rest.

        Raises:
            BlockingIOError: There is nothing to read, or the kernel had no memory for the call.
            OSError: The connection failed.
        """
        can_reserve = self._memory.can_reserve(MemoryUse.BUFFERED_STREAMS, READ_CHUNK_BYTES)
        try:
            return self.sock.recv(READ_CHUNK_BYTES if can_reserve else MIN_READ_CHUNK_BYTES)
        except OSError as error:
            if error.errno in TRANSIENT_ERRNOS:
                raise BlockingIOError from error
            raise

    def has_bytes(self) -> bool:
        """Return whether there are bytes to read, even if the endpoint has closed the connection after them."""
        try:
            return has_unread_input(self.sock)
        except OSError:
            return False

    def is_reusable_after(self, response: Message) -> bool:
        """Return whether the connection may carry another request after this response.

        It may if the response allows it and was read completely, and no byte was read after it.
        """
        return response.keep_alive and not response.streamed and self.parser.is_idle
