"""Rate limiting of health checks."""

from __future__ import annotations

from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S

HEALTH_PATH = "/_health"
MAX_HEALTH_CHECKS_PER_S = 200
"""Number of health checks per second that are answered without delay, on all connections together."""
HEALTH_CHECK_DELAY_NS = 50 * NS_PER_MS
"""Delay of each health check beyond that rate, so that a client in a tight loop cannot use all of the CPU."""


class HealthCheckRateLimiter:
    """Counts health checks and delays those that exceed the rate; none is rejected."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._second_started_ns = 0
        self._checks_in_second = 0

    def acquire(self) -> None:
        """Count a health check, and block for ``HEALTH_CHECK_DELAY_NS`` if the rate is exceeded."""
        now_ns = self._loop.now()
        if now_ns - self._second_started_ns >= NS_PER_S:
            self._second_started_ns = now_ns
            self._checks_in_second = 0
        self._checks_in_second += 1
        if self._checks_in_second > MAX_HEALTH_CHECKS_PER_S:
            self._loop.sleep(HEALTH_CHECK_DELAY_NS)
