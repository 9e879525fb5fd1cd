"""The timers of a balancer, as values: what ``SetTimer`` carries, ``TimerFired`` brings back."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryTimer:
    """The backoff of a request has passed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class OverdueTimer:
    """An attempt in flight may be overdue."""


@dataclass(frozen=True, slots=True)
class PollTimer:
    """The backoff after a failed poll of the endpoint list has passed."""


Timer = RetryTimer | OverdueTimer | PollTimer
