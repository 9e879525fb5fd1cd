"""The server for clients: accepts their connections and sends exactly one final response to each request."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from loguru import logger

from lugtally import balancing
from lugtally.address import Address
from lugtally.dispatch import Dispatcher, Rejected
from lugtally.downstream.acceptor import ConnectionAcceptor
from lugtally.downstream.closing import close_idle, discard_input, lingering_close
from lugtally.downstream.connection import ClientStatus, DownstreamConnection
from lugtally.downstream.connection_policy import ReusePolicy
from lugtally.downstream.connection_state import TransitionCause
from lugtally.downstream.deadlines import RequestDeadlines
from lugtally.downstream.exchange import Exchange, ExchangeServices
from lugtally.downstream.graceful_shutdown import GracefulShutdown
from lugtally.downstream.health import HEALTH_PATH, HealthCheckRateLimiter
from lugtally.downstream.input_throttle import InputThrottle
from lugtally.downstream.listener import adopt_listener, bind_listener
from lugtally.downstream.recent_ids import AddResult, RecentRequestIds
from lugtally.downstream.request_queue import ReceivedRequest
from lugtally.downstream.request_reader import (
    REQUEST_TIMEOUT_NS,
    OutOfMemoryBudgetError,
    RequestReader,
    RequestTimeoutError,
)
from lugtally.downstream.responses import (
    FinalResponse,
    Response,
    StreamedResponse,
    health_response,
    internal_error_response,
    protocol_error_response,
    rejected_response,
)
from lugtally.downstream.shutdown_state import ShutdownState
from lugtally.downstream.validation import RequestValidator, ValidatedRequest
from lugtally.eventloop import Event, EventLoop
from lugtally.eventloop.tcp_socket import disable_nagle
from lugtally.http1 import ProtocolError, serialize_response
from lugtally.memory import MemoryBudget, unlimited_budget
from lugtally.upstream import UpstreamPool

REPEATED_ID_ERROR = ProtocolError(409, "X-Correlation-Id is that of a request that may have been processed")

__all__ = ["DownstreamConnection", "DownstreamServer", "SharedResources"]


@dataclass(slots=True, frozen=True)
class SharedResources:
    """What a server shares with the rest of its process, or with another process of its name.

    Attributes:
        memory: The memory budget of the process.
        recent_ids: The correlation IDs of requests that must not run twice, also after their end.
    """

    memory: MemoryBudget
    recent_ids: RecentRequestIds


class DownstreamServer:
    """Serves all client connections of one sidecar."""

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        upstream: UpstreamPool,
        classes: tuple[balancing.RequestClass, ...],
        max_connections: int,
        tenants: tuple[balancing.Tenant, ...] = (),
        resources: SharedResources | None = None,
    ) -> None:
        resources = resources or SharedResources(unlimited_budget(), RecentRequestIds(loop.now))
        self._recent_ids, self.memory = resources.recent_ids, resources.memory
        self._loop = loop
        self._dispatcher = dispatcher
        self._connections: set[DownstreamConnection] = set()
        self._ids_in_progress: set[str] = set()
        """The correlation IDs of the requests in progress."""
        self._validator = RequestValidator(classes, tenants, self._ids_in_progress)
        self._health_checks = HealthCheckRateLimiter(loop)
        self._input_throttle = InputThrottle(loop)
        self._connection_closed = Event(loop)
        shutdown_state = ShutdownState()
        self._reuse_policy = ReusePolicy(shutdown_state, self._connections, max_connections, self.memory)
        deadlines = RequestDeadlines(self._validator, shutdown_state)
        self._services = ExchangeServices(loop, dispatcher, upstream, deadlines, self._reuse_policy)
        self._acceptor = ConnectionAcceptor(
            loop,
            self._connections,
            self._connection_closed,
            max_connections,
            shutdown_state,
            self._handle_connection,
            self.memory,
        )
        longest_deadline_ns = max((request_class.deadline_ns for request_class in classes), default=0)
        self._shutdown = GracefulShutdown(
            loop, self._connections, self._connection_closed, self._acceptor, shutdown_state, longest_deadline_ns
        )
        self.ready = False
        """Whether requests can be sent to an endpoint.  The owner of the server sets it; health checks report it."""

    def listen(self, address: Address) -> None:
        """Accept connections on this address only.

        Raises:
            OSError: the address cannot be bound.
        """
        self._acceptor.start(bind_listener(address), is_shared=False)

    def adopt(self, fd: int) -> None:
        """Accept connections on an inherited listening socket.

        Raises:
            ValueError: the descriptor cannot be used; the message is one line.
        """
        self._acceptor.start(adopt_listener(fd), is_shared=True)

    def drain(self) -> None:
        """Start the graceful shutdown, which stops the event loop when it is complete."""
        self._shutdown.start()

    @property
    def draining(self) -> bool:
        """Whether the graceful shutdown has started."""
        return self._shutdown.state.draining

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket, which the graceful shutdown closes; ``None`` before the start."""
        return self._acceptor.listener

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    # ------------------------------------------------------------ connections

    def _handle_connection(self, connection: DownstreamConnection) -> None:
        """Answer the requests of a connection in order, until it is to be closed, and close it."""
        reader = RequestReader(connection, self._input_throttle)
        try:
            disable_nagle(connection.sock)
            while (request := reader.read_request()) is not None:
                if not self._handle_request(reader, request):
                    return
            close_idle(connection)
        except ProtocolError as error:
            reader.discard_input()
            # The traceback would keep the frames of the reader, and the input in them, until the connection closes.
            self._reject_malformed(connection, error.with_traceback(None))
        except OSError as error:
            logger.debug(
                "a client connection failed: {reason}", event="downstream.connection_failed", reason=str(error)
            )
        finally:
            _log_closed(connection)
            connection.close()
            self._connections.discard(connection)
            self._connection_closed.set()

    def _handle_request(self, reader: RequestReader, request: ReceivedRequest) -> bool:
        """Answer one request; return whether its connection may carry another."""
        connection = reader.connection
        try:
            response = self._respond(reader, request)
        except Exception:
            # A bug in the sidecar must not leave a received request without a response.
            logger.exception("answering a request failed", event="downstream.request_failed")
            response = internal_error_response()
        request.message.body = b""  # not needed any more, and a slow client may read the response for long
        reader.finish_request()
        if response is None:
            return False
        if isinstance(response, StreamedResponse):
            closes_connection = response.closes_connection
        else:
            if 400 <= response.status < 500 and connection.client_status is ClientStatus.ACTIVE:
                connection.client_status = ClientStatus.AT_FAULT
            closes_connection = self._reuse_policy.closes_after(reader, request.message)
            data = serialize_response(*response, close=closes_connection)
            response = None  # while a slow client reads, only the serialized response should be in memory
            connection.transition(TransitionCause.RESPONSE_STARTED)
            if not connection.write(data):
                return False
        if closes_connection:
            lingering_close(connection)
        return not closes_connection

    def _reject_malformed(self, connection: DownstreamConnection, error: ProtocolError) -> None:
        """Send the error response to a malformed or incomplete request, as the last response of the connection."""
        connection.start_discarding()
        timed_out = isinstance(error, RequestTimeoutError)
        if not timed_out and not isinstance(error, OutOfMemoryBudgetError):
            self._delay_rejection(connection)
        if connection.write(serialize_response(*protocol_error_response(error), close=True)):
            discard_input(connection, self._input_throttle, timed_out)

    def _delay_rejection(self, connection: DownstreamConnection) -> None:
        """Delay the error response if there are many: some clients connect and send the same again immediately."""
        due_ns = self._input_throttle.count_rejection()
        if due_ns > self._loop.now():
            connection.wake_up.wait(min(due_ns, connection.waiting_since_ns + REQUEST_TIMEOUT_NS))

    # ------------------------------------------------------------ requests

    def _respond(self, reader: RequestReader, received: ReceivedRequest) -> FinalResponse | None:
        """Return the final response to one request; ``None`` if its connection is to be closed without one."""
        if received.message.target.partition("?")[0] == HEALTH_PATH:
            self._health_checks.acquire()
            return health_response(self.ready and not self.draining)
        if received.message.body_discarded:
            _log_rejected(received.message.header_map.get("x-correlation-id", ""), "memory")
            class_index = self._validator.class_index(received.message)
            return rejected_response(self._dispatcher.reject_before_submission(class_index))
        try:
            request = self._validator.validate(received)
        except ProtocolError as error:
            return protocol_error_response(error)
        deadline_ns = self._services.deadlines.deadline_ns(request, reader.queue)
        time_left_ns = max(0, deadline_ns - self._loop.now())
        if reader.connection.client_status is ClientStatus.HALF_CLOSED:
            _log_rejected(request.correlation_id, "half_closed")
            return rejected_response(Rejected(0))
        rejected = self._dispatcher.reject_if_overloaded(request.class_index, time_left_ns)
        reason = "overload"
        if rejected is None and not reader.connection.memory.start_exchange():
            rejected = self._dispatcher.reject_before_submission(request.class_index)
            reason = "memory"
        if rejected is not None:
            _log_rejected(request.correlation_id, reason)
            return rejected_response(rejected)
        if request.must_not_run_twice and (response := self._register_id(request)) is not None:
            return response
        self._ids_in_progress.add(request.correlation_id)
        exchange = Exchange(self._services, reader, request)
        try:
            return exchange.run()
        finally:
            self._ids_in_progress.discard(request.correlation_id)
            if request.must_not_run_twice and not exchange.may_have_run:
                self._recent_ids.remove(request.correlation_id)

    def _register_id(self, request: ValidatedRequest) -> Response | None:
        """Store the id of a request that must not run twice; return the response if it may not be processed."""
        result = self._recent_ids.add(request.correlation_id)
        if result is AddResult.REPEATED:
            return protocol_error_response(REPEATED_ID_ERROR)
        if result is AddResult.UNAVAILABLE:
            _log_rejected(request.correlation_id, "id_table_locked")
            return rejected_response(self._dispatcher.reject_before_submission(request.class_index))
        return None


def _log_rejected(request_id: str, reason: str) -> None:
    logger.debug(
        "request {request_id} was rejected: {reason}", event="request.rejected", request_id=request_id, reason=reason
    )


def _log_closed(connection: DownstreamConnection) -> None:
    logger.debug(
        "a client connection is closed in state {state}",
        event="downstream.connection_closed",
        state=connection.state.name,
        client=connection.client_status.name,
        evicted=connection.evicted,
        truncated=connection.response_truncated,
    )
