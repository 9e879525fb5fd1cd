"""Messages to bytes."""

from __future__ import annotations

from lugtally.http1.message import Message, split_connection_options

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}

# Request headers that concern one connection only, or that the sidecar writes anew.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "x-time-left",
    }
)


_TIME_LEFT_FIELD = b"\r\nX-Time-Left: "


class ForwardedRequest:
    """A client's request as it goes to an endpoint; only the time left differs between attempts.

    Attributes:
        time_left_offset: How many bytes of it are the same whatever time is left: those before the time.
    """

    __slots__ = ("_body", "_head", "time_left_offset")

    def __init__(self, message: Message) -> None:
        not_forwarded = _NOT_FORWARDED
        if (connection := message.header_map.get("connection")) is not None:
            not_forwarded = _NOT_FORWARDED.union(split_connection_options(connection))
        lines = [f"{message.method} {message.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in message.headers if name.lower() not in not_forwarded]
        if message.body or message.method != "GET":
            lines.append(f"Content-Length: {len(message.body)}")
        self._head = "\r\n".join(lines).encode("latin-1") + _TIME_LEFT_FIELD
        self._body = message.body
        self.time_left_offset = len(self._head)

    def write(self, time_left_ns: int) -> bytes:
        """Return the bytes of one attempt."""
        return b"%s%.3f\r\n\r\n%s" % (self._head, max(0, time_left_ns) / 1e9, self._body)


def serialize_get(host: str, target: str) -> bytes:
    """Return a request of the sidecar's own."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")


def serialize_streamed_head(response: Message, headers: list[tuple[str, str]], add_chunks: bool, close: bool) -> bytes:
    """Return the head of a response passed on as it comes, in its own framing, or with ``add_chunks`` in chunks.

    ``close`` announces that its connection ends after it.
    """
    lines = _start_of_head(response.status, headers)
    if add_chunks or "transfer-encoding" in response.header_map:
        lines.append("Transfer-Encoding: chunked")
    elif "content-length" in response.header_map:
        lines.append(f"Content-Length: {response.header_map['content-length']}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def serialize_response(status: int, body: bytes, headers: list[tuple[str, str]], *, close: bool) -> bytes:
    """Return a final response; ``close`` announces that its connection ends after it."""
    lines = _start_of_head(status, headers)
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _start_of_head(status: int, headers: list[tuple[str, str]]) -> list[str]:
    """Return the status line and these headers, without line ends."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return lines
