"""A request or response, as parsed."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Message:
    """One request or response."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    header_map: dict[str, str] = field(default_factory=dict)
    """Values by lower-case name; the first of a repeated header."""
    body: bytes = b""
    minor_version: int = 1
    """The version of a request is HTTP/1.0 or HTTP/1.1: the first knows no chunks."""
    keep_alive: bool = True
    """Whether the connection may carry another message."""
    expects_continue: bool = False
    """Whether the client waits for ``100 Continue`` before it sends the body."""
    streamed: bool = False
    """Whether this is the head alone of a response whose body is passed on as it comes."""

    def copy_response_head(self) -> Message:
        """Return a response with this head and no body; both share the headers, which must not be changed then."""
        return Message(
            status=self.status,
            headers=self.headers,
            header_map=self.header_map,
            keep_alive=self.keep_alive,
            expects_continue=self.expects_continue,
        )


def split_connection_options(value: str) -> list[str]:
    """Return the options of a ``Connection`` header, in lower case."""
    return [option.strip().lower() for option in value.split(",")]
