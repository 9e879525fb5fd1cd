"""Stale connections: idle connections that the other side has dropped without notifying the sidecar.

The reasons are in docs/design.md, "Stale connections".
"""

from __future__ import annotations

from random import Random

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.units import NS_PER_S

MIN_STALE_IDLE_NS = NS_PER_S // 2
"""A connection that has been idle for longer than this may be stale."""
MIN_UNANSWERED_ATTEMPTS = 3
"""Consecutive attempts without a response on idle connections before stale ones are suspected."""
PROBE_SHARE = 0.06
"""Fraction of the requests that reuse a suspected connection, to find out whether it is stale."""


def may_be_stale(attempt: InFlightAttempt) -> bool:
    """Return whether the attempt may have used a stale connection."""
    return attempt.idle_ns > MIN_STALE_IDLE_NS


class StaleConnectionDetector:
    """Determines the idle time after which connections are closed instead of reused."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._max_reuse_idle_ns = 0
        """Connections that have been idle for longer are closed, not reused; 0: all are reused."""
        self._unanswered_attempts = 0
        """Consecutive attempts without a response on idle connections."""

    @property
    def suspects_stale_connections(self) -> bool:
        """Whether idle connections may be closed instead of reused."""
        return self._max_reuse_idle_ns > 0

    def should_close_idle(self, idle_ns: int, is_retry: bool) -> bool:
        """Return whether to close idle connections, so that the next attempt opens a new one."""
        if not self.suspects_stale_connections:
            return False
        return is_retry or (idle_ns > self._max_reuse_idle_ns and self._rng.random() > PROBE_SHARE)

    def record_no_response(self, attempt: InFlightAttempt) -> None:
        """Record an attempt since which its endpoint has sent this balancer no response at all."""
        if not may_be_stale(attempt):
            return
        self._unanswered_attempts += 1
        if self._unanswered_attempts >= MIN_UNANSWERED_ATTEMPTS:
            max_idle_ns = max(MIN_STALE_IDLE_NS, attempt.idle_ns // 2)
            self._max_reuse_idle_ns = min(self._max_reuse_idle_ns or attempt.idle_ns, max_idle_ns)

    def record_response(self, attempt: InFlightAttempt) -> None:
        """Record a response: if its connection was idle for longer than the limit, the limit is lifted."""
        if not attempt.idle_ns:
            return
        self._unanswered_attempts = 0
        if attempt.idle_ns > self._max_reuse_idle_ns:
            self._max_reuse_idle_ns = 0
