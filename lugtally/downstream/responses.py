"""The final responses that clients get."""

from __future__ import annotations

from typing import NamedTuple

from lugtally.dispatch import Rejected
from lugtally.http1 import Message, ProtocolError
from lugtally.units import NS_PER_S

# Headers of an endpoint's response that concern its connection to the sidecar alone.
_NOT_FORWARDED = frozenset(
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


class Response(NamedTuple):
    """A final response, before it is serialized."""

    status: int
    body: bytes
    headers: list[tuple[str, str]]


class StreamedResponse(NamedTuple):
    """A final response that has been passed on whole."""

    closes: bool
    """Whether its connection ends with it, as announced."""


FinalResponse = Response | StreamedResponse


def served_response(message: Message) -> Response:
    """Return the response of the endpoint that served the request."""
    return Response(200, message.body, forwarded_headers(message))


def rejected_response(rejected: Rejected) -> Response:
    """Return the response to a request that was not processed."""
    retry_after_s = rejected.retry_after_ns / NS_PER_S
    return Response(503, b"busy\n", [("Retry-After", f"{retry_after_s:.3f}")] if retry_after_s else [])


def failed_response() -> Response:
    """Return the response to a request that failed and may have run."""
    return Response(502, b"failed\n", [])


def internal_error_response() -> Response:
    """Return the response to a request that met a fault of the sidecar itself."""
    return Response(500, b"internal error\n", [])


def protocol_error_response(error: ProtocolError) -> Response:
    """Return the response to a client at fault."""
    return Response(error.status, f"{error}\n".encode(), [("Content-Type", "text/plain")])


def health_response(healthy: bool) -> Response:
    """Return the response to a health check."""
    return Response(200, b"ok\n", []) if healthy else Response(503, b"not ready\n", [])


def forwarded_headers(message: Message) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's response that the client gets."""
    return [(name, value) for name, value in message.headers if name.lower() not in _NOT_FORWARDED]
