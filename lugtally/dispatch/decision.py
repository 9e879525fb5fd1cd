"""Decisions on a request: start an attempt, or finish the request with a final answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Start the attempt ``number`` at an endpoint; it times out at ``deadline_ns`` on the event loop's clock."""

    number: int
    endpoint_id: int
    deadline_ns: int


@dataclass(slots=True)
class Rejected:
    """Final answer: the request was not processed, and the client may retry it.

    Attributes:
        retry_after_ns: How long the client should wait before it retries; 0 if the response does not say.
    """

    retry_after_ns: int


@dataclass(slots=True)
class Failed:
    """Final answer: the request failed and may have been processed."""


@dataclass(slots=True)
class Finished:
    """The request has finished: an attempt was served, or the client disconnected."""


Decision = StartAttempt | Rejected | Failed | Finished
