"""One client connection: its socket, its state, and the writes to it."""

from __future__ import annotations

import enum
import socket

from loguru import logger

from lugtally.downstream.connection_memory import ConnectionMemory
from lugtally.downstream.connection_state import ConnectionState, TransitionCause, next_state
from lugtally.downstream.send_progress import PROGRESS_CHECK_INTERVAL_NS, SendProgress
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop import WRITABLE, Event, EventLoop, WakeReason
from lugtally.eventloop.tcp_socket import TRANSIENT_ERRNOS, reset_on_close
from lugtally.memory import MemoryBudget, unlimited_budget
from lugtally.units import NS_PER_MS

RECEIVE_BYTES = 16 * 1024
"""Largest number of bytes that one read returns; small, because each connection may buffer that much unparsed input."""
WRITE_STALL_TIMEOUT_NS = 5_000 * NS_PER_MS
"""How long a write waits for a client that reads nothing."""
TRANSIENT_ERROR_PAUSE_NS = 2 * NS_PER_MS
SHUTDOWN_STALL_TIMEOUT_NS = 2_500 * NS_PER_MS
"""As ``WRITE_STALL_TIMEOUT_NS``, once the last response of a graceful shutdown is due."""
SHUTDOWN_CLIENT_TIMEOUT_NS = 50 * NS_PER_MS
"""How long a graceful shutdown waits, after its last response is due, for a client to close."""


class ClientStatus(enum.Enum):
    """What the client of a connection has done; if several of these apply, the last of them counts."""

    ACTIVE = enum.auto()
    AT_FAULT = enum.auto()
    """One of its requests was rejected with a 4xx.  No further input is read, and the connection closes after the
    requests that were already received have been answered."""
    HALF_CLOSED = enum.auto()
    """It shut down its sending side, so it may have disconnected.  None of its further requests is processed."""


