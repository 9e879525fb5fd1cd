"""Retries: a budget of a small share of the requests of a sliding window, and the backoff before each."""

from lugtally.balancing.records import BalancerState, RequestState
from lugtally.balancing.settings import Idempotency
from lugtally.units import NS_PER_MS

RETRY_RATIO = 0.1  # further attempts as a share of the requests of the window
BUDGET_WINDOW_S = 10
BASE_BACKOFF_NS = 100 * NS_PER_MS  # first bound; doubles with each retry


def try_spend(state: BalancerState, count: int = 1) -> bool:
    """Take further attempts from the budget; a quiet balancer may always make one in a window."""
    if state.budget.retries.total + 1 > max(1.0, RETRY_RATIO * state.budget.requests.total):
        return False
    state.budget.retries.add(count)
    return True


def draw_backoff_ns(state: BalancerState, now: int, request: RequestState) -> int | None:
    """Draw the delay of the next retry with full jitter; ``None`` where too little time would remain."""
    left_ns = request.deadline_ns - now
    if request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and request.may_have_run:
        left_ns = min(left_ns, request.deduplication_ends_ns - state.settings.timer_resolution_ns - now)
    delay_ns = int(state.rng.uniform(0, max(0, min(left_ns // 2, BASE_BACKOFF_NS << request.retries))))
    enough = left_ns - delay_ns > state.latency.baseline_ns.get(request.class_index, 0) / 2
    return delay_ns if enough else None


def draw_retry_after_ns(state: BalancerState, request: RequestState) -> int:
    """Advise when to come back: about as long as a queue needs to drain, with jitter."""
    if not state.settings.retry_after_allowed:
        return 0
    queue_ns = max(BASE_BACKOFF_NS, 2 * state.latency.baseline_ns.get(request.class_index, 0))
    return min(int(queue_ns * state.rng.uniform(0.5, 1.5)), state.settings.max_retry_after_ns)
