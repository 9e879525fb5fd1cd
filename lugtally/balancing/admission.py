"""Admission control: rejects a share of the requests while responses are late.

The reasons are in docs/design.md, "Admission".
"""

from __future__ import annotations

from math import exp
from random import Random

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.priority import PriorityTracker
from lugtally.balancing.request import RequestState
from lugtally.balancing.stale_connections import may_be_stale
from lugtally.units import NS_PER_S

TOLERATED_OVERLOAD_SHARE = 0.35
"""Share of the outcomes that may show overload before fewer requests are admitted.

An outcome shows overload if the attempt was rejected, was abandoned or took over half its objective.
"""
MIN_LOG_PROBABILITY = -3.0
"""Lower bound of the log probability: about one request in twenty is still admitted."""
MAX_LOG_PROBABILITY = 0.7
"""Upper bound: good outcomes build up this margin, so that a single bad outcome does not cause shedding."""
RECOVERY_PER_S = 0.05
"""Rise of the log probability per second, even without responses, so that full rejection cannot last."""
GOOD_OUTCOME_GAIN = 0.25
"""Additional rise with a good outcome, per unit by which the log probability is below 0."""
NO_RESPONSE_RESULTS = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
"""Results of attempts that were abandoned before a response arrived."""
LOAD_RELATED_RESULTS = (*NO_RESPONSE_RESULTS, AttemptResult.OK, AttemptResult.REJECTED)
"""Results that depend on the load of the endpoints."""


class AdmissionControl:
    """The probability of admission, adjusted to the outcomes of attempts."""

    def __init__(self, rng: Random, priority: PriorityTracker) -> None:
        self._rng = rng
        self._priority = priority
        self._last_outcome_ns = 0
        self.log_probability = MAX_LOG_PROBABILITY
        """Natural logarithm of the admission probability; values above 0 admit every request."""

    @property
    def is_shedding(self) -> bool:
        """Whether some requests are rejected."""
        return self.log_probability < 0

    def admits(self, request: RequestState) -> bool:
        """Decide at random whether to admit a request; classes of low priority are shed first."""
        return self._rng.random() < self._admission_probability(request)

    def _admission_probability(self, request: RequestState) -> float:
        priority = self._priority.relative_priority(request)
        exponent = self._priority.lowest / priority if priority else 1.0
        return exp(min(0.0, self.log_probability) * exponent)

    def record_outcome(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Admit fewer requests while responses are late or rejected, more while they are not."""
        if not _is_load_related(attempt):
            return
        late_after_ns = attempt.request_class.latency_objective_ns / 2
        # A burst of outcomes counts as one.
        weight = min(1.0, (now_ns - self._last_outcome_ns) / late_after_ns)
        self._last_outcome_ns = now_ns
        shows_overload = attempt.result is not AttemptResult.OK or attempt.duration_ns > late_after_ns
        if shows_overload:
            change = TOLERATED_OVERLOAD_SHARE - 1
        else:  # the fewer requests are admitted, the more each good outcome counts
            change = TOLERATED_OVERLOAD_SHARE + GOOD_OUTCOME_GAIN * max(0.0, -self.log_probability)
        changed = max(MIN_LOG_PROBABILITY, self.log_probability + weight * change)
        self.log_probability = min(MAX_LOG_PROBABILITY, changed)

    def recover(self, elapsed_ns: int) -> None:
        """Raise the admission probability for the time that has passed."""
        recovered = self.log_probability + RECOVERY_PER_S * elapsed_ns / NS_PER_S
        self.log_probability = min(MAX_LOG_PROBABILITY, recovered)


def _is_load_related(attempt: InFlightAttempt) -> bool:
    """Return whether an outcome depends on the load of the endpoints and was not counted before.

    Load does not explain a missing response if the endpoint fails repeatedly, and so may not respond at all,
    or if the connection may be stale.
    """
    if attempt.is_lost or attempt.result not in LOAD_RELATED_RESULTS:
        return False
    has_no_response = attempt.result in NO_RESPONSE_RESULTS
    endpoint_is_failing = attempt.endpoint.consecutive_failures > 1
    if has_no_response and (endpoint_is_failing or may_be_stale(attempt)):
        return False
    was_counted_as_overdue = attempt.is_overdue and attempt.result is not AttemptResult.OK
    return not was_counted_as_overdue
