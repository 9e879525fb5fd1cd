"""A parsed request or response."""

from __future__ import annotations

from dataclasses import dataclass, field

MESSAGE_BYTES = 1024
"""Approximate memory of a message without its header fields and its body."""
FIELD_BYTES = 320
"""Approximate memory of a parsed header field, beside its name and value."""
HEAD_COPIES = 4
"""How often the names and values of a head are stored: two copies of the names, one of the values, one serialized."""

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
    body_discarded: bool = False
    """Whether the body was received completely, but not stored."""
    head_bytes: int = 0
    """Size of the head on the wire."""
    minor_version: int = 1
    """In a request: 0 for HTTP/1.0, which does not support chunked encoding, or 1 for HTTP/1.1."""
    keep_alive: bool = True
    """Whether the connection may carry another message."""
    expects_continue: bool = False
    """Whether the client waits for ``100 Continue`` before it sends the body."""
    streamed: bool = False
    """Whether this is only the head of a response, whose body is forwarded while it is received."""

    @property
    def memory_bytes(self) -> int:
        """The approximate memory that the message takes."""
        return MESSAGE_BYTES + FIELD_BYTES * len(self.headers) + HEAD_COPIES * self.head_bytes + len(self.body)

    def drop_headers(self, *except_names: str) -> None:
        """Drop all header fields but the named ones, which stay in ``header_map``: the head is no longer needed."""
        self.headers = []
        self.head_bytes = 0
        self.header_map = {name: self.header_map[name] for name in except_names if name in self.header_map}

    def copy_response_head(self) -> Message:
        """Return a response with this head and no body.  The two share the headers, which must not be changed."""
        return Message(
            status=self.status,
            head_bytes=self.head_bytes,
            headers=self.headers,
            header_map=self.header_map,
            keep_alive=self.keep_alive,
            expects_continue=self.expects_continue,
        )


def split_connection_options(value: str) -> list[str]:
    """Return the options of a ``Connection`` header in lower case."""
    return [option.strip().lower() for option in value.split(",")]
