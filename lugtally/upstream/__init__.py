"""Connections to endpoints, and the attempts that are made on them.

This package opens and reuses connections, writes requests and reads their responses.  It must not make balancing
decisions.  It knows the client only as the sink of a streamed response.
"""

from lugtally.upstream.attempt import FinishedAttempt, MayProceed
from lugtally.upstream.errors import AttemptAborted
from lugtally.upstream.limits import (
    ConnectionLimits,
    max_response_body_bytes,
    safe_idle_timeout_ns,
    split_descriptors,
)
from lugtally.upstream.pool import MIN_IDLE_BEFORE_REUSE_NS, UpstreamPool
from lugtally.upstream.streaming import ClaimStream, ResponseSink

__all__ = [
    "MIN_IDLE_BEFORE_REUSE_NS",
    "AttemptAborted",
    "ClaimStream",
    "ConnectionLimits",
    "FinishedAttempt",
    "MayProceed",
    "ResponseSink",
    "UpstreamPool",
    "max_response_body_bytes",
    "safe_idle_timeout_ns",
    "split_descriptors",
]
