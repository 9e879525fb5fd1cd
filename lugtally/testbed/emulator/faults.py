"""Faults of an emulated server and of its network that the server model does not cover."""

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
    """The faults of a server that are active now."""

    reset_share: float = 0.0  # of the requests: their connection is reset, half of them before any work
    malformed_share: float = 0.0  # of the responses
    error_share: float = 0.0  # of the responses: a 500
    slow_response_s: float = 0.0  # over which a response is written
    is_unreachable: bool = False  # no bytes pass in either direction
