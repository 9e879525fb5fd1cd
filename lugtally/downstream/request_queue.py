"""The requests of one connection that were received while an earlier one is in progress."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from lugtally.http1 import Message, MessageParser, ProtocolError

MAX_REQUESTS_AHEAD = 32
"""When this many requests are queued behind the one in progress, no more input is read."""


MAX_REQUESTS_PER_READ = 16 * 1024
"""More than one read can contain."""


class ReceivedRequest(NamedTuple):
    """A complete request."""

    message: Message
    arrived_after_ns: int
    """Lower bound of the time at which its last byte arrived; its time left counts from here."""
    memory_bytes: int = 0
    """The approximate memory that it takes."""


class RequestQueue:
    """Parses input and queues complete requests in the order received.

    A parse error is queued in place of the request that caused it.
    """

    __slots__ = ("_arrived_after_ns", "_has_unparsed_input", "_parse_error", "_requests", "_requests_bytes", "parser")

    def __init__(self) -> None:
        self.parser = MessageParser(responses=False)
        self._requests: list[ReceivedRequest] = []
        self._parse_error: ProtocolError | None = None
        """Once set, further input is ignored, because the boundaries of the requests in it are unknown."""
        self._requests_bytes = 0
        self._arrived_after_ns = 0
        self._has_unparsed_input = False
        """Whether :meth:`feed` stopped parsing before it had found all complete requests."""

    @property
    def has_request(self) -> bool:
        """Whether a request, or the parse error in place of one, is queued and must be answered."""
        if not self._requests and self._has_unparsed_input:
            self._parse(b"", 1)
        return bool(self._requests) or self._parse_error is not None

    @property
    def is_idle(self) -> bool:
        """Whether nothing has been received that was not removed."""
        return not self._requests_bytes and self.parser.is_idle

    @property
    def queued_bytes(self) -> int:
        """The approximate memory of the queued requests."""
        return self._requests_bytes

    @property
    def has_input(self) -> bool:
        """Whether a request is queued, or part of one was received."""
        return self.has_request or not self.parser.is_idle

    @property
    def is_full(self) -> bool:
        """Whether no more input should be read until a request is removed."""
        return len(self._requests) >= MAX_REQUESTS_AHEAD or self._parse_error is not None

    def __iter__(self) -> Iterator[ReceivedRequest]:
        """Iterate over the queued requests; a parse error is not included."""
        return iter(self._requests)

    def feed(self, data: bytes, arrived_after_ns: int, max_requests: int = MAX_REQUESTS_PER_READ) -> None:
        """Parse bytes that arrived after ``arrived_after_ns``.

        Requests beyond ``max_requests`` stay unparsed, which takes much less memory, until the queue is empty.
        """
        if self._parse_error is None:
            self._arrived_after_ns = arrived_after_ns
            self._parse(data, max_requests)

    def _parse(self, data: bytes, max_requests: int) -> None:
        if len(self._requests) >= max_requests:
            self._has_unparsed_input = True
            self.parser.append(data)
            return
        self._has_unparsed_input = False
        try:
            message = self.parser.feed(data)
            while message is not None:
                memory_bytes = message.memory_bytes
                self._requests.append(ReceivedRequest(message, self._arrived_after_ns, memory_bytes))
                self._requests_bytes += memory_bytes
                if self.parser.is_idle:
                    return
                if len(self._requests) >= max_requests:
                    self._has_unparsed_input = True
                    return
                message = self.parser.feed(b"")
        except ProtocolError as error:
            self._parse_error = error.with_traceback(None)
            self.parser = MessageParser(responses=False)

    def clear(self) -> None:
        """Drop all requests and all input."""
        self._requests.clear()
        self._requests_bytes = 0
        self._has_unparsed_input = False
        self.parser = MessageParser(responses=False)

    def pop(self) -> ReceivedRequest | None:
        """Remove and return the next request; ``None`` if none is complete.

        Raises:
            ProtocolError: the next request is malformed.
        """
        if self.has_request and self._requests:
            request = self._requests.pop(0)
            self._requests_bytes -= request.memory_bytes
            return request
        if self._parse_error is not None:
            raise self._parse_error
        return None
