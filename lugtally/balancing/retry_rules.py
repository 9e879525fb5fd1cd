"""The safety rules that every attempt and every final answer must keep.

1. A request gets one final answer, no attempt after its deadline and no more attempts than allowed.
2. No retry, and no rejection, which invites a retry, may make a request run twice unless it is idempotent.
3. A draining or removed endpoint gets no attempt.
4. An endpoint that is warming up gets no more attempts than slow start allows.
"""

from __future__ import annotations

from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import EndpointState
from lugtally.balancing.request import RequestState
from lugtally.balancing.settings import DeduplicationScope, Settings
from lugtally.balancing.slow_start import SlowStart

MAX_RETRIES = 3
"""Maximum number of retries and hedges of a request; the settings may lower it."""


class RetryRules:
    """Checks the rules for the requests and attempts of one balancer."""

    def __init__(
        self,
        settings: Settings,
        requests: dict[str, RequestState],
        attempts: InFlightAttempts,
        slow_start: SlowStart,
    ) -> None:
        self._settings = settings
        self._requests = requests
        self._attempts = attempts
        self._slow_start = slow_start

    def may_retry(self, now_ns: int, request: RequestState, *, cancels_in_flight: bool = False) -> bool:
        """Return whether a request may get another attempt, whatever its endpoint (rules 1 and 2).

        ``cancels_in_flight``: the attempt in flight is cancelled first.
        """
        if request.id not in self._requests or request.streaming or now_ns >= request.deadline_ns:
            return False
        if len(request.endpoint_ids) >= self._settings.max_attempts:
            return False
        if request.in_flight and not self._settings.hedging_allowed and not cancels_in_flight:
            return False
        return request.is_safe_to_retry or self._is_deduplicated(now_ns, request)

    def may_send_to(self, now_ns: int, request: RequestState, endpoint: EndpointStats) -> bool:
        """Return whether an attempt may be sent to an endpoint (all rules); called before every attempt."""
        if self._is_draining_or_removed(endpoint):
            return False
        is_keyed_retry = request.has_idempotency_key and request.possibly_processed
        if is_keyed_retry and request.deduplication_domain(endpoint) != request.first_deduplication_domain:
            return False
        return self.may_retry(now_ns, request) and self._slow_start.allows(now_ns, endpoint)

    def may_start(self, now_ns: int, attempt_id: AttemptId) -> bool:
        """Return whether an attempt that was decided on may still be written to its endpoint (rules 2 to 4).

        Since the decision, the endpoint may have changed or the deduplication window may have ended.
        """
        request = self._requests.get(attempt_id.request_id)
        attempt = self._attempts.by_id.get(attempt_id)
        if request is None or attempt is None or self._is_draining_or_removed(attempt.endpoint):
            return False
        if attempt.endpoint.started_ns != attempt.endpoint_started_ns:
            return False
        is_keyed_retry = request.has_idempotency_key and len(request.possibly_processed) > 1
        return not is_keyed_retry or now_ns <= request.deduplication_end_ns

    def may_reject(self, request: RequestState) -> bool:
        """Return whether a rejection is allowed: it promises the client that a retry is safe (rule 2)."""
        is_deduplicated_everywhere = request.request_class.deduplication_scope is DeduplicationScope.ALL
        return request.is_safe_to_retry or (request.has_idempotency_key and is_deduplicated_everywhere)

    def _is_deduplicated(self, now_ns: int, request: RequestState) -> bool:
        """Return whether a retry that is decided on at ``now_ns`` is sent within the deduplication window."""
        latest_send_ns = now_ns + self._settings.timer_resolution_ns
        return request.has_idempotency_key and latest_send_ns <= request.deduplication_end_ns

    def _is_draining_or_removed(self, endpoint: EndpointStats) -> bool:
        is_removed = endpoint.state is EndpointState.REMOVED and self._settings.removal_is_binding
        return is_removed or endpoint.state is EndpointState.DRAINING
