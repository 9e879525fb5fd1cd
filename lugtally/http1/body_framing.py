"""Finds the end of a streamed body: after its declared length, after its last chunk, or with the connection."""

from __future__ import annotations

from typing import NamedTuple

from lugtally.http1.chunked_body import ChunkedBody
from lugtally.http1.errors import ProtocolError
from lugtally.http1.limits import MAX_CHUNK_LINE_BYTES, MAX_STREAMED_BODY_BYTES


class BodyFraming:
    """Finds the end of a body in the received bytes, without storing them.

    The framing of a chunked body (sizes and trailers) is included in the body.  A body that has no length and is not
    chunked ends with the connection.

    Attributes:
        done: Whether :meth:`feed` has received the last byte of the body.
    """

    __slots__ = ("_chunks", "_line", "_remaining", "done")

    def __init__(self, *, chunked: bool = False, length: int | None = None) -> None:
        self._chunks = ChunkedBody() if chunked else None
        self._remaining = length  # None for a chunked body, and for one that ends with the connection
        self._line = bytearray()  # the received part of a chunk-size or trailer line
        self.done = not chunked and length == 0

    @property
    def chunked(self) -> bool:
        """Whether the body is chunked."""
        return self._chunks is not None

    @property
    def until_close(self) -> bool:
        """Whether the body ends with the connection."""
        return self._chunks is None and self._remaining is None

    def feed(self, data: bytes | memoryview) -> int:
        """Return how many of the bytes, from the first on, belong to the body.

        Raises:
            ProtocolError: The chunked encoding is malformed.
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
                if not self._line:
                    position = chunks.consume_complete_chunks(data, position, MAX_STREAMED_BODY_BYTES, None)
                position = self._feed_line(chunks, data, position)
        self.done = chunks.done
        return position

    def _feed_line(self, chunks: ChunkedBody, data: bytes | memoryview, position: int) -> int:
        """Process the received part of a chunk-size or trailer line, and return the position after it."""
        line_end = bytes(data[position : position + MAX_CHUNK_LINE_BYTES + 2]).find(b"\n")
        next_position = len(data) if line_end < 0 else position + line_end + 1
        self._line += data[position:next_position]
        if len(self._line) > MAX_CHUNK_LINE_BYTES + 2:
            raise ProtocolError(400, "a line of the chunked body is too long")
        if line_end >= 0:
            if not self._line.endswith(b"\r\n"):
                # As strict as the parser, because a client that accepts a bare LF would find another end of the body.
                raise ProtocolError(400, "a line of the chunked body ends without CRLF")
            chunks.consume_line(bytes(self._line[:-2]))
            self._line.clear()
        return next_position


class DetachedBody(NamedTuple):
    """The body of a streamed response, which its parser no longer reads."""

    framing: BodyFraming
    data: bytes
    """The bytes that were received together with the head; they may extend beyond the end of the body."""
