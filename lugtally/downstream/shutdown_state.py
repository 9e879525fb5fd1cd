"""The progress of the graceful shutdown, shared by the server and its connections."""

from __future__ import annotations

from lugtally.units import NS_PER_MS

ACCEPT_AFTER_DRAIN_NS = 500 * NS_PER_MS
"""How long connections are accepted after draining has started, as clients still open new ones."""
MAX_DEADLINE_WAITED_FOR_NS = 3_000 * NS_PER_MS
"""The longest class deadline that the shutdown waits for."""
LAST_RESPONSE_MARGIN_NS = 500 * NS_PER_MS
"""How long after that deadline the last response is due; the process may be killed 200 ms later."""
LAST_REQUEST_MARGIN_NS = 200 * NS_PER_MS
"""How long before the last response is due a request must be complete."""


class ShutdownState:
    """The state of one server's shutdown; only its :class:`GracefulShutdown` changes it."""

    __slots__ = ("closing", "draining", "last_response_ns")

    def __init__(self) -> None:
        self.draining = False
        """Whether each response closes its connection, unless further input was received."""
        self.closing = False
        """Whether connections without a request are closed and no new ones accepted."""
        self.last_response_ns = 0
        """When the responses to requests that are read while closing are due."""

    @property
    def last_request_ns(self) -> int:
        """When, while closing, a request must be complete."""
        return self.last_response_ns - LAST_REQUEST_MARGIN_NS

    def start_draining(self, now_ns: int, longest_deadline_ns: int) -> None:
        """Start the shutdown."""
        self.draining = True
        waited_ns = min(longest_deadline_ns, MAX_DEADLINE_WAITED_FOR_NS)
        self.last_response_ns = now_ns + max(waited_ns, ACCEPT_AFTER_DRAIN_NS) + LAST_RESPONSE_MARGIN_NS
