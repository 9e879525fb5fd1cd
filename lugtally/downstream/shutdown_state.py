"""The progress of the graceful shutdown, shared by the server and its connections."""

from __future__ import annotations

from lugtally.units import NS_PER_MS

ACCEPT_AFTER_DRAIN_NS = 500 * NS_PER_MS
"""How long connections are still accepted after draining has started, because clients still open new ones."""
MAX_AWAITED_DEADLINE_NS = 3_000 * NS_PER_MS
"""The shutdown waits for the longest deadline of a request class, but not longer than this."""
LAST_RESPONSE_MARGIN_NS = 500 * NS_PER_MS
"""How long after the awaited deadline the last response is due; 200 ms later the process may be killed."""
LAST_REQUEST_MARGIN_NS = 200 * NS_PER_MS
"""A request must be complete this long before the last response is due."""


class ShutdownState:
    """The state of one server's shutdown; only its :class:`GracefulShutdown` changes it."""

    __slots__ = ("closing", "draining", "last_response_ns")

    def __init__(self) -> None:
        self.draining = False
        """Whether each response closes its connection, unless further input has already been received."""
        self.closing = False
        """Whether idle connections are closed, and accepting ends with the clients in the backlog."""
        self.last_response_ns = 0
        """The time at which the responses to the requests that are read while closing are due."""

    @property
    def last_request_ns(self) -> int:
        """While closing, the time at which a request must have been received completely."""
        return self.last_response_ns - LAST_REQUEST_MARGIN_NS

    def start_draining(self, now_ns: int, longest_deadline_ns: int) -> None:
        """Start the shutdown."""
        self.draining = True
        awaited_deadline_ns = min(longest_deadline_ns, MAX_AWAITED_DEADLINE_NS)
        self.last_response_ns = now_ns + max(awaited_deadline_ns, ACCEPT_AFTER_DRAIN_NS) + LAST_RESPONSE_MARGIN_NS
