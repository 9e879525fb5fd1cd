"""Failing, silent and slow endpoints are left alone for a while (docs/design.md, "Outlier detection")."""

from collections.abc import Iterator
from math import inf

from lugtally.balancing import admission, stale_connections
from lugtally.balancing.actions import SetTimer
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.latency import CONGESTED_RATIO
from lugtally.balancing.records import BalancerState, EndpointStats, InFlightAttempt, RequestState
from lugtally.balancing.timers import OverdueCheck
from lugtally.units import NS_PER_S

EJECTION_NS = 1 * NS_PER_S  # after a failure; doubles with each further one up to four times
MAX_FAILURES = 3
MAX_EJECTED_SHARE = 0.5  # share of the members that may be ejected at once
SLOW_RATIO = 3.0  # slowness against the median member that ejects
MIN_SAMPLES, MIN_CONGESTED_SAMPLES = 8, 6
SILENT_RATIO = 3.0  # baselines without any response after which an endpoint is silent
OVERDUE_SHARE = 0.5  # part of the objective after which an attempt without a response is overdue
RESPONSES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.DECLINED)


def record_outcome(state: BalancerState, now: int, attempt: InFlightAttempt) -> None:
    """Learn of an endpoint's health from one outcome."""
    endpoint, result = attempt.endpoint, attempt.result
    if result in RESPONSES:
        endpoint.last_response_ns = endpoint.last_used_ns = now
    if result is AttemptResult.OK:
        stale_connections.record_response(state, attempt)
        if endpoint.consecutive_failures:
            endpoint.consecutive_failures = endpoint.ejected_until_ns = 0
            state.subset.is_outdated = True
    elif result is AttemptResult.NO_CONNECTION:
        eject(state, now, endpoint, certain=True)
    elif result is AttemptResult.REJECTED:
        eject(state, now, endpoint, 2, certain=True)
    elif result is AttemptResult.ERROR or result is AttemptResult.RESET:
        eject(state, now, endpoint, 2)  # one bad response among good ones says nothing of the endpoint


def eject(
    state: BalancerState, now: int, endpoint: EndpointStats, min_failures: int = 1, certain: bool = False
) -> None:
    """Count a failure and eject, unless too many are ejected already and this one may only be slow."""
    endpoint.consecutive_failures = min(endpoint.consecutive_failures + 1, MAX_FAILURES)
    if endpoint.consecutive_failures < min_failures or endpoint.ejected_until_ns > now:
        return
    members = state.subset.members
    ejected = sum(member.ejected_until_ns > now for member in members)
    if certain or ejected + 1 <= MAX_EJECTED_SHARE * len(members):
        duration_ns = EJECTION_NS << (endpoint.consecutive_failures - 1)
        endpoint.ejected_until_ns = now + int(duration_ns * state.rng.uniform(0.8, 1.2))
        state.subset.is_outdated = True


def eject_slow_outliers(state: BalancerState, now: int) -> None:
    """Eject endpoints far slower than the median, and those slow even with one request at a time."""
    judged = [m for m in state.subset.members if m.samples >= MIN_SAMPLES]
    slowness = sorted(m.slowness for m in judged if m.ejected_until_ns <= now)
    median = slowness[len(slowness) // 2] if len(slowness) > 2 else inf
    bound = max(state.latency.prompt_below, SLOW_RATIO * median)
    for endpoint in [m for m in judged if m.slowness > bound]:
        _eject_to_recover(state, now, endpoint)
    bound = max(CONGESTED_RATIO, state.latency.congested_at)
    single = [m for m in state.subset.members if m.concurrency_limit <= 1]
    congested = [m for m in single if m.samples >= MIN_CONGESTED_SAMPLES and m.slowness > bound]
    for endpoint in sorted(congested, key=lambda m: m.id):  # so that all balancers choose the same ones
        _eject_to_recover(state, now, endpoint)


def _eject_to_recover(state: BalancerState, now: int, endpoint: EndpointStats) -> None:
    endpoint.consecutive_failures = max(endpoint.consecutive_failures, 2)
    eject(state, now, endpoint)
    if endpoint.ejected_until_ns > now:  # or a fleet without traffic would never try it again
        endpoint.concurrency_limit, endpoint.slowness, endpoint.samples = 1.0, 1.2, 0


def watch_attempt(state: BalancerState, now: int, request: RequestState, key: tuple[str, int]) -> None:
    """Watch an attempt that goes out now."""
    overdue_ns = now + int(request.request_class.latency_objective_ns * OVERDUE_SHARE)
    state.overdue.push(overdue_ns, key)
    set_overdue_timer(state, now)


def set_overdue_timer(state: BalancerState, now: int) -> None:
    """Set one timer for the first attempt that may become overdue; none while nothing is in flight."""
    due_ns = state.overdue.next_due_ns(state.attempts)
    if due_ns is not None and (not state.overdue_timer_ns or due_ns < state.overdue_timer_ns):
        state.overdue_timer_ns = due_ns
        state.actions.append(SetTimer(max(1, due_ns - now), OverdueCheck()))


def check_overdue_attempts(state: BalancerState, now: int) -> Iterator[tuple[str, int]]:
    """Judge what is overdue; yield each attempt at a silent endpoint before the next one is judged."""
    state.overdue_timer_ns = 0
    while (key := state.overdue.pop_due(now)) is not None:
        attempt = state.attempts.get(key)
        if attempt is not None and _judge_overdue(state, now, attempt):
            yield key


def _judge_overdue(state: BalancerState, now: int, attempt: InFlightAttempt) -> bool:
    """Learn from an overdue attempt; return whether its request needs another one elsewhere."""
    endpoint, sent_ns, stale = attempt.endpoint, attempt.sent_ns, state.stale
    answers_others = endpoint.last_response_ns >= sent_ns
    if answers_others and endpoint.slowness < state.latency.prompt_below:
        state.mark_lost(attempt)  # later requests were answered there, and soon: no queue
        return False
    if not attempt.is_overdue:
        attempt.result, attempt.took_ns = AttemptResult.TIMEOUT, now - sent_ns
        admission.record_outcome(state, now, attempt)
        attempt.is_overdue = True
    if answers_others:
        return False
    stale_connections.record_silence(state, attempt)
    expected_ns = state.latency.baseline_ns.get(attempt.class_index, 0.0) * max(1.0, endpoint.slowness)
    if now < sent_ns + int(SILENT_RATIO * expected_ns) and not stale.safe_unused_ns:
        return False
    eject(state, now, endpoint)
    return bool(stale.safe_unused_ns or endpoint.consecutive_failures > 2)
