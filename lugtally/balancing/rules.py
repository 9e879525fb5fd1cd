"""The four rules that every send and every final answer keeps, whatever else is decided."""

from lugtally.balancing.events import EndpointState
from lugtally.balancing.records import BalancerState, EndpointStats, RequestState
from lugtally.balancing.settings import DeduplicationScope, Idempotency
from lugtally.balancing.slow_start import has_token, is_warming_up


def may_retry(state: BalancerState, now: int, request: RequestState, moving: bool = False) -> bool:
    """Rules 1 and 2, before an endpoint is chosen: it may have another attempt (``moving``: instead)."""
    if request.id not in state.requests or request.streaming or now >= request.deadline_ns:
        return False
    if len(request.endpoint_ids) >= state.settings.max_attempts:
        return False
    if request.in_flight and not state.settings.hedging_allowed and not moving:
        return False
    idempotency = request.request_class.idempotency
    if not request.may_have_run or idempotency is Idempotency.IDEMPOTENT:
        return True
    in_time = now + state.settings.timer_resolution_ns <= request.deduplication_ends_ns
    return idempotency is Idempotency.IDEMPOTENCY_KEY and in_time


def may_send_to(state: BalancerState, now: int, request: RequestState, endpoint: EndpointStats) -> bool:
    """All four rules for one send; every send passes here."""
    if _is_leaving(state, endpoint):
        return False
    keyed = request.may_have_run and request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    if keyed and request.deduplication_domain(endpoint) != request.first_domain:
        return False
    if not may_retry(state, now, request):
        return False
    return not is_warming_up(state, now, endpoint) or has_token(state, now, endpoint)


def may_start(state: BalancerState, now: int, request_id: str, number: int) -> bool:
    """Rules 2 to 4 again right before bytes go out: the endpoint or the time may have changed by then."""
    request, attempt = state.requests.get(request_id), state.attempts.get((request_id, number))
    if request is None or attempt is None or _is_leaving(state, attempt.endpoint):
        return False
    if attempt.endpoint.started_ns != attempt.endpoint_started_ns:
        return False
    keyed = request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    return not keyed or len(request.may_have_run) <= 1 or now <= request.deduplication_ends_ns


def may_reject(request: RequestState) -> bool:
    """Rule 2: a rejection promises that asking again does no harm."""
    idempotency = request.request_class.idempotency
    if not request.may_have_run or idempotency is Idempotency.IDEMPOTENT:
        return True
    everywhere = request.request_class.deduplication_scope is DeduplicationScope.ALL
    return idempotency is Idempotency.IDEMPOTENCY_KEY and everywhere


def _is_leaving(state: BalancerState, endpoint: EndpointStats) -> bool:
    removed = endpoint.state is EndpointState.REMOVED and state.settings.removal_is_binding
    return removed or endpoint.state is EndpointState.DRAINING
