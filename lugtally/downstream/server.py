"""The server for the application: it accepts connections and gives each request its one final response."""

from __future__ import annotations

import socket

from loguru import logger

from lugtally import balancing
from lugtally.address import Address
from lugtally.dispatch import UNKNOWN_TENANT, Dispatcher, Rejected
from lugtally.downstream.acceptor import ConnectionAcceptor
from lugtally.downstream.closing import discard_input, lingering_close
from lugtally.downstream.connection import ClientStatus, DownstreamConnection
from lugtally.downstream.connection_state import TransitionCause
from lugtally.downstream.exchange import Exchange, ExchangeServices
from lugtally.downstream.graceful_shutdown import GracefulShutdown
from lugtally.downstream.health import HEALTH_PATH, HealthCheckPacer
from lugtally.downstream.listener import adopt_listener, bind_listener
from lugtally.downstream.request_queue import ReceivedRequest
from lugtally.downstream.request_reader import RequestReader, RequestTimeoutError
from lugtally.downstream.responses import (
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
from lugtally.http1 import Message, ProtocolError, serialize_response
from lugtally.units import NS_PER_MS
from lugtally.upstream import UpstreamPool

__all__ = ["DownstreamConnection", "DownstreamServer"]


FinalResponse = Response | StreamedResponse

PIPELINE_SLACK_NS = 300 * NS_PER_MS
"""How long after its deadline a request may be answered, as the response before it comes first."""


class DownstreamServer:
    """All connections of the application to this sidecar."""

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        upstream: UpstreamPool,
        classes: tuple[balancing.RequestClass, ...],
        max_connections: int,
        tenants: tuple[balancing.Tenant, ...] = (),
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._services = ExchangeServices(loop, dispatcher, upstream)
        self._tenant_indexes = {tenant.name: index for index, tenant in enumerate(tenants)}
        self._max_connections = max_connections
        self._open: set[DownstreamConnection] = set()
        self._ids_in_progress: set[str] = set()  # the correlation IDs of the requests in progress
        self._validator = RequestValidator(classes, self._ids_in_progress)
        self._health_checks = HealthCheckPacer(loop)
        self._connection_closed = Event(loop)
        state = ShutdownState()
        self._acceptor = ConnectionAcceptor(
            loop, self._open, self._connection_closed, max_connections, state, self._handle_connection
        )
        longest_deadline_ns = max((request_class.deadline_ns for request_class in classes), default=0)
        self._shutdown = GracefulShutdown(
            loop, self._open, self._connection_closed, self._acceptor, state, longest_deadline_ns
        )
        self.ready = False
        """Whether there are endpoints to send requests to; set by the owner."""

    def listen(self, address: Address) -> None:
        """Accept connections at this address and no other.

        Raises:
            OSError: the address cannot be had.
        """
        self._acceptor.start(bind_listener(address), is_shared=False)

    def adopt(self, fd: int) -> None:
        """Accept connections on a listening socket that the platform passed; it is never bound here.

        Raises:
            ValueError: in one line, why that descriptor cannot be used.
        """
        self._acceptor.start(adopt_listener(fd), is_shared=True)

    def drain(self) -> None:
        """Begin the graceful shutdown: at its end the event loop is stopped."""
        self._shutdown.start()

    @property
    def draining(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._shutdown.state.draining

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket, once there is one; closed in the course of the shutdown."""
        return self._acceptor.listener

    @property
    def open(self) -> int:
        """The number of open connections."""
        return len(self._open)

    # ------------------------------------------------------------ connections

    def _handle_connection(self, connection: DownstreamConnection) -> None:
        """Answer the requests of a connection, one after the other, until it is over."""
        try:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = RequestReader(connection)
            while (request := reader.read_request()) is not None:
                if not self._handle_request(reader, request):
                    return
        except ProtocolError as error:
            self._reject_malformed(connection, error)
        except OSError as error:
            logger.debug(
                "the connection of a client broke: {reason}", event="downstream.connection_failed", reason=str(error)
            )
        finally:
            connection.close()
            self._open.discard(connection)
            self._connection_closed.set()

    def _handle_request(self, reader: RequestReader, request: ReceivedRequest) -> bool:
        """Answer one request; return whether its connection may carry another."""
        connection = reader.connection
        try:
            response = self._respond(reader, request)
        except Exception:
            # A fault of the sidecar must not lose a request that has been taken.
            logger.exception("answering a request failed", event="downstream.request_failed")
            response = internal_error_response()
        if response is None:
            return False
        if isinstance(response, StreamedResponse):
            if response.closes:
                lingering_close(connection)
            return not response.closes
        if 400 <= response.status < 500 and connection.client_status is ClientStatus.ACTIVE:
            connection.client_status = ClientStatus.AT_FAULT
        close = self._closes_after(reader, request.message)
        data = serialize_response(*response, close=close)
        response = None  # a slow client takes long: its response is then held once, not twice
        connection.transition(TransitionCause.RESPONSE_STARTED)
        if not connection.write(data):
            return False
        if close:
            lingering_close(connection)
        return not close

    @staticmethod
    def _reject_malformed(connection: DownstreamConnection, error: ProtocolError) -> None:
        """Give a request that cannot be read its response, the last one of its connection."""
        connection.start_discarding()
        if connection.write(serialize_response(*protocol_error_response(error), close=True)):
            discard_input(connection, was_slow=isinstance(error, RequestTimeoutError))

    def _closes_after(self, reader: RequestReader, message: Message) -> bool:
        """Return whether a connection ends with the response to this request.

        Requests that have been read behind it are answered first.  Of one that has been read in part the rest is
        read as well, but for a client at fault: one may bring hundreds, or repeat itself at once.
        """
        if not message.keep_alive:
            return True
        if reader.queue.has_request:
            return False
        if reader.connection.client_status is not ClientStatus.ACTIVE:
            return True
        return not (reader.queue.has_input or self._may_keep_alive())

    def _may_read_ahead(self, connection: DownstreamConnection, message: Message) -> bool:
        """Return whether requests behind this one are read before it is answered, and the connection kept for them."""
        return (
            message.keep_alive
            and connection.client_status is not ClientStatus.AT_FAULT
            and not self._shutdown.state.draining
        )

    def _may_keep_alive(self) -> bool:
        """Return whether a connection may stay open after its response.

        Where clients hold many connections, some of which will never carry another request, none is worth keeping: a
        request that comes could not be sent for want of one.
        """
        return not self._shutdown.state.draining and len(self._open) <= self._max_connections // 2

    # ------------------------------------------------------------ requests

    def _respond(self, reader: RequestReader, request: ReceivedRequest) -> FinalResponse | None:
        """Return the final response to one request; ``None`` where its connection is to be closed without."""
        message = request.message
        if message.target.partition("?")[0] == HEALTH_PATH:
            self._health_checks.pace()
            return health_response(self.ready and not self.draining)
        try:
            validated = self._validator.validate(message)
        except ProtocolError as error:
            return protocol_error_response(error)
        time_left_ns = max(0, self._deadline_ns(reader, request, validated) - self._loop.now())
        if reader.connection.client_status is ClientStatus.HALF_CLOSED:
            return rejected_response(Rejected(0))
        rejected = self._dispatcher.reject_if_overloaded(validated.class_index, time_left_ns)
        if rejected is not None:
            return rejected_response(rejected)
        return self._exchange(reader, request, validated)

    def _exchange(
        self, reader: RequestReader, request: ReceivedRequest, validated: ValidatedRequest
    ) -> FinalResponse | None:
        message = request.message
        correlation_id = message.header_map["x-correlation-id"]
        self._ids_in_progress.add(correlation_id)
        try:
            tenant_index = self._tenant_indexes.get(message.header_map.get("x-account", ""), UNKNOWN_TENANT)
            exchange = Exchange(
                self._services,
                reader,
                message,
                validated.class_index,
                lambda: self._deadline_ns(reader, request, validated),
                tenant_index,
                lambda: self._closes_after(reader, message),
                lambda: self._may_read_ahead(reader.connection, message),
            )
            return exchange.run()
        finally:
            self._ids_in_progress.discard(correlation_id)

    def _deadline_ns(self, reader: RequestReader, request: ReceivedRequest, validated: ValidatedRequest) -> int:
        """Return by when the request must be answered: its time counts from its last byte, not from now.

        Requests that were read behind it cannot be answered before it, so it has no more time than they have.
        """
        deadline_ns = request.arrived_ns + validated.time_left_ns
        for next_request in reader.queue:
            if (time_left_ns := self._validator.time_left_ns(next_request.message)) is not None:
                deadline_ns = min(deadline_ns, next_request.arrived_ns + time_left_ns + PIPELINE_SLACK_NS)
        state = self._shutdown.state
        return min(deadline_ns, state.last_response_ns) if state.closing else deadline_ns
