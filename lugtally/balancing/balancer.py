"""The balancer: passes each event to the components that decide on it, and returns their actions.

The same events with the same seed give the same actions.  A change in the order of random draws or of
floating-point additions therefore changes the behaviour (docs/design.md, "Modules").
"""

from __future__ import annotations

from random import Random

from lugtally.balancing.actions import Action, FailRequest, SetTimer, WatchEndpoints
from lugtally.balancing.admission import AdmissionControl
from lugtally.balancing.attempt_id import AttemptId
from lugtally.balancing.attempt_sender import AttemptSender
from lugtally.balancing.attempts import InFlightAttempts
from lugtally.balancing.candidates import WeightedCandidates
from lugtally.balancing.concurrency_limit import UPDATE_INTERVAL_NS, ConcurrencyLimiter
from lugtally.balancing.endpoint_table import EndpointTable
from lugtally.balancing.events import (
    NOT_PROCESSED,
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    ResponseStarted,
    TimerFired,
)
from lugtally.balancing.fleet_quota import FleetQuota
from lugtally.balancing.hedging import HedgingPolicy
from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.outcome_recorder import OutcomeRecorder
from lugtally.balancing.outlier_detection import OutlierDetector
from lugtally.balancing.overdue_attempts import OverdueMonitor
from lugtally.balancing.picker import EndpointPicker
from lugtally.balancing.priority import PriorityTracker
from lugtally.balancing.request import RequestState
from lugtally.balancing.request_handler import RequestHandler
from lugtally.balancing.retry_budget import RetryBudget
from lugtally.balancing.retry_rules import RetryRules
from lugtally.balancing.settings import Settings
from lugtally.balancing.slow_start import SlowStart
from lugtally.balancing.stale_connections import StaleConnectionDetector
from lugtally.balancing.subset import Subset
from lugtally.balancing.timers import OverdueTimer, PollTimer, RetryTimer, Timer


