"""Stores operators' drains in ``$TMPDIR``, so that they survive a restart and reach the process that replaces this one.

Each change has a file of its own, whose name orders it among the changes of all processes of one sidecar name.  The
last change of an endpoint is in force.  No process replaces or rewrites what another one has written, so that no
change is lost, and none has to wait, whenever a writer is stopped or killed.  A file gets its name only when it is
complete.  Files of changes that are no longer in force are removed, which any process may do at any time.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import NamedTuple

from lugtally.admin.drain_change import DrainChange, decode_change, is_change_file
from lugtally.admin.drain_file import (
    DrainFile,
    log_unreadable,
    remove_file,
    rename_invalid_file,
    write_file,
)
from lugtally.file_names import file_safe_name

EXPIRY_S = 3600.0
"""How long the end of a drain, or an incomplete file, is stored.  All processes have read the end long before."""


class StoredDrains(NamedTuple):
    """What is stored.

    Attributes:
        changes: The last change of each endpoint that has one, by endpoint name.
        in_drain_file: The endpoints that are drained by the drain file.  A change takes precedence.
    """

    changes: dict[str, DrainChange]
    in_drain_file: frozenset[str]


class DrainStore:
    """The stored drains of one sidecar name.  All processes with this name read and write the same folder."""

    def __init__(self, folder: str, sidecar_name: str) -> None:
        prefix = f"lugtally-{file_safe_name(sidecar_name)}-drains"
        self.folder = Path(folder) / prefix
        self.drain_file = DrainFile(Path(folder) / f"{prefix}.json")
        self._changes: dict[str, DrainChange] = {}
        """The changes in the folder that have been read, by file name."""

    def read(self) -> StoredDrains | None:
        """Return what is stored; ``None`` if it cannot be read.  An error is logged."""
        try:
            self._read_folder()
        except OSError as error:
            log_unreadable(error)
            return None
        last: dict[str, DrainChange] = {}
        for change in self._changes.values():
            if change.is_after(last.get(change.endpoint_name)):
                last[change.endpoint_name] = change
        self._remove_superseded(last)
        self.drain_file.read()
        return StoredDrains(last, self.drain_file.drained)

    def write(self, change: DrainChange) -> bool:
        """Store a change; return whether that succeeded.  An error is logged."""
        try:
            self.folder.mkdir(mode=0o700, exist_ok=True)
        except OSError:
            pass  # the write below fails as well, and logs the error
        if not write_file(self.folder / change.file_name, change.encode()):
            return False
        self._changes[change.file_name] = change
        return True

    def update_drain_file(self, drained: set[str]) -> None:
        """Write the drain file, for an earlier version.  Call this only after :meth:`read` has succeeded."""
        self.drain_file.update(frozenset(drained))

    def remove_expired(self) -> None:
        """Remove ends of drains that all processes have read, and incomplete files of processes that were killed.

        The end of a drain is still needed while the endpoint is drained by the drain file.
        """
        stored = self.read()
        if stored is None:
            return
        needed = {change.file_name for name, change in stored.changes.items() if change.is_drained}
        needed |= {stored.changes[name].file_name for name in stored.changes.keys() & stored.in_drain_file}
        try:
            for path in self.folder.iterdir():
                if path.name not in needed and time.time() - path.stat().st_mtime > EXPIRY_S:
                    self._forget(path)
        except OSError:
            pass  # there is no folder yet, or another process has removed a file

    def _read_folder(self) -> None:
        """Read the files of changes that have not been read yet, and forget those that have been removed.

        Raises:
            OSError: The folder or a file cannot be read.
        """
        try:
            names = {path.name for path in self.folder.iterdir() if is_change_file(path.name)}
        except FileNotFoundError:
            names = set()
        for name in self._changes.keys() - names:
            del self._changes[name]
        for name in names - self._changes.keys():
            self._read_change(self.folder / name)

    def _read_change(self, path: Path) -> None:
        try:
            self._changes[path.name] = decode_change(path.name, path.read_bytes())
        except FileNotFoundError:
            pass  # another process has removed a change that is no longer in force
        except ValueError as error:
            rename_invalid_file(path, error)

    def _remove_superseded(self, last: dict[str, DrainChange]) -> None:
        for change in list(self._changes.values()):
            if change is not last[change.endpoint_name]:
                self._forget(self.folder / change.file_name)

    def _forget(self, path: Path) -> None:
        remove_file(path)
        self._changes.pop(path.name, None)
