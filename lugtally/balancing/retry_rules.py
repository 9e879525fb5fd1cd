"""The rules that every attempt and every final answer keeps, whatever else is decided.

1. A request gets one final answer, no attempt after its deadline and no more attempts than allowed.
2. A repeat, or a rejection that invites one, never makes a request run twice.
3. A draining or removed endpoint gets no attempt.
4. An endpoint that is warming up gets no more than slow start allows.
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
"""Retries and hedges of a request, where the settings allow as many."""


class RetryRules:
    """The rules, for the requests and attempts of one balancer."""

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

    def may_retry(self, now_ns: int, request: RequestState, *, replaces: bool = False) -> bool:
        """Return whether a request may have another attempt, before its endpoint is chosen (rules 1 and 2).

        ``replaces`` says that the attempt in flight is cancelled first.
        """
        if request.id not in self._requests or request.streaming or now_ns >= request.deadline_ns:
            return False
        if len(request.endpoint_ids) >= self._settings.max_attempts:
            return False
        if request.in_flight and not self._settings.hedging_allowed and not replaces:
            return False
        return request.is_safe_to_retry or self._is_deduplicated(now_ns, request)

    def may_send_to(self, now_ns: int, request: RequestState, endpoint: EndpointStats) -> bool:
        """Return whether an attempt may be sent to an endpoint (all rules); every attempt passes here."""
        if self._is_leaving(endpoint):
            return False
        is_keyed_retry = request.has_idempotency_key and request.possibly_processed
        if is_keyed_retry and request.deduplication_domain(endpoint) != request.first_deduplication_domain:
            return False
        return self.may_retry(now_ns, request) and self._slow_start.allows(now_ns, endpoint)

    def may_start(self, now_ns: int, attempt_id: AttemptId) -> bool:
        """Return whether an attempt may still be written (rules 2 to 4).

        Since it was decided on, its endpoint may have changed or the deduplication window may have ended.
        """
        request = self._requests.get(attempt_id.request_id)
        attempt = self._attempts.by_id.get(attempt_id)
        if request is None or attempt is None or self._is_leaving(attempt.endpoint):
            return False
        if attempt.endpoint.started_ns != attempt.endpoint_started_ns:
            return False
        is_keyed_retry = request.has_idempotency_key and len(request.possibly_processed) > 1
        return not is_keyed_retry or now_ns <= request.deduplication_end_ns

    def may_reject(self, request: RequestState) -> bool:
        """Return whether a rejection is allowed: it promises that a repeat is safe (rule 2)."""
        is_deduplicated_everywhere = request.request_class.deduplication_scope is DeduplicationScope.ALL
        return request.is_safe_to_retry or (request.has_idempotency_key and is_deduplicated_everywhere)

    def _is_deduplicated(self, now_ns: int, request: RequestState) -> bool:
        """Return whether a repeat that is sent at ``now_ns`` arrives within the deduplication window."""
        latest_send_ns = now_ns + self._settings.timer_resolution_ns
        return request.has_idempotency_key and latest_send_ns <= request.deduplication_end_ns

    def _is_leaving(self, endpoint: EndpointStats) -> bool:
        is_removed = endpoint.state is EndpointState.REMOVED and self._settings.removal_is_binding
        return is_removed or endpoint.state is EndpointState.DRAINING
