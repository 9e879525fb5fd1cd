"""Where a reader stands in a chunked body."""

from __future__ import annotations

import re
from enum import Enum

from lugtally.http1.errors import ProtocolError

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")


class ChunkState(Enum):
    """What comes next in a chunked body."""

    SIZE = "the line with the size of a chunk"
    DATA = "the rest of a chunk's data"
    DATA_END = "the line end behind a chunk's data"
    TRAILER = "a trailer, or the empty line that ends the body"
    DONE = "nothing"


# Members of an Enum are slow to look up, and each line of a body passes here.
_SIZE, _DATA, _DATA_END, _TRAILER, _DONE = ChunkState


class ChunkedBody:
    """The position in one chunked body; its reader finds the lines and counts the data."""

    __slots__ = ("data_remaining", "done", "state")

    def __init__(self) -> None:
        self.state = _SIZE
        self.data_remaining = 0
        """Bytes of the present chunk's data that have not come; 0 in all states but ``DATA``."""
        self.done = False

    def consume_data(self, count: int) -> None:
        """Count that many bytes of the present chunk's data as read."""
        self.data_remaining -= count
        if not self.data_remaining:
            self.state = _DATA_END

    def consume_line(self, line: bytes) -> None:
        """Move on past a line, given without its line end.

        Raises:
            ProtocolError: the line is not one that may stand there.
        """
        if self.state is _SIZE:
            match = _CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise ProtocolError(400, "a chunk's size is malformed")
            self.data_remaining = int(match[1], 16)
            self.state = _DATA if self.data_remaining else _TRAILER
        elif self.state is _DATA_END:
            if line:
                raise ProtocolError(400, "a chunk is longer than told")
            self.state = _SIZE
        elif not line:
            self.state = _DONE
            self.done = True
