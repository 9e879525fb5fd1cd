"""Serializes requests and responses."""

from __future__ import annotations

from lugtally.http1.message import Headers, Message, split_connection_options
from lugtally.units import NS_PER_S

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

# Hop-by-hop request headers, and those that the sidecar sets itself.
_HEADERS_NOT_FORWARDED = frozenset(
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
    """A client's request in the form that is sent to endpoints.  Its attempts differ only in ``X-Time-Left``.

    Attributes:
        body: The body, which follows the head of each attempt.
        time_left_offset: Number of bytes before the value of ``X-Time-Left``; they are the same in all attempts.
    """

    __slots__ = ("_head", "body", "time_left_offset")

    def __init__(self, message: Message) -> None:
        not_forwarded = _HEADERS_NOT_FORWARDED
        if (connection := message.header_map.get("connection")) is not None:
            not_forwarded = _HEADERS_NOT_FORWARDED.union(split_connection_options(connection))
        lines = [f"{message.method} {message.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in message.headers if name.lower() not in not_forwarded]
        if message.body or message.method != "GET":
            lines.append(f"Content-Length: {len(message.body)}")
        self._head = "\r\n".join(lines).encode("latin-1") + _TIME_LEFT_FIELD
        self.body = message.body
        self.time_left_offset = len(self._head)

    def serialize_head(self, time_left_ns: int) -> bytes:
        """Return the head of an attempt that starts with ``time_left_ns`` until the deadline of the request."""
        return b"%s%.3f\r\n\r\n" % (self._head, max(0, time_left_ns) / NS_PER_S)


def serialize_get(host: str, target: str) -> bytes:
    """Return a GET request that the sidecar sends on its own behalf."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")


def serialize_streamed_head(response: Message, headers: Headers, use_chunks: bool, close: bool) -> bytes:
    """Return the head of a streamed response.

    The head declares the framing of ``response``, or chunked encoding if ``use_chunks`` is set.  ``close`` announces
    that the connection is closed after the response.
    """
    lines = _head_lines(response.status, headers)
    if use_chunks or "transfer-encoding" in response.header_map:
        lines.append("Transfer-Encoding: chunked")
    elif "content-length" in response.header_map:
        lines.append(f"Content-Length: {response.header_map['content-length']}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def serialize_response(status: int, body: bytes, headers: Headers, *, close: bool) -> bytes:
    """Return a complete response; ``close`` announces that the connection is closed after it."""
    lines = _head_lines(status, headers)
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _head_lines(status: int, headers: Headers) -> list[str]:
    """Return the status line and the header lines without line ends."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return lines
