"""A table in a file that all processes of one sidecar name map into their memory."""

from __future__ import annotations

import fcntl
import os
from mmap import mmap
from pathlib import Path

from loguru import logger

from lugtally.file_names import file_safe_name

MAX_LOCK_TRIES = 100
"""A running process keeps a lock for a few microseconds, a stopped one for as long as it is stopped."""


class SharedTable:
    """The mapped table, of which byte ranges can be locked against the other processes.

    The kernel unlocks the ranges of a process that ends.

    Attributes:
        data: The bytes of the table.
    """

    def __init__(self, fd: int, byte_count: int) -> None:
        """Map the file and take ownership of ``fd``, which must stay open: closing it would end the locks.

        Raises:
            OSError: The file cannot be mapped, or its file system supports no locks.
            ValueError: The file is shorter than the table.
        """
        self._fd = fd
        self.data: bytearray | mmap = mmap(fd, byte_count)
        fcntl.lockf(fd, fcntl.LOCK_UN, byte_count)

    def try_lock(self, start: int, byte_count: int) -> bool:
        """Lock a range; return false if another process keeps it locked.  This never waits for that process."""
        return self._lock(fcntl.LOCK_EX | fcntl.LOCK_NB, start, byte_count)

    def unlock(self, start: int, byte_count: int) -> None:
        """Unlock a range that was locked."""
        self._lock(fcntl.LOCK_UN, start, byte_count)

    def _lock(self, operation: int, start: int, byte_count: int) -> bool:
        for _ in range(MAX_LOCK_TRIES):
            try:
                fcntl.lockf(self._fd, operation, byte_count, start)
            except OSError:
                continue  # another process has the lock, or the kernel cannot store it for a moment
            return True
        return False


def map_shared_table(folder: str, sidecar_name: str, byte_count: int) -> SharedTable | None:
    """Map the table of a sidecar, which is created with zeros; return ``None`` if that is not possible.

    The blocks of the file are allocated first: writing to a block that the file system cannot provide later would end
    the process.
    """
    path = Path(folder) / f"lugtally-{file_safe_name(sidecar_name)}-requests"
    try:
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, byte_count)
            return SharedTable(fd, byte_count)
        except (OSError, ValueError):
            os.close(fd)
            raise
    except (OSError, ValueError) as error:
        logger.error(
            "request ids are not shared with another process of this name: {reason}",
            event="requests.not_shared",
            reason=str(error),
        )
        return None
