"""Streamed responses: a long body is passed on to the client as it comes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.http1 import MAX_BODY_BYTES, BodyFraming, Message, ProtocolError
from lugtally.units import NS_PER_MS
from lugtally.upstream.connection import UpstreamConnection
from lugtally.upstream.errors import AttemptAborted

STREAM_IDLE_TIMEOUT_NS = 5000 * NS_PER_MS
"""A streamed response of which nothing comes for this long is broken off."""


class ResponseSink(Protocol):
    """Where a streamed response goes: the connection of the client."""

    def send(self, data: bytes | memoryview) -> bool:
        """Write all of it, waiting as long as the client takes; false where it has left or does not read."""

    def finish(self) -> bool:
        """Write the end of the response, all of whose body has been sent; false as for :meth:`send`."""

    @property
    def hold_until_ns(self) -> int | None:
        """By when it must be whole, as none of it has been passed on; ``None`` where there is no such time."""


ClaimStream = Callable[[Message], "ResponseSink | None"]
"""Called with the head of a long response: returns where to pass it on, or ``None`` where another attempt answers."""


def stream_response(
    loop: EventLoop,
    connection: UpstreamConnection,
    response: Message,
    claim_stream: ClaimStream | None,
    deadline_ns: int,
) -> AttemptOutcome:
    """Pass a long body on as it comes; beyond its beginning at most one read of it is in memory.

    Raises:
        AttemptAborted: The body failed before any of it reached the client.
    """
    framing, data = connection.parser.detach_body()
    try:
        beginning, is_whole = _buffer_beginning(loop, connection, framing, data, deadline_ns)
        if is_whole and framing.until_close:
            response.body, response.streamed = beginning, False  # a response like any other
            return AttemptOutcome.SERVED
        sink = claim_stream(response) if claim_stream is not None else None
        if sink is None or not sink.send(beginning):
            return AttemptOutcome.CANCELLED
        del beginning, data  # neither stays in memory for as long as the stream lasts
        return _pass_on_rest(loop, connection, framing, sink)
    except OSError:
        return AttemptOutcome.RESET
    except ProtocolError:
        return AttemptOutcome.MALFORMED_RESPONSE


def _pass_on_rest(
    loop: EventLoop, connection: UpstreamConnection, framing: BodyFraming, sink: ResponseSink
) -> AttemptOutcome:
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
        if not sink.send(memoryview(data)[: framing.feed(data)]):
            return AttemptOutcome.CANCELLED
    return _finish(sink)


def _finish(sink: ResponseSink) -> AttemptOutcome:
    return AttemptOutcome.SERVED if sink.finish() else AttemptOutcome.CANCELLED


def _buffer_beginning(
    loop: EventLoop, connection: UpstreamConnection, framing: BodyFraming, data: bytes, deadline_ns: int
) -> tuple[bytes, bool]:
    """Return the beginning of a body, as far as other responses are buffered, and whether it is whole.

    Nothing of it has reached the client yet: where the connection breaks, or the body does not end in time, the
    request can still be retried at another endpoint, or answered as failed.
    """
    buffered = bytearray(data[: framing.feed(data)])
    while not framing.done and len(buffered) <= MAX_BODY_BYTES:
        connection.wait_readable(loop, deadline_ns)
        try:
            data = connection.receive()
        except BlockingIOError:
            continue
        if not data:
            if framing.until_close:
                return bytes(buffered), True
            raise AttemptAborted(AttemptOutcome.RESET)
        buffered += data[: framing.feed(data)]
    return bytes(buffered), framing.done
