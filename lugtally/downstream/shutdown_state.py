"""How far the graceful shutdown has come, as the server and its connections see it."""

from __future__ import annotations


class ShutdownState:
    """Shared by the server, its graceful shutdown, which alone changes it, and every connection."""

    __slots__ = ("closing", "closing_since_ns", "draining")

    def __init__(self) -> None:
        self.draining = False
        """Whether every response from now on closes its connection."""
        self.closing = False
        """Whether connections without a request are closed."""
        self.closing_since_ns = 0
