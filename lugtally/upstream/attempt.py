"""One attempt over one connection: write the request, read the response, classify it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import EventLoop
from lugtally.http1 import ForwardedRequest, Message, ProtocolError
from lugtally.upstream.connection import UpstreamConnection
from lugtally.upstream.errors import AttemptAborted

MayProceed = Callable[[], bool]
"""Called right before bytes of a request go out: may they still?  Much may have changed since the attempt started."""


class AttemptResponse(NamedTuple):
    """How an attempt ended, and the response where one came whole or as a stream."""

    outcome: AttemptOutcome
    response: Message | None


def write_request(
    loop: EventLoop,
    connection: UpstreamConnection,
    request: ForwardedRequest,
    deadline_ns: int,
    may_proceed: MayProceed,
) -> None:
    """Write a request whole; the time left that it tells is that of the moment at which it goes out.

    The caller has just found that it may go out and that nothing has come on the connection.

    Raises:
        AttemptAborted: It was not written whole, so it never ran; or a response came before it was.
    """
    data, sent = b"", 0
    while True:
        time_left_ns = deadline_ns - loop.now()
        if time_left_ns <= 0:
            raise AttemptAborted(AttemptOutcome.TIMEOUT_BEFORE_SENT)
        if sent <= request.time_left_offset:
            data = request.write(time_left_ns)  # the same bytes as before, as far as they are out
        try:
            sent += connection.sock.send(memoryview(data)[sent:])
        except BlockingIOError:
            pass
        except OSError as error:
            _check_no_response(connection)
            raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT) from error
        if sent == len(data):
            return
        connection.wait_writable(loop, deadline_ns, AttemptOutcome.TIMEOUT_BEFORE_SENT, or_readable=True)
        # The endpoint may have drained meanwhile, the client left or the window closed.
        if not may_proceed():
            raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)
        _check_no_response(connection)


def _check_no_response(connection: UpstreamConnection) -> None:
    """Check that nothing has come while a request is written.

    A response to half a request serves nobody, or is another request's; but it proves nothing of whether this one ran.

    Raises:
        AttemptAborted: A response has begun, or the endpoint has ended the connection.
    """
    if connection.has_bytes():
        raise AttemptAborted(AttemptOutcome.MALFORMED_RESPONSE)
    if not connection.is_quiet():
        raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT)


def read_response(loop: EventLoop, connection: UpstreamConnection, deadline_ns: int) -> Message:
    """Read a response; of one with a long body, its head.

    Raises:
        AttemptAborted: No whole response came in time, or one that cannot be read.
    """
    while True:
        connection.wait_readable(loop, deadline_ns)
        try:
            data = connection.receive()
            response = connection.parser.feed(data) if data else connection.parser.end_of_input()
        except BlockingIOError:
            continue
        except OSError as error:
            raise AttemptAborted(AttemptOutcome.RESET) from error
        except ProtocolError as error:
            # What an endpoint sends wrongly costs this connection and this attempt, nothing else.
            raise AttemptAborted(AttemptOutcome.MALFORMED_RESPONSE) from error
        if response is not None:
            response.keep_alive = response.keep_alive and bool(data)
            return response
        if not data:
            raise AttemptAborted(AttemptOutcome.RESET)


def classify_response(response: Message) -> AttemptOutcome:
    """Return what a whole response says of the attempt."""
    if response.status == 200:
        return AttemptOutcome.SERVED
    if response.status in (503, 504) and response.header_map.get("x-unprocessed") == "1":
        return AttemptOutcome.REJECTED  # only the mark proves that the request never ran
    if 400 <= response.status < 500 and response.status not in (408, 425, 429):
        return AttemptOutcome.DECLINED
    return AttemptOutcome.ERRORED
