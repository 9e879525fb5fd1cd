"""Where a body that is passed on as it comes ends: by its length, its chunks, or the end of its connection."""

from __future__ import annotations

from lugtally.http1.chunked_body import ChunkedBody
from lugtally.http1.errors import ProtocolError
from lugtally.http1.limits import MAX_CHUNK_LINE_BYTES


class BodyFraming:
    """Finds where a body ends in the bytes that carry it, without keeping them.

    ``feed`` says how many of the bytes given belong to the body, in their framing (a chunked body keeps its sizes
    and trailers); ``done`` once the last of them has come.  A body without length or chunks ends with the connection.
    """

    __slots__ = ("_chunks", "_line", "_remaining", "done")

    def __init__(self, *, chunked: bool = False, length: int | None = None) -> None:
        self._chunks = ChunkedBody() if chunked else None
        self._remaining = length  # None: until the connection ends, where the body is not chunked
        self._line = bytearray()
        self.done = not chunked and length == 0

    @property
    def until_close(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self._chunks is None and self._remaining is None

    def feed(self, data: bytes | memoryview) -> int:
        """Return how many of these bytes, from the first, are the body's.

        Raises:
            ProtocolError: the chunks are malformed.
        """
        if self.done:
            return 0
        if self._chunks is not None:
            return self._feed_chunked(self._chunks, data)
        if self._remaining is None:
            return len(data)
        count = min(self._remaining, len(data))
        self._remaining -= count
        self.done = self._remaining == 0
        return count

    def _feed_chunked(self, chunks: ChunkedBody, data: bytes | memoryview) -> int:
        position = 0
        while position < len(data) and not chunks.done:
            if chunks.data_remaining:
                count = min(chunks.data_remaining, len(data) - position)
                position += count
                chunks.consume_data(count)
            else:
                position = self._feed_line(chunks, data, position)
        self.done = chunks.done
        return position

    def _feed_line(self, chunks: ChunkedBody, data: bytes | memoryview, position: int) -> int:
        """Take the rest of a line, as far as it has come; return the position behind it."""
        line_end = bytes(data[position : position + MAX_CHUNK_LINE_BYTES + 2]).find(b"\n")
        next_position = len(data) if line_end < 0 else position + line_end + 1
        self._line += data[position:next_position]
        if len(self._line) > MAX_CHUNK_LINE_BYTES + 2:
            raise ProtocolError(400, "a line of the chunked body is too long")
        if line_end >= 0:
            if not self._line.endswith(b"\r\n"):
                # As strict as the parser: the client behind must not read the chunks otherwise.
                raise ProtocolError(400, "a line of the chunked body ends without CRLF")
            chunks.consume_line(bytes(self._line[:-2]))
            self._line.clear()
        return next_position
