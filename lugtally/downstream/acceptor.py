"""Accepts client connections up to a limit, and evicts connections while further clients wait in the backlog."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from loguru import logger

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_memory import CONNECTION_BYTES
from lugtally.downstream.connection_policy import select_for_eviction
from lugtally.downstream.listener import LISTEN_BACKLOG
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop import READABLE, Event, EventLoop, Task, WakeReason
from lugtally.memory import MemoryBudget, MemoryUse
from lugtally.units import NS_PER_MS

MAX_ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn of the event loop; more would delay requests in progress."""
MIN_CONNECTIONS = 8
"""So many connections are accepted even if the memory budget cannot grant it."""
EVICTION_INTERVAL_NS = 20 * NS_PER_MS
"""How often to select a connection for eviction while the limit is reached and clients wait in the backlog."""
ACCEPT_ERROR_BACKOFF_NS = 20 * NS_PER_MS
"""How long to wait after a failed ``accept`` before the next one, unless a connection closes earlier."""
_EXHAUSTED_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of ``accept`` for which closing another connection may help."""
DRAIN_EXTRA_CONNECTIONS_DIVISOR = 8
"""While a shutdown accepts the backlog, the connection limit is raised by the limit divided by this."""


class ConnectionAcceptor:
    """Accepts connections from one listener, and evicts connections so that waiting clients can be accepted."""

    def __init__(
        self,
        loop: EventLoop,
        connections: set[DownstreamConnection],
        connection_closed: Event,
        max_connections: int,
        shutdown_state: ShutdownState,
        handle_connection: Callable[[DownstreamConnection], None],
        memory: MemoryBudget,
    ) -> None:
        """Create an acceptor without a listener.

        Accepted connections are added to ``connections``, the server's set of open connections.  The server sets
        ``connection_closed`` when one of them has closed.  ``handle_connection`` runs in a separate task for each
        connection.
        """
        self._loop = loop
        self._connections = connections
        self._connection_closed = connection_closed
        self._max_connections = max_connections
        self._shutdown_state = shutdown_state
        self._handle_connection = handle_connection
        self._memory = memory
        self._backlog_last_empty_ns = loop.now()
        """The last time at which the backlog is known to have been empty."""
        self._backlog_was_emptied = True
        """Whether accepting last emptied the backlog.  If not, a client in it may have connected before that."""
        self._task: Task | None = None
        self.listener: socket.socket | None = None
        self._listener_is_shared = False

    def start(self, listener: socket.socket, is_shared: bool) -> None:
        """Accept from this listener.  At the shutdown the backlog of a shared one is left to the successor process."""
        self.listener = listener
        self._listener_is_shared = is_shared
        self._task = self._loop.spawn(self._accept_connections, listener)

    def stop(self, deadline_ns: int) -> None:
        """Accept the clients in the backlog, as the connection limit allows until the deadline; close the listener."""
        if self._task is not None:
            # Race: the accepting task may be waiting for a connection to close; it would consume the event that the
            # shutdown waits for.
            self._loop.interrupt(self._task)
        if self.listener is not None:
            # Closing the listener resets the connections in its backlog, unless it is shared: the successor process
            # has it open too.
            if not self._listener_is_shared:
                self._drain_backlog(self.listener, deadline_ns)
            self.listener.close()

    def _accept_connections(self, listener: socket.socket) -> None:
        reason = WakeReason.READY
        while reason is not WakeReason.INTERRUPTED:
            reason = self._wait_for_clients(listener)
            if reason is not WakeReason.READY:
                continue
            if self._may_accept(self._max_connections):
                self._accept_batch(listener, self._max_connections, MAX_ACCEPTS_PER_TURN)
            else:
                self._backlog_was_emptied = False
                reason = self._evict_and_wait(self._loop.now() + EVICTION_INTERVAL_NS)

    def _may_accept(self, max_connections: int) -> bool:
        """Return whether a further connection may be accepted."""
        count = len(self._connections)
        if count >= max_connections:
            return False
        return count < MIN_CONNECTIONS or self._memory.can_reserve(MemoryUse.CONNECTIONS, CONNECTION_BYTES)

    def _wait_for_clients(self, listener: socket.socket) -> WakeReason:
        watched_since_ns = self._loop.now()
        reason = self._loop.wait(listener.fileno(), READABLE)
        if reason is WakeReason.READY and self._backlog_was_emptied:
            last_empty_ns = self._loop.not_ready_before_ns(watched_since_ns)
            self._backlog_last_empty_ns = max(self._backlog_last_empty_ns, last_empty_ns)
        return reason

    def _accept_batch(self, listener: socket.socket, max_connections: int, max_accepts: int) -> None:
        """Accept clients until the backlog is empty or one of the limits is reached."""
        self._backlog_was_emptied = False
        while listener.fileno() >= 0 and self._may_accept(max_connections) and max_accepts > 0:
            max_accepts -= 1
            accept_called_ns = self._loop.now()
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                self._backlog_last_empty_ns = accept_called_ns
                self._backlog_was_emptied = True
                return
            except ConnectionAbortedError:
                continue  # the client disconnected while it waited in the backlog
            except OSError as error:
                self._back_off(error)
                return
            self._open_connection(sock)

    def _back_off(self, error: OSError) -> None:
        """Wait after a failed ``accept``; evict a connection if that frees a resource that it needs.

        The listener stays readable, so that retrying immediately would use all of the CPU.
        """
        logger.warning("cannot accept a connection: {reason}", event="downstream.accept_failed", reason=error.strerror)
        retry_ns = self._loop.now() + ACCEPT_ERROR_BACKOFF_NS
        if error.errno in _EXHAUSTED_ERRNOS:
            self._evict_and_wait(retry_ns)
        else:
            self._connection_closed.wait(retry_ns)

    def _open_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        connection = DownstreamConnection(
            sock, self._loop, self._shutdown_state, self._backlog_last_empty_ns, self._memory
        )
        self._connections.add(connection)
        self._loop.spawn(self._handle_connection, connection)

    def _drain_backlog(self, listener: socket.socket, deadline_ns: int) -> None:
        """Accept all clients in the backlog, each when the limit allows it, until the deadline."""
        max_connections = self._max_connections + self._max_connections // DRAIN_EXTRA_CONNECTIONS_DIVISOR
        while self._loop.is_ready(listener.fileno(), READABLE) and self._loop.now() < deadline_ns:
            if not self._may_accept(max_connections):
                self._evict_and_wait(min(deadline_ns, self._loop.now() + EVICTION_INTERVAL_NS))
            else:
                self._accept_batch(listener, max_connections, LISTEN_BACKLOG)

    def _evict_and_wait(self, deadline_ns: int) -> WakeReason:
        """Evict a connection if one may be evicted; then wait until any connection closes or the deadline passes."""
        connection = select_for_eviction(self._connections, self._loop.now())
        if connection is not None:
            connection.evict()
        return self._connection_closed.wait(deadline_ns)
