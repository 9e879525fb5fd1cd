"""Streams a long response to the client: its head, its framing, and its buffer."""

from __future__ import annotations

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_state import TransitionCause
from lugtally.downstream.responses import forwarded_headers
from lugtally.http1 import MAX_BODY_BYTES, Message, serialize_streamed_head
from lugtally.memory import MemoryUse, Reservation
from lugtally.units import NS_PER_MS

MAX_BUFFERED_BYTES = 16 * MAX_BODY_BYTES
"""Size limit of the buffer.

A longer response is sent although further requests wait behind it; one without a declared length fails.
"""
MAX_BUFFER_TIME_NS = 1000 * NS_PER_MS
"""How long a response is buffered while further requests wait behind it."""
BUFFER_END_MARGIN_NS = 200 * NS_PER_MS
"""How long before the deadline of its request a buffered response is sent, complete or not."""
MIN_UNCOPIED_BYTES = 4 * 1024
"""Shorter data is copied, so that it is written together with its framing."""
_CRLF = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class ResponseStream:
    """The destination of one streamed response.

    A body without a declared length is sent in chunks, so that the client can detect a truncated body, and the
    connection may carry further requests.

    The response is buffered for a limited time while further requests of the client wait behind it: a stream that
    fails resets the connection, and these requests would fail with it.
    """

    def __init__(
        self,
        connection: DownstreamConnection,
        request: Message,
        head: Message,
        *,
        closes_connection: bool,
        buffer_until_ns: int | None,
        deadline_ns: int,
    ) -> None:
        """Create the stream without sending anything.

        Args:
            connection: the connection of the client.
            request: the request that is answered.
            head: the head of the endpoint's response.
            closes_connection: whether the connection closes after the response.
            buffer_until_ns: until when the response is buffered; ``None`` to send it immediately.
            deadline_ns: the deadline of the request.
        """
        self._has_length = "content-length" in head.header_map
        has_framing = self._has_length or "transfer-encoding" in head.header_map
        self._chunked = not has_framing and request.minor_version > 0
        self._connection = connection
        self._buffer = bytearray(
            serialize_streamed_head(head, forwarded_headers(head), self._chunked, closes_connection)
        )
        self._buffer_memory = Reservation(connection.memory.budget, MemoryUse.BUFFERED_STREAMS)
        self._writable = True
        self.closes_connection = closes_connection
        """Whether the connection closes after the response."""
        self.buffer_until_ns = buffer_until_ns
        """Until when the response is buffered; ``None`` once it is being sent."""
        self.deadline_ns = deadline_ns
        """The deadline of the request, at which a response that is still buffered fails."""
        self.started = False
        """Whether any byte of the response may have been sent to the client."""

    def send(self, data: bytes | memoryview) -> bool:
        """Send or buffer some bytes of the body; return false if the response cannot be completed.

        That is so if the client disconnected or does not read, or if the buffer is full and the length is unknown.
        """
        if self._chunked and data:
            self._buffer += b"%x\r\n" % len(data)
        if self.buffer_until_ns is None:
            return self._send_directly(data)
        self._buffer += data
        if self._chunked and data:
            self._buffer += _CRLF
        if len(self._buffer) <= MAX_BUFFERED_BYTES:
            return self._buffer_memory.resize(len(self._buffer)) or self.stop_buffering()
        if not self._has_length:
            return False  # the body may never end
        return self.stop_buffering()

    def _send_directly(self, data: bytes | memoryview) -> bool:
        """Send bytes that need not be buffered, without copying them if there are many."""
        is_copied = len(data) < MIN_UNCOPIED_BYTES
        if is_copied:
            self._buffer += data
        else:
            self._writable = self._flush() and self._connection.write(data)
        if self._chunked and data:
            self._buffer += _CRLF
        return self._flush()

    def stop_buffering(self) -> bool:
        """Send what is buffered, and buffer nothing further; return false in the same cases as :meth:`send`."""
        self.buffer_until_ns = None
        self.release_memory()
        return self._flush()

    def release_memory(self) -> None:
        """Give back the memory that was reserved for the buffer, which is sent now or never."""
        self._buffer_memory.release()

    def finish(self) -> bool:
        """Send the end of the response; return false if the client disconnected or does not read."""
        if self._chunked:
            self._buffer += _LAST_CHUNK
        is_complete = self.stop_buffering()
        self._connection.response_truncated = not is_complete
        return is_complete

    @staticmethod
    def buffer_end_ns(now_ns: int, request_deadline_ns: int) -> int:
        """Return until when to buffer a response that is claimed now."""
        return min(now_ns + MAX_BUFFER_TIME_NS, request_deadline_ns - BUFFER_END_MARGIN_NS)

    def _flush(self) -> bool:
        """Write the buffer; return whether this and all earlier writes succeeded.

        After a failed write nothing more is written.
        """
        if not self.started:
            self.started = True
            self._connection.transition(TransitionCause.RESPONSE_STARTED)
            self._connection.response_truncated = True
        data = memoryview(self._buffer)
        self._buffer = bytearray()
        self._writable = self._writable and self._connection.write(data)
        return self._writable
