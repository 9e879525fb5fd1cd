"""A parsed request or response."""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = list[tuple[str, str]]
"""Name and value of each header line, in the order received."""


@dataclass(slots=True)
class Message:
    """One request or response."""

    method: str = ""
    """Empty in a response."""
    target: str = ""
    """Empty in a response."""
    status: int = 0
    """0 in a request."""
    headers: Headers = field(default_factory=list)
    header_map: dict[str, str] = field(default_factory=dict)
    """Values by lower-case name: the first value of a repeated header, but all values of a repeated framing header."""
    body: bytes = b""
    minor_version: int = 1
    """In a request: 0 for HTTP/1.0, which does not support chunked encoding, or 1 for HTTP/1.1."""
    keep_alive: bool = True
    """Whether the connection may carry another message."""
    expects_continue: bool = False
    """Whether the client waits for ``100 Continue`` before it sends the body."""
    streamed: bool = False
    """Whether this is only the head of a response, whose body is forwarded while it is received."""

    def copy_response_head(self) -> Message:
        """Return a response with this head and no body.  The two share the headers, which must not be changed."""
        return Message(
            status=self.status,
            headers=self.headers,
            header_map=self.header_map,
            keep_alive=self.keep_alive,
            expects_continue=self.expects_continue,
        )


def split_connection_options(value: str) -> list[str]:
    """Return the options of a ``Connection`` header in lower case."""
    return [option.strip().lower() for option in value.split(",")]
