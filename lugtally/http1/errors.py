"""Errors of the HTTP/1.1 parser."""

from __future__ import annotations


class ProtocolError(Exception):
    """The peer sent a message that violates HTTP or exceeds a limit.

    Attributes:
        status: The status of the response to the message, if the message is a request.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
