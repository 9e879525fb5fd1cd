"""Accepting: connections up to a limit, and who makes room where others wait behind it."""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_policy import select_for_eviction
from lugtally.downstream.listener import LISTEN_BACKLOG
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop import READABLE, Event, EventLoop, Task, WakeReason
from lugtally.units import NS_PER_MS

MAX_ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn of the loop: hundreds at once must not hold up requests in progress."""
EVICTION_INTERVAL_NS = 20 * NS_PER_MS
"""How often to look for a connection to evict while as many as may be are open and others wait."""
ACCEPT_ERROR_BACKOFF_NS = 20 * NS_PER_MS


class ConnectionAcceptor:
    """Accepts connections from one listener, and evicts what keeps others out."""

    def __init__(
        self,
        loop: EventLoop,
        connections: set[DownstreamConnection],
        connection_closed: Event,
        max_connections: int,
        shutdown: ShutdownState,
        handle_connection: Callable[[DownstreamConnection], None],
    ) -> None:
        """``connections`` are the server's own: accepted ones are added, and ``connection_closed`` says that one went.

        ``handle_connection`` serves a connection, in a task of its own.
        """
        self._loop = loop
        self._connections = connections
        self._connection_closed = connection_closed
        self._max_connections = max_connections
        self._shutdown = shutdown
        self._handle_connection = handle_connection
        self._backlog_empty_ns = loop.now()
        """The last time at which no connection was known to wait in the backlog."""
        self._backlog_is_drained = True
        """Whether that was when it was last accepted from: else some may have waited since before."""
        self._task: Task | None = None
        self.listener: socket.socket | None = None
        self._listener_is_shared = False

    def start(self, listener: socket.socket, is_shared: bool) -> None:
        """Accept from this listener; a shared one has a successor, which takes what waits in its backlog."""
        self.listener = listener
        self._listener_is_shared = is_shared
        self._task = self._loop.spawn(self._accept_connections, listener)

    def stop(self, deadline_ns: int) -> None:
        """Accept what waits in the backlog, as far as there is room by the deadline, and close the listener."""
        if self._task is not None:
            # Race: waiting for a connection to close, it would take the event that others need.
            self._loop.interrupt(self._task)
        if self.listener is not None:
            # What waits in the backlog has been taken too: closing the listener would reset it.  A shared one is
            # the successor's, which takes its backlog: closing our copy resets nothing.
            if not self._listener_is_shared:
                self._drain_backlog(self.listener, deadline_ns)
            self.listener.close()

    def _accept_connections(self, listener: socket.socket) -> None:
        reason = WakeReason.READY
        while reason is not WakeReason.INTERRUPTED:
            reason = self._wait_for_clients(listener)
            if reason is not WakeReason.READY:
                continue
            if len(self._connections) < self._max_connections:
                self._accept_batch(listener, self._max_connections, MAX_ACCEPTS_PER_TURN)
            else:
                self._backlog_is_drained = False
                reason = self._make_room(self._loop.now() + EVICTION_INTERVAL_NS)

    def _wait_for_clients(self, listener: socket.socket) -> WakeReason:
        watched_since_ns = self._loop.now()
        reason = self._loop.wait(listener.fileno(), READABLE)
        if reason is WakeReason.READY and self._backlog_is_drained:
            empty_ns = self._loop.not_ready_before_ns(watched_since_ns)
            self._backlog_empty_ns = max(self._backlog_empty_ns, empty_ns)
        return reason

    def _accept_batch(self, listener: socket.socket, max_connections: int, max_accepts: int) -> None:
        """Accept what waits, within these limits."""
        self._backlog_is_drained = False
        while listener.fileno() >= 0 and len(self._connections) < max_connections and max_accepts > 0:
            max_accepts -= 1
            called_ns = self._loop.now()
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                self._backlog_empty_ns = called_ns
                self._backlog_is_drained = True
                return
            except ConnectionAbortedError:
                continue  # that client has gone again
            except OSError as error:
                # Most likely no descriptor is free.  The backlog stays readable, so without a pause this
                # would spin; and it must not raise, or nothing would be accepted any more.
                logger.warning("cannot accept: {reason}", event="downstream.accept_failed", reason=error.strerror)
                self._make_room(self._loop.now() + ACCEPT_ERROR_BACKOFF_NS)
                return
            self._open_connection(sock)

    def _open_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        connection = DownstreamConnection(sock, self._loop, self._shutdown, self._backlog_empty_ns)
        self._connections.add(connection)
        self._loop.spawn(self._handle_connection, connection)

    def _drain_backlog(self, listener: socket.socket, deadline_ns: int) -> None:
        """Accept all that waits in the backlog, as connections close and leave capacity."""
        max_connections = self._max_connections + self._max_connections // 8
        while self._loop.is_ready(listener.fileno(), READABLE) and self._loop.now() < deadline_ns:
            if len(self._connections) >= max_connections:
                self._make_room(min(deadline_ns, self._loop.now() + EVICTION_INTERVAL_NS))
            else:
                self._accept_batch(listener, max_connections, LISTEN_BACKLOG)

    def _make_room(self, deadline_ns: int) -> WakeReason:
        """Evict a connection, if one may be, and wait until any has closed, at most until the deadline."""
        connection = select_for_eviction(self._connections, self._loop.now())
        if connection is not None:
            connection.evict()
        return self._connection_closed.wait(deadline_ns)
