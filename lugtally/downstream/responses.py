"""The final responses to clients."""

from __future__ import annotations

from typing import NamedTuple

from lugtally.dispatch import Rejected
from lugtally.http1 import Message, ProtocolError
from lugtally.http1.message import Headers
from lugtally.units import NS_PER_S

_HEADERS_NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "content-length",
        "transfer-encoding",
        "trailer",
        "upgrade",
        "proxy-connection",
        "x-backend-load",
        "x-unprocessed",
    }
)
"""Headers of an endpoint's response that concern only the connection between the endpoint and the sidecar."""


class Response(NamedTuple):
    """A final response, before it is serialized."""

    status: int
    body: bytes
    headers: Headers


class StreamedResponse(NamedTuple):
    """A final response that has been streamed to the client completely."""

    closes_connection: bool
    """Whether the response announced the close of its connection."""


FinalResponse = Response | StreamedResponse
"""The one final response to a request."""


def served_response(message: Message) -> Response:
    """Return the response that forwards the endpoint's response to the client."""
    return Response(200, message.body, forwarded_headers(message))


def rejected_response(rejected: Rejected) -> Response:
    """Return the response to a request that no endpoint has processed."""
    retry_after_s = rejected.retry_after_ns / NS_PER_S
    return Response(503, b"busy\n", [("Retry-After", f"{retry_after_s:.3f}")] if retry_after_s else [])


def failed_response() -> Response:
    """Return the response to a request that failed, but that an endpoint may have processed."""
    return Response(502, b"failed\n", [])


def internal_error_response() -> Response:
    """Return the response to a request that failed because of a bug in the sidecar."""
    return Response(500, b"internal error\n", [])


def protocol_error_response(error: ProtocolError) -> Response:
    """Return the response to a request that is invalid or was not complete in time."""
    return Response(error.status, f"{error}\n".encode(), [("Content-Type", "text/plain")])


def health_response(healthy: bool) -> Response:
    """Return the response to a health check."""
    return Response(200, b"ok\n", []) if healthy else Response(503, b"not ready\n", [])


def forwarded_headers(message: Message) -> Headers:
    """Return the headers of an endpoint's response that are forwarded to the client."""
    return [(name, value) for name, value in message.headers if name.lower() not in _HEADERS_NOT_FORWARDED]
