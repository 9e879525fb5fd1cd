"""Admission control: while responses are late, part of the requests is rejected.

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

STRAINED_SHARE = 0.35
"""Part of the responses that may take over half their objective before fewer requests are admitted."""
MIN_LOG_PROBABILITY = -3.0
"""Lowest log probability: one request in twenty is still tried."""
MAX_LOG_PROBABILITY = 0.7
"""Highest log probability: good responses save this up, so that one bad response sheds nothing."""
RECOVERY_PER_S = 0.05
"""Rise of the log probability a second without any response, so that rejecting everything cannot last."""
GOOD_RESPONSE_GAIN = 0.25
"""Extra weight of a good response for each unit of log probability below 0."""
LATE_RESULTS = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
RELEVANT_RESULTS = (*LATE_RESULTS, AttemptResult.OK, AttemptResult.REJECTED)
"""Results that say something of the load of the endpoints."""


class AdmissionControl:
    """The probability with which a request is admitted."""

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
        """Draw whether a request is tried at all; classes of low priority are shed first."""
        return self._rng.random() < self._probability(request)

    def _probability(self, request: RequestState) -> float:
        priority = self._priority.relative_priority(request)
        relative = self._priority.lowest / priority if priority else 1.0
        return exp(min(0.0, self.log_probability) * relative)

    def record_outcome(self, now_ns: int, attempt: InFlightAttempt) -> None:
        """Admit fewer requests while responses are late or rejected, more while they are not."""
        if not _is_relevant(attempt):
            return
        late_ns = attempt.request_class.latency_objective_ns / 2
        weight = min(1.0, (now_ns - self._last_outcome_ns) / late_ns)  # many outcomes at once count as one
        self._last_outcome_ns = now_ns
        is_bad = attempt.result is not AttemptResult.OK or attempt.duration_ns > late_ns
        if is_bad:
            change = STRAINED_SHARE - 1
        else:  # the fewer requests are admitted, the more each good response counts
            change = STRAINED_SHARE + GOOD_RESPONSE_GAIN * max(0.0, -self.log_probability)
        changed = max(MIN_LOG_PROBABILITY, self.log_probability + weight * change)
        self.log_probability = min(MAX_LOG_PROBABILITY, changed)

    def recover(self, elapsed_ns: int) -> None:
        """Admit a little more with time."""
        recovered = self.log_probability + RECOVERY_PER_S * elapsed_ns / NS_PER_S
        self.log_probability = min(MAX_LOG_PROBABILITY, recovered)


def _is_relevant(attempt: InFlightAttempt) -> bool:
    """Return whether an outcome says something of the load of the fleet."""
    if attempt.is_lost or attempt.result not in RELEVANT_RESULTS:
        return False
    is_late = attempt.result in LATE_RESULTS
    endpoint_is_silent = attempt.endpoint.consecutive_failures > 1
    if is_late and (endpoint_is_silent or may_be_stale(attempt)):
        return False
    was_counted = attempt.is_overdue and attempt.result is not AttemptResult.OK
    return not was_counted
