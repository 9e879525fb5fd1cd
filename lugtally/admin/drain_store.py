"""The drain file: stores the names of the endpoints that operators drain, so that drains survive a restart.

A drain remains in force until an operator ends it, independent of the endpoint list.  It also applies to the process
that replaces this one, as both use the same ``$TMPDIR``.  The file is replaced atomically: it is written under another
name and renamed, so that a reader never finds an incomplete file.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import ujson
from loguru import logger

FORMAT_VERSION = 1
MAX_DRAINED_ENDPOINTS = 4096
"""Largest set that is accepted.  An endpoint list is shorter, so a larger file was written by another program."""
MAX_NAME_LENGTH = 64
"""Characters of the sidecar's name in the name of the file."""


class _FileVersion(NamedTuple):
    """Identifies one version of the file.  Each write creates a new inode."""

    inode: int
    modified_ns: int
    size: int


class DrainStore:
    """The drain file of one sidecar name.  All processes with this name read and write the same file."""

    def __init__(self, folder: str, sidecar_name: str) -> None:
        safe_name = "".join(char if char.isalnum() or char in "-_." else "_" for char in sidecar_name)
        self.path = Path(folder) / f"lugtally-{safe_name[:MAX_NAME_LENGTH] or 'sidecar'}-drains.json"
        self._last_version: _FileVersion | None = None
        """The version that was last read or written."""

    def read(self) -> set[str] | None:
        """Return the drained endpoints; ``None`` if there is no valid file or it has not changed since the last call.

        An error is logged.  An invalid file is renamed, so that its contents are not lost.
        """
        try:
            version = self._current_version()
        except FileNotFoundError:
            self._last_version = None
            return None
        except OSError as error:
            logger.error(
                "the drain file cannot be read: {reason}", event="drain.file_unreadable", reason=error.strerror
            )
            return None
        if version == self._last_version:
            return None
        self._last_version = version
        try:
            return decode(self.path.read_bytes())
        except (OSError, ValueError) as error:
            self._move_aside(error)
            return None

    def write(self, drained: set[str]) -> bool:
        """Replace the file atomically; return whether that succeeded.  An error is logged."""
        new_path = self.path.with_suffix(f".{os.getpid()}.new")
        try:
            new_path.write_bytes(encode(drained))
            os.replace(new_path, self.path)
            self._last_version = self._current_version()
        except OSError as error:
            logger.error(
                "the drain file cannot be written: {reason}", event="drain.write_failed", reason=error.strerror
            )
            try:
                new_path.unlink()
            except OSError:
                pass  # the file was not written, or has already been renamed
            return False
        return True

    def _current_version(self) -> _FileVersion:
        status = self.path.stat()
        return _FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)

    def _move_aside(self, error: Exception) -> None:
        """Rename an invalid file."""
        aside_path = self.path.with_suffix(".bad")
        logger.error(
            "the drain file {path} is invalid: {reason}; renamed to {aside}",
            event="drain.file_rejected",
            path=str(self.path),
            reason=str(error),
            aside=aside_path.name,
        )
        try:
            os.replace(self.path, aside_path)
        except OSError:
            pass  # another process renamed it, or the folder is not writable: then the next read logs the error again
        self._last_version = None


def encode(drained: set[str]) -> bytes:
    """Return the contents of the file."""
    return ujson.dumps({"format": FORMAT_VERSION, "banned": sorted(drained)}).encode() + b"\n"


def decode(data: bytes) -> set[str]:
    """Return the endpoint names in the contents of a file.

    Raises:
        ValueError: The contents are not a drain file; the text names the cause.
    """
    raw = ujson.loads(data)
    version = raw.get("format") if isinstance(raw, dict) else None
    if not isinstance(raw, dict) or version != FORMAT_VERSION:
        raise ValueError(f"format: must be {FORMAT_VERSION}, not {version!r}")
    drained = raw.get("banned")
    if not isinstance(drained, list) or not all(isinstance(name, str) for name in drained):
        raise ValueError("banned: must be a list of endpoint ids")
    if len(drained) > MAX_DRAINED_ENDPOINTS:
        raise ValueError(f"banned: must have at most {MAX_DRAINED_ENDPOINTS} ids")
    return set(drained)
