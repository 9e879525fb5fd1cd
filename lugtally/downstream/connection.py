"""One connection of the application: reading requests, writing responses, and closing without losing either."""

from __future__ import annotations

import enum
import socket
import struct

from loguru import logger

from lugtally.downstream.arrival import ArrivalBound
from lugtally.downstream.connection_state import ConnectionState, TransitionCause, next_state
from lugtally.downstream.request_queue import ReceivedRequest, RequestQueue
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


class ClientStatus(enum.Enum):
    """What is known of the client: the worst of these."""

    ACTIVE = enum.auto()
    AT_FAULT = enum.auto()
    """One of its requests was invalid: nothing more is read, and the connection ends once all read is answered."""
    HALF_CLOSED = enum.auto()
    """It has shut down its sending side, so it may have disconnected: no further request of it is processed."""


_MIN_WAIT_BEFORE_EVICTION_NS = {
    ConnectionState.LINGERING: MIN_LINGER_BEFORE_EVICTION_NS,
    ConnectionState.IDLE: 0,
    ConnectionState.AWAITING_FIRST_REQUEST: MIN_IDLE_BEFORE_EVICTION_NS,
    ConnectionState.READING_REQUEST: MIN_REQUEST_TIME_BEFORE_EVICTION_NS,
    ConnectionState.DISCARDING: MIN_REQUEST_TIME_BEFORE_EVICTION_NS,
}
"""How long a connection stays in a state before it may be evicted; in the other states it never is."""


