"""What the settings and the machine allow for connections to endpoints."""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.http1 import MAX_BODY_BYTES
from lugtally.units import NS_PER_MS

MIN_RESERVED_DESCRIPTORS = 16
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
MAX_CLOSE_MARGIN_NS = 2000 * NS_PER_MS


@dataclass(slots=True)
class ConnectionLimits:
    """The limits of an upstream pool.

    Attributes:
        connect_timeout_ns: How long a connection may take to come up.
        idle_timeout_ns: When an idle connection is closed; the endpoint closes it a little later.
        max_connections: Connections to all endpoints together.
        max_response_body_bytes: The longest body of a response that is not streamed: it is buffered whole.
    """

    connect_timeout_ns: int
    idle_timeout_ns: int
    max_connections: int
    max_response_body_bytes: int = MAX_BODY_BYTES


def split_descriptors(max_descriptors: int) -> tuple[int, int]:
    """Return how many descriptors downstream and upstream connections may take: four to three of all but an eighth.

    The rest, 16 at least, is for all else.  Discovery must be reached, and a listener kept open, however many clients
    are idle and however many connections are in use.
    """
    available = max_descriptors - max(MIN_RESERVED_DESCRIPTORS, max_descriptors // 8)
    downstream = available * 4 // 7
    return downstream, available - downstream


def max_response_body_bytes(memory_mb: int) -> int:
    """Return the longest body of a response: endpoints send longer ones than they accept, but memory is short."""
    return max(MAX_BODY_BYTES, min(memory_mb * 16 * 1024, MAX_RESPONSE_BODY_BYTES))


def safe_idle_timeout_ns(keepalive_ns: int) -> int:
    """Return when to close an idle connection: early enough that no request crosses the close of the other side."""
    return keepalive_ns - min(MAX_CLOSE_MARGIN_NS, keepalive_ns // 5)
