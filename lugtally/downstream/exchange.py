"""One request: its attempts as tasks, their cancellation, and its response, whole or passed on as it comes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from lugtally.dispatch import AttemptOutcome, Decision, Dispatcher, PendingRequest, Rejected, StartAttempt
from lugtally.downstream.connection import ClientStatus
from lugtally.downstream.request_reader import RequestReader
from lugtally.downstream.response_stream import ResponseStream
from lugtally.downstream.responses import (
    Response,
    StreamedResponse,
    failed_response,
    rejected_response,
    served_response,
)
from lugtally.eventloop import PEER_CLOSED, READABLE, EventLoop, Task
from lugtally.http1 import ForwardedRequest, Message
from lugtally.upstream import ResponseSink, UpstreamPool


@dataclass(slots=True, frozen=True)
class ExchangeServices:
    """What every exchange works with; one of them for all, so that each request holds one reference."""

    loop: EventLoop
    dispatcher: Dispatcher
    upstream: UpstreamPool


class Exchange:
    """One request and its attempts."""

    __slots__ = (
        "_client_closed",
        "_closes_after",
        "_connection",
        "_deadline_ns",
        "_forwarded",
        "_may_read_ahead",
        "_message",
        "_reader",
        "_request",
        "_served",
        "_services",
        "_stream",
        "_tasks",
        "_watched_since_ns",
        "_watches_input",
        "_writing_began",
    )

    def __init__(
        self,
        services: ExchangeServices,
        reader: RequestReader,
        message: Message,
        class_index: int,
        deadline_ns: Callable[[], int],
        tenant_index: int,
        closes_after: Callable[[], bool],
        may_read_ahead: Callable[[], bool],
    ) -> None:
        """Begin an exchange.

        ``deadline_ns`` says by when the response must be there, which may be earlier as further requests are read;
        ``closes_after`` whether the connection ends with it; ``may_read_ahead`` whether further requests are welcome.
        """
        self._services = services
        self._reader = reader
        self._connection = reader.connection
        self._message = message
        self._deadline_ns = deadline_ns
        self._closes_after = closes_after
        self._may_read_ahead = may_read_ahead
        self._stream: ResponseStream | None = None  # the response that is passed on as it comes
        self._forwarded = ForwardedRequest(message)
        self._tasks: dict[int, Task] = {}  # by the attempt's number
        self._served: Message | None = None  # the whole response that is the answer
        self._client_closed = False
        self._watched_since_ns = 0
        self._watches_input = False  # whether the loop reports the next bytes of the client
        self._writing_began = False  # bytes of the request may have gone to an endpoint
        self._request = PendingRequest(
            services.loop,
            class_index,
            deadline_ns(),
            message.header_map.get("x-repeat") == "1",
            self._cancel_attempt,
            tenant_index,
        )

    def run(self) -> Response | StreamedResponse | None:
        """Block until the request is over and return its response; ``None`` where only half of it was passed on."""
        loop, dispatcher, connection = self._services.loop, self._services.dispatcher, self._connection
        self._watch_client()
        decision = dispatcher.next_decision(self._request)
        while isinstance(decision, StartAttempt):
            self._tasks[decision.number] = loop.spawn(self._run_attempt, decision)
            decision = dispatcher.next_decision(self._request)
        self._stop_watching_client()
        self._release()
        if self._stream is not None and self._stream.began:
            return None if connection.response_truncated else StreamedResponse(self._stream.closes)
        if self._client_closed:
            connection.client_status = ClientStatus.HALF_CLOSED
            return self._response_to_disconnected()
        return self._final_response(decision)

    def _watch_client(self) -> None:
        """Notice the end of the client, and when the next bytes of it come."""
        self._watched_since_ns = self._services.loop.now()
        self._watches_input = True
        self._services.loop.register(self._connection.fd, PEER_CLOSED | READABLE, self._handle_input)

    def _handle_input(self, poll_events: int) -> None:
        self._reader.arrival.note_readable(self._watched_since_ns)
        if poll_events & ~READABLE:
            self._watches_input = False
            self._client_disconnected()
        elif not self._read_ahead():
            self._watches_input = False
            self._services.loop.register(self._connection.fd, PEER_CLOSED, lambda _: self._client_disconnected())

    def _read_ahead(self) -> bool:
        """Read further requests, where they are welcome; return whether to go on watching for more.

        They cannot be answered before this one, so it has no more time than they have.
        """
        reader = self._reader
        if self._stream is not None or reader.queue.is_full or not self._may_read_ahead():
            return False
        has_read_all = reader.read_ahead()
        deadline_ns = self._deadline_ns()
        if deadline_ns < self._request.deadline_ns:
            self._services.dispatcher.shorten_deadline(self._request, deadline_ns)
        return has_read_all

    def _stop_watching_client(self) -> None:
        self._services.loop.unregister(self._connection.fd)
        if self._watches_input and self._stream is None:  # a write may have ended the watch
            self._reader.arrival.note_unreadable(self._watched_since_ns)

    def _response_to_disconnected(self) -> Response:
        """Return the response to a client that ended its sending: it may have left, or still read."""
        return failed_response() if self._writing_began else rejected_response(Rejected(0))

    def _final_response(self, decision: Decision) -> Response:
        if isinstance(decision, Rejected):
            return rejected_response(decision)
        return failed_response() if self._served is None else served_response(self._served)

    def _cancel_attempt(self, number: int) -> None:
        """Call off an attempt; it reports its own end."""
        if (task := self._tasks.get(number)) is not None:
            self._services.loop.interrupt(task)

    def _release(self) -> None:
        """Drop the references that form a cycle, now that no decision follows and all attempts are called off.

        A cycle waits for the garbage collector: 13 objects a request, and the pauses to find them, grow with the rate.
        """
        self._tasks.clear()
        self._request.cancel_attempt = _cancel_nothing

    # ------------------------------------------------------------ attempts

    def _run_attempt(self, attempt: StartAttempt) -> None:
        outcome, response = AttemptOutcome.CANCELLED_BEFORE_SENT, None
        if self._request.allows_attempt(attempt.number, self._services.loop.now()):
            try:
                outcome, response = self._services.upstream.execute_attempt(
                    attempt.endpoint_id,
                    self._forwarded,
                    attempt.deadline_ns,
                    lambda head: self._claim_stream(attempt, head),
                    lambda: self._may_proceed(attempt),
                )
            except Exception:
                # Every attempt must report its end, or the balancer would wait for it.
                logger.exception("an attempt failed", event="attempt.failed")
                outcome = AttemptOutcome.RESET
        is_answer = self._report_end(attempt, outcome, response)
        if is_answer and self._stream is None:
            self._served = response  # the task of the request, woken by the report, goes on only after this one

    def _report_end(self, attempt: StartAttempt, outcome: AttemptOutcome, response: Message | None) -> bool:
        """Report the end of an attempt; return whether its response is the answer."""
        logger.debug(
            "attempt {number} at endpoint {endpoint_id}: {outcome}",
            event="attempt.finished",
            number=attempt.number,
            endpoint_id=attempt.endpoint_id,
            outcome=outcome.name,
        )
        load_report = self._services.upstream.load_report(response)
        return self._services.dispatcher.attempt_finished(self._request, attempt.number, outcome, load_report)

    def _client_disconnected(self) -> None:
        self._services.loop.unregister(self._connection.fd)
        self._client_closed = True
        self._services.dispatcher.client_disconnected(self._request)

    def _may_proceed(self, attempt: StartAttempt) -> bool:
        """Return whether bytes of the request may go out now.

        Race: a client may have left since the loop's last poll, or before its request was read.  Nothing is started
        for it.
        """
        if self._client_closed or self._request.finished:
            return False  # its descriptor may be another connection's by now
        if self._services.loop.is_ready(self._connection.fd, PEER_CLOSED):
            self._client_disconnected()
        if self._client_closed or not self._services.dispatcher.may_start(self._request, attempt.number):
            return False
        self._writing_began = True
        return True

    def _claim_stream(self, attempt: StartAttempt, head: Message) -> ResponseSink | None:
        """Return where an attempt may pass on a long response as it comes; ``None`` where it may not."""
        connection = self._connection
        hold_until_ns = self._request.deadline_ns if self._reader.queue.has_request else None
        # Before the claim: a fault here costs the attempt alone.
        stream = ResponseStream(
            connection, self._message, head, closes=self._closes_after(), hold_until_ns=hold_until_ns
        )
        if self._client_closed or not self._services.dispatcher.claim_stream(self._request, attempt.number):
            return None
        self._stream = stream
        return stream


def _cancel_nothing(_: int) -> None:
    """Stand in for the cancellation of attempts where the request is over."""
