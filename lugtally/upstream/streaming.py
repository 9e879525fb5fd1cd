"""Streaming of long response bodies from an endpoint to the client."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from loguru import logger

from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.http1 import MAX_BODY_BYTES, BodyFraming, Message, ProtocolError
from lugtally.memory import Reservation
from lugtally.units import NS_PER_MS
from lugtally.upstream.connection import UpstreamConnection
from lugtally.upstream.errors import AttemptAborted
from lugtally.upstream.load_report import LOAD_REPORT_HEADER

STREAM_IDLE_TIMEOUT_NS = 5000 * NS_PER_MS
"""A streamed response is aborted if no byte of it is received for this long."""
MAX_PREFIX_HOLD_NS = 50 * NS_PER_MS
"""How long the first bytes of a body with a declared length are buffered: a failure in that time can be retried."""
MAX_UNDECLARED_HOLD_NS = 1000 * NS_PER_MS
"""As ``MAX_PREFIX_HOLD_NS``, for a body without a declared length, which may be a short one."""
MIN_UNDECLARED_HOLD_NS = 100 * NS_PER_MS
"""How long such a body is buffered if its head was received late, so that a short one can still be complete."""
CLAIM_MARGIN_NS = 200 * NS_PER_MS
"""How long before the deadline of the request a response is claimed at the latest.