class DownstreamConnection:
    """One client socket and its parser."""

    __slots__ = (
        "_loop",
        "_shutdown",
        "_write_stalled",
        "arrival",
        "arrived_ns",
        "client_status",
        "close_requested_in",
        "evicted",
        "fd",
        "requests",
        "response_truncated",
        "since_ns",
        "sock",
        "state",
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
        self.state = ConnectionState.ACCEPTED
        self.since_ns = loop.now()
        """When it became idle, when its present request began, or when it started to linger."""
        self.client_status = ClientStatus.ACTIVE
        self.close_requested_in: ConnectionState | None = None
        """The state in which it is to be closed, unless bytes were received meanwhile."""
        self.evicted = False
        """Whether it was evicted since its last complete request."""
        self.wake_up = Event(loop)
        """Set where a wait for input must check again: bytes were received, or the close was requested."""
        self._write_stalled = False
        """Whether the client was slow to read since the last request was read."""
        self.response_truncated = False
        """Whether part of a streamed response was sent and its end was not: the close must reset the connection."""

    def transition(self, cause: TransitionCause) -> None:
        """Move to the next state.

        Raises:
            InvalidTransitionError: the present state does not allow it.
        """
        self.state = next_state(self.state, cause)

    @property
    def close_requested(self) -> bool:
        """Whether the connection is to be closed in its present state, unless bytes were received meanwhile."""
        return self.close_requested_in is self.state

    # ------------------------------------------------------------ reading

    def read_request(self) -> Message | None:
        """Block until a request is whole and return it; ``None`` where the connection is over.

        Raises:
            ProtocolError: the client sent no sound request, or not all of it in time.
            OSError: the connection broke.
        """
        if self.requests.has_input:
            self._loop.sleep(0)  # a request that came together with the last one lets others go first
        request = self._next_buffered_request()
        if request is None:
            request = self._receive_request()
        if request is None:
            return None
        self.close_requested_in = None
        self.evicted = False
        self.arrived_ns = request.arrived_ns
        return request.message

    def _next_buffered_request(self) -> ReceivedRequest | None:
        """Start the wait for a request; return it if it was read while the last one was in progress."""
        if self.state is ConnectionState.ACCEPTED:
            self.transition(TransitionCause.READING_STARTED)
            return None
        self.since_ns = self._loop.now()
        request = self.requests.take()
        if request is not None:
            self.transition(TransitionCause.RESPONSE_COMPLETE_REQUEST_BUFFERED)
        elif self.requests.has_input:
            self.transition(TransitionCause.RESPONSE_COMPLETE_INPUT_BUFFERED)
        else:
            self.transition(TransitionCause.RESPONSE_COMPLETE)
        return request

    def _receive_request(self) -> ReceivedRequest | None:
        """Read until a request is complete; ``None`` where the connection is to be closed."""
        # Just after a response, most likely nothing is there yet: wait first, and save a call.  Not after a write that
        # took long, as nobody has watched for bytes meanwhile.
        wait_first = self.state is ConnectionState.IDLE and not self._write_stalled
        self._write_stalled = False
        continue_sent = False
        request = None
        while request is None:
            continue_sent = continue_sent or self._send_continue()
            data = None if wait_first and not self.close_requested else self._receive()
            wait_first = False
            if data is None:
                if not self.close_requested:
                    self._wait_for_bytes()
                elif self.state is ConnectionState.READING_REQUEST:
                    raise RequestTimeoutError
                else:
                    return None
                continue
            if not data:
                return None
            self._note_bytes()
            self.requests.feed(data, self.arrival.received_after_ns)
            request = self.requests.take()
        self.transition(TransitionCause.REQUEST_COMPLETE)
        return request

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
            self.close_requested_in = self.state

    def _read_deadline_ns(self) -> int:
        """Return until when to wait: counted from a request's first byte, so that a trickle of bytes gains no time."""
        deadline_ns = self.since_ns + (
            REQUEST_TIMEOUT_NS if self.state is ConnectionState.READING_REQUEST else CLIENT_IDLE_TIMEOUT_NS
        )
        return min(deadline_ns, self._shutdown.last_request_ns) if self._shutdown.closing else deadline_ns

    def _note_bytes(self) -> None:
        """Take it that bytes have come: the first of a request begin its time, later ones must be within it."""
        if self.state is not ConnectionState.READING_REQUEST:
            if self.state is ConnectionState.IDLE:  # the first request's time began with the connection
                self.since_ns = self._loop.now()
            self.transition(TransitionCause.FIRST_BYTES_RECEIVED)
        elif self.arrival.received_after_ns > self.since_ns + REQUEST_TIMEOUT_NS:
            raise RequestTimeoutError

    # ------------------------------------------------------------ eviction

    def may_evict(self, now_ns: int) -> bool:
        """Return whether the connection may be closed to make room for others; never with a request in progress."""
        min_wait_ns = _MIN_WAIT_BEFORE_EVICTION_NS.get(self.state)
        return min_wait_ns is not None and not self.close_requested and now_ns - self.since_ns >= min_wait_ns

    def evict(self) -> None:
        """Request the close, unless a complete request was received, or the close would reset the last response."""
        self.evicted = True
        self.close_requested_in = self.state
        self.wake_up.set()

    def close_when_idle(self) -> None:
        """Request the close once no request is in progress, unless a further one was received by then."""
        match self.state:
            case ConnectionState.AWAITING_FIRST_REQUEST:
                # Race: the first request of a new connection may be on its way, so that is given time.
                self.close_requested_in = None
            case ConnectionState.IDLE | ConnectionState.PROCESSING | ConnectionState.WRITING_RESPONSE:
                self.close_requested_in = ConnectionState.IDLE
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
        self.transition(TransitionCause.LAST_RESPONSE_COMPLETE)
        try:
            self.sock.shutdown(socket.SHUT_WR)
            has_ended = self._wait_for_end(self.since_ns + SHORT_LINGER_NS)
            if not self._has_unread_bytes():
                return
            self.transition(TransitionCause.UNREAD_INPUT_FOUND)
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
        while reason is WakeReason.READY and not has_ended and not self.evicted:
            reason = self.wake_up.wait(deadline_ns)  # it may have been set before, for another reason
            has_ended = self._loop.is_ready(self.fd, PEER_CLOSED)
        self._loop.unregister(self.fd)
        return has_ended

    def start_discarding(self) -> None:
        """Note that an invalid or late request gets its error response, the last one."""
        # Only a request that is still incomplete as far as eviction knows counts for it from now on.
        is_evictable = self.state is ConnectionState.READING_REQUEST and not self.close_requested
        self.transition(TransitionCause.REQUEST_INVALID)
        if not is_evictable:
            self.close_requested_in = self.state

    def discard_input(self, was_slow: bool) -> None:
        """End our side, and throw away what a client at fault still sends, until it is silent or ends.

        Nothing tells its requests from each other any more.  Without this it might be kept from reading its response:
        it may still be writing, and a close over unread bytes would reset its connection.  One whose fault is that
        it was slow has had its time.
        """
        if self.evicted:
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
        self.transition(TransitionCause.SOCKET_CLOSED)
        self._loop.unregister(self.fd)
        if self.response_truncated:
            # A body may end where its connection does: only a reset says that this one is not whole.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.sock.close()
