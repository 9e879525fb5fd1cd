"""Connections to endpoints, and one attempt over one of them.

It owns connecting, connection reuse, writing a request and reading its response.  It must not decide anything, nor know
clients other than as the sink of a streamed response.
"""

from lugtally.upstream.attempt import AttemptResponse, MayProceed
from lugtally.upstream.errors import AttemptAborted
from lugtally.upstream.limits import (
    ConnectionLimits,
    max_response_body_bytes,
    safe_idle_timeout_ns,
    split_descriptors,
)
from lugtally.upstream.pool import SETTLE_NS, UpstreamPool
from lugtally.upstream.streaming import ClaimStream, ResponseSink

__all__ = [
    "SETTLE_NS",
    "AttemptAborted",
    "AttemptResponse",
    "ClaimStream",
    "ConnectionLimits",
    "MayProceed",
    "ResponseSink",
    "UpstreamPool",
    "max_response_body_bytes",
    "safe_idle_timeout_ns",
    "split_descriptors",
]