class Balancer:
    """Makes the load-balancing decisions of one sidecar.

    It creates the components and passes to each the other components that it uses.  All components that need
    random numbers share one generator.  The public attributes are for inspection; only events change them.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        rng = Random(seed)
        self._settings = settings
        self._limits_updated_ns = 0
        self.requests: dict[str, RequestState] = {}
        self.attempts = InFlightAttempts()
        self.endpoints = EndpointTable(settings, rng)
        self.subset = Subset(settings, self.endpoints, self.attempts)
        self.latency = LatencyTracker(settings)
        self.priority = PriorityTracker(settings, self.latency)
        self.admission = AdmissionControl(rng, self.priority)
        self.quota = FleetQuota(self.endpoints, self.subset, self.attempts, self.latency)
        self.limiter = ConcurrencyLimiter(settings, self.subset, self.latency, self.quota)
        self.outliers = OutlierDetector(rng, self.subset, self.latency)
        self.stale_connections = StaleConnectionDetector(rng)
        self.overdue = OverdueMonitor(
            self.attempts, self.latency, self.admission, self.outliers, self.stale_connections
        )
        self.retry_budget = RetryBudget(settings, rng, self.latency)
        self.slow_start = SlowStart(settings, self.subset, self.retry_budget)
        self.rules = RetryRules(settings, self.requests, self.attempts, self.slow_start)
        self.candidates = WeightedCandidates(settings, rng, self.subset, self.slow_start)
        self.picker = EndpointPicker(
            self.endpoints,
            self.candidates,
            self.attempts,
            self.rules,
            self.priority,
            self.latency,
            self.limiter,
        )
        sender = AttemptSender(self.attempts, self.slow_start, self.stale_connections, self.overdue)
        self._handler = RequestHandler(self.requests, self.picker, sender, self.rules, self.retry_budget)
        self._hedging = HedgingPolicy(
            settings, self.picker, sender, self.rules, self.retry_budget, self.admission
        )
        self._outcomes = OutcomeRecorder(
            self.admission, self.outliers, self.stale_connections, self.latency, self.limiter
        )

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handle one event; return the actions to take at ``now_ns``, in their order."""
        self.retry_budget.advance(now_ns)
        match event:
            case Request():
                return self._on_request(now_ns, event)
            case AttemptFinished():
                return self._on_attempt_finished(now_ns, event)
            case TimerFired(timer):
                return self._on_timer(now_ns, timer)
            case EndpointUpdate():
                return self._on_endpoint_update(now_ns, event)
            case ClientDisconnected(request_id):
                self.requests.pop(request_id, None)
            case ResponseStarted():
                self._on_response_started(now_ns, event)
        return []

    def may_start(self, now_ns: int, request_id: str, attempt: int) -> bool:
        """Return whether the rules still allow an attempt, right before its request is written."""
        return self.rules.may_start(now_ns, AttemptId(request_id, attempt))

    def ejected_count(self, now_ns: int) -> int:
        """Return how many usable endpoints are ejected at ``now_ns``; changes no state."""
        return self.endpoints.ejected_count(now_ns)

    def _on_request(self, now_ns: int, event: Request) -> list[Action]:
        if event.id in self.requests:
            return []
        if not event.is_retry:  # retries by clients must not raise the retry budget or the demand
            self.retry_budget.count_request()
            self.priority.record_demand(event.class_index, event.tenant_index)
        request = self.requests[event.id] = RequestState(event, self._settings, now_ns)
        if self.subset.is_outdated or now_ns - self._limits_updated_ns >= UPDATE_INTERVAL_NS:
            self._refresh(now_ns)
        if self.admission.admits(request):
            return self._handler.send_attempt(now_ns, request)
        return self._handler.reject_or_fail(request)

    def _on_response_started(self, now_ns: int, event: ResponseStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is None or event.attempt not in request.in_flight:
            return
        request.streaming = True
        attempt = self.attempts.finish_on_stream_start(now_ns, AttemptId(event.request_id, event.attempt))
        if attempt is not None:
            self._outcomes.record(now_ns, attempt)

    def _on_attempt_finished(self, now_ns: int, event: AttemptFinished) -> list[Action]:
        attempt = self.attempts.finish(event)
        if attempt is not None:
            self._outcomes.record(now_ns, attempt)
        request = self.requests.get(event.request_id)
        if request is None or event.attempt >= len(request.endpoint_ids):
            return []
        request.in_flight.discard(event.attempt)
        if event.request_finished:
            del self.requests[request.id]
            return []
        if event.result is AttemptResult.DECLINED:  # every other endpoint would decline it as well
            del self.requests[request.id]
            return [FailRequest(request.id)]
        if event.result in NOT_PROCESSED:
            request.possibly_processed.discard(event.attempt)
        if request.in_flight or request.awaiting_retry:
            return []
        return self._handler.schedule_retry(now_ns, request)

    def _on_timer(self, now_ns: int, timer: Timer) -> list[Action]:
        match timer:
            case RetryTimer(request_id):
                request = self.requests.get(request_id)
                if request is not None and request.awaiting_retry:
                    return self._handler.send_attempt(now_ns, request)
            case OverdueTimer():
                if self.overdue.is_due(now_ns):
                    return self._check_overdue_attempts(now_ns)
            case PollTimer():
                return [WatchEndpoints()]
        return []

    def _check_overdue_attempts(self, now_ns: int) -> list[Action]:
        actions: list[Action] = []
        for attempt_id in self.overdue.check(now_ns):
            request = self.requests.get(attempt_id.request_id)
            if request is not None:
                actions += self._hedging.hedge_or_cancel(now_ns, request, attempt_id)
        actions += self.overdue.set_timer(now_ns)
        return actions

    def _on_endpoint_update(self, now_ns: int, event: EndpointUpdate) -> list[Action]:
        if event.kind is EndpointUpdateKind.FAILED:
            return [SetTimer(self.endpoints.draw_poll_backoff_ns(), PollTimer())]
        self.endpoints.apply_update(now_ns, event)
        self._refresh(now_ns)
        is_initial_list = event.kind is EndpointUpdateKind.CACHED
        return [WatchEndpoints()] if is_initial_list and self._settings.subscribe_to_endpoints else []

    def _refresh(self, now_ns: int) -> None:
        """Recompute the subset and the weights; update the limits at most once per ``UPDATE_INTERVAL_NS``."""
        elapsed_ns = now_ns - self._limits_updated_ns
        if self.latency.baselines_ns and elapsed_ns >= UPDATE_INTERVAL_NS:
            self._update_limits(now_ns, elapsed_ns)
            self._limits_updated_ns = now_ns
        self.subset.select_members()
        self.limiter.apply_initial_limit()
        self.slow_start.count_warm_members(now_ns)
        self.outliers.eject_slow_outliers(now_ns)
        self.candidates.update(now_ns)

    def _update_limits(self, now_ns: int, elapsed_ns: int) -> None:
        self.admission.recover(elapsed_ns)
        self.priority.update(elapsed_ns, self.quota.traffic_share)
        self.latency.update_baselines(elapsed_ns)
        self.limiter.update(now_ns, elapsed_ns)
