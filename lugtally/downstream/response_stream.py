"""A long response on its way to the client: its head, its framing, and what is held back of it."""

from __future__ import annotations

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_state import TransitionCause
from lugtally.downstream.responses import forwarded_headers
from lugtally.http1 import MAX_BODY_BYTES, Message, serialize_streamed_head

MAX_HELD_BYTES = 16 * MAX_BODY_BYTES
"""A longer response is passed on although requests wait behind it, as memory is short; one without a length fails."""
_LAST_CHUNK = b"0\r\n\r\n"


class ResponseStream:
    """The sink of one streamed response.

    A body without a length is passed on in chunks: its end cannot be taken for that of a connection which breaks, or
    whose process is killed, and the connection may carry on.  Where further requests of the client have been read the
    response is held back, as a stream that breaks off ends the connection, and those requests with it.
    """

    def __init__(
        self,
        connection: DownstreamConnection,
        request: Message,
        head: Message,
        *,
        closes: bool,
        hold_until_ns: int | None,
    ) -> None:
        """``closes``: whether the connection ends with it.  ``hold_until_ns``: until when it may be held back."""
        self._has_length = "content-length" in head.header_map
        has_framing = self._has_length or "transfer-encoding" in head.header_map
        self._chunked = not has_framing and request.minor_version > 0
        self._connection = connection
        self._held = bytearray(serialize_streamed_head(head, forwarded_headers(head), self._chunked, closes))
        self._writable = True
        self.closes = closes
        """Whether the connection ends with the response."""
        self.hold_until_ns = hold_until_ns
        """Until when it is held back; ``None`` once it is passed on."""
        self.began = False
        """Whether part of it has gone to the client."""

    def send(self, data: bytes | memoryview) -> bool:
        """Pass on, or hold back, a part of the body; false where the client has left or does not read."""
        if self._chunked and data:
            self._held += b"%x\r\n" % len(data)
        self._held += data
        if self._chunked and data:
            self._held += b"\r\n"
        if self.hold_until_ns is not None:
            if len(self._held) <= MAX_HELD_BYTES:
                return True
            if not self._has_length:
                return False  # nothing says that it ever ends
        self.hold_until_ns = None
        return self._flush()

    def finish(self) -> bool:
        """Pass on the end of the response; false where the client has left or does not read."""
        if self._chunked:
            self._held += _LAST_CHUNK
        self.hold_until_ns = None
        is_whole = self._flush()
        self._connection.response_truncated = not is_whole
        return is_whole

    def _flush(self) -> bool:
        """Write what is held; after a failed write nothing more is written."""
        if not self.began:
            self.began = True
            self._connection.transition(TransitionCause.RESPONSE_STARTED)
            self._connection.response_truncated = True
        held, self._held = memoryview(self._held), bytearray()
        self._writable = self._writable and self._connection.write(held)
        return self._writable
