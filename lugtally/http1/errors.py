"""What goes wrong in reading HTTP."""

from __future__ import annotations


class ProtocolError(Exception):
    """The other side broke HTTP or a limit; ``status`` is the response that it gets where it is a client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
