"""Hedging: a second attempt for a request whose first attempt gets no response.

Where concurrent attempts are not allowed, the first is cancelled, so that the request is retried.
"""

from __future__ import annotations

from lugtally.balancing.actions import Action, CancelAttempt
from lugtally.balancing.admission import AdmissionControl
from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.attempt_sender import AttemptSender
from lugtally.balancing.picker import EndpointPicker
from lugtally.balancing.request import RequestState
from lugtally.balancing.retry_budget import BASE_BACKOFF_NS, RetryBudget
from lugtally.balancing.retry_rules import MAX_RETRIES, RetryRules
from lugtally.balancing.settings import Settings


class HedgingPolicy:
    """Decides whether a request whose attempt is overdue is hedged, or cancelled to be retried."""

    def __init__(
        self,
        settings: Settings,
        picker: EndpointPicker,
        sender: AttemptSender,
        rules: RetryRules,
        retry_budget: RetryBudget,
        admission: AdmissionControl,
    ) -> None:
        self._settings = settings
        self._picker = picker
        self._sender = sender
        self._rules = rules
        self._retry_budget = retry_budget
        self._admission = admission

    def hedge_or_cancel(self, now_ns: int, request: RequestState, attempt_id: AttemptId) -> list[Action]:
        """Hedge an attempt whose endpoint does not respond, or cancel it so that its request is retried."""
        if len(request.in_flight) != 1 or request.retries >= MAX_RETRIES or self._admission.is_shedding:
            return []
        if self._settings.hedging_allowed:
            return self._hedge(now_ns, request)
        if self._may_cancel(now_ns, request):
            return [CancelAttempt(attempt_id.request_id, attempt_id.number)]
        return []

    def _hedge(self, now_ns: int, request: RequestState) -> list[Action]:
        if not self._rules.may_retry(now_ns, request):
            return []
        endpoint = self._picker.pick(now_ns, request)
        if endpoint is None or not self._retry_budget.try_spend():
            return []
        request.retries += 1
        return self._sender.send(now_ns, request, endpoint)

    def _may_cancel(self, now_ns: int, request: RequestState) -> bool:
        """Return whether the attempt may be cancelled: a retry must still be allowed after the backoff."""
        if not self._settings.cancellation_allowed or not self._retry_budget.allows_retry():
            return False
        return self._rules.may_retry(now_ns + BASE_BACKOFF_NS, request, cancels_in_flight=True)
