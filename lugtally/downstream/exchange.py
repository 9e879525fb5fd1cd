"""One request from its validation to its response: runs its attempts as tasks, and cancels them."""

from __future__ import annotations

from dataclasses import dataclass

from loguru import logger

from lugtally.dispatch import (
    AttemptOutcome,
    Decision,
    Dispatcher,
    Finished,
    PendingRequest,
    Rejected,
    StartAttempt,
)
from lugtally.downstream.connection import ClientStatus
from lugtally.downstream.connection_policy import ReusePolicy
from lugtally.downstream.deadlines import RequestDeadlines
from lugtally.downstream.request_reader import RequestReader
from lugtally.downstream.response_stream import ResponseStream
from lugtally.downstream.responses import (
    FinalResponse,
    Response,
    StreamedResponse,
    failed_response,
    rejected_response,
    served_response,
)
from lugtally.downstream.validation import ValidatedRequest
from lugtally.eventloop import PEER_CLOSED, READABLE, EventLoop, Task
from lugtally.http1 import ForwardedRequest, Message
from lugtally.upstream import ResponseSink, UpstreamPool


@dataclass(slots=True, frozen=True)
class ExchangeServices:
    """The objects that all exchanges share, grouped so that each request holds a single reference."""

    loop: EventLoop
    dispatcher: Dispatcher
    upstream: UpstreamPool
    deadlines: RequestDeadlines
    reuse_policy: ReusePolicy


