"""How far the graceful shutdown has come, as the server and its connections see it."""

from __future__ import annotations

from lugtally.units import NS_PER_MS

ACCEPT_AFTER_DRAIN_NS = 500 * NS_PER_MS
"""How long new connections are accepted after the shutdown began, as they keep coming."""
MAX_DEADLINE_WAITED_FOR_NS = 3_000 * NS_PER_MS
"""The longest deadline of a class for which the end of the process waits."""
LAST_RESPONSE_MARGIN_NS = 500 * NS_PER_MS
"""How long after that deadline the last response is written: the process may be killed 200 ms later."""
LAST_REQUEST_MARGIN_NS = 200 * NS_PER_MS
"""How long before the last response a request must have become whole."""


class ShutdownState:
    """Shared by the server, its graceful shutdown, which alone changes it, and every connection."""

    __slots__ = ("closing", "draining", "last_response_ns")

    def __init__(self) -> None:
        self.draining = False
        """Whether every response from now on closes its connection, as far as nothing has been read behind it."""
        self.closing = False
        """Whether connections without a request are closed, and no new ones accepted."""
        self.last_response_ns = 0
        """By when requests that are read while closing must be answered."""

    @property
    def last_request_ns(self) -> int:
        """By when, while closing, a request must have become whole."""
        return self.last_response_ns - LAST_REQUEST_MARGIN_NS

    def start_draining(self, now_ns: int, longest_deadline_ns: int) -> None:
        """Begin the shutdown."""
        self.draining = True
        waited_ns = min(longest_deadline_ns, MAX_DEADLINE_WAITED_FOR_NS)
        self.last_response_ns = now_ns + max(waited_ns, ACCEPT_AFTER_DRAIN_NS) + LAST_RESPONSE_MARGIN_NS
