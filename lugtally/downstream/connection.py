"""One client connection: its socket, its state and writing to it."""

from __future__ import annotations

import enum
import socket
import struct

from lugtally.downstream.connection_state import ConnectionState, TransitionCause, next_state
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop import WRITABLE, Event, EventLoop, WakeReason
from lugtally.units import NS_PER_MS

RECEIVE_BYTES = 16 * 1024
"""Size of one read; small, as each connection may buffer that much unparsed input."""
WRITE_STALL_TIMEOUT_NS = 5_000 * NS_PER_MS
"""How long a client may read nothing of a response."""
SHUTDOWN_CLIENT_TIMEOUT_NS = 50 * NS_PER_MS
"""How long to wait for a client, to read or to close, after the last response of a graceful shutdown is due."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # as SO_LINGER: the close resets the connection


class ClientStatus(enum.Enum):
    """The most severe condition that the client of a connection has shown."""

    ACTIVE = enum.auto()
    AT_FAULT = enum.auto()
    """One of its requests was rejected with a 4xx.  No further input is read, and the connection closes after the
    requests that were already received are answered."""
    HALF_CLOSED = enum.auto()
    """It shut down its sending side, so it may have disconnected.  None of its further requests is processed."""


class DownstreamConnection:
    """One client socket and its state; :mod:`~lugtally.downstream.connection_state` has the transitions."""

    __slots__ = (
        "client_status",
        "close_requested_in",
        "connected_after_ns",
        "evicted",
        "fd",
        "loop",
        "response_truncated",
        "shutdown_state",
        "waiting_since_ns",
        "sock",
        "state",
        "wake_up",
        "write_stalled",
    )

    def __init__(
        self,
        sock: socket.socket,
        loop: EventLoop,
        shutdown_state: ShutdownState | None = None,
        connected_after_ns: int | None = None,
    ) -> None:
        """``connected_after_ns`` is a time before which the client had not connected; the default is now."""
        self.loop = loop
        self.shutdown_state = shutdown_state or ShutdownState()
        self.connected_after_ns = loop.now() if connected_after_ns is None else connected_after_ns
        self.sock = sock
        self.fd = sock.fileno()
        self.state = ConnectionState.ACCEPTED
        self.waiting_since_ns = loop.now()
        """When the connection became idle, its present request started, or the lingering close started."""
        self.client_status = ClientStatus.ACTIVE
        self.close_requested_in: ConnectionState | None = None
        """The state in which the connection closes unless input is received first."""
        self.evicted = False
        """Whether the connection was evicted after its last complete request."""
        self.wake_up = Event(loop)
        """Wakes the task that waits for the client: input is available, or the close was requested."""
        self.write_stalled = False
        """Whether a write had to wait for the client since the last request was read."""
        self.response_truncated = False
        """Whether a streamed response was started and not completed: the close resets the connection."""

    def transition(self, cause: TransitionCause) -> None:
        """Move to the next state.

        Raises:
            InvalidTransitionError: the present state has no transition for this cause.
        """
        self.state = next_state(self.state, cause)

    @property
    def close_requested(self) -> bool:
        """Whether the connection closes in its present state unless input is received first."""
        return self.close_requested_in is self.state

    def evict(self) -> None:
        """Request the close to free capacity for another client.

        A request that is already complete is still processed, and a response is never truncated by a reset.
        """
        self.evicted = True
        self.close_requested_in = self.state
        self.wake_up.set()

    def close_when_idle(self) -> None:
        """Request the close at the time when no request is in progress and no further input is available."""
        match self.state:
            case ConnectionState.AWAITING_FIRST_REQUEST:
                # Race: the first request of a new connection may be on its way.
                self.close_requested_in = None
            case ConnectionState.IDLE | ConnectionState.PROCESSING | ConnectionState.WRITING_RESPONSE:
                self.close_requested_in = ConnectionState.IDLE
        self.wake_up.set()

    def start_discarding(self) -> None:
        """Enter ``DISCARDING`` after an invalid request.

        The connection may still be evicted if it was evictable as ``READING_REQUEST``.
        """
        may_be_evicted = self.state is ConnectionState.READING_REQUEST and not self.close_requested
        self.transition(TransitionCause.REQUEST_INVALID)
        if not may_be_evicted:
            self.close_requested_in = self.state

    def write(self, data: bytes | memoryview) -> bool:
        """Block until all data is written; return false if the client disconnected or does not read."""
        view = memoryview(data)
        try:
            while view:
                try:
                    view = view[self.sock.send(view) :]
                except BlockingIOError:
                    self.write_stalled = True
                    deadline_ns = self.client_deadline_ns(self.loop.now() + WRITE_STALL_TIMEOUT_NS)
                    if self.loop.wait(self.fd, WRITABLE, deadline_ns) is not WakeReason.READY:
                        return False
        except OSError:
            return False  # a client that closes while its response is written affects only its own connection
        return True

    def client_deadline_ns(self, deadline_ns: int) -> int:
        """Return until when to wait for the client, which a graceful shutdown limits."""
        if not self.shutdown_state.draining:
            return deadline_ns
        return min(deadline_ns, max(self.loop.now(), self.shutdown_state.last_response_ns) + SHUTDOWN_CLIENT_TIMEOUT_NS)

    def close(self) -> None:
        """Close the socket immediately."""
        self.transition(TransitionCause.SOCKET_CLOSED)
        self.loop.unregister(self.fd)
        if self.response_truncated:
            # The end of a connection may delimit a body: only a reset marks this one as incomplete.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.sock.close()
