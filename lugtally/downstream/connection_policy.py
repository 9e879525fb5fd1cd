"""Decides which connections may be evicted, and which may carry a further request.

Eviction depends only on the state of a connection and on how long it has waited for its client.
"""

from __future__ import annotations

from collections.abc import Collection

from lugtally.downstream.connection import ClientStatus, DownstreamConnection
from lugtally.downstream.connection_state import ConnectionState
from lugtally.downstream.request_reader import RequestReader
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop.tcp_socket import is_empty
from lugtally.http1 import Message
from lugtally.memory import MemoryBudget, MemoryUse
from lugtally.units import NS_PER_MS

MIN_LINGER_BEFORE_EVICTION_NS = 20 * NS_PER_MS
"""How long a client has to read its last response and to close, before its connection may be evicted."""
MIN_NEW_CONNECTION_AGE_BEFORE_EVICTION_NS = 100 * NS_PER_MS
"""How long a new client has to send its first byte, before its connection may be evicted."""
MIN_REQUEST_TIME_BEFORE_EVICTION_NS = 500 * NS_PER_MS
"""How long a client has to complete a request, before its connection may be evicted."""

_MIN_WAIT_BEFORE_EVICTION_NS = {
    ConnectionState.LINGERING: MIN_LINGER_BEFORE_EVICTION_NS,
    ConnectionState.IDLE: 0,
    ConnectionState.AWAITING_FIRST_REQUEST: MIN_NEW_CONNECTION_AGE_BEFORE_EVICTION_NS,
    ConnectionState.READING_REQUEST: MIN_REQUEST_TIME_BEFORE_EVICTION_NS,
    ConnectionState.DISCARDING: MIN_REQUEST_TIME_BEFORE_EVICTION_NS,
}
"""How long a connection must have waited for its client before it may be evicted, by its state.

In every other state it is never evicted.
"""
_EVICTION_ORDER = {
    ConnectionState.LINGERING: 0,
    ConnectionState.IDLE: 1,
    ConnectionState.AWAITING_FIRST_REQUEST: 1,
    ConnectionState.READING_REQUEST: 2,
    ConnectionState.DISCARDING: 2,
}
"""Rank of each state: connections whose state has a lower rank are evicted first."""


def may_evict(connection: DownstreamConnection, now_ns: int) -> bool:
    """Return whether a connection may be closed in favour of another; never while a request is processed."""
    min_wait_ns = _MIN_WAIT_BEFORE_EVICTION_NS.get(connection.state)
    if min_wait_ns is None or connection.close_requested:
        return False
    return now_ns - connection.waiting_since_ns >= min_wait_ns


def select_for_eviction(connections: Collection[DownstreamConnection], now_ns: int) -> DownstreamConnection | None:
    """Return the connection to evict next, or ``None`` if none may be evicted.

    Connections are ordered by the rank of their state; of equal rank, the one that has waited longest is next.
    """
    evictable = [connection for connection in connections if may_evict(connection, now_ns)]
    return min(
        evictable,
        key=lambda connection: (_EVICTION_ORDER[connection.state], connection.waiting_since_ns),
        default=None,
    )


class ReusePolicy:
    """Decides whether a connection may carry further requests after the one in progress."""

    def __init__(
        self,
        shutdown_state: ShutdownState,
        connections: Collection[DownstreamConnection],
        max_connections: int,
        memory: MemoryBudget,
    ) -> None:
        """``connections`` are the server's open connections; the server adds and removes them."""
        self._memory = memory
        self._shutdown_state = shutdown_state
        self._connections = connections
        self._max_connections = max_connections

    def closes_after(self, reader: RequestReader, request: Message) -> bool:
        """Return whether the connection closes after the response to this request.

        Requests that were already received are answered first.  A partly received request is also read to its end,
        unless the client is at fault, because it may go on sending invalid requests.
        """
        if not request.keep_alive:
            return True
        if reader.queue.has_request:
            return False
        if reader.connection.client_status is not ClientStatus.ACTIVE:
            return True
        if reader.queue.has_input or self._may_keep_alive():
            return False
        return is_empty(reader.connection.fd)  # what has arrived is due a response, also if it was not read ahead

    def may_read_ahead(self, connection: DownstreamConnection, request: Message) -> bool:
        """Return whether further requests may be read before this one is answered."""
        is_at_fault = connection.client_status is ClientStatus.AT_FAULT
        return request.keep_alive and not is_at_fault and not self._shutdown_state.draining

    def _may_keep_alive(self) -> bool:
        """Return whether a connection without further input may stay open.

        While more than half of the allowed connections are open, or memory is scarce, each response closes its
        connection: idle connections would keep new clients in the backlog.
        """
        if self._shutdown_state.draining or len(self._connections) > self._max_connections // 2:
            return False
        return self._memory.can_reserve(MemoryUse.REQUESTS)