class DownstreamConnection:
    """One client socket and its state; :mod:`~lugtally.downstream.connection_state` defines the transitions."""

    __slots__ = (
        "client_status",
        "close_requested_in",
        "connected_after_ns",
        "evicted",
        "fd",
        "loop",
        "memory",
        "response_truncated",
        "shutdown_state",
        "sock",
        "state",
        "waiting_since_ns",
        "wake_up",
        "write_stalled",
    )

    def __init__(
        self,
        sock: socket.socket,
        loop: EventLoop,
        shutdown_state: ShutdownState | None = None,
        connected_after_ns: int | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """``connected_after_ns`` is a lower bound of the time at which the client connected; the default is now.

        ``memory`` is the budget of the process; the default is an unlimited one.
        """
        self.memory = ConnectionMemory(memory or unlimited_budget())
        self.loop = loop
        self.shutdown_state = shutdown_state or ShutdownState()
        self.connected_after_ns = loop.now() if connected_after_ns is None else connected_after_ns
        self.sock = sock
        self.fd = sock.fileno()
        self.state = ConnectionState.ACCEPTED
        self.waiting_since_ns = loop.now()
        """When the connection became idle, the client started its current request, or the lingering close started.

        The time limits for the client count from here.
        """
        self.client_status = ClientStatus.ACTIVE
        self.close_requested_in: ConnectionState | None = None
        """The connection closes in this state, unless input is received first."""
        self.evicted = False
        """Whether the connection has been selected for eviction since its last complete request."""
        self.wake_up = Event(loop)
        """Set when input is available or the close was requested; wakes the task that waits for the client."""
        self.write_stalled = False
        """Whether a write has had to wait for the client since the last request was read."""
        self.response_truncated = False
        """Whether a streamed response was started and not completed; if so, the close resets the connection."""

    def transition(self, cause: TransitionCause) -> None:
        """Move to the next state.

        Raises:
            InvalidTransitionError: the current state has no transition for this cause.
        """
        self.state = next_state(self.state, cause)

    @property
    def close_requested(self) -> bool:
        """Whether the connection closes in its current state, unless input is received first."""
        return self.close_requested_in is self.state

    def evict(self) -> None:
        """Request the close, so that another client can be accepted.

        A request that is already complete is still processed, and no response is truncated by a reset.
        """
        self.evicted = True
        self.close_requested_in = self.state
        self.wake_up.set()

    def close_when_idle(self) -> None:
        """Request the close when no request is in progress and no further input is available.

        A new connection may still send its first request.  A request that is being received is not affected.
        """
        match self.state:
            case ConnectionState.AWAITING_FIRST_REQUEST:
                # Race: the first request of a new connection may be on its way.
                self.close_requested_in = None
            case ConnectionState.IDLE | ConnectionState.PROCESSING | ConnectionState.WRITING_RESPONSE:
                self.close_requested_in = ConnectionState.IDLE
        self.wake_up.set()

    def start_discarding(self) -> None:
        """Enter ``DISCARDING`` after an invalid request.

        The connection remains evictable if it was evictable in ``READING_REQUEST``.
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
                    self.memory.unsent.force(len(data))
                    if not self._wait_until_writable():
                        return False
                except OSError as error:
                    if error.errno not in TRANSIENT_ERRNOS or not self._pause_write():
                        return False  # the client disconnected: other connections are not affected
        finally:
            self.memory.unsent.release()
        return True

    def _pause_write(self) -> bool:
        """Block before repeating a write that the kernel had no memory for; return false if the task is interrupted."""
        return self.loop.sleep(TRANSIENT_ERROR_PAUSE_NS) is not WakeReason.INTERRUPTED

    def _wait_until_writable(self) -> bool:
        """Block until the socket is writable; return false if the client reads nothing, or the task is interrupted."""
        started_ns = self.loop.now()
        progress = SendProgress(self.sock, started_ns)
        unacknowledged_before = progress.unacknowledged
        while (now_ns := self.loop.now()) < (deadline_ns := self.stall_deadline_ns(progress.last_ns)):
            reason = self.loop.wait(self.fd, WRITABLE, min(deadline_ns, now_ns + PROGRESS_CHECK_INTERVAL_NS))
            if reason is not WakeReason.TIMEOUT:
                return reason is WakeReason.READY
            progress.update(self.loop.now())
        logger.info(
            "a client was disconnected because it did not read its response",
            event="downstream.write_timed_out",
            waited_ms=(now_ns - started_ns) / NS_PER_MS,
            unacknowledged_before=unacknowledged_before,
            unacknowledged_after=progress.unacknowledged,
        )
        return False

    def stall_deadline_ns(self, last_progress_ns: int) -> int:
        """Return until when to wait for a client that has read nothing since ``last_progress_ns``.

        A graceful shutdown waits no longer than its last response is due, but for a client that has been reading.
        """
        deadline_ns = last_progress_ns + WRITE_STALL_TIMEOUT_NS
        if not self.shutdown_state.draining:
            return deadline_ns
        last_response_ns = self.shutdown_state.last_response_ns + SHUTDOWN_CLIENT_TIMEOUT_NS
        return min(deadline_ns, max(last_response_ns, last_progress_ns + SHUTDOWN_STALL_TIMEOUT_NS))

    def client_deadline_ns(self, deadline_ns: int) -> int:
        """Return the earlier of this deadline and the one that a graceful shutdown sets for waiting for the client."""
        if not self.shutdown_state.draining:
            return deadline_ns
        return min(deadline_ns, max(self.loop.now(), self.shutdown_state.last_response_ns) + SHUTDOWN_CLIENT_TIMEOUT_NS)

    def close(self) -> None:
        """Close the socket immediately."""
        self.memory.release()
        self.transition(TransitionCause.SOCKET_CLOSED)
        self.loop.unregister(self.fd)
        if self.response_truncated:
            # The regular end of a connection can mark the end of a body: only a reset shows that this one is truncated.
            reset_on_close(self.sock)
        self.sock.close()
