"""Overdue attempts: those without a response after a fraction of their latency objective.

Either the response is lost, or the endpoint is slow, or it does not respond at all (docs/design.md, "Outlier
detection").
"""

from __future__ import annotations

from collections.abc import Iterator

from lugtally.balancing.actions import Action, SetTimer
from lugtally.balancing.admission import AdmissionControl
from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.attempts import InFlightAttempt, InFlightAttempts
from lugtally.balancing.deadline_queue import DeadlineQueue
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.outlier_detection import OutlierDetector
from lugtally.balancing.request import RequestState
from lugtally.balancing.stale_connections import StaleConnectionDetector
from lugtally.balancing.timers import OverdueTimer

OVERDUE_SHARE = 0.5
"""Fraction of the latency objective after which an attempt without a response is overdue."""
UNRESPONSIVE_RATIO = 3.0
"""An endpoint counts as unresponsive after this multiple of its expected response time."""
MAX_FAILURES_BEFORE_HEDGE = 2
"""After more consecutive failures than this, the endpoint of an overdue attempt will hardly respond."""
NO_TIMER = 0
"""Value of ``_timer_due_ns`` while no timer is set."""


class OverdueMonitor:
    """Tracks the attempts that may become overdue, with one timer for the first of them."""

    def __init__(
        self,
        attempts: InFlightAttempts,
        latency: LatencyTracker,
        admission: AdmissionControl,
        outliers: OutlierDetector,
        stale_connections: StaleConnectionDetector,
    ) -> None:
        self._attempts = attempts
        self._latency = latency
        self._admission = admission
        self._outliers = outliers
        self._stale_connections = stale_connections
        self._queue = DeadlineQueue()
        self._timer_due_ns = NO_TIMER

    def track(self, now_ns: int, request: RequestState, attempt_id: AttemptId) -> list[Action]:
        """Track an attempt that is sent at ``now_ns``; return the action that sets the timer, if any."""
        overdue_after_ns = int(request.request_class.latency_objective_ns * OVERDUE_SHARE)
        self._queue.push(now_ns + overdue_after_ns, attempt_id)
        return self.set_timer(now_ns)

    def set_timer(self, now_ns: int) -> list[Action]:
        """Set the timer, unless it is already set to fire in time or nothing is in flight."""
        due_ns = self._queue.next_due_ns(self._attempts.by_id)
        if due_ns is None or (self._timer_due_ns != NO_TIMER and due_ns >= self._timer_due_ns):
            return []
        self._timer_due_ns = due_ns
        return [SetTimer(max(1, due_ns - now_ns), OverdueTimer())]

    def is_due(self, now_ns: int) -> bool:
        """Return whether the timer that was set last is due; timers that it replaced fire as well."""
        return now_ns >= self._timer_due_ns

    def check(self, now_ns: int) -> Iterator[AttemptId]:
        """Check the overdue attempts; yield each one to hedge or cancel before checking the next."""
        self._timer_due_ns = NO_TIMER
        while (attempt_id := self._queue.pop_due(now_ns)) is not None:
            attempt = self._attempts.by_id.get(attempt_id)
            if attempt is not None and self._check_attempt(now_ns, attempt):
                yield attempt_id

    def _check_attempt(self, now_ns: int, attempt: InFlightAttempt) -> bool:
        """Record what an overdue attempt shows; return whether to hedge or cancel it."""
        responded_since = attempt.endpoint.last_response_ns >= attempt.sent_ns
        if responded_since and attempt.endpoint.slowness < self._latency.prompt_ratio:
            # Later requests got prompt responses there: it has no queue, so this response is lost.
            self._attempts.mark_lost(attempt)
            return False
        if not attempt.is_overdue:
            self._record_timeout(now_ns, attempt)
        return not responded_since and self._check_unresponsive(now_ns, attempt)

    def _record_timeout(self, now_ns: int, attempt: InFlightAttempt) -> None:
        attempt.result = AttemptResult.TIMEOUT
        attempt.duration_ns = now_ns - attempt.sent_ns
        self._admission.record_outcome(now_ns, attempt)
        attempt.is_overdue = True

    def _check_unresponsive(self, now_ns: int, attempt: InFlightAttempt) -> bool:
        """Record that the endpoint has not responded since the attempt; return whether to hedge or cancel."""
        self._stale_connections.record_no_response(attempt)
        may_be_slow = now_ns < attempt.sent_ns + self._unresponsive_after_ns(attempt)
        if may_be_slow and not self._stale_connections.suspects_stale_connections:
            return False
        self._outliers.record_failure(now_ns, attempt.endpoint)
        fails_repeatedly = attempt.endpoint.consecutive_failures > MAX_FAILURES_BEFORE_HEDGE
        return self._stale_connections.suspects_stale_connections or fails_repeatedly

    def _unresponsive_after_ns(self, attempt: InFlightAttempt) -> int:
        """Return how long after an attempt is sent its endpoint counts as unresponsive."""
        expected_ns = self._latency.baseline_ns(attempt.class_index) * max(1.0, attempt.endpoint.slowness)
        return int(UNRESPONSIVE_RATIO * expected_ns)
