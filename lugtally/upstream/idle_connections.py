"""Idle connections to endpoints: each is watched until it is taken, ends or is closed.

Whoever takes a connection owns it alone.  The lists never leave this module, so none is held across a wait in which
another task changes it.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable

from lugtally.eventloop import EventLoop
from lugtally.upstream.connection import UpstreamConnection


class IdleConnections:
    """The idle connections of one pool, by endpoint."""

    def __init__(self, loop: EventLoop, close: Callable[[UpstreamConnection], None]) -> None:
        """Make an empty collection; ``close`` closes a connection that was dropped from it."""
        self._loop = loop
        self._close = close
        self._by_endpoint: dict[int, list[UpstreamConnection]] = {}  # the most recently used last

    def add(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        """Keep a connection; whatever comes on it meanwhile ends it."""
        connections = self._by_endpoint.setdefault(endpoint_id, [])
        insort(connections, connection, key=_idle_since)
        connection.watch(self._loop, lambda _: self._close_ended(endpoint_id, connection))

    def take(self, endpoint_id: int, settled_before_ns: int, *, or_unsettled: bool) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that was idle by then.

        Where all became idle later it is the longest idle one ``or_unsettled``, else ``None``.
        """
        connections = self._by_endpoint.get(endpoint_id)
        if not connections:
            return None
        settled_count = sum(connection.idle_since_ns <= settled_before_ns for connection in connections)
        if not settled_count and not or_unsettled:
            return None
        connection = connections[max(0, settled_count - 1)]  # the settled ones are the first of the list
        self._remove(endpoint_id, connection)
        return connection

    def close_all(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._by_endpoint.pop(endpoint_id, []):
            self._close(connection)

    def close_idle_since(self, before_ns: int) -> None:
        """Close those that have been idle since before that time."""
        for endpoint_id, connections in list(self._by_endpoint.items()):
            expired = [connection for connection in connections if connection.idle_since_ns < before_ns]
            for connection in expired:
                self._remove(endpoint_id, connection)
                self._close(connection)

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle longest, if there is one."""
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
            connection = self._by_endpoint[endpoint_id][0]
            self._remove(endpoint_id, connection)
            self._close(connection)

    def _close_ended(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        self._remove(endpoint_id, connection)
        self._close(connection)

    def _remove(self, endpoint_id: int, connection: UpstreamConnection) -> None:
        connection.unwatch()
        self._by_endpoint[endpoint_id].remove(connection)


def _idle_since(connection: UpstreamConnection) -> int:
    return connection.idle_since_ns
