"""The file of drains by operators: the pledge servers that operators took out of service, kept over restarts.

A drain holds until an operator ends it, whatever discovery says, and over a process replacement: the old process and
its successor share ``$TMPDIR``.  The file is written completely under another name and renamed over the old one, so
a reader finds the old set or the new one, never half of either.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import ujson
from loguru import logger

FORMAT_VERSION = 1
MAX_DRAINED_SERVERS = 4096
"""More than any endpoint list holds; a larger file was not written here."""
MAX_NAME_LENGTH = 64


class _FileVersion(NamedTuple):
    """What tells one version of the file from the next: each write replaces the inode."""

    inode: int
    modified_ns: int
    size: int


class DrainStore:
    """One file of drains; every process of the same sidecar name reads and writes the same one."""

    def __init__(self, folder: str, sidecar_name: str) -> None:
        safe_name = "".join(char if char.isalnum() or char in "-_." else "_" for char in sidecar_name)
        self.path = Path(folder) / f"lugtally-{safe_name[:MAX_NAME_LENGTH] or 'sidecar'}-drains.json"
        self._last_version: _FileVersion | None = None
        """The file's version when it was last read or written."""

    def read(self) -> set[str] | None:
        """Return the drained servers; ``None`` without a file, or where it has not changed since the last call.

        A file that cannot be used costs a line in the log, and is moved aside rather than lost.
        """
        try:
            version = self._current_version()
        except FileNotFoundError:
            self._last_version = None
            return None
        except OSError as error:
            logger.error(
                "the drains by hand cannot be read: {reason}", event="drain.file_unreadable", reason=error.strerror
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
        """Replace the file at once with this set; false, with a line in the log, where that fails."""
        new_path = self.path.with_suffix(f".{os.getpid()}.new")
        try:
            new_path.write_bytes(encode(drained))
            os.replace(new_path, self.path)
            self._last_version = self._current_version()
        except OSError as error:
            logger.error(
                "the drains by hand cannot be kept: {reason}", event="drain.write_failed", reason=error.strerror
            )
            try:
                new_path.unlink()
            except OSError:
                pass  # it was never written, or has been renamed already
            return False
        return True

    def _current_version(self) -> _FileVersion:
        status = self.path.stat()
        return _FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)

    def _move_aside(self, error: Exception) -> None:
        aside_path = self.path.with_suffix(".bad")
        logger.error(
            "the drains by hand in {path} are not used: {reason}; the file is kept as {aside}",
            event="drain.file_rejected",
            path=str(self.path),
            reason=str(error),
            aside=aside_path.name,
        )
        try:
            os.replace(self.path, aside_path)
        except OSError:
            pass  # another process moved it before, or the folder cannot be written: the next read says so again
        self._last_version = None


def encode(drained: set[str]) -> bytes:
    """Return the file's bytes."""
    return ujson.dumps({"format": FORMAT_VERSION, "banned": sorted(drained)}).encode() + b"\n"


def decode(data: bytes) -> set[str]:
    """Return the set of servers in a file's bytes.

    Raises:
        ValueError: they are no file of drains; the text says what is wrong.
    """
    raw = ujson.loads(data)
    version = raw.get("format") if isinstance(raw, dict) else None
    if not isinstance(raw, dict) or version != FORMAT_VERSION:
        raise ValueError(f"format {version!r} is not {FORMAT_VERSION}")
    drained = raw.get("banned")
    if (
        not isinstance(drained, list)
        or len(drained) > MAX_DRAINED_SERVERS
        or not all(isinstance(server, str) for server in drained)
    ):
        raise ValueError(f"banned: a list of at most {MAX_DRAINED_SERVERS} ids is wanted")
    return set(drained)
