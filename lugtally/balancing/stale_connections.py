"""Stale connections: idle connections that the other side has dropped without notice.

The reasons are in docs/design.md, "Stale connections".
"""

from __future__ import annotations

from random import Random

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.units import NS_PER_S

MIN_STALE_IDLE_NS = NS_PER_S // 2
"""A connection that was unused for longer may be stale."""
MIN_UNANSWERED_ATTEMPTS = 3
"""Attempts in a row without a response on unused connections, after which these are closed before use."""
PROBE_SHARE = 0.06
"""Part of the requests that use such a connection all the same, to learn whether it is stale."""


def may_be_stale(attempt: InFlightAttempt) -> bool:
    """Return whether the attempt used a connection that had been unused for long."""
    return attempt.idle_ns > MIN_STALE_IDLE_NS


class StaleConnectionDetector:
    """How long connections may be unused before they are closed instead of reused."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._max_reuse_idle_ns = 0
        """Connections unused for longer are closed before use; 0: none are."""
        self._unanswered_attempts = 0
        """Attempts in a row without a response on unused connections."""

    @property
    def suspects_stale_connections(self) -> bool:
        """Whether unused connections are closed before use."""
        return self._max_reuse_idle_ns > 0

    def should_close_idle(self, idle_ns: int, is_retry: bool) -> bool:
        """Return whether to close idle connections, so that the next attempt opens a new one."""
        if not self.suspects_stale_connections:
            return False
        return is_retry or (idle_ns > self._max_reuse_idle_ns and self._rng.random() > PROBE_SHARE)

    def record_no_response(self, attempt: InFlightAttempt) -> None:
        """Learn from an attempt whose endpoint has sent no response to anyone since."""
        if not may_be_stale(attempt):
            return
        self._unanswered_attempts += 1
        if self._unanswered_attempts >= MIN_UNANSWERED_ATTEMPTS:
            bound_ns = max(MIN_STALE_IDLE_NS, attempt.idle_ns // 2)
            self._max_reuse_idle_ns = min(self._max_reuse_idle_ns or attempt.idle_ns, bound_ns)

    def record_response(self, attempt: InFlightAttempt) -> None:
        """Learn from a response: one on an unused connection disproves the suspicion."""
        if not attempt.idle_ns:
            return
        self._unanswered_attempts = 0
        if attempt.idle_ns > self._max_reuse_idle_ns:
            self._max_reuse_idle_ns = 0
