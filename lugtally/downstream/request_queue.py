"""The requests of one connection that have been read whole and wait for their turn."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from lugtally.http1 import Message, MessageParser, ProtocolError

MAX_REQUESTS_AHEAD = 32
"""How many requests may wait behind the one in progress before no more are read."""


class ReceivedRequest(NamedTuple):
    """A request that has been read whole."""

    message: Message
    arrived_ns: int
    """No earlier than this its last byte has come: its time counts from here."""


class RequestQueue:
    """Bytes in as they come, requests out in their order; a fault stands in the place of the request that has it."""

    __slots__ = ("_fault", "_requests", "parser")

    def __init__(self) -> None:
        self.parser = MessageParser(responses=False)
        self._requests: list[ReceivedRequest] = []
        self._fault: ProtocolError | None = None  # behind it nothing can be told apart

    @property
    def has_request(self) -> bool:
        """Whether a request, or a fault in its place, waits: it must be answered."""
        return bool(self._requests) or self._fault is not None

    @property
    def has_input(self) -> bool:
        """Whether a request waits, or a part of one has been read."""
        return self.has_request or not self.parser.is_idle

    @property
    def is_full(self) -> bool:
        """Whether nothing more should be read before a request is taken."""
        return len(self._requests) >= MAX_REQUESTS_AHEAD or self._fault is not None

    def __iter__(self) -> Iterator[ReceivedRequest]:
        """Iterate over the requests that wait."""
        return iter(self._requests)

    def feed(self, data: bytes, arrived_ns: int) -> None:
        """Take bytes that came no earlier than ``arrived_ns``."""
        if self._fault is not None:
            return
        try:
            message = self.parser.feed(data)
            while message is not None:
                self._requests.append(ReceivedRequest(message, arrived_ns))
                message = None if self.parser.is_idle else self.parser.feed(b"")
        except ProtocolError as fault:
            self._fault = fault

    def take(self) -> ReceivedRequest | None:
        """Remove and return the next request; ``None`` where none is whole.

        Raises:
            ProtocolError: The fault in its place.
        """
        if self._requests:
            return self._requests.pop(0)
        if self._fault is not None:
            raise self._fault
        return None
