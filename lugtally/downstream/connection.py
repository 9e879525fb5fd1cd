"""One connection of the application: reading requests, writing responses, and closing without losing either."""

from __future__ import annotations

import socket
import struct

from loguru import logger

from lugtally.downstream.arrival import ArrivalBound
from lugtally.downstream.request_queue import RequestQueue
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop import PEER_CLOSED, READABLE, WRITABLE, Event, EventLoop, WakeReason
from lugtally.http1 import Message, ProtocolError
from lugtally.units import NS_PER_MS

RECEIVE_BYTES = 16 * 1024
"""Read at a time; small, as each connection may hold that much that it has not parsed."""
CLIENT_IDLE_TIMEOUT_NS = 2_050 * NS_PER_MS
"""How long a connection may have no request.

Clients may open only so many, and some send one request and keep theirs open for good: one that is idle for longer
keeps out requests that have come.
"""
REQUEST_TIMEOUT_NS = 2_500 * NS_PER_MS
"""From the first byte of a request, or from connecting, until it is whole."""
WRITE_STALL_TIMEOUT_NS = 5_000 * NS_PER_MS
"""How long a client may take in nothing of a response."""
LINGER_SILENCE_TIMEOUT_NS = 1_000 * NS_PER_MS
"""How long a client at fault may be silent after its response before the close."""
MAX_LINGER_NS = 2_500 * NS_PER_MS
"""How long the close waits in all for a client that sends on after its response."""
SHORT_LINGER_NS = 300 * NS_PER_MS
"""The same for a client that sends nothing, or one whose fault took long to see."""
SHUTDOWN_CLIENT_TIMEOUT_NS = 50 * NS_PER_MS
"""How long to wait for a client, to read or to end, once the last response of a graceful shutdown is due."""
MIN_IDLE_BEFORE_EVICTION_NS = 100 * NS_PER_MS
"""How long the first byte on a new connection may take even where others wait for its place."""
MIN_LINGER_BEFORE_EVICTION_NS = 20 * NS_PER_MS
"""How long a client has to read its last response and to end even where others wait for its connection's place."""
MIN_REQUEST_TIME_BEFORE_EVICTION_NS = 500 * NS_PER_MS
"""How long a request may take to become whole even where others wait for its connection's place."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # as SO_LINGER: the close resets the connection
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestTimeoutError(ProtocolError):
    """The request did not become whole in time."""

    def __init__(self) -> None:
        super().__init__(408, "the request did not become whole in time")


class DownstreamConnection:
    """One client socket and its parser."""

    __slots__ = (
        "_evicted",
        "_loop",
        "_shutdown",
        "_write_stalled",
        "arrival",
        "arrived_ns",
        "client_at_fault",
        "client_closed",
        "close_if_idle",
        "close_if_incomplete",
        "fd",
        "had_request",
        "idle",
        "is_lingering",
        "is_reading",
        "requests",
        "response_truncated",
        "since_ns",
        "sock",
        "wake_up",
    )

    def __init__(
        self,
        sock: socket.socket,
        loop: EventLoop,
        shutdown: ShutdownState | None = None,
        connected_after_ns: int | None = None,
    ) -> None:
        """``connected_after_ns`` is a time before which the client had not connected: now, if it is not given."""
        self._loop = loop
        self._shutdown = shutdown or ShutdownState()
        self.arrival = ArrivalBound(loop, loop.now() if connected_after_ns is None else connected_after_ns)
        self.arrived_ns = self.arrival.received_after_ns
        """No earlier than this the last byte of the present request has come: its time counts from here."""
        self.sock = sock
        self.fd = sock.fileno()
        self.requests = RequestQueue()
        """Those behind the present one, and what has been read of the next."""
        self._write_stalled = False
        self.client_at_fault = False
        """Whether a request of it was at fault: the connection ends as soon as all that was read is answered."""
        self.client_closed = False
        """Whether the client has ended its sending: it may have left, so nothing begins for it any more."""
        self.wake_up = Event(loop)
        """Set where a wait for a request must look again: bytes have come, or the connection is to be closed."""
        self.since_ns = loop.now()
        """When it became idle, or when its present request began."""
        self.had_request = False
        """Whether a whole request has come on it."""
        self.idle = False
        """Whether it waits for a request of which nothing has come."""
        self._evicted = False
        self.is_lingering = False
        """Whether its last response has been written, and it waits for the client to end."""
        self.is_reading = False
        """Whether it waits for a request, or for the rest of one."""
        self.close_if_idle = False
        """Whether it is to be closed, unless a request has come."""
        self.close_if_incomplete = False
        """Whether it is to be closed, unless the rest of the request has come."""
        self.response_truncated = False
        """Whether its response has begun and cannot be finished: the close must not pass for the response's end."""

    # ------------------------------------------------------------ reading

    def read_request(self) -> Message | None:
        """Block until a request is whole and return it; ``None`` where the connection is over.

        Raises:
            ProtocolError: the client sent no sound request, or not all of it in time.
            OSError: the connection broke.
        """
        if self.requests.has_input:
            self._loop.sleep(0)  # a request that came together with the last one lets others go first
        if self.had_request:
            self.since_ns = self._loop.now()
        request = self.requests.take()
        self.idle = not self.requests.has_input and request is None
        # Just after a response, most likely nothing is there yet: wait first, and save a call.  Not after a write that
        # took long, as nobody has watched for bytes meanwhile.
        wait_first = self.idle and self.had_request and not self._write_stalled
        self._write_stalled = False
        continue_sent = False
        self.is_reading = request is None
        while request is None:
            continue_sent = continue_sent or self._send_continue()
            data = None if wait_first and not self.close_if_idle else self._receive()
            wait_first = False
            if data is None:
                if self.idle and self.close_if_idle:
                    return None
                if not self.idle and self.close_if_incomplete:
                    raise RequestTimeoutError
                self._wait_for_bytes()
                continue
            if not data:
                return None
            self._note_bytes()
            self.requests.feed(data, self.arrival.received_after_ns)
            request = self.requests.take()
        self.had_request, self.idle, self.is_reading = True, False, False
        self.close_if_idle = self.close_if_incomplete = self._evicted = False  # a request has come
        self.arrived_ns = request.arrived_ns
        return request.message

    def read_ahead(self) -> bool:
        """Read what has come while a request is in progress; return whether that was all of it.

        Whatever is read must be answered; but of a request that is not read it is not known when its time is over.
        """
        try:
            data = self._receive()
        except OSError:
            return False  # the client's end, which the loop reports
        if not data:
            return data is None
        self.requests.feed(data, self.arrival.received_after_ns)
        return len(data) < RECEIVE_BYTES

    def _send_continue(self) -> bool:
        """Tell a client that waits for it to send the body; return whether it has been told."""
        head = self.requests.parser.pending_head
        if head is None or not head.expects_continue:
            return False
        self.write(_CONTINUE)
        return True

    def _receive(self) -> bytes | None:
        """Return the bytes that are there, empty at the client's end of the connection; ``None`` without any."""
        called_ns = self._loop.now()
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            self.arrival.note_empty(called_ns)
            return None
        self.arrival.note_received(called_ns, is_drained=len(data) < RECEIVE_BYTES)
        return data

    def _wait_for_bytes(self) -> None:
        watched_since_ns = self._loop.now()

        def note_bytes(_: int) -> None:
            self.arrival.note_readable(watched_since_ns)
            self.wake_up.set()

        self._loop.register(self.fd, READABLE, note_bytes)
        reason = self.wake_up.wait(self._read_deadline_ns())
        self._loop.unregister(self.fd)
        if reason is WakeReason.TIMEOUT:
            # Race: bytes may have come between the poll that saw nothing and the close.  Read again before closing.
            self.close_if_idle = self.idle
            self.close_if_incomplete = not self.idle

    def _read_deadline_ns(self) -> int:
        """Return until when to wait: counted from a request's first byte, so that a trickle of bytes gains no time."""
        deadline_ns = self.since_ns + (CLIENT_IDLE_TIMEOUT_NS if self.idle else REQUEST_TIMEOUT_NS)
        return min(deadline_ns, self._shutdown.last_request_ns) if self._shutdown.closing else deadline_ns

    def _note_bytes(self) -> None:
        """Take it that bytes have come: the first of a request begin its time, later ones must be within it."""
        if self.idle:
            self.idle = False
            if self.had_request:  # the first request's time began with the connection
                self.since_ns = self._loop.now()
        elif self.arrival.received_after_ns > self.since_ns + REQUEST_TIMEOUT_NS:
            raise RequestTimeoutError

    # ------------------------------------------------------------ eviction

    def may_evict(self, now_ns: int) -> bool:
        """Return whether the connection may be closed to make room for others; never with a request in progress."""
        waited_ns = now_ns - self.since_ns
        if self.is_lingering:
            return not self._evicted and waited_ns >= MIN_LINGER_BEFORE_EVICTION_NS
        if self.idle:
            return not self.close_if_idle and (self.had_request or waited_ns >= MIN_IDLE_BEFORE_EVICTION_NS)
        return self.is_reading and not self.close_if_incomplete and waited_ns >= MIN_REQUEST_TIME_BEFORE_EVICTION_NS

    def evict(self) -> None:
        """Have the connection closed, but for a request that is whole by now, or a response that a reset would cut."""
        self._evicted = True
        self.close_if_idle = self.idle
        self.close_if_incomplete = self.is_reading and not self.idle
        self.wake_up.set()

    # ------------------------------------------------------------ writing and closing

    def write(self, data: bytes | memoryview) -> bool:
        """Block until all is written; return false where the client has gone or takes nothing in."""
        view = memoryview(data)
        try:
            while view:
                try:
                    view = view[self.sock.send(view) :]
                except BlockingIOError:
                    self._write_stalled = True
                    deadline_ns = self._client_deadline_ns(self._loop.now() + WRITE_STALL_TIMEOUT_NS)
                    if self._loop.wait(self.fd, WRITABLE, deadline_ns) is not WakeReason.READY:
                        return False
        except OSError:
            return False  # a client that closes while its response is written costs its own connection alone
        return True

    def lingering_close(self) -> None:
        """End our side and let the client read the response, before :meth:`close`.

        Race: closing over bytes that are unread, or that still come, resets the connection, and the reset takes along
        what the client has not read of its response.  Nothing more is read: a request that comes now has not been
        taken, and its client learns so from the end of our side.
        """
        self.since_ns = self._loop.now()
        self.is_lingering = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
            has_ended = self._wait_for_end(self.since_ns + SHORT_LINGER_NS)
            if not self._has_unread_bytes():
                return
            self.is_lingering = False  # closed now, it would be reset: that is no place to be had
            if not has_ended:
                has_ended = self._wait_for_end(self.since_ns + MAX_LINGER_NS)
            if has_ended:  # it sends no more, but may still read
                self._loop.sleep(SHORT_LINGER_NS)
        except OSError as error:
            self._log_disconnect(error)

    def _wait_for_end(self, deadline_ns: int) -> bool:
        """Wait for the client's end, as long as nobody else needs the place; return whether it has come."""
        self._loop.register(self.fd, PEER_CLOSED, lambda _: self.wake_up.set())
        deadline_ns = self._client_deadline_ns(deadline_ns)
        has_ended, reason = False, WakeReason.READY
        while reason is WakeReason.READY and not has_ended and not self._evicted:
            reason = self.wake_up.wait(deadline_ns)  # it may have been set before, for another reason
            has_ended = self._loop.is_ready(self.fd, PEER_CLOSED)
        self._loop.unregister(self.fd)
        return has_ended

    def discard_input(self, was_slow: bool) -> None:
        """End our side, and throw away what a client at fault still sends, until it is silent or ends.

        Nothing tells its requests from each other any more.  Without this it might be kept from reading its response:
        it may still be writing, and a close over unread bytes would reset its connection.  One whose fault is that
        it was slow has had its time.
        """
        if self._evicted:
            return  # another waits for the place
        silence_ns = SHORT_LINGER_NS if was_slow else LINGER_SILENCE_TIMEOUT_NS
        linger_ns = SHORT_LINGER_NS if was_slow else MAX_LINGER_NS
        deadline_ns = self._client_deadline_ns(self._loop.now() + linger_ns)
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while (
                self._loop.wait(self.fd, READABLE, min(deadline_ns, self._loop.now() + silence_ns)) is WakeReason.READY
                and self._loop.now() < deadline_ns
                and self.sock.recv(RECEIVE_BYTES)
            ):
                pass  # thrown away
        except OSError as error:
            self._log_disconnect(error)

    def _client_deadline_ns(self, deadline_ns: int) -> int:
        """Return until when to wait for the client; a graceful shutdown does not wait for it for long."""
        if not self._shutdown.draining:
            return deadline_ns
        return min(deadline_ns, max(self._loop.now(), self._shutdown.last_response_ns) + SHUTDOWN_CLIENT_TIMEOUT_NS)

    def _has_unread_bytes(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False

    @staticmethod
    def _log_disconnect(error: OSError) -> None:
        logger.debug(
            "the client did not wait for the end: {reason}",
            event="downstream.client_disconnected",
            reason=str(error),
        )

    def close(self) -> None:
        """Close the socket at once."""
        self._loop.unregister(self.fd)
        if self.response_truncated:
            # A body may end where its connection does: only a reset says that this one is not whole.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.sock.close()
