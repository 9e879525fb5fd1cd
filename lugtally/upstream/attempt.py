"""The steps of one attempt on a connection: write the request, read the response, classify the response."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import EventLoop
from lugtally.eventloop.tcp_socket import is_open_without_input
from lugtally.http1 import ForwardedRequest, Message, MessageParser, ProtocolError
from lugtally.memory import MemoryBudget, MemoryUse, Reservation
from lugtally.upstream.connection import UpstreamConnection
from lugtally.upstream.errors import AttemptAborted

MayProceed = Callable[[], bool]
"""Returns whether bytes of a request may be written now.  It is called immediately before each write."""


class FinishedAttempt(NamedTuple):
    """How an attempt ended, and its response.

    Attributes:
        outcome: How the attempt ended.
        response: The response if it was complete or was streamed, else ``None``.
    """

    outcome: AttemptOutcome
    response: Message | None


def write_request(
    loop: EventLoop,
    connection: UpstreamConnection,
    request: ForwardedRequest,
    deadline_ns: int,
    may_proceed: MayProceed,
) -> None:
    """Write a complete request.  Its timeout header states the time that is left when the header is written.

    Call this immediately after checking that the request may be written and that no byte was received on the
    connection.

    Raises:
        AttemptAborted: The request was not sent completely, so it cannot have been processed; or the endpoint sent
            bytes before the request was complete.
    """
    head, body = b"", request.body
    sent = 0
    while True:
        time_left_ns = deadline_ns - loop.now()
        if time_left_ns <= 0:
            raise AttemptAborted(AttemptOutcome.TIMEOUT_BEFORE_SENT)
        if sent <= request.time_left_offset:
            head = request.serialize_head(time_left_ns)  # the bytes that were sent already do not change
        try:
            sent += _send_rest(connection, head, body, sent) if sent or body else connection.sock.send(head)
        except BlockingIOError:
            pass
        except OSError as error:
            _check_no_response(connection)
            raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT) from error
        if sent == len(head) + len(body):
            return
        connection.wait_writable(loop, deadline_ns, AttemptOutcome.TIMEOUT_BEFORE_SENT, or_readable=True)
        # During the wait, the endpoint may have started draining, or the client may have disconnected.
        if not may_proceed():
            raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)
        _check_no_response(connection)


def _send_rest(connection: UpstreamConnection, head: bytes, body: bytes, sent: int) -> int:
    """Write what follows the first ``sent`` bytes of a request, without copying its body; return the bytes written.

    Raises:
        BlockingIOError: Nothing can be written now.
        OSError: The connection failed.
    """
    if sent >= len(head):
        return connection.sock.send(memoryview(body)[sent - len(head) :])
    unsent_head = memoryview(head)[sent:]
    return connection.sock.sendmsg([unsent_head, body]) if body else connection.sock.send(unsent_head)


def _check_no_response(connection: UpstreamConnection) -> None:
    """Check that the endpoint has sent nothing while the request is still being written.

    A response to an incomplete request is useless or belongs to another request.  It does not prove that this request
    was not processed.

    Raises:
        AttemptAborted: Bytes were received, or the endpoint closed the connection.
    """
    if connection.has_bytes():
        raise AttemptAborted(AttemptOutcome.MALFORMED_RESPONSE)
    if not is_open_without_input(connection.sock):
        raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT)


def read_response(loop: EventLoop, connection: UpstreamConnection, deadline_ns: int, memory: MemoryBudget) -> Message:
    """Read a complete response, or only the head if the response is to be streamed.

    A short response, too, is streamed if ``memory`` cannot grant it.

    Raises:
        AttemptAborted: The response was not complete by the deadline, or is malformed.
    """
    reservation = None
    try:
        while True:
            connection.wait_readable(loop, deadline_ns)
            try:
                data = connection.receive()
                response = connection.parser.feed(data) if data else connection.parser.end_of_input()
            except BlockingIOError:
                continue
            if response is not None:
                response.keep_alive = response.keep_alive and bool(data)
                return response
            if not data:
                raise AttemptAborted(AttemptOutcome.RESET)
            reservation = reservation or Reservation(memory, MemoryUse.RESPONSES)
            if (response := _reserve_memory(connection, reservation)) is not None:
                return response
    except OSError as error:
        raise AttemptAborted(AttemptOutcome.RESET) from error
    except ProtocolError as error:
        raise AttemptAborted(AttemptOutcome.MALFORMED_RESPONSE) from error
    finally:
        if reservation is not None:
            reservation.release()


def _reserve_memory(connection: UpstreamConnection, reservation: Reservation) -> Message | None:
    """Reserve memory for the received part of a response; if there is none, return it, to be streamed."""
    parser = connection.parser
    if reservation.resize(parser.memory_bytes):
        return None
    if (response := parser.stream_pending()) is not None:
        return response
    _discard_error_body(parser)
    reservation.force(parser.memory_bytes)
    return None


def _discard_error_body(parser: MessageParser) -> None:
    """Discard the body of a response with another status than 200, which is not forwarded."""
    if parser.pending_head is not None and parser.pending_head.status != 200:
        parser.discard_body()


def classify_response(response: Message) -> AttemptOutcome:
    """Return the outcome of an attempt with a complete response."""
    if response.status == 200:
        return AttemptOutcome.SERVED
    if response.status in (503, 504) and response.header_map.get("x-unprocessed") == "1":
        return AttemptOutcome.REJECTED  # without the header, the request may have been processed
    if 400 <= response.status < 500 and response.status not in (408, 425, 429):
        return AttemptOutcome.DECLINED
    return AttemptOutcome.ERRORED
