"""Graceful shutdown: accepts connections for a limited time, answers all received requests, stops the event loop."""

from __future__ import annotations

from collections.abc import Collection

from loguru import logger

from lugtally.downstream.acceptor import ConnectionAcceptor
from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.shutdown_state import ACCEPT_AFTER_DRAIN_NS, ShutdownState
from lugtally.eventloop import Event, EventLoop


class GracefulShutdown:
    """The shutdown of one server."""

    def __init__(
        self,
        loop: EventLoop,
        connections: Collection[DownstreamConnection],
        connection_closed: Event,
        acceptor: ConnectionAcceptor,
        state: ShutdownState,
        longest_deadline_ns: int,
    ) -> None:
        """``connections`` are the server's open connections; the server sets ``connection_closed`` when one closes."""
        self._loop = loop
        self._connections = connections
        self._connection_closed = connection_closed
        self._acceptor = acceptor
        self._longest_deadline_ns = longest_deadline_ns
        self.state = state

    def start(self) -> None:
        """Start the shutdown, unless it has already started."""
        if not self.state.draining:
            self.state.start_draining(self._loop.now(), self._longest_deadline_ns)
            logger.info("graceful shutdown started: draining", event="sidecar.draining")
            self._loop.spawn(self._run)

    def _run(self) -> None:
        self._loop.sleep(ACCEPT_AFTER_DRAIN_NS)
        self._close_idle_connections()
        self._acceptor.stop(self.state.last_request_ns)
        while self._connections:
            self._connection_closed.wait()
        self._loop.stop()

    def _close_idle_connections(self) -> None:
        self.state.closing = True
        for connection in self._connections:
            connection.close_when_idle()
