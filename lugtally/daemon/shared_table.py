"""A table in a file that all processes of one sidecar name map into their memory."""

from __future__ import annotations

import os
from mmap import mmap
from pathlib import Path

from loguru import logger

from lugtally.file_names import file_safe_name


def map_shared_table(folder: str, sidecar_name: str, byte_count: int) -> mmap | None:
    """Map the table of a sidecar, which is created with zeros; return ``None`` if that is not possible.

    The blocks of the file are allocated first: writing to a block that the file system cannot provide later would end
    the process.
    """
    path = Path(folder) / f"lugtally-{file_safe_name(sidecar_name)}-requests"
    try:
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, byte_count)
            return mmap(fd, byte_count)
        finally:
            os.close(fd)
    except (OSError, ValueError) as error:
        logger.error(
            "request ids are not shared with another process of this name: {reason}",
            event="requests.not_shared",
            reason=str(error),
        )
        return None
