"""The requests of one connection that were received while an earlier one is in progress."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from lugtally.http1 import Message, MessageParser, ProtocolError

MAX_REQUESTS_AHEAD = 32
"""When this many requests are queued behind the one in progress, no more input is read."""


class ReceivedRequest(NamedTuple):
    """A complete request."""

    message: Message
    arrived_after_ns: int
    """Lower bound of the time at which its last byte arrived; its time left counts from here."""


class RequestQueue:
    """Parses input and queues complete requests in the order received.

    A parse error is queued in place of the request that caused it.
    """

    __slots__ = ("_parse_error", "_requests", "parser")

    def __init__(self) -> None:
        self.parser = MessageParser(responses=False)
        self._requests: list[ReceivedRequest] = []
        self._parse_error: ProtocolError | None = None
        """Once set, further input is ignored, because the boundaries of the requests in it are unknown."""

    @property
    def has_request(self) -> bool:
        """Whether a request, or the parse error in place of one, is queued and must be answered."""
        return bool(self._requests) or self._parse_error is not None

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

    def feed(self, data: bytes, arrived_after_ns: int) -> None:
        """Parse bytes that arrived after ``arrived_after_ns``."""
        if self._parse_error is not None:
            return
        try:
            message = self.parser.feed(data)
            while message is not None:
                self._requests.append(ReceivedRequest(message, arrived_after_ns))
                message = None if self.parser.is_idle else self.parser.feed(b"")
        except ProtocolError as error:
            self._parse_error = error

    def pop(self) -> ReceivedRequest | None:
        """Remove and return the next request; ``None`` if none is complete.

        Raises:
            ProtocolError: the next request is malformed.
        """
        if self._requests:
            return self._requests.pop(0)
        if self._parse_error is not None:
            raise self._parse_error
        return None
