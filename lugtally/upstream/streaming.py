"""Streaming of long response bodies from an endpoint to the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

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
CLAIM_MARGIN_NS = 200 * NS_PER_MS
"""How long before the deadline of the request a response is claimed at the latest.

The process may be delayed by up to 150 ms between reading the clock and writing.
"""
MIN_CLAIM_MARGIN_NS = 20 * NS_PER_MS
"""As ``CLAIM_MARGIN_NS``, if the head of a response without a declared length was received late."""
MAX_BUFFERED_PAUSE_NS = 500 * NS_PER_MS
"""A response that is buffered for pipelined requests has stalled if no byte of it was received for this long."""
MIN_LONG_BODY_BYTES = 4 * 1024
"""A body without a declared length counts as a long one if this many bytes of it were received by its latest claim."""
MAX_RECENT_INPUT_NS = 100 * NS_PER_MS
"""A body without a declared length also counts as a long one if bytes of it were received more recently."""
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
    memory: Reservation,
) -> AttemptOutcome:
    """Stream a long body to the client.  Until then ``memory`` counts the buffered bytes.

    The first bytes of the body are buffered for a short time.  After that, at most the bytes of one read are in memory.
    A response that has started has no deadline: the endpoint may write its body more slowly than that.

    Raises:
        AttemptAborted: The body was truncated before any byte of it was sent to the client, or its length is not
            declared and it has stalled at ``deadline_ns``.
    """
    framing, data = connection.parser.detach_body()
    try:
        prefix = _buffer_prefix(loop, connection, framing, data, deadline_ns, memory)
        if prefix.is_complete and framing.until_close:
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

    The client has received nothing until then, so that a failure can be retried or answered.  Buffering ends when the
    bytes exceed ``MAX_BODY_BYTES``, when a long response must be claimed, or if ``memory`` cannot grant it.

    Raises:
        AttemptAborted: The connection was closed, the deadline passed or the attempt was cancelled.
    """
    has_length = _has_length(framing)
    received_ns = loop.now()
    hold_until_ns = _hold_end_ns(has_length, received_ns, deadline_ns)
    buffered = bytearray(data[: _feed(loop, framing, data)])
    while not framing.done and len(buffered) <= MAX_BODY_BYTES:
        now_ns = loop.now()
        if not memory.resize(len(buffered)):
            break
        if now_ns >= hold_until_ns and (has_length or _is_long(len(buffered), now_ns - received_ns)):
            break
        if now_ns >= deadline_ns and not has_length:
            raise AttemptAborted(AttemptOutcome.TIMEOUT)
        reason = loop.wait(connection.fd, READABLE, hold_until_ns if now_ns < hold_until_ns else deadline_ns)
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
        received_ns = loop.now()
        buffered += data[: _feed(loop, framing, data)]
    return _BodyPrefix(bytes(buffered), framing.done)


def _end_prefix(framing: BodyFraming, buffered: bytearray) -> _BodyPrefix:
    """Return a body that ended with its connection.

    Raises:
        AttemptAborted: Its framing says that it is truncated.
    """
    if not framing.until_close:
        raise AttemptAborted(AttemptOutcome.RESET)
    return _BodyPrefix(bytes(buffered), is_complete=True)


def _hold_end_ns(has_length: bool, now_ns: int, deadline_ns: int) -> int:
    """Return until when to buffer the first bytes of a body whose head has just been received."""
    max_hold_ns = MAX_PREFIX_HOLD_NS if has_length else MAX_UNDECLARED_HOLD_NS
    hold_end_ns = min(now_ns + max_hold_ns, deadline_ns - CLAIM_MARGIN_NS)
    if has_length:
        return hold_end_ns
    # A short body gets the time in which a long one shows that it continues.
    return max(hold_end_ns, min(now_ns + MAX_RECENT_INPUT_NS, deadline_ns - MIN_CLAIM_MARGIN_NS))


def _is_long(received_bytes: int, since_input_ns: int) -> bool:
    """Return whether a body without a declared length is a long one, whose rest is not due at the deadline.

    A short one that is late looks alike.  A body that has stalled after a few bytes counts as short.
    """
    return received_bytes >= MIN_LONG_BODY_BYTES or (received_bytes > 0 and since_input_ns < MAX_RECENT_INPUT_NS)
