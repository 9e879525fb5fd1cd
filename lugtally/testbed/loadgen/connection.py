"""A client's connection to its sidecar: one request at a time, and whatever else comes over it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import httptools

NO_RETRY_AFTER = -1.0
STATUS_OK = 200


class ResponseHandlers(NamedTuple):
    """Whom to call for a request; ``on_response`` or ``on_disconnect`` is called once."""

    on_response: Callable[[int, bytes, float], None]  # status, body, Retry-After in seconds
    on_disconnect: Callable[[bool], None]  # whether any byte of a response had come
    on_duplicate: Callable[[], None]  # for bytes that follow the response; called once at most
    is_own_body: Callable[[bytes], bool]  # whether a body was made for this request


@dataclass(slots=True)
class _Exchange:
    """A request that was sent, and what has been reported of it."""

    handlers: ResponseHandlers
    is_waiting: bool = True
    duplicate_reported: bool = False

    def report_duplicate(self) -> None:
        if not self.duplicate_reported:
            self.duplicate_reported = True
            self.handlers.on_duplicate()


class ClientConnection(asyncio.Protocol):
    """One connection to a sidecar."""

    def __init__(self, on_closed: Callable[[ClientConnection], None]) -> None:
        self._on_closed = on_closed
        self.is_open = False
        self.was_used = False
        self.is_reusable = True
        self._exchange: _Exchange | None = None
        # A second response to the request before may come while another request is in flight.
        self._previous_exchange: _Exchange | None = None
        self._transport: Any = None
        self._parser: Any = None
        self._body = b""
        self._retry_after_s = NO_RETRY_AFTER
        self._received_bytes = False
        self._is_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is up."""
        self._transport, self.is_open = transport, True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end to the request in flight: it got no complete response."""
        self.is_open = False
        self._on_closed(self)
        exchange = self._exchange
        if exchange is not None and exchange.is_waiting:
            exchange.is_waiting = False
            exchange.handlers.on_disconnect(self._received_bytes)

    def send(self, data: bytes, handlers: ResponseHandlers) -> None:
        """Write a request."""
        self._previous_exchange = self._exchange
        self._exchange = _Exchange(handlers)
        self._parser = httptools.HttpResponseParser(self)
        self._is_complete, self.is_reusable = False, True
        self._forget_response()
        self._transport.write(data)

    def close(self) -> None:
        """Reset the connection; the request in flight is given up without a report."""
        if self._exchange is not None:
            self._exchange.is_waiting = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response, or report what belongs to none."""
        if self._is_complete or self._parser is None:
            self._reject_extra_bytes()
            return
        self._received_bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._is_complete:
                self._reject_extra_bytes()
            else:
                self._transport.abort()

    def on_message_begin(self) -> None:
        """Report a second head that comes behind a complete response, in the same segment."""
        if self._is_complete:
            self._reject_extra_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take note of the headers that a client acts on."""
        lower = name.lower()
        if lower == b"connection" and value.lower() == b"close":
            self.is_reusable = False
        elif lower == b"retry-after":
            try:
                self._retry_after_s = float(value)
            except ValueError:
                self._retry_after_s = NO_RETRY_AFTER

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Report the complete response to the request that it belongs to."""
        status = self._parser.get_status_code()
        exchange = self._exchange
        if self._is_complete or exchange is None or not exchange.is_waiting or status < STATUS_OK:
            return
        if status == STATUS_OK and self._is_duplicate_of_previous():
            return
        self._is_complete, self.was_used = True, True
        exchange.is_waiting = False
        exchange.handlers.on_response(status, self._body, self._retry_after_s)

    def _is_duplicate_of_previous(self) -> bool:
        """Whether the response at hand belongs to the request before, whose own response came earlier.

        A second response may come after this request was written.  It is reported to the request that it was made
        for; this one goes on waiting for its own, and the connection is not used again after that.
        """
        previous = self._previous_exchange
        if previous is None or not previous.handlers.is_own_body(self._body):
            return False
        self.is_reusable = False
        self._forget_response()
        previous.report_duplicate()
        return True

    def _forget_response(self) -> None:
        self._body, self._retry_after_s, self._received_bytes = b"", NO_RETRY_AFTER, False

    def _reject_extra_bytes(self) -> None:
        """Report bytes that belong to no request, and reset the connection."""
        self.is_reusable = False
        if self._exchange is not None:
            self._exchange.report_duplicate()
        self._transport.abort()
