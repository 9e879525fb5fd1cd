"""Reads the resident memory of this process."""

from __future__ import annotations

import os

STATM_PATH = "/proc/self/statm"
STATM_READ_BYTES = 128
"""More than the length of the file, which has seven numbers on one line."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes(path: str = STATM_PATH) -> int:
    """Return the resident memory in bytes, or 0 if it cannot be read."""
    try:
        fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return 0
    try:
        _, resident_pages, *_ = os.read(fd, STATM_READ_BYTES).split()
        return int(resident_pages) * PAGE_BYTES
    except (OSError, ValueError):
        return 0
    finally:
        os.close(fd)
