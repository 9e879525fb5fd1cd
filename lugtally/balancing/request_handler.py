"""Handles a request from its admission to its final answer: attempts, retries and the answer."""

from __future__ import annotations

from lugtally.balancing.actions import Action, FailRequest, RejectRequest, SetTimer
from lugtally.balancing.attempt_sender import AttemptSender
from lugtally.balancing.picker import EndpointPicker
from lugtally.balancing.request import RequestState
from lugtally.balancing.retry_budget import RetryBudget
from lugtally.balancing.retry_rules import MAX_RETRIES, RetryRules
from lugtally.balancing.timers import RetryTimer


class RequestHandler:
    """Decides the next step of a request that has no attempt in flight."""

    def __init__(
        self,
        requests: dict[str, RequestState],
        picker: EndpointPicker,
        sender: AttemptSender,
        rules: RetryRules,
        retry_budget: RetryBudget,
    ) -> None:
        self._requests = requests
        self._picker = picker
        self._sender = sender
        self._rules = rules
        self._retry_budget = retry_budget

    def send_attempt(self, now_ns: int, request: RequestState) -> list[Action]:
        """Send the next attempt; if no endpoint is available, reject or fail the request."""
        request.awaiting_retry = False
        endpoint = self._picker.pick(now_ns, request)
        if endpoint is None:
            return self.reject_or_fail(request)
        return self._sender.send(now_ns, request, endpoint)

    def schedule_retry(self, now_ns: int, request: RequestState) -> list[Action]:
        """Schedule a retry after a backoff if rules and budget allow it; otherwise reject or fail."""
        delay_ns = self._retry_budget.draw_backoff_ns(now_ns, request)
        is_allowed = request.retries < MAX_RETRIES and self._rules.may_retry(now_ns, request)
        if delay_ns is None or not is_allowed or not self._retry_budget.try_spend():
            return self.reject_or_fail(request)
        request.retries += 1
        request.awaiting_retry = True
        return [SetTimer(delay_ns, RetryTimer(request.id))]

    def reject_or_fail(self, request: RequestState) -> list[Action]:
        """Give the final answer: a rejection with a retry delay if the rules allow it, else a failure."""
        self._requests.pop(request.id, None)
        if not self._rules.may_reject(request):
            return [FailRequest(request.id)]
        return [RejectRequest(request.id, self._retry_budget.draw_retry_after_ns(request))]
