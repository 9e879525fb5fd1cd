"""Connection of a client to its sidecar, for one request at a time.

It attributes each response to its request, even a duplicate that arrives while the next request is in flight.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, NamedTuple, Protocol

import httptools

NO_RETRY_AFTER = -1.0
STATUS_OK = 200


class Response(NamedTuple):
    """A complete final response."""

    status: int
    body: bytes
    retry_after_s: float  # NO_RETRY_AFTER if the header is missing or malformed


class ResponseHandler(Protocol):
    """Interface for the events of a request: ``on_response`` or ``on_disconnect`` is called, once."""

    def on_response(self, response: Response) -> None:
        """Handle the response."""

    def on_disconnect(self, received_bytes: bool) -> None:
        """Handle the loss of the connection; ``received_bytes`` is true if any bytes of the response arrived."""

    def on_duplicate(self) -> None:
        """Handle bytes that follow the response.  Called at most once."""

    def is_own_body(self, body: bytes) -> bool:
        """Return whether a body was created for this request."""


class ConnectionState(Enum):
    """State of a connection and of the last request on it."""

    CONNECTING = auto()
    UNUSED = auto()  # open, no request sent yet
    AWAITING_RESPONSE = auto()  # request sent, no byte of its response received
    READING_RESPONSE = auto()  # some bytes of the response received, not all
    RESPONSE_COMPLETE = auto()
    ABANDONED = auto()  # closed by the client before the response was complete
    CLOSED = auto()


IN_PROGRESS = (ConnectionState.AWAITING_RESPONSE, ConnectionState.READING_RESPONSE)
NO_RESPONSE_EXPECTED = (ConnectionState.UNUSED, ConnectionState.RESPONSE_COMPLETE)


@dataclass(slots=True)
class _Exchange:
    """The handler of a request sent over the connection, and whether a duplicate response was reported to it."""

    handler: ResponseHandler
    duplicate_reported: bool = False

    def report_duplicate(self) -> None:
        if not self.duplicate_reported:
            self.duplicate_reported = True
            self.handler.on_duplicate()


class ClientConnection(asyncio.Protocol):
    """A connection to a sidecar, which sends requests and parses the responses."""

    def __init__(self, on_closed: Callable[[ClientConnection], None]) -> None:
        self.is_reusable = True
        self.was_used = False  # a response was received
        self._on_closed = on_closed
        self._state = ConnectionState.CONNECTING
        self._exchange: _Exchange | None = None
        # A duplicate response to the previous request may arrive while another request is in flight.
        self._previous_exchange: _Exchange | None = None
        self._transport: Any = None
        self._parser: Any = None
        self._body = b""
        self._retry_after_s = NO_RETRY_AFTER

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and has not ended."""
        return self._state not in (ConnectionState.CONNECTING, ConnectionState.CLOSED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as open."""
        self._transport = transport
        self._state = ConnectionState.UNUSED

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection to its pool and to the request in flight."""
        state, self._state = self._state, ConnectionState.CLOSED
        self._on_closed(self)
        if state in IN_PROGRESS:
            assert self._exchange is not None
            self._exchange.handler.on_disconnect(state is ConnectionState.READING_RESPONSE)

    def send(self, data: bytes, handler: ResponseHandler) -> None:
        """Write a request."""
        self._previous_exchange = self._exchange
        self._exchange = _Exchange(handler)
        self._parser = httptools.HttpResponseParser(self)
        self.is_reusable = True
        self._await_response()
        self._transport.write(data)

    def close(self) -> None:
        """Reset the connection.  Nothing more is reported to a request in flight."""
        if self._state in IN_PROGRESS:
            self._state = ConnectionState.ABANDONED
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response.  Reset the connection if they are malformed or no response is expected."""
        if self._state in NO_RESPONSE_EXPECTED:
            self._reject_extra_bytes()
            return
        if self._state is ConnectionState.AWAITING_RESPONSE:
            self._state = ConnectionState.READING_RESPONSE
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._state is ConnectionState.RESPONSE_COMPLETE:
                self._reject_extra_bytes()
            else:
                self._transport.abort()

    def on_message_begin(self) -> None:
        """Report a second response in the same segment as a complete one."""
        if self._state is ConnectionState.RESPONSE_COMPLETE:
            self._reject_extra_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate the headers Connection and Retry-After."""
        lower_name = name.lower()
        if lower_name == b"connection" and value.lower() == b"close":
            self.is_reusable = False
        elif lower_name == b"retry-after":
            try:
                self._retry_after_s = float(value)
            except ValueError:
                self._retry_after_s = NO_RETRY_AFTER

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Report the complete response to its request.  Ignore interim responses."""
        status = self._parser.get_status_code()
        if self._state not in IN_PROGRESS or status < STATUS_OK:
            return
        if status == STATUS_OK and self._is_duplicate_of_previous():
            return
        self._state = ConnectionState.RESPONSE_COMPLETE
        self.was_used = True
        assert self._exchange is not None
        self._exchange.handler.on_response(Response(status, self._body, self._retry_after_s))

    def _is_duplicate_of_previous(self) -> bool:
        """Return whether this is a second response to the previous request; if so, report it to that request.

        The request in flight then still awaits its own response.  The connection is not reused after that response.
        """
        previous = self._previous_exchange
        if previous is None or not previous.handler.is_own_body(self._body):
            return False
        self.is_reusable = False
        self._await_response()
        previous.report_duplicate()
        return True

    def _await_response(self) -> None:
        """Prepare for a new response."""
        self._state = ConnectionState.AWAITING_RESPONSE
        self._body, self._retry_after_s = b"", NO_RETRY_AFTER

    def _reject_extra_bytes(self) -> None:
        """Report bytes that follow a complete response, and reset the connection."""
        self.is_reusable = False
        if self._exchange is not None:
            self._exchange.report_duplicate()
        self._transport.abort()
