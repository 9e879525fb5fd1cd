"""The server of the admin address.  Each connection carries one call and is closed after the response.

A connection whose call is incomplete occupies a slot for ``CALL_TIMEOUT_NS`` at most.  While all slots are occupied,
the oldest connection without a complete call is closed.  Admin calls do not depend on downstream connections.
"""

from __future__ import annotations

import socket

from loguru import logger

from lugtally.address import Address
from lugtally.admin.calls import AdminBackend, AdminCall, AdminResponse, execute_call, parse_call
from lugtally.eventloop import READABLE, Event, EventLoop, WakeReason, send_all
from lugtally.http1 import Message, MessageParser, ProtocolError, serialize_response
from lugtally.units import NS_PER_MS

CALL_TIMEOUT_NS = 2000 * NS_PER_MS
"""From accepting the connection until the call is complete."""
RESPONSE_WRITE_TIMEOUT_NS = 1000 * NS_PER_MS
FREE_SLOT_RETRY_NS = 50 * NS_PER_MS
"""Interval between two evictions while all slots are occupied."""
ACCEPT_ERROR_PAUSE_NS = 20 * NS_PER_MS
"""Pause after an error of ``accept``.  Without it, a backlog that remains readable would keep the loop busy."""
LISTEN_BACKLOG = 64
MAX_CALLERS = 32
"""Slots: connections that are open at the same time."""
MAX_BODY_BYTES = 1024
READ_BYTES = 4096


class _CallerDisconnected(Exception):
    """The caller disconnected or was evicted before its call was complete."""


class _CallTimeout(Exception):
    """The call was not complete within ``CALL_TIMEOUT_NS``."""


class _Caller:
    """The connection of one caller."""

    __slots__ = ("sock", "connected_ns", "wake", "call_complete", "evicted")

    def __init__(self, sock: socket.socket, loop: EventLoop) -> None:
        self.sock = sock
        self.connected_ns = loop.now()
        self.wake = Event(loop)  # set when data is received or the caller is evicted
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
        self._callers: set[_Caller] = set()
        self._slot_freed = Event(loop)
        self._listener = _listen(address)
        loop.spawn(self._accept_callers)

    def close(self) -> None:
        """Stop accepting connections."""
        self._loop.unregister(self._listener.fileno())
        self._listener.close()

    # ------------------------------------------------------------ callers

    def _accept_callers(self) -> None:
        while self._listener.fileno() >= 0:
            if len(self._callers) >= MAX_CALLERS:
                self._evict_oldest_caller()
                self._slot_freed.wait(self._loop.now() + FREE_SLOT_RETRY_NS)
                continue
            if self._loop.wait(self._listener.fileno(), READABLE) is WakeReason.READY:
                self._accept_caller()

    def _accept_caller(self) -> None:
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
        caller = _Caller(sock, self._loop)
        self._callers.add(caller)
        self._loop.spawn(self._handle_caller, caller)

    def _evict_oldest_caller(self) -> None:
        """Disconnect the caller that has been connected longest without a complete call, if there is one."""
        candidates = [caller for caller in self._callers if not caller.call_complete and not caller.evicted]
        if candidates:
            oldest = min(candidates, key=lambda caller: caller.connected_ns)
            oldest.evicted = True
            oldest.wake.set()

    # ------------------------------------------------------------ one call

    def _handle_caller(self, caller: _Caller) -> None:
        try:
            self._write(caller, self._respond(caller))
        except _CallerDisconnected:
            pass
        except OSError as error:
            logger.debug(
                "the connection of an admin call failed: {reason}", event="admin.connection_failed", reason=str(error)
            )
        finally:
            self._loop.unregister(caller.sock.fileno())
            caller.sock.close()
            self._callers.discard(caller)
            self._slot_freed.set()

    def _respond(self, caller: _Caller) -> AdminResponse:
        """Read and execute the call; return its response."""
        try:
            message = self._read_message(caller)
        except ProtocolError as error:
            return AdminResponse(error.status, f"{error}\n".encode())
        except _CallTimeout:
            return AdminResponse(408, b"the call did not become whole in time\n")
        caller.call_complete = True
        call = parse_call(message.method, message.target)
        return execute_call(call, self._backend) if isinstance(call, AdminCall) else call

    def _read_message(self, caller: _Caller) -> Message:
        """Read the request of the call.

        Raises:
            _CallerDisconnected, _CallTimeout: The request was not completed.
            ProtocolError: The request is malformed.
            OSError: The connection failed.
        """
        parser = MessageParser(responses=False, max_body_bytes=MAX_BODY_BYTES)
        while True:
            try:
                data = caller.sock.recv(READ_BYTES)
            except BlockingIOError:
                self._wait_for_data(caller)
                continue
            if not data:
                raise _CallerDisconnected
            message = parser.feed(data)
            if message is not None:
                return message

    def _wait_for_data(self, caller: _Caller) -> None:
        """Block until data is received.

        Raises:
            _CallerDisconnected: The caller was evicted.
            _CallTimeout: The time for the call has expired.
        """
        fd = caller.sock.fileno()
        self._loop.register(fd, READABLE, lambda _: caller.wake.set())
        reason = caller.wake.wait(caller.connected_ns + CALL_TIMEOUT_NS)
        self._loop.unregister(fd)
        if caller.evicted:
            raise _CallerDisconnected
        if reason is WakeReason.TIMEOUT:
            raise _CallTimeout

    def _write(self, caller: _Caller, response: AdminResponse) -> None:
        """Write the response and close the sending side.

        A caller that does not read within ``RESPONSE_WRITE_TIMEOUT_NS`` receives a truncated response.
        """
        headers = [("Content-Type", response.content_type)]
        data = serialize_response(response.status, response.body, headers, close=True)
        if not send_all(self._loop, caller.sock, data, self._loop.now() + RESPONSE_WRITE_TIMEOUT_NS):
            return
        try:
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the caller has reset the connection


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
