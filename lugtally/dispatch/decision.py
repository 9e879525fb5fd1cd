"""What is to be done next for a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Start attempt ``number`` at this endpoint; it times out at ``deadline_ns`` on the loop's clock."""

    number: int
    endpoint_id: int
    deadline_ns: int


@dataclass(slots=True)
class Rejected:
    """Final: not processed, so a repeat is safe, best after ``retry_after_ns`` (0: no advice)."""

    retry_after_ns: int


@dataclass(slots=True)
class Failed:
    """Final: the request failed, and may have run."""


@dataclass(slots=True)
class Finished:
    """Final: nothing is left to decide; an attempt was served, or the client is gone."""


Decision = StartAttempt | Rejected | Failed | Finished
