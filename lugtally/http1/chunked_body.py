"""The states of reading a body in chunked transfer coding."""

from __future__ import annotations

import re
from enum import Enum

from lugtally.http1.errors import ProtocolError

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")


class ChunkState(Enum):
    """The part of a chunked body that is expected next."""

    SIZE = "the line with the size of a chunk"
    DATA = "the rest of a chunk's data"
    DATA_END = "the line end after a chunk's data"
    TRAILER = "a trailer, or the empty line that ends the body"
    DONE = "nothing"


# Aliases, because looking up a member of an Enum is slow and the code below runs for each line of a body.
_SIZE, _DATA, _DATA_END, _TRAILER, _DONE = ChunkState


class ChunkedBody:
    """The position in one chunked body.  The caller finds the line ends and counts the data bytes."""

    __slots__ = ("data_remaining", "done", "state")

    def __init__(self) -> None:
        self.state = _SIZE
        self.data_remaining = 0
        """Bytes of the current chunk's data that have not been received; 0 in all states except ``DATA``."""
        self.done = False

    def consume_data(self, count: int) -> None:
        """Count ``count`` bytes of the current chunk's data as read."""
        self.data_remaining -= count
        if not self.data_remaining:
            self.state = _DATA_END

    def consume_line(self, line: bytes) -> None:
        """Process a line, given without its CRLF, and move to the next state.

        Raises:
            ProtocolError: The line is not valid in the current state.
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
