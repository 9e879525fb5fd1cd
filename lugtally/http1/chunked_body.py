"""The states of reading a body in chunked transfer coding."""

from __future__ import annotations

import re
from enum import Enum

from lugtally.http1.errors import ProtocolError
from lugtally.http1.limits import (
    CHUNK_OVERHEAD_ALLOWANCE_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_CHUNK_OVERHEAD_BYTES,
    MAX_TRAILER_BYTES,
)

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[^\r\n]{0,%d})?\r\n" % (MAX_CHUNK_LINE_BYTES - 9))


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

    __slots__ = ("_overhead_bytes", "_trailer_bytes", "data_remaining", "done", "state")

    def __init__(self) -> None:
        self._overhead_bytes = 0
        self._trailer_bytes = 0
        self.state = _SIZE
        self.data_remaining = 0
        """Bytes of the current chunk's data that have not been received; 0 in all states except ``DATA``."""
        self.done = False

    def consume_complete_chunks(
        self, data: bytes | bytearray | memoryview, position: int, max_body_bytes: int, body: bytearray | None
    ) -> int:
        """Process the chunks that the bytes contain completely, from ``position`` on; return the position after them.

        This is much faster than line by line if the chunks are small.  Their data is appended to ``body``, unless that
        is ``None``.  Stops before a chunk that is incomplete, malformed, the last one, or would make the data of these
        chunks longer than ``max_body_bytes``: the caller processes that one line by line.

        Raises:
            ProtocolError: The chunk extensions are too long.
        """
        if self.state is not _SIZE:
            return position
        end = len(data)
        while (line := _CHUNK_SIZE_LINE.match(data, position)) is not None:
            size = int(line[1], 16)
            start = line.end()
            data_end = start + size
            max_body_bytes -= size
            if not size or max_body_bytes < 0 or data_end + 2 > end or data[data_end : data_end + 2] != b"\r\n":
                break
            if start - position > CHUNK_OVERHEAD_ALLOWANCE_BYTES or self._overhead_bytes:
                self._count_overhead(start - position, size)
            if body is not None:
                body += data[start:data_end]
            position = data_end + 2
        return position

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
            self._count_overhead(len(line) + 2, self.data_remaining)
            self.state = _DATA if self.data_remaining else _TRAILER
        elif self.state is _DATA_END:
            if line:
                raise ProtocolError(400, "a chunk is longer than told")
            self.state = _SIZE
        elif line:
            self._count_trailer(line)
        else:
            self.state = _DONE
            self.done = True

    def _count_overhead(self, line_bytes: int, data_bytes: int) -> None:
        """Limit the chunk-size lines: with long extensions they could be many times longer than the body."""
        overhead_bytes = line_bytes - CHUNK_OVERHEAD_ALLOWANCE_BYTES - 2 * data_bytes
        self._overhead_bytes = max(0, self._overhead_bytes + overhead_bytes)
        if self._overhead_bytes > MAX_CHUNK_OVERHEAD_BYTES:
            raise ProtocolError(400, "the chunk extensions are too long")

    def _count_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line) + 2
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise ProtocolError(431, "the trailers are too large")
