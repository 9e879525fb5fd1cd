"""Passes each finished attempt to the components that use its result."""

from __future__ import annotations

from lugtally.balancing.admission import AdmissionControl
from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.concurrency_limit import ConcurrencyLimiter
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.outlier_detection import OutlierDetector
from lugtally.balancing.stale_connections import StaleConnectionDetector

TIMED_RESULTS = (AttemptResult.OK, AttemptResult.TIMEOUT)
"""Results whose duration shows how slow the endpoint is."""


class OutcomeRecorder:
    """Passes the results of attempts to the components, always in the same order."""

    def __init__(
        self,
        admission: AdmissionControl,
        outliers: OutlierDetector,
        stale_connections: StaleConnectionDetector,
        latency: LatencyTracker,
        limiter: ConcurrencyLimiter,
    ) -> None:
        self._admission = admission
        self._outliers = outliers
        self._stale_connections = stale_connections
        self._latency = latency
        self._limiter = limiter

    def record(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Record the result of an attempt that is no longer in flight at its endpoint."""
        is_ok = attempt.result is AttemptResult.OK
        self._admission.record_outcome(now_ns, attempt)
        if is_ok:
            self._stale_connections.record_response(attempt)
        self._outliers.record_outcome(now_ns, attempt)
        if attempt.is_lost and not is_ok:
            return
        if attempt.result in TIMED_RESULTS:
            self._record_duration(now_ns, attempt)
        self._limiter.adjust_endpoint_limit(now_ns, attempt)

    def _record_duration(self, now_ns: int, attempt: InFlightAttempt) -> None:
        baseline_ns = self._latency.record_latency(attempt)
        if attempt.result is AttemptResult.OK:
            self._limiter.record_response(attempt, baseline_ns)
        self._latency.record_load(now_ns, attempt, baseline_ns)
