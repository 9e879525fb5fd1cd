"""The client of a discovery service.  It has one connection, and makes one call at a time."""

from __future__ import annotations

import socket

import ujson
from loguru import logger

from lugtally.address import Address
from lugtally.config.endpoint_list import EndpointList, parse_endpoint_list
from lugtally.discovery import timing
from lugtally.eventloop import READABLE, WRITABLE, Event, EventLoop, WakeReason, send_all
from lugtally.eventloop.tcp_socket import create_tcp_socket, disable_nagle, is_open_without_input
from lugtally.http1 import Message, MessageParser, serialize_get
from lugtally.units import NS_PER_MS

READ_CHUNK_BYTES = 64 * 1024
"""Largest number of bytes that one read returns."""
MAX_LIST_BYTES = 4 * 1024 * 1024
"""Size of the largest endpoint list that is accepted."""
LIST_PATH = "/catalog/members"


class UnexpectedStatusError(ValueError):
    """The status of the response is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")


class ConnectTimeoutError(OSError):
    """Connecting to discovery timed out.

    This is not a :class:`TimeoutError`, which stands for a missing response: that call is retried immediately.
    """

    def __init__(self) -> None:
        super().__init__("connecting timed out")


class DiscoveryClient:
    """Polls one discovery service.

    Attributes:
        version: The version of the list that was applied last; ``None`` to request the full list.
        watch_requested: Set when the balancer requests the next call after a failure.  Each client has its own event,
            so that the task of an earlier client cannot consume a wake-up for this one.
    """

    def __init__(self, loop: EventLoop, address: Address, version: int | None) -> None:
        self._loop = loop
        self._address = address
        self._sock: socket.socket | None = None
        self._parser = self._new_parser()
        self.version = version
        self.watch_requested = Event(loop)

    def fetch_update(self) -> EndpointList:
        """Return the changes since ``version``, or the full list if there is no version.

        Only changes are requested, even after a timeout, a reset or a refused connection.  A full list costs discovery
        work for each record, and a restarted discovery is called by all sidecars at the same time.  The full list is
        needed only if discovery has restarted its versions; it then responds with a lower version.

        Raises:
            OSError: The call failed, and its retry on a new connection failed if there was one.
            ProtocolError: The response is not valid HTTP.
            ValueError: The response is not an endpoint list, or its status is not 200.
        """
        if self.version is None:
            target = LIST_PATH
        else:
            target = f"{LIST_PATH}?from={self.version}&hold_ms={timing.WATCH_HOLD_MS}"
        response = self._call_with_retry(target)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        return parse_endpoint_list(ujson.loads(response.body), "endpoint list", lenient=True)

    def close(self) -> None:
        """Close the connection.  The next call opens a new one."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._parser = self._new_parser()

    def _call_with_retry(self, target: str) -> Message:
        """Make a call; retry it once on a new connection if its connection was lost.

        A reused connection may have been closed between two calls.  A call without a response has probably lost its
        connection.  Neither means that discovery has failed, and a backoff would exceed the budget of ``timing``.
        """
        if self._sock is not None and not is_open_without_input(self._sock):
            self.close()  # discovery closed it, or it has received bytes that belong to no call
        is_reused = self._sock is not None
        try:
            return self._call(target)
        except TimeoutError as error:
            logger.info(
                "the watch of the endpoint list timed out and is retried: {reason}",
                event="discovery.watch_silent",
                reason=str(error),
            )
        except ConnectionError:
            if not is_reused:
                raise
        self.close()
        return self._call(target)

    def _call(self, target: str) -> Message:
        """Send a GET request for the target and return its response.

        Raises:
            TimeoutError: No complete response was received in time.
            OSError: Connecting failed, or the connection was closed or reset.
            ProtocolError: The response is not valid HTTP.
        """
        sock = self._sock or self._connect()
        deadline_ns = self._loop.now() + timing.WATCH_HOLD_MS * NS_PER_MS + timing.RESPONSE_TIMEOUT_NS
        call = serialize_get(f"{self._address.host}:{self._address.port}", target)
        if not send_all(self._loop, sock, call, deadline_ns):
            raise TimeoutError("the call could not be written in time")
        while True:
            self._wait(sock, READABLE, deadline_ns, TimeoutError("no response in time"))
            try:
                data = sock.recv(READ_CHUNK_BYTES)
            except BlockingIOError:
                continue
            response = self._parser.feed(data) if data else self._parser.end_of_input()
            if response is not None:
                if not response.keep_alive or not data or not self._parser.is_idle:
                    self.close()  # otherwise, further bytes would be read as the response to the next call
                return response
            if not data:
                raise ConnectionResetError("the connection was closed")

    def _connect(self) -> socket.socket:
        self._sock = sock = create_tcp_socket(self._address.host)
        disable_nagle(sock)
        sock.connect_ex(self._address)
        self._wait(sock, WRITABLE, self._loop.now() + timing.CONNECT_TIMEOUT_NS, ConnectTimeoutError())
        if error_number := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error_number, "connecting failed")
        return sock

    def _wait(self, sock: socket.socket, poll_events: int, deadline_ns: int, timeout_error: OSError) -> None:
        """Wait until the socket is ready.

        Raises:
            InterruptedError: The watch moved to another discovery.
            OSError: The deadline has passed, even if bytes can be read; the error is ``timeout_error``.
        """
        if self._loop.now() >= deadline_ns:
            raise timeout_error  # checked first, because an endless response keeps the socket readable
        reason = self._loop.wait(sock.fileno(), poll_events, deadline_ns)
        if reason is WakeReason.INTERRUPTED:
            raise InterruptedError("the watch moved to another discovery")
        if reason is WakeReason.TIMEOUT:
            raise timeout_error

    @staticmethod
    def _new_parser() -> MessageParser:
        return MessageParser(responses=True, max_body_bytes=MAX_LIST_BYTES)
