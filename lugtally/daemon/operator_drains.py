"""Drains by operators: what the calls of the operators' address read and change."""

from __future__ import annotations

from loguru import logger

from lugtally.admin.drain_store import DrainStore
from lugtally.config.endpoint_list import endpoint_id_of
from lugtally.dispatch import Dispatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS

DRAIN_FILE_READ_INTERVAL_NS = 250 * NS_PER_MS
"""How soon a drain that was ordered at another process of the same name takes effect at this one."""


class OperatorDrains:
    """The servers that operators drain, with the file that keeps them; an :class:`~lugtally.admin.calls.AdminBackend`.

    A process replacement has two processes of one name for a while: the file carries a drain from one to the other.
    """

    def __init__(self, dispatcher: Dispatcher, downstream: DownstreamServer, store: DrainStore) -> None:
        self._dispatcher = dispatcher
        self._downstream = downstream
        self._store = store
        self._drained: set[str] = set()

    def is_ready(self) -> bool:
        """Return whether this process is ready to serve; one that is shutting down is not."""
        return self._downstream.ready and not self._downstream.draining

    def counters(self) -> dict[str, object]:
        """Return the request metrics, by the keys of the page."""
        dispatcher = self._dispatcher
        return dispatcher.metrics.snapshot(
            dispatcher.in_progress, dispatcher.endpoint_count, dispatcher.disabled_count()
        )

    def start_drain(self, server: str) -> bool:
        """Send the server no new work until :meth:`end_drain`; false where it was never listed."""
        if server not in self._drained:
            if not self._dispatcher.was_listed(endpoint_id_of(server)):
                return False
            self._drained.add(server)
            self._dispatcher.start_drain(endpoint_id_of(server))
            logger.warning("pledge server {server} is drained by hand", event="drain.started", server=server)
        self._store.write(self._drained)
        return True

    def end_drain(self, server: str) -> bool:
        """Let the server come back, warming up; false where it was never listed nor drained."""
        if server not in self._drained:
            return self._dispatcher.was_listed(endpoint_id_of(server))
        self._drained.discard(server)
        self._dispatcher.end_drain(endpoint_id_of(server))
        logger.warning("pledge server {server} is back from a drain by hand", event="drain.ended", server=server)
        self._store.write(self._drained)
        return True

    def reload(self) -> None:
        """Adopt the drains that another process of this name wrote, where it did since the last call."""
        stored = self._store.read()
        if stored is None:
            return
        for server in stored - self._drained:
            self._dispatcher.start_drain(endpoint_id_of(server))
        for server in self._drained - stored:
            self._dispatcher.end_drain(endpoint_id_of(server))
        if stored != self._drained:
            logger.info("drains by hand taken from the file: {banned}", event="drain.reloaded", banned=sorted(stored))
        self._drained = stored


def follow_drain_file(loop: EventLoop, drains: OperatorDrains) -> None:
    """Adopt what other processes write to the file, for as long as the loop runs."""
    while True:
        loop.sleep(DRAIN_FILE_READ_INTERVAL_NS)
        drains.reload()
