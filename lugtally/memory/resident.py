"""Reads the resident memory of this process."""

from __future__ import annotations

import os

STATM_PATH = "/proc/self/statm"
STATM_READ_BYTES = 128
"""More than the length of the file, which has seven numbers on one line."""


class ResidentMemory:
    """Reads the resident memory of this process from a descriptor that stays open."""

    def __init__(self, path: str = STATM_PATH) -> None:
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        try:
            self._fd: int | None = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._fd = None  # without procfs, the resident memory is unknown

    def read(self) -> int:
        """Return the resident memory in bytes, or 0 if it cannot be read."""
        if self._fd is None:
            return 0
        try:
            _, resident_pages, *_ = os.pread(self._fd, STATM_READ_BYTES, 0).split()
        except (OSError, ValueError):
            return 0
        return int(resident_pages) * self._page_bytes

    def close(self) -> None:
        """Close the descriptor."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def read_resident_bytes() -> int:
    """Return the resident memory in bytes, or 0 if it cannot be read; no descriptor stays open."""
    resident_memory = ResidentMemory()
    try:
        return resident_memory.read()
    finally:
        resident_memory.close()
