"""Sends an attempt to an endpoint that was chosen."""

from __future__ import annotations

from lugtally.balancing.actions import Action, CloseIdleConnections, SendAttempt
from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.overdue_attempts import OverdueMonitor
from lugtally.balancing.request import RequestState
from lugtally.balancing.slow_start import SlowStart
from lugtally.balancing.stale_connections import StaleConnectionDetector

MIN_TIMEOUT_NS = 1
"""Shortest timeout of an attempt: 0 has no meaning on the wire."""


class AttemptSender:
    """Orders an attempt, and records it with every concern that follows attempts in flight."""

    def __init__(
        self,
        attempts: InFlightAttempts,
        slow_start: SlowStart,
        stale_connections: StaleConnectionDetector,
        overdue: OverdueMonitor,
    ) -> None:
        self._attempts = attempts
        self._slow_start = slow_start
        self._stale_connections = stale_connections
        self._overdue = overdue

    def send(self, now_ns: int, request: RequestState, endpoint: EndpointStats) -> list[Action]:
        """Send the next attempt of a request."""
        ordered: list[Action] = []
        idle_ns = _idle_ns(now_ns, endpoint)
        is_retry = bool(request.endpoint_ids)
        if self._stale_connections.should_close_idle(idle_ns, is_retry):
            ordered.append(CloseIdleConnections(endpoint.id))
            idle_ns = 0
        attempt_id = self._attempts.start(now_ns, request, endpoint, idle_ns)
        self._slow_start.record_send(now_ns, endpoint)
        timeout_ns = max(MIN_TIMEOUT_NS, request.deadline_ns - now_ns)
        ordered.append(SendAttempt(request.id, endpoint.id, timeout_ns))
        ordered += self._overdue.track(now_ns, request, attempt_id)
        return ordered


def _idle_ns(now_ns: int, endpoint: EndpointStats) -> int:
    """Return how long the connections to an endpoint have been unused; 0: one is in use, or none is known."""
    if not endpoint.last_used_ns or endpoint.in_flight:
        return 0
    return now_ns - endpoint.last_used_ns