The process may be delayed by up to 150 ms between reading the clock and writing.
"""
MIN_CLAIM_MARGIN_NS = 20 * NS_PER_MS
"""As ``CLAIM_MARGIN_NS``, for ``MIN_UNDECLARED_HOLD_NS``."""
MAX_BUFFERED_PAUSE_NS = 500 * NS_PER_MS
"""A response that is buffered for pipelined requests has stalled if no byte of it was received for this long."""
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
    def buffer_until_ns(self) -> int | None:
        """Until when the sink buffers the response, unless it is complete earlier; ``None`` if it does not buffer."""

    @property
    def deadline_ns(self) -> int:
        """The deadline of the request, at which a response that is still buffered fails."""

    def stop_buffering(self) -> bool:
        """Send what is buffered, and buffer nothing further; return false in the same cases as :meth:`send`."""


ClaimStream = Callable[[Message], "ResponseSink | None"]
"""Returns the sink for a response with this head; ``None`` if the client gets the response of another attempt."""


class BufferingEnd(Enum):
    """Why the buffering of the first bytes of a body ended.  The values are those of the log event."""

    COMPLETE = "the body is complete"
    FULL = "the buffer is full"
    NO_MEMORY = "the memory budget cannot grant more"
    TIME_LIMIT = "the time limit of the buffering"


class _BodyPrefix(NamedTuple):
    """The first bytes of a body, which are buffered before the client receives any of it."""

    data: bytes
    end: BufferingEnd


def stream_response(
    loop: EventLoop,
    connection: UpstreamConnection,
    response: Message,
    claim_stream: ClaimStream | None,
    deadline_ns: int,
    memory: Reservation,
) -> AttemptOutcome:
    """Stream a long body to the client.  Until then ``memory`` counts the buffered bytes.

    The first bytes of the body are buffered for a short time.  After that, at most the bytes of one read are in memory.
    A response that has started has no deadline: the endpoint may write its body more slowly than that.

    Raises:
        AttemptAborted: The body was truncated, or the attempt was cancelled, before any byte was sent to the client.
    """
    framing, data = connection.parser.detach_body()
    try:
        prefix = _buffer_prefix(loop, connection, framing, data, deadline_ns, memory)
        _log_buffering_end(connection, prefix)
        if prefix.end is BufferingEnd.COMPLETE and framing.until_close:
            response.body = prefix.data
            response.streamed = False
            return AttemptOutcome.SERVED
        sink = claim_stream(response) if claim_stream is not None else None
        response.drop_headers(LOAD_REPORT_HEADER)
        prefix_data = prefix.data
        del prefix, data  # free the memory before the rest is streamed
        memory.release()  # a sink that keeps the bytes counts them
        if sink is None or not sink.send(prefix_data):
            return AttemptOutcome.CANCELLED
        del prefix_data
        return _stream_rest(loop, connection, framing, sink)
    except OSError:
        return AttemptOutcome.RESET
    except ProtocolError:
        return AttemptOutcome.MALFORMED_RESPONSE
    finally:
        memory.release()


def _stream_rest(
    loop: EventLoop, connection: UpstreamConnection, framing: BodyFraming, sink: ResponseSink
) -> AttemptOutcome:
    """Stream the rest of the body, after its prefix was sent.

    Raises:
        OSError: The connection to the endpoint failed.
        ProtocolError: The body is malformed.
    """
    received_ns = loop.now()
    while not framing.done:
        if (outcome := _end_buffering(loop, framing, sink, received_ns)) is not None:
            return outcome
        reason = loop.wait(connection.fd, READABLE, _wait_end_ns(loop, sink, received_ns))
        if reason is WakeReason.TIMEOUT and sink.buffer_until_ns is not None:
            continue
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
        received_ns = loop.now()
    return _finish(sink)


def _end_buffering(
    loop: EventLoop, framing: BodyFraming, sink: ResponseSink, received_ns: int
) -> AttemptOutcome | None:
    """If the sink has buffered the response for long enough, send it incomplete; return the outcome if it has failed.

    It is sent if its length is declared and it has not stalled.  Any other response may never end, and the requests
    behind it would then get no response: it fails at its deadline.
    """
    now_ns = loop.now()
    if sink.buffer_until_ns is None or now_ns < sink.buffer_until_ns:
        return None
    if _has_length(framing) and now_ns - received_ns < MAX_BUFFERED_PAUSE_NS:
        return None if sink.stop_buffering() else AttemptOutcome.CANCELLED
    return AttemptOutcome.TIMEOUT if now_ns >= sink.deadline_ns else None


def _wait_end_ns(loop: EventLoop, sink: ResponseSink, received_ns: int) -> int:
    """Return until when to wait for the next bytes of the body."""
    if sink.buffer_until_ns is None:
        return received_ns + STREAM_IDLE_TIMEOUT_NS
    return sink.buffer_until_ns if loop.now() < sink.buffer_until_ns else sink.deadline_ns


def _has_length(framing: BodyFraming) -> bool:
    return not framing.chunked and not framing.until_close


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
    loop: EventLoop,
    connection: UpstreamConnection,
    framing: BodyFraming,
    data: bytes,
    deadline_ns: int,
    memory: Reservation,
) -> _BodyPrefix:
    """Read the first bytes of a body, until the body is complete or its buffering ends.

    The client has received nothing until then, so that a failure can be retried or answered.  How many bytes were
    received, and when, does not distinguish a short body from a long one that pauses, so neither fails a response.

    Raises:
        AttemptAborted: The connection was closed, or the attempt was cancelled.
    """
    hold_until_ns = _hold_end_ns(_has_length(framing), loop.now(), deadline_ns)
    buffered = bytearray(data[: _feed(loop, framing, data)])
    while not framing.done:
        if (end := _buffering_end(loop, buffered, hold_until_ns, memory)) is not None:
            return _BodyPrefix(bytes(buffered), end)
        reason = loop.wait(connection.fd, READABLE, hold_until_ns)
        if reason is WakeReason.INTERRUPTED:
            raise AttemptAborted(AttemptOutcome.CANCELLED)
        if reason is WakeReason.TIMEOUT:
            continue
        try:
            data = connection.receive()
        except BlockingIOError:
            continue
        if not data:
            return _end_prefix(framing, buffered)
        buffered += data[: _feed(loop, framing, data)]
    return _BodyPrefix(bytes(buffered), BufferingEnd.COMPLETE)


def _buffering_end(
    loop: EventLoop, buffered: bytearray, hold_until_ns: int, memory: Reservation
) -> BufferingEnd | None:
    """Return why an incomplete body is not buffered any longer; ``None`` if it is."""
    if len(buffered) > MAX_BODY_BYTES:
        return BufferingEnd.FULL
    if not memory.resize(len(buffered)):
        return BufferingEnd.NO_MEMORY
    return BufferingEnd.TIME_LIMIT if loop.now() >= hold_until_ns else None


def _end_prefix(framing: BodyFraming, buffered: bytearray) -> _BodyPrefix:
    """Return a body that ended with its connection.

    Raises:
        AttemptAborted: Its framing says that it is truncated.
    """
    if not framing.until_close:
        raise AttemptAborted(AttemptOutcome.RESET)
    return _BodyPrefix(bytes(buffered), BufferingEnd.COMPLETE)


def _log_buffering_end(connection: UpstreamConnection, prefix: _BodyPrefix) -> None:
    host, port = connection.address
    logger.debug(
        "buffered {bytes} bytes of a response of {host}:{port}: {reason}",
        event="upstream.buffering_ended",
        bytes=len(prefix.data),
        host=host,
        port=port,
        reason=prefix.end.value,
    )


def _hold_end_ns(has_length: bool, now_ns: int, deadline_ns: int) -> int:
    """Return until when to buffer the first bytes of a body whose head has just been received."""
    max_hold_ns = MAX_PREFIX_HOLD_NS if has_length else MAX_UNDECLARED_HOLD_NS
    hold_end_ns = min(now_ns + max_hold_ns, deadline_ns - CLAIM_MARGIN_NS)
    if has_length:
        return hold_end_ns
    return max(hold_end_ns, min(now_ns + MIN_UNDECLARED_HOLD_NS, deadline_ns - MIN_CLAIM_MARGIN_NS))