class Exchange:
    """One request of a client, its attempts and its response."""

    __slots__ = (
        "_client_closed",
        "_connection",
        "_forwarded",
        "_forwarding_started",
        "_pending",
        "_reader",
        "_request",
        "_served",
        "_services",
        "_stream",
        "_tasks",
        "_watched_since_ns",
        "_watches_input",
    )

    def __init__(self, services: ExchangeServices, reader: RequestReader, request: ValidatedRequest) -> None:
        """``reader`` is the one that has read the request."""
        self._services = services
        self._reader = reader
        self._connection = reader.connection
        self._request = request
        self._stream: ResponseStream | None = None
        """The streamed response, once an attempt has been chosen to stream it."""
        self._forwarded = ForwardedRequest(request.message)
        self._tasks: dict[int, Task] = {}
        """The task of each attempt, by the number of the attempt."""
        self._served: Message | None = None
        """The endpoint's response to be forwarded, if it is complete instead of streamed."""
        self._client_closed = False
        self._watched_since_ns = 0
        self._watches_input = False
        """Whether the event loop reports further input of the client."""
        self._forwarding_started = False
        """Whether bytes of the request may have been sent to an endpoint."""
        self._pending = PendingRequest(
            services.loop,
            request.class_index,
            self._deadline_ns(),
            request.message.header_map.get("x-repeat") == "1",
            self._cancel_attempt,
            request.tenant_index,
        )

    def run(self) -> FinalResponse | None:
        """Block until the request has finished and return its response; ``None`` if a streamed one was truncated."""
        loop, dispatcher = self._services.loop, self._services.dispatcher
        self._watch_client()
        decision = dispatcher.next_decision(self._pending)
        while isinstance(decision, StartAttempt):
            self._tasks[decision.number] = loop.spawn(self._run_attempt, decision)
            decision = dispatcher.next_decision(self._pending)
        self._stop_watching_client()
        self._release()
        return self._final_response(decision)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have processed the request, or may still."""
        return self._pending.may_have_run

    # ------------------------------------------------------------ the client

    def _watch_client(self) -> None:
        """Have the event loop report the client's close and its further input."""
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
        """Read further requests if that is allowed; return whether to watch for more input.

        They are answered after this request, so their deadlines may shorten the deadline of this one.
        """
        reader, reuse_policy = self._reader, self._services.reuse_policy
        if self._stream is not None or reader.queue.is_full:
            return False
        if not reuse_policy.may_read_ahead(self._connection, self._request.message):
            return False
        has_read_all = reader.read_ahead()
        deadline_ns = self._deadline_ns()
        if deadline_ns < self._pending.deadline_ns:
            self._services.dispatcher.shorten_deadline(self._pending, deadline_ns)
        return has_read_all

    def _deadline_ns(self) -> int:
        return self._services.deadlines.deadline_ns(self._request, self._reader.queue)

    def _stop_watching_client(self) -> None:
        self._services.loop.unregister(self._connection.fd)
        if self._watches_input and self._stream is None:  # a stream that waits to write replaces the registration
            self._reader.arrival.note_unreadable(self._watched_since_ns)

    def _client_disconnected(self) -> None:
        self._services.loop.unregister(self._connection.fd)
        self._client_closed = True
        self._services.dispatcher.client_disconnected(self._pending)

    # ------------------------------------------------------------ the response

    def _final_response(self, decision: Decision) -> FinalResponse | None:
        connection = self._connection
        if not isinstance(decision, Finished) or self._client_closed:
            self._log_unserved(decision)
        if self._stream is not None and self._stream.started:
            return None if connection.response_truncated else StreamedResponse(self._stream.closes_connection)
        if self._client_closed:
            connection.client_status = ClientStatus.HALF_CLOSED
            return self._response_to_half_closed()
        if isinstance(decision, Rejected):
            return rejected_response(decision)
        return failed_response() if self._served is None else served_response(self._served)

    def _log_unserved(self, decision: Decision) -> None:
        logger.debug(
            "request {request_id} was not served: {reason} after {attempts} attempts",
            event="request.not_served",
            request_id=self._request.correlation_id,
            reason="client_closed" if self._client_closed else type(decision).__name__.lower(),
            attempts=len(self._pending.attempts),
        )

    def _response_to_half_closed(self) -> Response:
        """Return the response to a client that shut down its sending side, but may still read."""
        return failed_response() if self._forwarding_started else rejected_response(Rejected(0))

    def _release(self) -> None:
        """Break the reference cycle between the exchange, its pending request and its tasks.

        By now no decision follows, and all attempts are cancelled.  With the cycle each request would leave 13 objects
        to the garbage collector, and the collector's pauses would grow with the request rate.
        """
        self._tasks.clear()
        if self._stream is not None:
            self._stream.release_memory()
        self._pending.cancel_attempt = _cancel_nothing

    # ------------------------------------------------------------ attempts

    def _cancel_attempt(self, number: int) -> None:
        """Interrupt an attempt; it still reports its outcome."""
        if (task := self._tasks.get(number)) is not None:
            self._services.loop.interrupt(task)

    def _run_attempt(self, attempt: StartAttempt) -> None:
        outcome, response = AttemptOutcome.CANCELLED_BEFORE_SENT, None
        if self._pending.allows_attempt(attempt.number, self._services.loop.now()):
            try:
                outcome, response = self._services.upstream.execute_attempt(
                    attempt.endpoint_id,
                    self._forwarded,
                    attempt.deadline_ns,
                    lambda head: self._claim_stream(attempt, head),
                    lambda: self._may_proceed(attempt),
                )
            except Exception:
                # Every attempt must report an outcome, because the balancer waits for it.
                logger.exception("an attempt failed", event="attempt.failed")
                outcome = AttemptOutcome.RESET
        is_answer = self._report_outcome(attempt, outcome, response)
        if self._stream is not None and self._stream.started and self._connection.response_truncated:
            self._log_truncated(attempt, outcome)
        if is_answer and self._stream is None:
            self._served = response  # in time: the report made the request's task runnable, but this task runs first

    def _report_outcome(self, attempt: StartAttempt, outcome: AttemptOutcome, response: Message | None) -> bool:
        """Report the outcome of an attempt; return whether its response is the answer."""
        logger.debug(
            "attempt {number} of request {request_id} at endpoint {endpoint_id}: {outcome}",
            event="attempt.finished",
            request_id=self._request.correlation_id,
            number=attempt.number,
            endpoint_id=attempt.endpoint_id,
            outcome=outcome.name,
        )
        load_report = self._services.upstream.load_report(response)
        return self._services.dispatcher.attempt_finished(self._pending, attempt.number, outcome, load_report)

    def _log_truncated(self, attempt: StartAttempt, outcome: AttemptOutcome) -> None:
        logger.info(
            "the response to request {request_id} was truncated: {outcome} at endpoint {endpoint_id}",
            event="downstream.response_truncated",
            request_id=self._request.correlation_id,
            endpoint_id=attempt.endpoint_id,
            outcome=outcome.name,
        )

    def _may_proceed(self, attempt: StartAttempt) -> bool:
        """Return whether the attempt may now send bytes of the request to its endpoint.

        Race: the client may have disconnected after the event loop's last poll, or before its request was read.  Then
        nothing must be sent.
        """
        if self._client_closed or self._pending.finished:
            return False  # the descriptor must not be polled: by now it may belong to another connection
        if self._services.loop.is_ready(self._connection.fd, PEER_CLOSED):
            self._client_disconnected()
        if self._client_closed or not self._services.dispatcher.may_start(self._pending, attempt.number):
            return False
        self._forwarding_started = True
        return True

    def _claim_stream(self, attempt: StartAttempt, head: Message) -> ResponseSink | None:
        """Return the sink for a long response; ``None`` if the attempt may not stream it."""
        buffer_until_ns = None
        if self._reader.queue.has_request:
            buffer_until_ns = ResponseStream.buffer_end_ns(self._services.loop.now(), self._pending.deadline_ns)
        # Created before the attempt claims the request, so that an exception here fails only the attempt.
        stream = ResponseStream(
            self._connection,
            self._request.message,
            head,
            closes_connection=self._services.reuse_policy.closes_after(self._reader, self._request.message),
            buffer_until_ns=buffer_until_ns,
            deadline_ns=self._pending.deadline_ns,
        )
        if self._client_closed or not self._services.dispatcher.claim_stream(self._pending, attempt.number):
            return None
        self._stream = stream
        return stream


def _cancel_nothing(_: int) -> None:
    """Stand in for the cancellation of attempts after a request has finished."""
