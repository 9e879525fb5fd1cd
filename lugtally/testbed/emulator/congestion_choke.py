"""Choke of a server: a slowdown that starts under sustained congestion and continues after the congestion has ended.

Does no I/O.
"""

from __future__ import annotations

MAX_IDLE_REQUESTS_PER_CORE = 0.5  # a choked server with at most this load counts as idle


class CongestionChoke:
    """Tracks whether a server is choked.  The caller passes the time in, in seconds."""

    def __init__(self, threshold: float, onset_s: float, idle_s: float, max_s: float) -> None:
        """Configure when the choke starts and ends.

        It starts after ``onset_s`` with more than ``threshold`` requests per core.  It ends when the server has been
        idle for ``idle_s``, and after ``max_s`` at the latest.
        """
        self.is_active = False
        self._threshold = threshold
        self._onset_s = onset_s
        self._idle_s = idle_s
        self._max_s = max_s
        self._active_since = 0.0
        self._congested_since: float | None = None
        self._idle_since: float | None = None

    @property
    def may_change(self) -> bool:
        """Whether the choke may start or end before another request arrives."""
        return self.is_active or self._congested_since is not None

    def update(self, now_s: float, requests_per_core: float) -> None:
        """Start or end the choke, depending on the present load."""
        if self.is_active:
            self._end_if_due(now_s, requests_per_core)
        elif requests_per_core <= self._threshold:
            self._congested_since = None
        elif self._congested_since is None:
            self._congested_since = now_s
        elif now_s - self._congested_since >= self._onset_s:
            self.is_active, self._active_since = True, now_s
            self._idle_since = None

    def _end_if_due(self, now_s: float, requests_per_core: float) -> None:
        if requests_per_core > MAX_IDLE_REQUESTS_PER_CORE:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now_s
        has_been_idle = self._idle_since is not None and now_s - self._idle_since >= self._idle_s
        if has_been_idle or now_s - self._active_since >= self._max_s:
            self.is_active = False
            self._congested_since = None
