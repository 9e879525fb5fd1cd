"""The operators' address on the hub: one call a connection, answered and closed.

A caller that connects and says nothing holds a slot for ``WHOLE_NS`` at most; when all slots are taken, the one
that has waited longest without a whole call makes room.  Nothing here waits for the front's work.
"""

from __future__ import annotations

import socket

from loguru import logger

from lugtally.control.calls import Answer, Books, answer, parse
from lugtally.hub.scheduler import MS, READ, WRITE, Hub, Signal, Woken
from lugtally.net.http1 import BadMessage, Parser, write_answer

WHOLE_NS = 2000 * MS  # from connecting to the end of the call
WRITE_NS = 1000 * MS
MOST_CALLERS = 32
MOST_BODY = 1024
CHUNK = 4096


class _Caller:
    __slots__ = ("sock", "since", "signal", "whole", "unwanted")

    def __init__(self, sock: socket.socket, hub: Hub) -> None:
        self.sock = sock
        self.since = hub.now()
        self.signal = Signal(hub)
        self.whole = False
        self.unwanted = False


class Listener:
    """The listening socket of the operators' address, and its callers."""

    def __init__(self, hub: Hub, address: tuple[str, int], books: Books) -> None:
        """Listen there; an ``OSError`` says why that cannot be."""
        self._hub = hub
        self._books = books
        self._callers: set[_Caller] = set()
        self._room = Signal(hub)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(64)
        except OSError:
            self._sock.close()
            raise
        hub.spawn(self._accept)

    def close(self) -> None:
        """Take no more calls."""
        self._hub.unwatch(self._sock.fileno())
        self._sock.close()

    def _accept(self) -> None:
        while self._sock.fileno() >= 0:
            if len(self._callers) >= MOST_CALLERS:
                waiting = [c for c in self._callers if not c.whole and not c.unwanted]
                if waiting:
                    oldest = min(waiting, key=lambda c: c.since)
                    oldest.unwanted = True
                    oldest.signal.set()
                self._room.wait(self._hub.now() + 50 * MS)
                continue
            if self._hub.wait(self._sock.fileno(), READ) is not Woken.READY:
                continue
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError as error:
                logger.warning(
                    "the operators' address cannot accept: {why}", event="control.cannot-accept", why=error.strerror
                )
                self._hub.sleep(20 * MS)
                continue
            sock.setblocking(False)
            caller = _Caller(sock, self._hub)
            self._callers.add(caller)
            self._hub.spawn(self._serve, caller)

    def _serve(self, caller: _Caller) -> None:
        try:
            status, body = self._call(caller)
            if status:
                self._write(caller, write_answer(status, body, [("Content-Type", _kind(status, body))], close=True))
        except OSError as error:
            logger.debug("an operator's call broke: {why}", event="control.broke", why=str(error))
        finally:
            self._hub.unwatch(caller.sock.fileno())
            caller.sock.close()
            self._callers.discard(caller)
            self._room.set()

    def _call(self, caller: _Caller) -> Answer:
        """The answer owed to this caller; status 0 where it has gone or is to be dropped."""
        parser = Parser(responses=False, most_body=MOST_BODY)
        until = caller.since + WHOLE_NS
        fd = caller.sock.fileno()
        try:
            while True:
                try:
                    data = caller.sock.recv(CHUNK)
                except BlockingIOError:
                    self._hub.watch(fd, READ, lambda _: caller.signal.set())
                    why = caller.signal.wait(until)
                    self._hub.unwatch(fd)
                    if caller.unwanted:
                        return 0, b""
                    if why is Woken.TIMEOUT:
                        return 408, b"the call did not become whole in time\n"
                    continue
                if not data:
                    return 0, b""
                message = parser.feed(data)
                if message is not None:
                    break
        except BadMessage as error:
            return error.status, f"{error}\n".encode()
        caller.whole = True
        call = parse(message.method, message.target)
        if not isinstance(call, tuple):
            return answer(call, self._books)
        return call

    def _write(self, caller: _Caller, data: bytes) -> None:
        view = memoryview(data)
        until = self._hub.now() + WRITE_NS
        while view:
            try:
                view = view[caller.sock.send(view) :]
            except BlockingIOError:
                if self._hub.wait(caller.sock.fileno(), WRITE, until) is not Woken.READY:
                    return
        try:
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def _kind(status: int, body: bytes) -> str:
    return "application/json" if status == 200 and body.startswith(b"{") else "text/plain"
