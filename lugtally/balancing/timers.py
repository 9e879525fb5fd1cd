"""The timers of a balancer: ``SetTimer`` carries one, and ``TimerFired`` returns the same one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryTimer:
    """Fires when the backoff before a request's next retry has passed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class OverdueTimer:
    """Fires when an attempt in flight may have become overdue."""


@dataclass(frozen=True, slots=True)
class PollTimer:
    """Fires when the backoff after a failed poll of the endpoint list has passed."""


Timer = RetryTimer | OverdueTimer | PollTimer
