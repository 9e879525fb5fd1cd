"""Streaming of long response bodies from an endpoint to the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.http1 import MAX_BODY_BYTES, BodyFraming, Message, ProtocolError
from lugtally.units import NS_PER_MS
from lugtally.upstream.connection import UpstreamConnection
from lugtally.upstream.errors import AttemptAborted

STREAM_IDLE_TIMEOUT_NS = 5000 * NS_PER_MS
"""A streamed response is aborted if no byte of it is received for this long."""


PARSE_SLICE_BYTES = 4 * 1024
"""A chunked body is parsed in slices of this size, so that the task can yield between them."""
MAX_PARSE_TURN_NS = NS_PER_MS
"""After this time the task yields.  One read may contain thousands of small chunks."""


class ResponseSink(Protocol):
    """The destination of a streamed response: the connection to the client."""

    def send(self, data: bytes | memoryview) -> bool:
        """Write all bytes, waiting while the client is slow; return false if it disconnected or stopped reading."""

    def finish(self) -> bool:
        """Complete the response after its body was sent; return false in the same cases as :meth:`send`."""

    @property
    def hold_until_ns(self) -> int | None:
        """By when the response must be complete while the sink buffers it; ``None`` if the sink does not buffer it."""


ClaimStream = Callable[[Message], "ResponseSink | None"]
"""Returns the sink for a response with this head; ``None`` if the client gets the response of another attempt."""


class _BodyPrefix(NamedTuple):
    """The first bytes of a body, which are buffered before the client receives any of it."""

    data: bytes
    is_complete: bool


def stream_response(
    loop: EventLoop,
    connection: UpstreamConnection,
    response: Message,
    claim_stream: ClaimStream | None,
    deadline_ns: int,
) -> AttemptOutcome:
    """Stream a long body to the client.

    The first bytes of the body are buffered.  After that, at most the bytes of one read are in memory.

    Raises:
        AttemptAborted: The body was truncated or timed out before any byte of it was sent to the client.
    """
    framing, data = connection.parser.detach_body()
    try:
        prefix = _buffer_prefix(loop, connection, framing, data, deadline_ns)
        if prefix.is_complete and framing.until_close:
            response.body = prefix.data
            response.streamed = False
            return AttemptOutcome.SERVED
        sink = claim_stream(response) if claim_stream is not None else None
        if sink is None or not sink.send(prefix.data):
            return AttemptOutcome.CANCELLED
        del prefix, data  # free the memory before the rest is streamed
        return _stream_rest(loop, connection, framing, sink)
    except OSError:
        return AttemptOutcome.RESET
    except ProtocolError:
        return AttemptOutcome.MALFORMED_RESPONSE


def _stream_rest(
    loop: EventLoop, connection: UpstreamConnection, framing: BodyFraming, sink: ResponseSink
) -> AttemptOutcome:
    """Stream the rest of the body, after its prefix was sent.

    Raises:
        OSError: The connection to the endpoint failed.
        ProtocolError: The body is malformed.
    """
    while not framing.done:
        deadline_ns = loop.now() + STREAM_IDLE_TIMEOUT_NS
        if (hold_until_ns := sink.hold_until_ns) is not None:
            if loop.now() >= hold_until_ns:
                return AttemptOutcome.TIMEOUT
            deadline_ns = min(deadline_ns, hold_until_ns)
        reason = loop.wait(connection.fd, READABLE, deadline_ns)
        if reason is not WakeReason.READY:
            return AttemptOutcome.TIMEOUT if reason is WakeReason.TIMEOUT else AttemptOutcome.CANCELLED
        try:
            data = connection.receive()
        except BlockingIOError:
            continue
        if not data:
            return _finish(sink) if framing.until_close else AttemptOutcome.RESET
        if not sink.send(memoryview(data)[: _feed(loop, framing, data)]):
            return AttemptOutcome.CANCELLED
    return _finish(sink)


def _feed(loop: EventLoop, framing: BodyFraming, data: bytes) -> int:
    """Return how many of the bytes belong to the body; yield to other tasks if it has many small chunks."""
    if not framing.chunked:
        return framing.feed(data)
    body_bytes = 0
    started_ns = loop.now()
    for start in range(0, len(data), PARSE_SLICE_BYTES):
        body_bytes += framing.feed(data[start : start + PARSE_SLICE_BYTES])
        if framing.done:
            break
        if loop.now() - started_ns >= MAX_PARSE_TURN_NS:
            loop.sleep(0)
            started_ns = loop.now()
    return body_bytes


def _finish(sink: ResponseSink) -> AttemptOutcome:
    return AttemptOutcome.SERVED if sink.finish() else AttemptOutcome.CANCELLED


def _buffer_prefix(
    loop: EventLoop, connection: UpstreamConnection, framing: BodyFraming, data: bytes, deadline_ns: int
) -> _BodyPrefix:
    """Read the first bytes of a body, until they exceed ``MAX_BODY_BYTES`` or the body is complete.

    The client has received nothing yet, so if the connection fails or the deadline passes, the request can still be
    retried at another endpoint or answered as failed.

    Raises:
        AttemptAborted: The connection was closed, the deadline passed or the attempt was cancelled.
    """
    buffered = bytearray(data[: _feed(loop, framing, data)])
    while not framing.done and len(buffered) <= MAX_BODY_BYTES:
        connection.wait_readable(loop, deadline_ns)
        try:
            data = connection.receive()
        except BlockingIOError:
            continue
        if not data:
            if framing.until_close:
                return _BodyPrefix(bytes(buffered), is_complete=True)
            raise AttemptAborted(AttemptOutcome.RESET)
        buffered += data[: _feed(loop, framing, data)]
    return _BodyPrefix(bytes(buffered), framing.done)
