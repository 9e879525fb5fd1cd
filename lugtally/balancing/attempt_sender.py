"""Sends an attempt to the endpoint that was picked for it."""

from __future__ import annotations

from lugtally.balancing.actions import Action, CloseIdleConnections, SendAttempt
from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.overdue_attempts import OverdueMonitor
from lugtally.balancing.request import RequestState
from lugtally.balancing.slow_start import SlowStart
from lugtally.balancing.stale_connections import StaleConnectionDetector

MIN_TIMEOUT_NS = 1
"""Shortest timeout of an attempt: a timeout of 0 has no meaning on the wire."""


class AttemptSender:
    """Builds the actions that send an attempt, and records it with each component that tracks attempts."""

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
        """Send the next attempt of a request; return the actions to take, in their order."""
        actions: list[Action] = []
        idle_ns = _idle_ns(now_ns, endpoint)
        is_retry = bool(request.endpoint_ids)
        if self._stale_connections.should_close_idle(idle_ns, is_retry):
            actions.append(CloseIdleConnections(endpoint.id))
            idle_ns = 0
        attempt_id = self._attempts.start(now_ns, request, endpoint, idle_ns)
        self._slow_start.record_send(now_ns, endpoint)
        timeout_ns = max(MIN_TIMEOUT_NS, request.deadline_ns - now_ns)
        actions.append(SendAttempt(request.id, endpoint.id, timeout_ns))
        actions += self._overdue.track(now_ns, request, attempt_id)
        return actions


def _idle_ns(now_ns: int, endpoint: EndpointStats) -> int:
    """Return how long the connections to an endpoint have been idle.

    0: one of them is in use, or none has carried a response yet.
    """
    if not endpoint.last_used_ns or endpoint.in_flight:
        return 0
    return now_ns - endpoint.last_used_ns
