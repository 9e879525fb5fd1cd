"""Stale connections: they may die unseen while unused; docs/design.md, "Stale connections"."""

from lugtally.balancing.records import BalancerState, InFlightAttempt
from lugtally.units import NS_PER_S

MIN_UNUSED_NS = NS_PER_S // 2  # a connection unused for longer may have died unseen
MAX_SILENT_ATTEMPTS = 3  # silent attempts on unused connections in a row before such are closed first
TRIAL_SHARE = 0.06  # part of the requests that try an unused connection all the same


def may_be_stale(attempt: InFlightAttempt) -> bool:
    """Return whether the attempt went out on a connection that was unused for long."""
    return attempt.unused_ns > MIN_UNUSED_NS


def should_close_idle(state: BalancerState, unused_ns: int, is_retry: bool) -> bool:
    """Return whether to close idle connections, so as to send on a fresh one."""
    safe_ns = state.stale.safe_unused_ns
    return bool(safe_ns and (is_retry or (unused_ns > safe_ns and state.rng.random() > TRIAL_SHARE)))


def record_silence(state: BalancerState, attempt: InFlightAttempt) -> None:
    """Learn from an attempt that the endpoint left without any response."""
    if may_be_stale(attempt):
        stale = state.stale
        stale.silent_attempts += 1
        if stale.silent_attempts >= MAX_SILENT_ATTEMPTS:
            bound_ns = max(MIN_UNUSED_NS, attempt.unused_ns // 2)
            stale.safe_unused_ns = min(stale.safe_unused_ns or attempt.unused_ns, bound_ns)


def record_response(state: BalancerState, attempt: InFlightAttempt) -> None:
    """Learn from a response: one on an old connection proves the suspicion wrong."""
    if attempt.unused_ns:
        state.stale.silent_attempts = 0
        if attempt.unused_ns > state.stale.safe_unused_ns:
            state.stale.safe_unused_ns = 0
