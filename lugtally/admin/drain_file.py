"""The drain file: the names of all drained endpoints, as versions up to f1cc82e store them.

Drains survive an upgrade from these versions because this one reads the file, and a rollback because it writes it.
The stored changes take precedence, because two processes that replace one file may lose each other's change.
"""

from __future__ import annotations

import os
from pathlib import Path

import ujson
from loguru import logger

FORMAT_VERSION = 1
MAX_DRAINED_ENDPOINTS = 4096
"""Upper limit of the names in a file.  No endpoint list is longer, so a longer file was written by another program."""
TEMPORARY_SUFFIX = ".new"


class DrainFile:
    """The drain file of one sidecar name.

    Attributes:
        path: The path of the file.
        drained: The names in the last valid file.
        is_current: Whether the last read found these names, or found no file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.drained: frozenset[str] = frozenset()
        self.is_current = False
        self._data: bytes | None = None
        """The contents that were last read or written; ``None`` if there was no valid file."""

    def read(self) -> None:
        """Read the file if it has changed.  An error is logged.

        An invalid file is renamed, so that its contents are not lost.
        """
        self.is_current = False
        try:
            data = self.path.read_bytes()
            if data != self._data:
                self.drained = decode(data)
                self._data = data
            self.is_current = True
        except FileNotFoundError:
            self._data = None
            self.is_current = True
        except OSError as error:
            log_unreadable(error)  # the file may be valid, and is read again
        except ValueError as error:
            rename_invalid_file(self.path, error)

    def update(self, drained: frozenset[str]) -> None:
        """Replace the file atomically, unless it has these names or could not be read.  An error is logged."""
        in_file = frozenset() if self._data is None else self.drained
        if not self.is_current or drained == in_file or len(drained) > MAX_DRAINED_ENDPOINTS:
            return
        data = encode(drained)
        if write_file(self.path, data):
            self._data, self.drained = data, drained


def encode(drained: frozenset[str]) -> bytes:
    """Return the contents of a drain file with these endpoint names."""
    return ujson.dumps({"format": FORMAT_VERSION, "banned": sorted(drained)}).encode() + b"\n"


def decode(data: bytes) -> frozenset[str]:
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
    return frozenset(drained)


def log_unreadable(error: OSError) -> None:
    """Log that stored drains cannot be read."""
    logger.error("the drain file cannot be read: {reason}", event="drain.file_unreadable", reason=error.strerror)


def write_file(path: Path, data: bytes) -> bool:
    """Write a file that has its name only when it is complete; return whether that succeeded.  An error is logged."""
    temporary_path = path.with_suffix(f".{os.getpid()}{TEMPORARY_SUFFIX}")
    try:
        temporary_path.write_bytes(data)
        os.replace(temporary_path, path)
    except OSError as error:
        logger.error("the drain file cannot be written: {reason}", event="drain.write_failed", reason=error.strerror)
        remove_file(temporary_path)
        return False
    return True


def remove_file(path: Path) -> None:
    """Remove a file if it exists.  An error is ignored."""
    try:
        path.unlink()
    except OSError:
        pass  # it does not exist, or is removed later


def rename_invalid_file(path: Path, error: Exception) -> None:
    """Log the error and rename the invalid file."""
    renamed_path = path.with_suffix(".bad")
    logger.error(
        "the drain file {path} is invalid: {reason}; renamed to {aside}",
        event="drain.file_rejected",
        path=str(path),
        reason=str(error),
        aside=renamed_path.name,
    )
    try:
        os.replace(path, renamed_path)
    except OSError:
        pass  # another process renamed it, or the folder is not writable: then the next read logs the error again
