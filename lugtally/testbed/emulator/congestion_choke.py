"""Choke of a server: a slowdown that sustained congestion sets off and that outlasts it.  Does no I/O."""

from __future__ import annotations

IDLE_PER_CORE = 0.5  # requests a core up to which a choked server counts as idle


class CongestionChoke:
    """Whether a server is choked.  Times are passed in, in seconds."""

    def __init__(self, threshold: float, onset_s: float, idle_s: float, max_s: float) -> None:
        """Start the choke after ``onset_s`` above ``threshold`` requests a core.

        It ends after ``idle_s`` of idleness, and after ``max_s`` in any case.
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
        """Whether the choke may start or end without a further request."""
        return self.is_active or self._congested_since is not None

    def update(self, now_s: float, requests_per_core: float) -> None:
        """Start or end the choke."""
        if self.is_active:
            self._end_when_due(now_s, requests_per_core)
        elif requests_per_core <= self._threshold:
            self._congested_since = None
        elif self._congested_since is None:
            self._congested_since = now_s
        elif now_s - self._congested_since >= self._onset_s:
            self.is_active, self._active_since = True, now_s
            self._idle_since = None

    def _end_when_due(self, now_s: float, requests_per_core: float) -> None:
        if requests_per_core > IDLE_PER_CORE:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now_s
        was_idle = self._idle_since is not None and now_s - self._idle_since >= self._idle_s
        if was_idle or now_s - self._active_since >= self._max_s:
            self.is_active = False
            self._congested_since = None
