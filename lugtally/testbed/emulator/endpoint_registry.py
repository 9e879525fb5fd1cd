"""The endpoint list as the emulated discovery service holds it: entries, versions and changes.  Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

READY, DRAINING, REMOVED = "ready", "draining", "gone"  # states, as on the wire
MAX_CHANGES = 512  # remembered; a caller that is further behind gets the whole list


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server of the list.  Its address differs by sidecar and is added when the entry is written."""

    server: str
    zone: str
    cell: int
    state: str
    started_ms: int  # of a restart, in milliseconds since the epoch; 0 where it has always run


class EndpointChanges(NamedTuple):
    """What a caller needs to be up to date: the whole list, or the last entry of each server that changed."""

    is_full: bool
    entries: list[EndpointEntry]


class EndpointRegistry:
    """The list and its history."""

    def __init__(self, entries: list[EndpointEntry]) -> None:
        self.version = 1
        self._entries = {entry.server: entry for entry in entries}
        self._changes: list[tuple[int, EndpointEntry]] = []  # version, and the entry that made it

    def update(self, entry: EndpointEntry) -> bool:
        """Take over an entry; one of a removed server leaves the list.  False where nothing changed."""
        is_removed = entry.state == REMOVED
        if self._entries.get(entry.server) == entry or (is_removed and entry.server not in self._entries):
            return False
        self.version += 1
        if is_removed:
            del self._entries[entry.server]
        else:
            self._entries[entry.server] = entry
        self._changes = [*self._changes[-MAX_CHANGES:], (self.version, entry)]
        return True

    def changes_since(self, version: int | None) -> EndpointChanges:
        """Return what changed after a version; all where the history does not reach back to it."""
        if version is None or not self._remembers(version):
            return EndpointChanges(True, list(self._entries.values()))
        changed = {entry.server: entry for at, entry in self._changes if at > version}
        return EndpointChanges(False, list(changed.values()))

    def _remembers(self, version: int) -> bool:
        if version >= self.version:
            return version == self.version
        return bool(self._changes) and self._changes[0][0] <= version + 1
