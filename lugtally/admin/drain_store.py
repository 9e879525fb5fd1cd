"""The drain file: stores the names of the endpoints that operators drain, so that drains survive a restart.

A drain remains in force until an operator ends it, regardless of the endpoint list.  It also applies to the process
that replaces this one, because both use the same ``$TMPDIR``.  The file is replaced atomically: a temporary file is
written and renamed, so that a reader never sees an incomplete file.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import ujson
from loguru import logger

from lugtally.file_names import file_safe_name

FORMAT_VERSION = 1
MAX_DRAINED_ENDPOINTS = 4096
"""Upper limit of the names in a file.  No endpoint list is longer, so a longer file was written by another program."""


class _FileVersion(NamedTuple):
    """Identifies one version of the file, because each write creates a new inode."""

    inode: int
    modified_ns: int
    size: int


class DrainStore:
    """The drain file of one sidecar name.  All processes with this name read and write the same file."""

    def __init__(self, folder: str, sidecar_name: str) -> None:
        self.path = Path(folder) / f"lugtally-{file_safe_name(sidecar_name)}-drains.json"
        self._last_version: _FileVersion | None = None
        """The version that was last read or written."""

    def read(self) -> set[str] | None:
        """Return the names of the drained endpoints, or ``None``.

        ``None`` is returned if there is no valid file, or if it has not changed since this object last read or wrote
        it.  An error is logged.  An invalid file is renamed, so that its contents are not lost.
        """
        try:
            version = self._current_version()
        except FileNotFoundError:
            self._last_version = None
            return None
        except OSError as error:
            self._log_unreadable(error)
            return None
        if version == self._last_version:
            return None
        try:
            drained = decode(self.path.read_bytes())
        except OSError as error:
            self._log_unreadable(error)  # the file may be valid, and is read again
            return None
        except ValueError as error:
            self._rename_invalid_file(error)
            return None
        self._last_version = version
        return drained

    def write(self, drained: set[str]) -> bool:
        """Replace the file atomically; return whether that succeeded.  An error is logged."""
        temporary_path = self.path.with_suffix(f".{os.getpid()}.new")
        try:
            temporary_path.write_bytes(encode(drained))
            os.replace(temporary_path, self.path)
            self._last_version = self._current_version()
        except OSError as error:
            logger.error(
                "the drain file cannot be written: {reason}", event="drain.write_failed", reason=error.strerror
            )
            try:
                temporary_path.unlink()
            except OSError:
                pass  # the file was not written, or has already been renamed
            return False
        return True

    @staticmethod
    def _log_unreadable(error: OSError) -> None:
        logger.error("the drain file cannot be read: {reason}", event="drain.file_unreadable", reason=error.strerror)

    def _current_version(self) -> _FileVersion:
        status = self.path.stat()
        return _FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)

    def _rename_invalid_file(self, error: Exception) -> None:
        """Log the error and rename the invalid file."""
        renamed_path = self.path.with_suffix(".bad")
        logger.error(
            "the drain file {path} is invalid: {reason}; renamed to {aside}",
            event="drain.file_rejected",
            path=str(self.path),
            reason=str(error),
            aside=renamed_path.name,
        )
        try:
            os.replace(self.path, renamed_path)
        except OSError:
            pass  # another process renamed it, or the folder is not writable: then the next read logs the error again
        self._last_version = None


def encode(drained: set[str]) -> bytes:
    """Return the contents of a drain file with these endpoint names."""
    return ujson.dumps({"format": FORMAT_VERSION, "banned": sorted(drained)}).encode() + b"\n"


def decode(data: bytes) -> set[str]:
    """Return the endpoint names in the contents of a file.

    Raises:
        ValueError: The contents are not those of a drain file; the text names the cause.
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
