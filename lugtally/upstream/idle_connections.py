"""Idle connections to endpoints.

Each idle connection is watched until it is reused or closed.  A task that reuses a connection removes it from here and
owns it exclusively.  The lists of connections are private to this module and none of its methods waits, so no task can
hold a list while another task changes it.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable

from lugtally.eventloop import EventLoop
from lugtally.upstream.connection import UpstreamConnection


class IdleConnections:
    """Holds the idle connections of one pool, by endpoint."""

    def __init__(self, loop: EventLoop, close: Callable[[UpstreamConnection], None]) -> None:
        """Start without connections; ``close`` closes a connection after it was removed."""
        self._loop = loop
        self._close = close
        self._by_endpoint: dict[int, list[UpstreamConnection]] = {}  # the most recently used one is last

    def add(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        """Add a connection, which is closed when bytes are received on it or the endpoint closes it."""
        connections = self._by_endpoint.setdefault(endpoint_id, [])
        insort(connections, connection, key=_idle_since)
        connection.watch(self._loop, lambda _: self._remove_and_close(endpoint_id, connection))

    def pop(self, endpoint_id: int, idle_before_ns: int, *, or_longest_idle: bool) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that has been idle since ``idle_before_ns`` or earlier.

        If there is none, remove and return the longest idle connection if ``or_longest_idle`` is set, else return
        ``None``.
        """
        connections = self._by_endpoint.get(endpoint_id)
        if not connections:
            return None
        reusable_count = sum(connection.idle_since_ns <= idle_before_ns for connection in connections)
        if not reusable_count and not or_longest_idle:
            return None
        connection = connections[max(0, reusable_count - 1)]  # sorted by idle time, the longest first
        self._remove(endpoint_id, connection)
        return connection

    def close_all(self, endpoint_id: int) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self._by_endpoint.pop(endpoint_id, []):
            self._close(connection)

    def close_idle_since_before(self, idle_before_ns: int) -> None:
        """Close the connections that became idle before ``idle_before_ns``."""
        for endpoint_id, connections in list(self._by_endpoint.items()):
            expired = [connection for connection in connections if connection.idle_since_ns < idle_before_ns]
            for connection in expired:
                self._remove_and_close(endpoint_id, connection)

    def close_longest_idle(self) -> None:
        """Close the longest idle connection, if there is one."""
        longest_idle = min(
            (
                (connections[0].idle_since_ns, endpoint_id)
                for endpoint_id, connections in self._by_endpoint.items()
                if connections
            ),
            default=None,
        )
        if longest_idle is not None:
            _, endpoint_id = longest_idle
            self._remove_and_close(endpoint_id, self._by_endpoint[endpoint_id][0])

    def _remove_and_close(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        self._remove(endpoint_id, connection)
        self._close(connection)

    def _remove(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        connection.unwatch()
        self._by_endpoint[endpoint_id].remove(connection)


def _idle_since(connection: UpstreamConnection) -> int:
    return connection.idle_since_ns
