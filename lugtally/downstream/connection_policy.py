"""Which connections may be evicted.

That depends only on the state of a connection and the time for which it has waited for its client.
"""

from __future__ import annotations

from collections.abc import Collection

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_state import ConnectionState
from lugtally.units import NS_PER_MS

MIN_LINGER_BEFORE_EVICTION_NS = 20 * NS_PER_MS
"""How long a client has to read its last response and to close before its connection may be evicted."""
MIN_IDLE_BEFORE_EVICTION_NS = 100 * NS_PER_MS
"""How long a new client has to send its first byte before its connection may be evicted."""
MIN_REQUEST_TIME_BEFORE_EVICTION_NS = 500 * NS_PER_MS
"""How long a client has to complete a request before its connection may be evicted."""

_MIN_TIME_IN_STATE_NS = {
    ConnectionState.LINGERING: MIN_LINGER_BEFORE_EVICTION_NS,
    ConnectionState.IDLE: 0,
    ConnectionState.AWAITING_FIRST_REQUEST: MIN_IDLE_BEFORE_EVICTION_NS,
    ConnectionState.READING_REQUEST: MIN_REQUEST_TIME_BEFORE_EVICTION_NS,
    ConnectionState.DISCARDING: MIN_REQUEST_TIME_BEFORE_EVICTION_NS,
}
"""When a connection may be evicted, by its state.  In every other state it is never evicted."""
_EVICTION_ORDER = {
    ConnectionState.LINGERING: 0,
    ConnectionState.IDLE: 1,
    ConnectionState.AWAITING_FIRST_REQUEST: 1,
    ConnectionState.READING_REQUEST: 2,
    ConnectionState.DISCARDING: 2,
}
"""Connections in a state with a lower number are evicted first."""


def may_evict(connection: DownstreamConnection, now_ns: int) -> bool:
    """Return whether a connection may be closed to free capacity; never while a request is processed."""
    min_time_ns = _MIN_TIME_IN_STATE_NS.get(connection.state)
    if min_time_ns is None or connection.close_requested:
        return False
    return now_ns - connection.since_ns >= min_time_ns


def select_for_eviction(connections: Collection[DownstreamConnection], now_ns: int) -> DownstreamConnection | None:
    """Return the connection to evict next: by its state, then the oldest; ``None`` if none may be evicted."""
    evictable = [connection for connection in connections if may_evict(connection, now_ns)]
    return min(
        evictable,
        key=lambda connection: (_EVICTION_ORDER[connection.state], connection.since_ns),
        default=None,
    )
