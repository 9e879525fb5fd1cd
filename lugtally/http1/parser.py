"""The incremental parser: bytes in as they come, messages out as they become whole."""

from __future__ import annotations

from lugtally.http1.body_framing import BodyFraming
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

_response_heads = HeadCache()
_find_cached_head = _response_heads.get


class MessageParser:
    """The messages of one direction of one connection."""

    __slots__ = (
        "_body",
        "_buffer",
        "_chunks",
        "_head",
        "_interim_responses",
        "_max_body_bytes",
        "_remaining",
        "_responses",
        "_streams",
    )

    def __init__(self, *, responses: bool, max_body_bytes: int = MAX_BODY_BYTES, streams: bool = False) -> None:
        """Parse responses or requests; with ``streams``, give a 200 with a long or unbounded body by its head alone."""
        self._responses = responses
        self._max_body_bytes = max_body_bytes
        self._streams = streams
        self._buffer = bytearray()
        self._head: Message | None = None
        self._remaining = 0  # bytes of the body that have not come, or CHUNKED or UNTIL_CLOSE
        self._chunks: ChunkedBody | None = None  # none where the body is not chunked
        self._body = bytearray()
        self._interim_responses = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a message has come since the last whole one."""
        return self._head is None and not self._buffer

    @property
    def pending_head(self) -> Message | None:
        """The message whose head is whole and whose body is not."""
        return self._head

    def feed(self, data: bytes) -> Message | None:
        """Take bytes and return a message if they complete one; call with ``b""`` for one that follows.

        Raises:
            ProtocolError: the bytes are no HTTP message, or break a limit.
        """
        self._buffer += data
        while True:
            if (message := self._head) is None:
                message = self._read_head()
                if message is None or message.streamed:
                    return message
                self._head = message
            if not (self._read_plain_body() if self._chunks is None else self._read_chunked_body(self._chunks)):
                return None
            self._head = None
            message.body = bytes(self._body)
            self._body.clear()
            if message.status >= 200 or not self._responses:
                self._interim_responses = 0
                return message
            self._skip_interim_response(message)

    def detach_body(self) -> tuple[BodyFraming, bytes]:
        """Return where the body of a streamed head ends, and the bytes of it that came with the head."""
        length = None if self._remaining < 0 else self._remaining
        framing = BodyFraming(chunked=self._chunks is not None, length=length)
        data = bytes(self._buffer)
        self._buffer.clear()
        return framing, data

    def end_of_input(self) -> Message | None:
        """Return the message that the end of the connection completes, if any."""
        if self._head is None or self._remaining != UNTIL_CLOSE:
            return None
        message, self._head = self._head, None
        message.body = bytes(self._body)
        return message

    def _skip_interim_response(self, message: Message) -> None:
        self._interim_responses += 1
        if message.status == 101 or self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ProtocolError(400, "an interim response that was not asked for")

    # ------------------------------------------------------------ head

    def _read_head(self) -> Message | None:
        """Return the head that the buffer begins with, if it is whole, and prepare to read its body."""
        if not self._responses:
            while self._buffer[:2] == b"\r\n":  # some old clients send one after a body
                del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES + 4)
        if end < 0:
            self._check_partial_head()
            return None
        if self._responses and end <= MAX_CACHED_HEAD_BYTES:
            return self._read_cacheable_head(end)
        return self._parse_head(end)

    def _check_partial_head(self) -> None:
        if len(self._buffer) > MAX_HEAD_BYTES:
            raise ProtocolError(431, "the head is too large")
        if self._buffer.find(b"\n\n") >= 0 or self._buffer.startswith(b"\x16\x03"):
            raise ProtocolError(400, "the head is malformed")  # bare line ends or TLS: it would never become whole

    def _read_cacheable_head(self, end: int) -> Message:
        head = bytes(self._buffer[:end])
        cached = _find_cached_head(head)
        if cached is not None and cached.body_length <= self._max_body_bytes:
            del self._buffer[: end + 4]
            self._remaining = cached.body_length
            self._chunks = None
            return cached.message.copy_response_head()
        message = self._parse_head(end)
        # Longer, chunked and unbounded bodies are streamed by some readers and read whole by others: such a message is
        # not the same for both.
        if 0 <= self._remaining <= MAX_BODY_BYTES:
            _response_heads.add(head, message, self._remaining)
        return message

    def _parse_head(self, end: int) -> Message:
        message = parse_head(self._buffer, end, self._responses)
        self._remaining = self._body_length(message)
        self._chunks = ChunkedBody() if self._remaining == CHUNKED else None
        return message

    def _body_length(self, message: Message) -> int:
        """Return the length of the body, ``CHUNKED`` or ``UNTIL_CLOSE``; set what follows from it for the message."""
        length = declared_body_length(message.header_map)
        may_stream = self._streams and message.status == 200
        if length > self._max_body_bytes and not (may_stream and length <= MAX_STREAMED_BODY_BYTES):
            raise ProtocolError(413, "the body is too large")
        if not self._responses:
            return 0 if length == UNTIL_CLOSE else length
        if length == UNTIL_CLOSE:
            message.keep_alive = False
        if message.status < 200 or message.status in (204, 304):
            # Where it declares a body all the same, one may come: it would be read as the next response.
            message.keep_alive = message.status < 200 or (message.keep_alive and length == 0)
            return 0
        message.streamed = may_stream and not 0 <= length <= MAX_BODY_BYTES
        return length

    # ------------------------------------------------------------ body

    def _append_to_body(self, count: int) -> None:
        if len(self._body) + count > self._max_body_bytes:
            raise ProtocolError(413, "the body is too large")
        if count == len(self._buffer):  # the usual case: one copy less of a long body
            self._body += self._buffer
            self._buffer.clear()
        else:
            self._body += self._buffer[:count]
            del self._buffer[:count]

    def _read_plain_body(self) -> bool:
        """Read a body that is not chunked; return whether it is whole."""
        if self._remaining < 0:
            self._append_to_body(len(self._buffer))
            return False
        count = min(self._remaining, len(self._buffer))
        self._append_to_body(count)
        self._remaining -= count
        return self._remaining == 0

    def _read_chunked_body(self, chunks: ChunkedBody) -> bool:
        """Read a chunked body; return whether it is whole."""
        while True:
            if chunks.data_remaining:
                count = min(chunks.data_remaining, len(self._buffer))
                self._append_to_body(count)
                chunks.consume_data(count)
                if chunks.data_remaining:
                    return False
            line = self._read_line()
            if line is None:
                return False
            chunks.consume_line(line)
            if chunks.done:
                return True
            if chunks.data_remaining > self._max_body_bytes:
                raise ProtocolError(413, "the body is too large")

    def _read_line(self) -> bytes | None:
        end = self._buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES + 2)
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                raise ProtocolError(400, "a line of the chunked body is too long")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line
