"""The operators' address on the hub: one call a connection, answered and closed.

A caller that connects and says nothing holds a slot for ``WHOLE_NS`` at most; when all slots are taken, the one
that has waited longest without a whole call makes room.  Nothing here waits for the front's work.
"""

from __future__ import annotations

import socket

from loguru import logger

from lugtally.address import Address
from lugtally.admin.calls import AdminBackend, Answer, execute_call, parse_call
from lugtally.eventloop import READABLE, WRITABLE, Event, EventLoop, WakeReason
from lugtally.http1 import MessageParser, ProtocolError, serialize_response
from lugtally.units import NS_PER_MS

WHOLE_NS = 2000 * NS_PER_MS  # from connecting to the end of the call
WRITE_NS = 1000 * NS_PER_MS
MOST_CALLERS = 32
MAX_BODY_BYTES = 1024
CHUNK = 4096


class _Caller:
    __slots__ = ("sock", "since", "signal", "whole", "unwanted")

    def __init__(self, sock: socket.socket, loop: EventLoop) -> None:
        self.sock = sock
        self.since = loop.now()
        self.signal = Event(loop)
        self.whole = False
        self.unwanted = False


class AdminServer:
    """The listening socket of the operators' address, and its callers."""

    def __init__(self, loop: EventLoop, address: Address, books: AdminBackend) -> None:
        """Listen there; an ``OSError`` says why that cannot be."""
        self._loop = loop
        self._books = books
        self._callers: set[_Caller] = set()
        self._room = Event(loop)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(64)
        except OSError:
            self._sock.close()
            raise
        loop.spawn(self._accept)

    def close(self) -> None:
        """Take no more calls."""
        self._loop.unregister(self._sock.fileno())
        self._sock.close()

    def _accept(self) -> None:
        while self._sock.fileno() >= 0:
            if len(self._callers) >= MOST_CALLERS:
                waiting = [c for c in self._callers if not c.whole and not c.unwanted]
                if waiting:
                    oldest = min(waiting, key=lambda c: c.since)
                    oldest.unwanted = True
                    oldest.signal.set()
                self._room.wait(self._loop.now() + 50 * NS_PER_MS)
                continue
            if self._loop.wait(self._sock.fileno(), READABLE) is not WakeReason.READY:
                continue
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError as error:
                logger.warning(
                    "the operators' address cannot accept: {reason}", event="admin.accept_failed", reason=error.strerror
                )
                self._loop.sleep(20 * NS_PER_MS)
                continue
            sock.setblocking(False)
            caller = _Caller(sock, self._loop)
            self._callers.add(caller)
            self._loop.spawn(self._serve, caller)

    def _serve(self, caller: _Caller) -> None:
        try:
            status, body = self._call(caller)
            if status:
                self._write(
                    caller, serialize_response(status, body, [("Content-Type", _kind(status, body))], close=True)
                )
        except OSError as error:
            logger.debug("an operator's call broke: {reason}", event="admin.connection_failed", reason=str(error))
        finally:
            self._loop.unregister(caller.sock.fileno())
            caller.sock.close()
            self._callers.discard(caller)
            self._room.set()

    def _call(self, caller: _Caller) -> Answer:
        """The answer owed to this caller; status 0 where it has gone or is to be dropped."""
        parser = MessageParser(responses=False, max_body_bytes=MAX_BODY_BYTES)
        until = caller.since + WHOLE_NS
        fd = caller.sock.fileno()
        try:
            while True:
                try:
                    data = caller.sock.recv(CHUNK)
                except BlockingIOError:
                    self._loop.register(fd, READABLE, lambda _: caller.signal.set())
                    why = caller.signal.wait(until)
                    self._loop.unregister(fd)
                    if caller.unwanted:
                        return 0, b""
                    if why is WakeReason.TIMEOUT:
                        return 408, b"the call did not become whole in time\n"
                    continue
                if not data:
                    return 0, b""
                message = parser.feed(data)
                if message is not None:
                    break
        except ProtocolError as error:
            return error.status, f"{error}\n".encode()
        caller.whole = True
        call = parse_call(message.method, message.target)
        if not isinstance(call, tuple):
            return execute_call(call, self._books)
        return call

    def _write(self, caller: _Caller, data: bytes) -> None:
        view = memoryview(data)
        until = self._loop.now() + WRITE_NS
        while view:
            try:
                view = view[caller.sock.send(view) :]
            except BlockingIOError:
                if self._loop.wait(caller.sock.fileno(), WRITABLE, until) is not WakeReason.READY:
                    return
        try:
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def _kind(status: int, body: bytes) -> str:
    return "application/json" if status == 200 and body.startswith(b"{") else "text/plain"
