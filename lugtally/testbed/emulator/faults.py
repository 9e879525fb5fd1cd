"""Faults of an emulated server and its network that the server model does not include."""

from __future__ import annotations

from dataclasses import dataclass

MALFORMED_RESPONSES = (
    b"\x00\xffnoise without a head\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsome of it",
    b"HTTP/1.1 200 OK\r\nX-Endless: " + b"a" * 400,
    b"HTTP/1.1 two hundred\r\n\r\n",
)


@dataclass(slots=True)
class EndpointFaults:
    """The currently active faults of a server.  A share is the probability that one request or response is affected."""

    reset_share: float = 0.0  # of the requests; half are reset before any work, half instead of the response
    malformed_share: float = 0.0  # of the responses, replaced by one of MALFORMED_RESPONSES
    error_share: float = 0.0  # of the responses; these have status 500
    slow_response_s: float = 0.0  # time over which a response is written
    is_unreachable: bool = False  # no bytes are delivered in either direction
