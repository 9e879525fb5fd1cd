"""A table in a file that all processes of one sidecar name read and write."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path

from loguru import logger

from lugtally.file_names import file_safe_name

MAX_LOCK_TRIES = 100
"""A running process keeps a lock for a few microseconds, a stopped one for as long as it is stopped."""


class SharedTable:
    """The table, of which byte ranges can be locked against the other processes.

    The kernel unlocks the ranges of a process that ends.
    """

    def __init__(self, fd: int) -> None:
        """``fd`` is the descriptor of the file, which must stay open: closing it would end the locks."""
        self._fd = fd

    def try_lock(self, start: int, byte_count: int) -> bool:
        """Lock a range; return false if another process keeps it locked.  This never waits for that process."""
        return self._lock(fcntl.LOCK_EX | fcntl.LOCK_NB, start, byte_count)

    def unlock(self, start: int, byte_count: int) -> None:
        """Unlock a range that was locked."""
        self._lock(fcntl.LOCK_UN, start, byte_count)

    def read(self, start: int, byte_count: int) -> bytes:
        """Return the bytes of a range.

        Raises:
            OSError: They cannot be read.
        """
        data = os.pread(self._fd, byte_count, start)
        if len(data) != byte_count:
            raise OSError(errno.EIO, "the read was incomplete")
        return data

    def write(self, start: int, data: bytes) -> None:
        """Replace the bytes of a range.

        Raises:
            OSError: They cannot be written completely.
        """
        if os.pwrite(self._fd, data, start) != len(data):
            raise OSError(errno.EIO, "the write was incomplete")

    def _lock(self, operation: int, start: int, byte_count: int) -> bool:
        for _ in range(MAX_LOCK_TRIES):
            try:
                fcntl.lockf(self._fd, operation, byte_count, start)
            except OSError:
                continue  # another process has the lock, or the kernel cannot store it for a moment
            return True
        return False


def open_shared_table(folder: str, sidecar_name: str, byte_count: int) -> SharedTable | None:
    """Open the table of a sidecar, which is created with zeros; return ``None`` if that is not possible.

    The blocks of the file are allocated first, so that later writes do not fail for lack of space.
    """
    path = Path(folder) / f"lugtally-{file_safe_name(sidecar_name)}-requests"
    try:
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, byte_count)
            fcntl.lockf(fd, fcntl.LOCK_UN, byte_count)  # fails if the file system has no locks
            return SharedTable(fd)
        except OSError:
            os.close(fd)
            raise
    except OSError as error:
        logger.error(
            "request ids are not shared with another process of this name: {reason}",
            event="requests.not_shared",
            reason=str(error),
        )
        return None
