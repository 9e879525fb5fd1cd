"""The incremental parser: takes received bytes and returns complete messages."""

from __future__ import annotations

import re

from lugtally.http1.body_framing import BodyFraming, DetachedBody
from lugtally.http1.chunked_body import ChunkedBody
from lugtally.http1.errors import ProtocolError
from lugtally.http1.head_cache import HeadCache
from lugtally.http1.head_parser import CHUNKED, UNTIL_CLOSE, declared_body_length, parse_head
from lugtally.http1.limits import (
    MAX_BODY_BYTES,
    MAX_CACHED_HEAD_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_STREAMED_BODY_BYTES,
)
from lugtally.http1.message import Message

_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
# One cache for all parsers of responses in the process.
_response_heads = HeadCache()
_find_cached_head = _response_heads.get


class MessageParser:
    """Parses the messages of one direction of one connection."""

    __slots__ = (
        "_body",
        "_buffer",
        "_chunks",
        "_discarded_bytes",
        "_discards_body",
        "_empty_line_bytes",
        "_head",
        "_interim_responses",
        "_max_body_bytes",
        "_remaining",
        "_responses",
        "_streams",
    )

    def __init__(self, *, responses: bool, max_body_bytes: int = MAX_BODY_BYTES, streams: bool = False) -> None:
        """Create a parser of responses or of requests.

        Args:
            responses: Whether the messages are responses.
            max_body_bytes: Largest body of a message that is returned with its body.
            streams: Whether a 200 response whose body is chunked, has no length or is longer than ``MAX_BODY_BYTES``
                is returned when its head is complete.  :meth:`detach_body` then returns its body.
        """
        self._responses = responses
        self._max_body_bytes = max_body_bytes
        self._streams = streams
        self._buffer = bytearray()
        self._empty_line_bytes = 0  # before the head that is being received
        self._head: Message | None = None
        self._remaining = 0  # bytes of the body that have not been received, or CHUNKED or UNTIL_CLOSE
        self._chunks: ChunkedBody | None = None  # None if the body is not chunked
        self._body = bytearray()
        self._discards_body = False
        self._discarded_bytes = 0  # of the current body
        self._interim_responses = 0

    @property
    def is_idle(self) -> bool:
        """Whether no byte has been received after the last complete message."""
        return self._head is None and not self._buffer

    @property
    def pending_head(self) -> Message | None:
        """The message whose head is complete, but whose body is not; ``None`` if there is none."""
        return self._head

    @property
    def memory_bytes(self) -> int:
        """The approximate memory that the incomplete message takes."""
        received_bytes = len(self._buffer) + len(self._body)
        return received_bytes if self._head is None else received_bytes + self._head.memory_bytes

    def discard_body(self) -> None:
        """Discard the body of the pending message as it is received; does nothing if no message is pending."""
        if self._head is not None:
            self._discards_body = True
            self._drop_body()

    def stream_pending(self) -> Message | None:
        """Return the pending response, to be streamed although its body is short; ``None`` if that is not possible.

        :meth:`detach_body` then returns its body.
        """
        message = self._head
        if message is None or not self._streams or message.status != 200 or self._remaining < 0:
            return None
        message.streamed = True
        self._head = None
        self._remaining += len(self._body)
        self._buffer[:0] = self._body
        self._body = bytearray()
        return message

    def append(self, data: bytes) -> None:
        """Add received bytes without parsing them; the next call of :meth:`feed` does."""
        self._buffer += data

    def feed(self, data: bytes) -> Message | None:
        """Add received bytes, and return the next message if it is complete.

        The bytes may complete several messages: call again with ``b""`` until the result is ``None``.  A streamed
        response is returned when its head is complete.  Interim responses are skipped.

        Raises:
            ProtocolError: The bytes are not an HTTP message or exceed a limit.
        """
        self._buffer += data
        while True:
            if (message := self._head) is None:
                message = self._read_head()
                if message is None or message.streamed:
                    return message
                self._head = message
            chunks = self._chunks
            is_complete = self._read_plain_body() if chunks is None else self._read_chunked_body(chunks)
            if self._discards_body:
                self._drop_body()
            if not is_complete:
                return None
            self._head = None
            message.body = bytes(self._body)
            self._body.clear()
            if self._discards_body:
                self._finish_discarding(message)
            if message.status >= 200 or not self._responses:
                self._interim_responses = 0
                return message
            self._skip_interim_response(message)

    def detach_body(self) -> DetachedBody:
        """Return the body of the streamed response whose head was returned last; the caller reads the rest of it."""
        length = None if self._remaining < 0 else self._remaining
        framing = BodyFraming(chunked=self._chunks is not None, length=length)
        data = bytes(self._buffer)
        self._buffer.clear()
        return DetachedBody(framing, data)

    def end_of_input(self) -> Message | None:
        """Return the message whose body ends with the connection; ``None`` if there is none or it is truncated."""
        if self._head is None or self._remaining != UNTIL_CLOSE:
            return None
        message, self._head = self._head, None
        message.body = bytes(self._body)
        if self._discards_body:
            self._finish_discarding(message)
        return message

    def _skip_interim_response(self, message: Message) -> None:
        """Count a 1xx response, which is not forwarded."""
        self._interim_responses += 1
        if message.status == 101 or self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ProtocolError(400, "an unexpected interim response")

    # ------------------------------------------------------------ head

    def _read_head(self) -> Message | None:
        """Return the head at the start of the buffer and prepare to read its body, or ``None`` if it is incomplete."""
        if not self._responses and self._buffer.startswith(b"\r\n"):
            self._skip_empty_lines()
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES + 4)
        if end < 0:
            self._check_partial_head()
            return None
        if self._responses and end <= MAX_CACHED_HEAD_BYTES:
            return self._read_cacheable_head(end)
        return self._parse_head(end)

    def _skip_empty_lines(self) -> None:
        """Remove the empty lines before a request (RFC 9112, 2.2): some old clients send an extra CRLF after a body."""
        lines = _EMPTY_LINES.match(self._buffer)
        if lines is not None:
            self._empty_line_bytes += lines.end()
            del self._buffer[: lines.end()]

    def _check_partial_head(self) -> None:
        """Reject an incomplete head that is too large or cannot be completed."""
        if self._empty_line_bytes + len(self._buffer) > MAX_HEAD_BYTES:
            raise ProtocolError(431, "the head is too large")
        if self._buffer.find(b"\n\n") >= 0 or self._buffer.startswith(b"\x16\x03"):
            raise ProtocolError(400, "the head is malformed")  # bare LF or TLS: it would never be complete

    def _read_cacheable_head(self, end: int) -> Message:
        """Return the response head that ends at ``end``, from the cache if possible."""
        head = bytes(self._buffer[:end])
        cached = _find_cached_head(head)
        if cached is not None and cached.body_length <= self._max_body_bytes:
            del self._buffer[: end + 4]
            self._remaining = cached.body_length
            self._chunks = None
            return cached.message.copy_response_head()
        message = self._parse_head(end)
        # Heads of longer, chunked and unbounded bodies are not cached: some parsers stream these bodies and others
        # buffer them, so the parsed message is not the same for both.
        if 0 <= self._remaining <= MAX_BODY_BYTES:
            _response_heads.add(head, message, self._remaining)
        return message

    def _parse_head(self, end: int) -> Message:
        self._empty_line_bytes = 0
        message = parse_head(self._buffer, end, self._responses)
        declared_length = declared_body_length(message.header_map)
        if self._responses:
            self._remaining = self._response_body_length(message, declared_length)
        else:
            self._remaining = self._request_body_length(declared_length)
        self._chunks = ChunkedBody() if self._remaining == CHUNKED else None
        return message

    def _request_body_length(self, length: int) -> int:
        """Return the length of a request's body, or ``CHUNKED``.  A request without a declared length has no body."""
        if length > self._max_body_bytes:
            raise ProtocolError(413, "the body is too large")
        return 0 if length == UNTIL_CLOSE else length

    def _response_body_length(self, message: Message, length: int) -> int:
        """Return the length of a response's body, ``CHUNKED`` or ``UNTIL_CLOSE``.

        Sets ``keep_alive`` and ``streamed`` of the message, because they depend on the length.
        """
        may_stream = self._streams and message.status == 200
        if length > self._max_body_bytes and not (may_stream and length <= MAX_STREAMED_BODY_BYTES):
            raise ProtocolError(413, "the body is too large")
        if length == UNTIL_CLOSE:
            message.keep_alive = False
        if message.status < 200 or message.status in (204, 304):
            # A response with this status has no body.  If its headers declare one, the endpoint may send it
            # nevertheless, and it would be parsed as the next response.
            message.keep_alive = message.status < 200 or (message.keep_alive and length == 0)
            return 0
        message.streamed = may_stream and not 0 <= length <= MAX_BODY_BYTES
        return length

    # ------------------------------------------------------------ body

    def _drop_body(self) -> None:
        self._discarded_bytes += len(self._body)
        self._body = bytearray()

    def _finish_discarding(self, message: Message) -> None:
        """Mark a message as complete whose body was discarded."""
        message.body_discarded = True
        self._discards_body = False
        self._discarded_bytes = 0

    def _append_to_body(self, count: int) -> None:
        """Move ``count`` bytes from the buffer to the body."""
        if self._discarded_bytes + len(self._body) + count > self._max_body_bytes:
            raise ProtocolError(413, "the body is too large")
        if count == len(self._buffer):  # the common case: saves one copy of a long body
            self._body += self._buffer
            self._buffer.clear()
        else:
            self._body += self._buffer[:count]
            del self._buffer[:count]

    def _read_plain_body(self) -> bool:
        """Read a body that is not chunked; return whether it is complete."""
        if self._remaining < 0:
            self._append_to_body(len(self._buffer))
            return False
        count = min(self._remaining, len(self._buffer))
        self._append_to_body(count)
        self._remaining -= count
        return self._remaining == 0

    def _read_chunked_body(self, chunks: ChunkedBody) -> bool:
        """Read a chunked body; return whether it is complete."""
        while True:
            if chunks.data_remaining:
                count = min(chunks.data_remaining, len(self._buffer))
                self._append_to_body(count)
                chunks.consume_data(count)
                if chunks.data_remaining:
                    return False
            max_bytes = self._max_body_bytes - self._discarded_bytes - len(self._body)
            del self._buffer[: chunks.consume_complete_chunks(self._buffer, 0, max_bytes, self._body)]
            line = self._read_line()
            if line is None:
                return False
            chunks.consume_line(line)
            if chunks.done:
                return True
            if chunks.data_remaining > self._max_body_bytes:
                raise ProtocolError(413, "the body is too large")

    def _read_line(self) -> bytes | None:
        """Remove a line from the buffer and return it without its CRLF; ``None`` if it is incomplete."""
        end = self._buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES + 2)
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                raise ProtocolError(400, "a line of the chunked body is too long")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line
