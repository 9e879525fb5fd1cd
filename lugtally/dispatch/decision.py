"""Decisions on a request: start an attempt, or give the final answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Start attempt ``number`` at this endpoint.  It times out at ``deadline_ns`` on the event loop's clock."""

    number: int
    endpoint_id: int
    deadline_ns: int


@dataclass(slots=True)
class Rejected:
    """Final: the request was not processed, and the client may retry it.

    Attributes:
        retry_after_ns: When the client should retry; 0 sends no advice.
    """

    retry_after_ns: int


@dataclass(slots=True)
class Failed:
    """Final: the request failed and may have been processed."""


@dataclass(slots=True)
class Finished:
    """Final: an attempt was served, or the client disconnected."""


Decision = StartAttempt | Rejected | Failed | Finished
