"""The outcomes of an attempt, and the result that the balancer receives for each outcome."""

from __future__ import annotations

from enum import Enum

from lugtally.balancing import AttemptResult


class AttemptOutcome(Enum):
    """How an attempt ended.  A request counts as sent once its last byte has been written."""

    SERVED = "a complete response with status 200"
    ERRORED = "a complete response after which the request may have been processed"
    DECLINED = "a complete response that reports a fault of the request"
    REJECTED = "a response with status 503 or 504, marked as not processed"
    CONNECTION_REFUSED = "the connection could not be established"
    CONNECT_TIMEOUT = "the connection was not established within the connect timeout"
    NO_DESCRIPTOR = "no file descriptor was available for a connection"
    RESET_BEFORE_SENT = "the connection failed before the request was sent"
    RESET = "the connection failed or was closed before the response was complete"
    MALFORMED_RESPONSE = "the response is not valid HTTP, or is too large"
    TIMEOUT_BEFORE_SENT = "the deadline passed before the request was sent"
    TIMEOUT = "the deadline passed before the response was complete"
    CANCELLED_BEFORE_SENT = "the attempt was cancelled before the request was sent"
    CANCELLED = "the attempt was cancelled before the response was complete"


ATTEMPT_RESULTS: dict[AttemptOutcome, AttemptResult] = {
    AttemptOutcome.SERVED: AttemptResult.OK,
    AttemptOutcome.ERRORED: AttemptResult.ERROR,
    AttemptOutcome.DECLINED: AttemptResult.DECLINED,
    AttemptOutcome.REJECTED: AttemptResult.REJECTED,
    AttemptOutcome.CONNECTION_REFUSED: AttemptResult.NO_CONNECTION,
    AttemptOutcome.CONNECT_TIMEOUT: AttemptResult.NO_CONNECTION,
    AttemptOutcome.NO_DESCRIPTOR: AttemptResult.NEVER_SENT,
    AttemptOutcome.RESET_BEFORE_SENT: AttemptResult.NO_CONNECTION,
    AttemptOutcome.RESET: AttemptResult.RESET,
    AttemptOutcome.MALFORMED_RESPONSE: AttemptResult.RESET,
    AttemptOutcome.TIMEOUT_BEFORE_SENT: AttemptResult.NO_CONNECTION,
    AttemptOutcome.TIMEOUT: AttemptResult.TIMEOUT,
    AttemptOutcome.CANCELLED_BEFORE_SENT: AttemptResult.NEVER_SENT,
    AttemptOutcome.CANCELLED: AttemptResult.CANCELLED,
}
"""The result that the balancer receives for each outcome."""

FULLY_SENT = frozenset(
    {
        AttemptOutcome.SERVED,
        AttemptOutcome.ERRORED,
        AttemptOutcome.DECLINED,
        AttemptOutcome.REJECTED,
        AttemptOutcome.RESET,
        AttemptOutcome.MALFORMED_RESPONSE,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CANCELLED,
    }
)
"""Outcomes of attempts whose request was sent; the counter ``dispatches`` counts these attempts."""
