"""Versioned endpoint list of the emulated discovery service, with the history of its changes.  Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

READY, DRAINING, REMOVED = "ready", "draining", "gone"  # values of ``state`` on the wire
MAX_CHANGES = 512  # in the history; a caller with an older version gets the full list


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A server in the list.  Its address depends on the sidecar and is added when the entry is encoded."""

    server: str
    zone: str
    cell: int
    state: str
    started_ms: int  # time of the last restart, in milliseconds since the epoch; 0 if it has never restarted


class EndpointChanges(NamedTuple):
    """The full list, or the latest entry of each server that changed after the caller's version."""

    is_full: bool
    entries: list[EndpointEntry]


class _Change(NamedTuple):
    """A changed entry, and the first version of the list that contains the change."""

    version: int
    entry: EndpointEntry


class EndpointRegistry:
    """The endpoint list and the history of its changes."""

    def __init__(self, entries: list[EndpointEntry]) -> None:
        self.version = 1
        self._entries = {entry.server: entry for entry in entries}
        self._changes: list[_Change] = []

    def update(self, entry: EndpointEntry) -> bool:
        """Add or replace an entry, or delete the entry of a removed server.  Return whether the list changed."""
        is_removed = entry.state == REMOVED
        if self._entries.get(entry.server) == entry or (is_removed and entry.server not in self._entries):
            return False
        self.version += 1
        if is_removed:
            del self._entries[entry.server]
        else:
            self._entries[entry.server] = entry
        self._changes = [*self._changes[-MAX_CHANGES:], _Change(self.version, entry)]
        return True

    def changes_since(self, version: int | None) -> EndpointChanges:
        """Return the changes after ``version``, or the full list if that is None or the history does not cover it."""
        if version is None or not self._history_covers(version):
            return EndpointChanges(True, list(self._entries.values()))
        changed = {change.entry.server: change.entry for change in self._changes if change.version > version}
        return EndpointChanges(False, list(changed.values()))

    def _history_covers(self, version: int) -> bool:
        """Return whether the history contains all changes after ``version``."""
        if version >= self.version:
            return version == self.version
        return bool(self._changes) and self._changes[0].version <= version + 1
