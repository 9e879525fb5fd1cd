"""Operators' drains: starts and ends them for admin calls, and shares them with other processes of the same name."""

from __future__ import annotations

import os

from loguru import logger

from lugtally.admin.drain_change import DrainChange
from lugtally.admin.drain_store import DrainStore, StoredDrains
from lugtally.config.endpoint_list import endpoint_id_of
from lugtally.dispatch import Dispatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS

DRAIN_READ_INTERVAL_NS = 250 * NS_PER_MS
"""Longest time until a drain that another process of the same name started takes effect in this one."""


class OperatorDrains:
    """The endpoints that operators drain.  Implements :class:`~lugtally.admin.calls.AdminBackend`.

    While a process is being replaced, two processes of the same name run; they share drains through the store.
    """

    def __init__(
        self, loop: EventLoop, dispatcher: Dispatcher, downstream: DownstreamServer, store: DrainStore
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._downstream = downstream
        self._store = store
        self._changes: dict[str, DrainChange] = {}
        """The last known change of each endpoint that has one, by endpoint name."""
        self._unsaved: set[str] = set()
        """The endpoints whose change could not be written yet."""
        self._drained: set[str] = set()
        """The names of the endpoints that are drained."""

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
        """Send no new requests to the endpoint until :meth:`end_drain`; return whether it is known."""
        return self._change(endpoint_name, is_drained=True)

    def end_drain(self, endpoint_name: str) -> bool:
        """End the drain of the endpoint, which then warms up; return whether it is known."""
        return self._change(endpoint_name, is_drained=False)

    def _change(self, endpoint_name: str, *, is_drained: bool) -> bool:
        """Make and store a change; return false if the endpoint was never listed, and has no change.

        The change is made after all changes of other processes that are complete, and so it takes precedence.  It is
        stored even if the endpoint is in that state already: another process may have an earlier one to write.
        """
        self.reload()
        if not self._is_known(endpoint_name):
            return False
        if (endpoint_name in self._drained) is not is_drained:
            _log_change(endpoint_name, is_drained)
        self._changes[endpoint_name] = DrainChange(endpoint_name, is_drained, self._next_order(), os.getpid())
        self._unsaved.add(endpoint_name)
        self._apply(self._drained | {endpoint_name} if is_drained else self._drained - {endpoint_name})
        self.reload()
        return True

    def _is_known(self, endpoint_name: str) -> bool:
        return (
            endpoint_name in self._changes
            or endpoint_name in self._drained
            or self._dispatcher.was_listed(endpoint_id_of(endpoint_name))
        )

    def _next_order(self) -> int:
        """Return the order of a change that is made now.

        The processes of a machine share the monotonic clock, so that this is above that of a change which another
        process has made but cannot write.  When the machine restarts, the clock starts from 0, and the stored changes
        remain.
        """
        return max(self._loop.now(), max((change.order for change in self._changes.values()), default=0) + 1)

    def reload(self) -> None:
        """Apply the changes of other processes of this name, and write those of this one that are not stored.

        A change that cannot be written stays in force, because its call has succeeded nevertheless.
        """
        stored = self._store.read()
        if stored is not None:
            self._merge(stored)
        self._write_unsaved()
        if stored is not None:
            self._store.update_drain_file(self._drained)

    def _merge(self, stored: StoredDrains) -> None:
        """Adopt the stored changes that were made after those that are known here."""
        for endpoint_name, change in stored.changes.items():
            if change.is_after(self._changes.get(endpoint_name)):
                self._changes[endpoint_name] = change
                self._unsaved.discard(endpoint_name)
        self._restore_missing(stored)
        drained = {endpoint_name for endpoint_name, change in self._changes.items() if change.is_drained}
        drained |= stored.in_drain_file - self._changes.keys()
        if drained != self._drained:
            logger.info(
                "operators' drains read from the file: {banned}", event="drain.reloaded", banned=sorted(drained)
            )
        self._apply(drained)

    def _restore_missing(self, stored: StoredDrains) -> None:
        """Write drains again whose files were removed, and forget ends of drains that have expired."""
        for endpoint_name in self._changes.keys() - stored.changes.keys() - self._unsaved:
            if self._changes[endpoint_name].is_drained:
                self._unsaved.add(endpoint_name)
            else:
                del self._changes[endpoint_name]

    def _apply(self, drained: set[str]) -> None:
        """Make these the drained endpoints."""
        for endpoint_name in drained - self._drained:
            self._dispatcher.start_drain(endpoint_id_of(endpoint_name))
        for endpoint_name in self._drained - drained:
            self._dispatcher.end_drain(endpoint_id_of(endpoint_name))
        self._drained = drained

    def _write_unsaved(self) -> None:
        """Write the changes that are not stored, until a write fails; :meth:`reload` tries again."""
        for endpoint_name in sorted(self._unsaved):
            if not self._store.write(self._changes[endpoint_name]):
                return
            self._unsaved.discard(endpoint_name)


def _log_change(endpoint_name: str, is_drained: bool) -> None:
    if is_drained:
        logger.warning("operator's drain of {server} started", event="drain.started", server=endpoint_name)
    else:
        logger.warning("operator's drain of {server} ended", event="drain.ended", server=endpoint_name)


def poll_stored_drains(loop: EventLoop, drains: OperatorDrains) -> None:
    """Apply the changes of other processes, periodically and without end."""
    while True:
        loop.sleep(DRAIN_READ_INTERVAL_NS)
        drains.reload()
