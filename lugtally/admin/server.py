"""The HTTP server of the admin address.  Each connection carries one call and is closed after the response.

At most ``MAX_CONNECTIONS`` are open at the same time.  A call that is incomplete after ``CALL_TIMEOUT_NS`` fails with
status 408.  While the limit is reached, the oldest connection without a complete call is evicted.  Admin calls do not
depend on downstream connections.
"""

from __future__ import annotations

import socket

from loguru import logger

from lugtally.address import Address
from lugtally.admin.calls import AdminBackend, AdminCall, AdminResponse, execute_call, parse_call
from lugtally.eventloop import READABLE, Event, EventLoop, WakeReason, send_all
from lugtally.eventloop.tcp_socket import listen_tcp
from lugtally.http1 import Message, MessageParser, ProtocolError, serialize_response
from lugtally.units import NS_PER_MS

CALL_TIMEOUT_NS = 2000 * NS_PER_MS
"""Time from accepting a connection until its call must be complete."""
RESPONSE_WRITE_TIMEOUT_NS = 1000 * NS_PER_MS
EVICTION_INTERVAL_NS = 50 * NS_PER_MS
"""Time between two evictions while ``MAX_CONNECTIONS`` are open."""
ACCEPT_ERROR_PAUSE_NS = 20 * NS_PER_MS
"""Pause after an error of ``accept``.  Without it, the listener would remain readable and keep the event loop busy."""
LISTEN_BACKLOG = 64
MAX_CONNECTIONS = 32
MAX_BODY_BYTES = 1024
READ_BYTES = 4096


class _ConnectionClosed(Exception):
    """The connection was closed by the caller or evicted before its call was complete."""


class _CallTimeout(Exception):
    """The call was not complete within ``CALL_TIMEOUT_NS``."""


class _Connection:
    """One connection, and the state of its call."""

    __slots__ = ("sock", "accepted_ns", "wake", "call_complete", "evicted")

    def __init__(self, sock: socket.socket, loop: EventLoop) -> None:
        self.sock = sock
        self.accepted_ns = loop.now()
        self.wake = Event(loop)  # set when data is received or the connection is evicted
        self.call_complete = False
        self.evicted = False


class AdminServer:
    """The listening socket of the admin address, and its connections."""

    def __init__(self, loop: EventLoop, address: Address, backend: AdminBackend) -> None:
        """Listen at ``address``, and execute calls with ``backend``.

        Raises:
            OSError: The socket cannot be opened or bound to the address.
        """
        self._loop = loop
        self._backend = backend
        self._connections: set[_Connection] = set()
        self._connection_closed = Event(loop)
        self._listener = listen_tcp(address.host, address.port, LISTEN_BACKLOG)
        loop.spawn(self._accept_connections)

    def close(self) -> None:
        """Stop accepting connections."""
        self._loop.unregister(self._listener.fileno())
        self._listener.close()

    # ------------------------------------------------------------ connections

    def _accept_connections(self) -> None:
        while self._listener.fileno() >= 0:
            if len(self._connections) >= MAX_CONNECTIONS:
                self._evict_oldest_connection()
                self._connection_closed.wait(self._loop.now() + EVICTION_INTERVAL_NS)
                continue
            if self._loop.wait(self._listener.fileno(), READABLE) is WakeReason.READY:
                self._accept_connection()

    def _accept_connection(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError as error:
            logger.warning(
                "the admin address cannot accept a connection: {reason}",
                event="admin.accept_failed",
                reason=error.strerror,
            )
            self._loop.sleep(ACCEPT_ERROR_PAUSE_NS)
            return
        sock.setblocking(False)
        connection = _Connection(sock, self._loop)
        self._connections.add(connection)
        self._loop.spawn(self._handle_connection, connection)

    def _evict_oldest_connection(self) -> None:
        """Evict the oldest connection without a complete call, if there is one."""
        candidates = [
            connection for connection in self._connections if not connection.call_complete and not connection.evicted
        ]
        if candidates:
            oldest = min(candidates, key=lambda connection: connection.accepted_ns)
            oldest.evicted = True
            oldest.wake.set()

    # ------------------------------------------------------------ one call

    def _handle_connection(self, connection: _Connection) -> None:
        try:
            self._write_response(connection, self._process_call(connection))
        except _ConnectionClosed:
            pass
        except OSError as error:
            logger.debug(
                "the connection of an admin call failed: {reason}", event="admin.connection_failed", reason=str(error)
            )
        finally:
            self._loop.unregister(connection.sock.fileno())
            connection.sock.close()
            self._connections.discard(connection)
            self._connection_closed.set()

    def _process_call(self, connection: _Connection) -> AdminResponse:
        """Read, parse and execute the call; return its response."""
        try:
            message = self._read_request(connection)
        except ProtocolError as error:
            return AdminResponse(error.status, f"{error}\n".encode())
        except _CallTimeout:
            return AdminResponse(408, b"the call did not become whole in time\n")
        connection.call_complete = True
        call = parse_call(message.method, message.target)
        return execute_call(call, self._backend) if isinstance(call, AdminCall) else call

    def _read_request(self, connection: _Connection) -> Message:
        """Read the HTTP request of the call.

        Raises:
            _ConnectionClosed, _CallTimeout: The request was not completed.
            ProtocolError: The request is malformed.
            OSError: The connection failed.
        """
        parser = MessageParser(responses=False, max_body_bytes=MAX_BODY_BYTES)
        while True:
            self._wait_for_data(connection)
            try:
                data = connection.sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                raise _ConnectionClosed
            message = parser.feed(data)
            if message is not None:
                return message

    def _wait_for_data(self, connection: _Connection) -> None:
        """Block until data is received, also if there is some: other tasks must run between two reads.

        Raises:
            _ConnectionClosed: The connection was evicted.
            _CallTimeout: The call was not complete within ``CALL_TIMEOUT_NS``, even if there is data.
        """
        deadline_ns = connection.accepted_ns + CALL_TIMEOUT_NS
        fd = connection.sock.fileno()
        self._loop.register(fd, READABLE, lambda _: connection.wake.set())
        reason = connection.wake.wait(deadline_ns)
        self._loop.unregister(fd)
        if connection.evicted:
            raise _ConnectionClosed
        if reason is WakeReason.TIMEOUT or self._loop.now() >= deadline_ns:
            raise _CallTimeout

    def _write_response(self, connection: _Connection, response: AdminResponse) -> None:
        """Write the response and shut down the sending side.

        A caller that does not read within ``RESPONSE_WRITE_TIMEOUT_NS`` receives a truncated response.
        """
        headers = [("Content-Type", response.content_type)]
        data = serialize_response(response.status, response.body, headers, close=True)
        if not send_all(self._loop, connection.sock, data, self._loop.now() + RESPONSE_WRITE_TIMEOUT_NS):
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the caller has reset the connection
