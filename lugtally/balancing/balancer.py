"""Routes events to the concerns that decide, in a fixed order of random draws (docs/design.md, "Modules")."""

from random import Random

from lugtally.balancing import (
    actions,
    admission,
    concurrency_limit,
    events,
    latency,
    outlier_detection,
    picker,
    priority,
    records,
    retry_budget,
    rules,
    slow_start,
    stale_connections,
    subset,
)
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.settings import Settings
from lugtally.balancing.timers import OverdueCheck, PollTimer, RetryTimer, Timer

MAX_RETRIES = 3


class Balancer:
    """One sidecar's decisions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.state = records.BalancerState(
            settings,
            Random(seed),
            records.RetryBudgetState(retry_budget.BUDGET_WINDOW_S),
            latency.initial_state(settings),
            records.AdmissionState(admission.MAX_LOG_PROBABILITY),
            records.ConcurrencyState(concurrency_limit.MIN_LIMIT, concurrency_limit.FLEET_LIMIT),
            records.SubsetState(picker.INITIAL_CROSS_ZONE_WEIGHT),
        )
        self.refreshed_ns = 0

    def handle(self, now: int, event: events.Event) -> list[actions.Action]:
        """Decide on one event; return the actions to take at ``now``."""
        ordered = self.state.actions = []
        self.state.budget.advance(now)
        if isinstance(event, events.Request):
            self._on_request(now, event)
        elif isinstance(event, events.AttemptFinished):
            self._on_attempt_finished(now, event)
        elif isinstance(event, events.TimerFired):
            self._on_timer(now, event.timer)
        elif isinstance(event, events.EndpointUpdate):
            self._on_endpoint_update(now, event)
        elif isinstance(event, events.ClientDisconnected):
            self.state.requests.pop(event.request_id, None)
        elif isinstance(event, events.ResponseStarted):
            self._on_response_started(now, event)
        return ordered

    def may_start(self, now: int, request_id: str, attempt: int) -> bool:
        """Return whether the rules still allow an attempt, right before its bytes go out."""
        return rules.may_start(self.state, now, request_id, attempt)

    def ejected_count(self, now: int) -> int:
        """Return how many usable endpoints are ejected now; for the counters, changes nothing."""
        return sum(endpoint.ejected_until_ns > now for endpoint in self.state.usable)

    def _on_request(self, now: int, event: events.Request) -> None:
        state = self.state
        if event.id in state.requests:
            return
        if not event.is_retry:  # clients' retries earn no further attempts
            state.budget.requests.add(1)
            priority.record_demand(state, (event.class_index, event.tenant_index))
        request = state.requests[event.id] = records.RequestState(event, state.settings, now)
        if state.subset.is_outdated or now - self.refreshed_ns >= concurrency_limit.REFRESH_INTERVAL_NS:
            self._refresh(now)
        if state.rng.random() < admission.admission_probability(state, request):
            self._attempt(now, request)
        else:
            self._give_up(request)

    def _on_response_started(self, now: int, event: events.ResponseStarted) -> None:
        request = self.state.requests.get(event.request_id)
        if request is None or event.attempt not in request.in_flight:
            return
        request.streaming = True  # the response is the client's now: nothing more is sent or answered
        # The endpoint has answered; what is left goes at the client's pace, and is no load of the endpoint's.
        key = event.request_id, event.attempt
        if (attempt := self.state.attempts.get(key)) is not None:
            self._learn(now, self.state.finish_attempt(key, AttemptResult.OK, now - attempt.sent_ns))

    def _on_attempt_finished(self, now: int, event: events.AttemptFinished) -> None:
        requests, key = self.state.requests, (event.request_id, event.attempt)
        self._learn(now, self.state.finish_attempt(key, event.result, event.duration_ns, event.load_report))
        request = requests.get(event.request_id)
        if request is None or event.attempt >= len(request.endpoint_ids):
            return
        request.in_flight.discard(event.attempt)
        if event.request_finished:
            del requests[request.id]
        elif event.result is AttemptResult.DECLINED:  # by any other endpoint as well: no retry, no promise
            del requests[request.id]
            self.state.actions.append(actions.FailRequest(request.id))
        else:
            if event.result in events.NOT_PROCESSED:
                request.may_have_run.pop(event.attempt, None)
            if not request.in_flight and not request.awaiting_retry:
                self._retry(now, request)

    def _on_timer(self, now: int, timer: Timer) -> None:
        match timer:
            case OverdueCheck() if now >= self.state.overdue_timer_ns:
                for request_id, attempt in outlier_detection.check_overdue_attempts(self.state, now):
                    self._send_elsewhere(now, request_id, attempt)
                outlier_detection.set_overdue_timer(self.state, now)
            case PollTimer():
                self.state.actions.append(actions.WatchEndpoints())
            case RetryTimer(request_id):
                if (request := self.state.requests.get(request_id)) is not None and request.awaiting_retry:
                    self._attempt(now, request)

    def _on_endpoint_update(self, now: int, event: events.EndpointUpdate) -> None:
        if event.kind is events.EndpointUpdateKind.FAILED:
            self.state.actions.append(actions.SetTimer(subset.draw_poll_backoff_ns(self.state), PollTimer()))
            return
        if event.kind is events.EndpointUpdateKind.CACHED and self.state.settings.subscribe_to_endpoints:
            self.state.actions.append(actions.WatchEndpoints())
        subset.apply_update(self.state, now, event)
        self._refresh(now)

    def _refresh(self, now: int) -> None:
        """Draw up members and weights, and regularly limits: at each change of the list and now and then."""
        state, elapsed_ns = self.state, now - self.refreshed_ns
        if state.latency.baseline_ns and elapsed_ns >= concurrency_limit.REFRESH_INTERVAL_NS:
            admission.recover(state, elapsed_ns)
            priority.update_priorities(state, elapsed_ns, concurrency_limit.traffic_share(state))
            latency.update_baselines(state, elapsed_ns)
            concurrency_limit.update_limit(state, now, elapsed_ns)
            self.refreshed_ns = now
        subset.draw_members(state)
        concurrency_limit.allow_start(state)
        slow_start.count_warm_members(state, now)
        outlier_detection.eject_slow_outliers(state, now)
        picker.update_weights(state, now)

    def _attempt(self, now: int, request: records.RequestState) -> None:
        """Send the next attempt now or answer now."""
        request.awaiting_retry = False
        if (endpoint := picker.pick(self.state, now, request)) is None:
            self._give_up(request)
        else:
            self._send(now, request, endpoint)

    def _send(self, now: int, request: records.RequestState, endpoint: records.EndpointStats) -> None:
        state = self.state
        unused_ns = now - endpoint.last_used_ns if endpoint.last_used_ns and not endpoint.in_flight else 0
        if stale_connections.should_close_idle(state, unused_ns, is_retry=bool(request.endpoint_ids)):
            self.state.actions.append(actions.CloseIdleConnections(endpoint.id))
            unused_ns = 0
        key = state.start_attempt(now, request, endpoint, unused_ns)
        if slow_start.is_warming_up(state, now, endpoint):
            endpoint.tokens -= 1
        state.actions.append(actions.SendAttempt(request.id, endpoint.id, max(1, request.deadline_ns - now)))
        outlier_detection.watch_attempt(state, now, request, key)

    def _learn(self, now: int, attempt: records.InFlightAttempt | None) -> None:
        """Learn from an attempt that is no longer in flight at its endpoint."""
        if attempt is None:
            return
        state, result = self.state, attempt.result
        admission.record_outcome(state, now, attempt)
        outlier_detection.record_outcome(state, now, attempt)
        if attempt.is_lost and result is not AttemptResult.OK:
            return
        if result is AttemptResult.OK or result is AttemptResult.TIMEOUT:
            baseline_ns = latency.record_latency(state, attempt)
            if result is AttemptResult.OK:
                concurrency_limit.record_response(state, attempt, baseline_ns)
            latency.record_load(state, now, attempt, baseline_ns)
        concurrency_limit.adjust_endpoint_limit(state, now, attempt)

    def _retry(self, now: int, request: records.RequestState) -> None:
        """Retry after a backoff, within the budget; else give the final answer at once."""
        delay_ns = retry_budget.draw_backoff_ns(self.state, now, request)
        allowed = request.retries < MAX_RETRIES and rules.may_retry(self.state, now, request)
        if delay_ns is None or not allowed or not retry_budget.try_spend(self.state):
            self._give_up(request)
            return
        request.retries += 1
        request.awaiting_retry = True
        self.state.actions.append(actions.SetTimer(delay_ns, RetryTimer(request.id)))

    def _give_up(self, request: records.RequestState) -> None:
        """Give the final answer at once: a rejection with advice where the rules allow it."""
        self.state.requests.pop(request.id, None)
        if rules.may_reject(request):
            retry_after_ns = retry_budget.draw_retry_after_ns(self.state, request)
            self.state.actions.append(actions.RejectRequest(request.id, retry_after_ns))
        else:
            self.state.actions.append(actions.FailRequest(request.id))

    def _send_elsewhere(self, now: int, request_id: str, attempt: int) -> None:
        """Hedge what waits at a silent endpoint, or cancel it so that it is retried."""
        state, request = self.state, self.state.requests.get(request_id)
        if request is None or len(request.in_flight) != 1 or request.retries >= MAX_RETRIES:
            return
        if state.admission.log_probability < 0:
            return
        if not state.settings.hedging_allowed:
            may_cancel = state.settings.cancellation_allowed and retry_budget.try_spend(state, 0)
            if may_cancel and rules.may_retry(state, now + retry_budget.BASE_BACKOFF_NS, request, True):
                self.state.actions.append(actions.CancelAttempt(request_id, attempt))
        elif rules.may_retry(state, now, request):
            other = picker.pick(state, now, request)
            if other is not None and retry_budget.try_spend(state):
                request.retries += 1
                self._send(now, request, other)
