"""Operators' drains: starts and ends them for admin calls, and stores them in the drain file."""

from __future__ import annotations

from loguru import logger

from lugtally.admin.drain_store import DrainStore
from lugtally.config.endpoint_list import endpoint_id_of
from lugtally.dispatch import Dispatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS

DRAIN_FILE_READ_INTERVAL_NS = 250 * NS_PER_MS
"""Longest time until a drain that another process of the same name started takes effect in this one."""


class OperatorDrains:
    """The endpoints that operators drain.  Implements :class:`~lugtally.admin.calls.AdminBackend`.

    While a process is being replaced, two processes of the same name run; they share drains through the drain file.
    """

    def __init__(self, dispatcher: Dispatcher, downstream: DownstreamServer, store: DrainStore) -> None:
        self._dispatcher = dispatcher
        self._downstream = downstream
        self._store = store
        self._drained: set[str] = set()  # endpoint names
        self._unsaved: dict[str, bool] = {}
        """The changes that could not be written yet: whether each endpoint is drained, by its name."""

    def is_ready(self) -> bool:
        """Return whether this process accepts requests and is not shutting down."""
        return self._downstream.ready and not self._downstream.draining

    def counters(self) -> dict[str, object]:
        """Return the request metrics, with the keys of the response to the counters call."""
        dispatcher = self._dispatcher
        return dispatcher.metrics.snapshot(
            dispatcher.in_progress, dispatcher.endpoint_count, dispatcher.disabled_count()
        )

    def start_drain(self, endpoint_name: str) -> bool:
        """Send no new requests to the endpoint until :meth:`end_drain`; return whether it was ever listed."""
        if endpoint_name not in self._drained:
            endpoint_id = endpoint_id_of(endpoint_name)
            if not self._dispatcher.was_listed(endpoint_id):
                return False
            self._drained.add(endpoint_name)
            self._dispatcher.start_drain(endpoint_id)
            logger.warning("operator's drain of {server} started", event="drain.started", server=endpoint_name)
        self._save(endpoint_name, True)
        return True

    def end_drain(self, endpoint_name: str) -> bool:
        """End the drain of the endpoint, which then warms up; return whether it was ever listed or is drained."""
        endpoint_id = endpoint_id_of(endpoint_name)
        if endpoint_name not in self._drained:
            return self._dispatcher.was_listed(endpoint_id)
        self._drained.discard(endpoint_name)
        self._dispatcher.end_drain(endpoint_id)
        logger.warning("operator's drain of {server} ended", event="drain.ended", server=endpoint_name)
        self._save(endpoint_name, False)
        return True

    def _save(self, endpoint_name: str, is_drained: bool) -> None:
        """Write a change.  If that fails, :meth:`reload` tries again, because the call has succeeded nevertheless."""
        self._unsaved[endpoint_name] = is_drained
        self._write_unsaved()

    def _write_unsaved(self) -> None:
        if self._unsaved and self._store.write(self._drained):
            self._unsaved.clear()

    def reload(self) -> None:
        """Apply the drains in the drain file if another process of this name has changed it since the last call.

        Changes of this process that could not be written stay in force, and are written now.
        """
        stored = self._store.read()
        if stored is not None:
            self._apply_stored(self._with_unsaved(stored))
        self._write_unsaved()

    def _with_unsaved(self, stored: set[str]) -> set[str]:
        """Return the stored drains with the changes that could not be written."""
        unchanged = stored - self._unsaved.keys()
        return unchanged | {endpoint_name for endpoint_name, is_drained in self._unsaved.items() if is_drained}

    def _apply_stored(self, stored: set[str]) -> None:
        for endpoint_name in stored - self._drained:
            self._dispatcher.start_drain(endpoint_id_of(endpoint_name))
        for endpoint_name in self._drained - stored:
            self._dispatcher.end_drain(endpoint_id_of(endpoint_name))
        if stored != self._drained:
            logger.info("operators' drains read from the file: {banned}", event="drain.reloaded", banned=sorted(stored))
        self._drained = stored


def poll_drain_file(loop: EventLoop, drains: OperatorDrains) -> None:
    """Apply the changes of other processes to the drain file, periodically and without end."""
    while True:
        loop.sleep(DRAIN_FILE_READ_INTERVAL_NS)
        drains.reload()
