"""Limits of connections, derived from the settings and the resources of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from lugtally.http1 import MAX_BODY_BYTES
from lugtally.units import NS_PER_MS

MIN_RESERVED_DESCRIPTORS = 16
"""The least number of descriptors that is reserved for everything but downstream and upstream connections."""
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
"""The upper limit of the body of a response that is not streamed."""
BUFFER_BYTES_PER_MEMORY_MB = 16 * 1024
"""How many bytes of such a body are allowed for each megabyte of the memory limit."""
MAX_CLOSE_MARGIN_NS = 2000 * NS_PER_MS
"""The upper limit of the time by which an idle connection is closed earlier than the endpoint closes it."""


class DescriptorSplit(NamedTuple):
    """How many descriptors the connections of each side may use."""

    downstream: int
    upstream: int


@dataclass(slots=True)
class ConnectionLimits:
    """The limits of an upstream pool.

    Attributes:
        connect_timeout_ns: How long the establishment of a connection may take.
        idle_timeout_ns: When an idle connection is closed.  The endpoint closes it slightly later.
        max_connections: The limit of open connections to all endpoints.
        max_response_body_bytes: The longest body of a response that is not streamed; a longer one is malformed.
    """

    connect_timeout_ns: int
    idle_timeout_ns: int
    max_connections: int
    max_response_body_bytes: int = MAX_BODY_BYTES


def split_descriptors(max_descriptors: int) -> DescriptorSplit:
    """Split the descriptors of the process between downstream and upstream connections, in the ratio of 4 to 3.

    An eighth of the descriptors, and at least 16, is reserved: the listener, the calls to discovery and the admin
    address must work even if both sides use all of their connections.
    """
    available = max_descriptors - max(MIN_RESERVED_DESCRIPTORS, max_descriptors // 8)
    downstream = available * 4 // 7
    return DescriptorSplit(downstream, available - downstream)


def max_response_body_bytes(memory_mb: int) -> int:
    """Return the longest body of a response that is not streamed, for this memory limit."""
    return max(MAX_BODY_BYTES, min(memory_mb * BUFFER_BYTES_PER_MEMORY_MB, MAX_RESPONSE_BODY_BYTES))


def safe_idle_timeout_ns(keepalive_ns: int) -> int:
    """Return an idle timeout below the endpoint's, so that no request is sent while the endpoint closes."""
    return keepalive_ns - min(MAX_CLOSE_MARGIN_NS, keepalive_ns // 5)
