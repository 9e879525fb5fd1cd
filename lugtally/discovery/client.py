"""The client of one discovery service: one connection, one call at a time."""

from __future__ import annotations

import socket

import ujson
from loguru import logger

from lugtally.address import Address
from lugtally.config.endpoint_list import EndpointList, parse_endpoint_list
from lugtally.discovery import timing
from lugtally.eventloop import READABLE, WRITABLE, Event, EventLoop, WakeReason
from lugtally.http1 import Message, MessageParser, serialize_get
from lugtally.units import NS_PER_MS

READ_CHUNK_BYTES = 64 * 1024
MAX_LIST_BYTES = 4 * 1024 * 1024
LIST_PATH = "/catalog/members"


class UnexpectedStatusError(ValueError):
    """Discovery responded with another status than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")


class ConnectTimeoutError(OSError):
    """The connection did not come up in time.

    No :class:`TimeoutError`: that is a silent watch, whose call is made again at once.
    """

    def __init__(self) -> None:
        super().__init__("no connection in time")


class DiscoveryClient:
    """One discovery service: its address, the version last taken over from it, and the connection to it.

    Attributes:
        version: The version that the next call asks for changes since; ``None`` asks for the whole list.
        watch_requested: Set when the balancer wants the next call after a failure.  Each client has its own, so that
            the task of an earlier client cannot consume a wake-up meant for this one.
    """

    def __init__(self, loop: EventLoop, address: Address, version: int | None) -> None:
        self._loop = loop
        self._address = address
        self._sock: socket.socket | None = None
        self._parser = self._new_parser()
        self.version = version
        self.watch_requested = Event(loop)

    def fetch_update(self) -> EndpointList:
        """Return the changes since the version at hand, or the whole list where there is none.

        After a silence, a reset or a refusal changes are requested as well: a whole list costs discovery work for
        each record, and it returns to all sidecars calling at once.  A discovery whose versions began again shows it
        by a lower one; only then is its whole list needed.

        Raises:
            OSError: The call failed, also when it was made again on a new connection.
            ProtocolError: The response is no HTTP response.
            ValueError: The response is not a list, or has another status than 200.
        """
        if self.version is None:
            target = LIST_PATH
        else:
            target = f"{LIST_PATH}?from={self.version}&hold_ms={timing.WATCH_HOLD_MS}"
        response = self._call_with_retry(target)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        return parse_endpoint_list(ujson.loads(response.body), "server list", lenient=True)

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._parser = self._new_parser()

    def _call_with_retry(self, target: str) -> Message:
        """Make a call; make it again at once, on a new connection, where the one at hand turns out to be dead.

        A reused connection may have been closed between two calls, and a watch that is silent past its hold has lost
        its connection: neither says that discovery itself fails, and a backoff would use up the time that is left.
        """
        if self._sock is not None and not self._is_quiet(self._sock):
            self.close()  # it has ended, or what has come on it answers no call
        is_reused = self._sock is not None
        try:
            return self._call(target)
        except TimeoutError as silence:
            logger.info(
                "the watch of the server list fell silent: {reason}",
                event="discovery.watch_silent",
                reason=str(silence),
            )
        except ConnectionError:
            if not is_reused:
                raise
        self.close()
        return self._call(target)

    def _call(self, target: str) -> Message:
        sock = self._sock or self._connect()
        deadline_ns = self._loop.now() + timing.WATCH_HOLD_MS * NS_PER_MS + timing.RESPONSE_TIMEOUT_NS
        sock.send(serialize_get(f"{self._address.host}:{self._address.port}", target))
        while True:
            self._wait(sock, READABLE, deadline_ns, TimeoutError("no answer in time"))
            try:
                data = sock.recv(READ_CHUNK_BYTES)
            except BlockingIOError:
                continue
            response = self._parser.feed(data) if data else self._parser.end_of_input()
            if response is not None:
                if not response.keep_alive or not data or not self._parser.is_idle:
                    self.close()  # bytes behind a response would be read as that of the next call
                return response
            if not data:
                raise ConnectionResetError("the connection ended")

    def _connect(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        self._sock = sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(self._address)
        self._wait(sock, WRITABLE, self._loop.now() + timing.CONNECT_TIMEOUT_NS, ConnectTimeoutError())
        if error_number := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error_number, "no connection")
        return sock

    def _wait(self, sock: socket.socket, poll_events: int, deadline_ns: int, timeout_error: OSError) -> None:
        """Wait for the socket; raises ``timeout_error`` at the deadline, even where more can be read."""
        if self._loop.now() >= deadline_ns:
            raise timeout_error  # an endless response is ready before each timer fires
        reason = self._loop.wait(sock.fileno(), poll_events, deadline_ns)
        if reason is WakeReason.INTERRUPTED:
            raise InterruptedError("the watch has moved")
        if reason is WakeReason.TIMEOUT:
            raise timeout_error

    @staticmethod
    def _is_quiet(sock: socket.socket) -> bool:
        """Return whether the connection is open and nothing has come on it."""
        try:
            sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @staticmethod
    def _new_parser() -> MessageParser:
        return MessageParser(responses=True, max_body_bytes=MAX_LIST_BYTES)
