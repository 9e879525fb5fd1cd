"""The requests of one connection that were received ahead of the one in progress."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from lugtally.http1 import Message, MessageParser, ProtocolError

MAX_REQUESTS_AHEAD = 32
"""How many requests may be queued behind the one in progress before no more are read."""


class ReceivedRequest(NamedTuple):
    """A complete request."""

    message: Message
    arrived_after_ns: int
    """A time before which its last byte had not arrived; its time left counts from here."""


class RequestQueue:
    """Parses input and queues complete requests in their order.

    A parse error takes the place of the request that caused it.
    """

    __slots__ = ("_parse_error", "_requests", "parser")

    def __init__(self) -> None:
        self.parser = MessageParser(responses=False)
        self._requests: list[ReceivedRequest] = []
        self._parse_error: ProtocolError | None = None
        """Once set, further input is ignored: the boundaries of its requests are unknown."""

    @property
    def has_request(self) -> bool:
        """Whether a request, or the parse error in its place, is queued and must be answered."""
        return bool(self._requests) or self._parse_error is not None

    @property
    def has_input(self) -> bool:
        """Whether a request is queued, or part of one was received."""
        return self.has_request or not self.parser.is_idle

    @property
    def is_full(self) -> bool:
        """Whether no more input should be read until a request is taken."""
        return len(self._requests) >= MAX_REQUESTS_AHEAD or self._parse_error is not None

    def __iter__(self) -> Iterator[ReceivedRequest]:
        """Iterate over the queued requests."""
        return iter(self._requests)

    def feed(self, data: bytes, arrived_after_ns: int) -> None:
        """Parse bytes that had not arrived before ``arrived_after_ns``."""
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
