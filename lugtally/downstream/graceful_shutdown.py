"""Graceful shutdown: go on accepting for a while, answer all that was taken, close, stop the event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection

from loguru import logger

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.listener import LISTEN_BACKLOG
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.eventloop import READABLE, Event, EventLoop, Task
from lugtally.units import NS_PER_MS

ACCEPT_AFTER_DRAIN_NS = 500 * NS_PER_MS
"""How long new connections are accepted after the shutdown began, as they keep coming."""
BACKLOG_DRAIN_TIMEOUT_NS = 100 * NS_PER_MS
"""How long to accept what waits in the backlog at the end."""

AcceptBatch = Callable[[socket.socket, int, int], None]
"""Accepts from a listener while fewer connections than the first number are open, and at most the second number."""


class GracefulShutdown:
    """The shutdown of one server."""

    def __init__(
        self,
        loop: EventLoop,
        connections: Collection[DownstreamConnection],
        connection_closed: Event,
        max_connections: int,
        accept_batch: AcceptBatch,
    ) -> None:
        """``connections`` are the server's own; ``connection_closed`` is set whenever one of them has gone."""
        self._loop = loop
        self._connections = connections
        self._connection_closed = connection_closed
        self._max_connections = max_connections
        self._accept_batch = accept_batch
        self.state = ShutdownState()

    def start(self, listener: socket.socket | None, inherited: bool, accept_task: Task | None) -> None:
        """Begin to drain, where that has not begun.

        ``inherited`` is a listener that a successor shares; ``accept_task`` accepts from it until it is interrupted.
        """
        if not self.state.draining:
            self.state.draining = True
            logger.info("told to stop: draining", event="sidecar.draining")
            self._loop.spawn(self._run, listener, inherited, accept_task)

    def _run(self, listener: socket.socket | None, inherited: bool, accept_task: Task | None) -> None:
        self._loop.sleep(ACCEPT_AFTER_DRAIN_NS)
        self._close_idle_connections()
        if accept_task is not None:
            # Race: waiting for a connection to close, it would take the event that this task needs below.
            self._loop.interrupt(accept_task)
        if listener is not None:
            # What waits in the backlog has been taken too: closing the listener would reset it.  An inherited one
            # is shared with the successor, which takes its backlog: closing our copy resets nothing.
            if not inherited:
                self._drain_backlog(listener)
            listener.close()
        while self._connections:
            self._connection_closed.wait()
        self._loop.stop()

    def _close_idle_connections(self) -> None:
        self.state.closing, self.state.closing_since_ns = True, self._loop.now()
        for connection in self._connections:
            # Race: the first request of a connection that has just come may be on its way, so that is given time.
            connection.close_if_idle = connection.had_request
            connection.wake_up.set()

    def _drain_backlog(self, listener: socket.socket) -> None:
        """Accept all that waits in the backlog, as connections close and leave capacity."""
        deadline_ns = self._loop.now() + BACKLOG_DRAIN_TIMEOUT_NS
        max_connections = self._max_connections + self._max_connections // 8
        while self._loop.is_ready(listener.fileno(), READABLE) and self._loop.now() < deadline_ns:
            if len(self._connections) >= max_connections:
                self._connection_closed.wait(deadline_ns)
            else:
                self._accept_batch(listener, max_connections, LISTEN_BACKLOG)
