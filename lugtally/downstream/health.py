"""The pace of health checks."""

from __future__ import annotations

from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S

HEALTH_PATH = "/_health"
MAX_HEALTH_CHECKS_PER_S = 200
"""Health checks that are answered at once, on all connections together."""
HEALTH_CHECK_DELAY_NS = 50 * NS_PER_MS
"""How long each further one waits: a tight loop of them must not eat the core."""


class HealthCheckPacer:
    """Counts health checks; all of them are answered, but beyond a rate only after a delay."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._second_started_ns = 0
        self._checks = 0

    def pace(self) -> None:
        """Count a health check, and block for a while where there were too many."""
        now_ns = self._loop.now()
        if now_ns - self._second_started_ns >= NS_PER_S:
            self._second_started_ns, self._checks = now_ns, 0
        self._checks += 1
        if self._checks > MAX_HEALTH_CHECKS_PER_S:
            self._loop.sleep(HEALTH_CHECK_DELAY_NS)
