"""Admission: while responses are late, part of the requests is rejected (docs/design.md, "Admission")."""

from math import exp

from lugtally.balancing.events import AttemptResult
from lugtally.balancing.priority import relative_priority
from lugtally.balancing.records import BalancerState, InFlightAttempt, RequestState
from lugtally.balancing.stale_connections import may_be_stale
from lugtally.units import NS_PER_S

STRAINED_SHARE = 0.35  # part of the responses that may take over half their objective before less is admitted
MIN_LOG_PROBABILITY = -3.0
MAX_LOG_PROBABILITY = 0.7  # what good responses save up: one bad response sheds nothing
RECOVERY_PER_S = 0.05  # so that no silence is for good


def record_outcome(state: BalancerState, now: int, attempt: InFlightAttempt) -> None:
    """Admit less while responses are late or rejected, more while they are not."""
    result = attempt.result
    late = result is AttemptResult.TIMEOUT or result is AttemptResult.CANCELLED
    if attempt.is_lost or not (late or result is AttemptResult.OK or result is AttemptResult.REJECTED):
        return
    if late and (attempt.endpoint.consecutive_failures > 1 or may_be_stale(attempt)):
        return  # a silent endpoint or a dead connection is at fault, not the fleet
    if attempt.is_overdue and result is not AttemptResult.OK:
        return
    objective_ns, admission = attempt.request_class.latency_objective_ns, state.admission
    weight = min(1.0, 2 * (now - admission.last_outcome_ns) / objective_ns)
    admission.last_outcome_ns = now
    # The less is admitted, the more each good response counts.
    good = STRAINED_SHARE + 0.25 * max(0.0, -admission.log_probability)
    bad = result is not AttemptResult.OK or attempt.took_ns > objective_ns / 2
    admission.log_probability += weight * (STRAINED_SHARE - 1 if bad else good)
    admission.log_probability = min(MAX_LOG_PROBABILITY, max(MIN_LOG_PROBABILITY, admission.log_probability))


def admission_probability(state: BalancerState, request: RequestState) -> float:
    """Return the part of such requests that is tried at all; classes of low priority are shed first."""
    priority = relative_priority(state, request)
    relative = state.priority.lowest / priority if priority else 1.0
    return exp(min(0.0, state.admission.log_probability) * relative)


def recover(state: BalancerState, elapsed_ns: int) -> None:
    """Admit a little more with time alone."""
    recovered = state.admission.log_probability + RECOVERY_PER_S * elapsed_ns / NS_PER_S
    state.admission.log_probability = min(MAX_LOG_PROBABILITY, recovered)
