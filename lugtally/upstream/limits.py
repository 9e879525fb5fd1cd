"""Limits of connections, derived from the settings and from the resources of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from lugtally.http1 import MAX_BODY_BYTES
from lugtally.units import NS_PER_MS

MIN_RESERVED_DESCRIPTORS = 16
"""The minimum number of descriptors that is reserved for other purposes than downstream and upstream connections."""
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
"""The upper limit of :func:`max_response_body_bytes`, whatever the memory limit is."""
BUFFER_BYTES_PER_MEMORY_MB = 16 * 1024
"""How many bytes the body of a response that is not streamed may have for each megabyte of the memory limit."""
MAX_CLOSE_MARGIN_NS = 2000 * NS_PER_MS
"""The upper limit of the margin by which an idle connection is closed before the endpoint closes it."""


class DescriptorSplit(NamedTuple):
    """The maximum number of descriptors for the connections of each side."""

    downstream: int
    upstream: int


@dataclass(slots=True)
class ConnectionLimits:
    """The limits of an upstream pool.

    Attributes:
        connect_timeout_ns: How long establishing a connection may take.
        idle_timeout_ns: How long a connection may be idle before it is closed.  The endpoint closes it slightly later.
        max_connections: The maximum number of open connections to all endpoints together.
        max_response_body_bytes: The longest body of a response that is not streamed.  A response with a longer body is
            treated as malformed.
    """

    connect_timeout_ns: int
    idle_timeout_ns: int
    max_connections: int
    max_response_body_bytes: int = MAX_BODY_BYTES


def split_descriptors(max_descriptors: int) -> DescriptorSplit:
    """Split the descriptors of the process between downstream and upstream connections, in the ratio of 4 to 3.

    An eighth of the descriptors, with a minimum of 16, is reserved, because the listener, the calls to discovery and
    the admin address must work even if both sides use all of their connections.
    """
    available = max_descriptors - max(MIN_RESERVED_DESCRIPTORS, max_descriptors // 8)
    downstream = available * 4 // 7
    return DescriptorSplit(downstream, available - downstream)


def max_response_body_bytes(memory_mb: int) -> int:
    """Return the length of the longest body of a response that is not streamed, under this memory limit."""
    return max(MAX_BODY_BYTES, min(memory_mb * BUFFER_BYTES_PER_MEMORY_MB, MAX_RESPONSE_BODY_BYTES))


def safe_idle_timeout_ns(keepalive_ns: int) -> int:
    """Return an idle timeout below the endpoint's, so that no request is sent while the endpoint closes its side."""
    return keepalive_ns - min(MAX_CLOSE_MARGIN_NS, keepalive_ns // 5)
