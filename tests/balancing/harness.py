"""A test harness for one balancer: it delivers events and checks each action against the four rules.

The harness keeps its own records of requests and attempts, so that the checks do not rely on the balancer's state.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from lugtally import Balancer, balancing
from lugtally.units import NS_PER_MS, NS_PER_S

START_NS = 1000 * NS_PER_S  # so late that endpoints with started_ns = 0 are fully warmed up

IDEMPOTENT = balancing.RequestClass(
    "safe", balancing.Idempotency.IDEMPOTENT, latency_objective_ns=300 * NS_PER_MS, deadline_ns=NS_PER_S
)
NON_IDEMPOTENT = balancing.RequestClass(
    "unsafe", balancing.Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * NS_PER_MS, deadline_ns=NS_PER_S
)


def with_idempotency_key(
    scope: balancing.DeduplicationScope, window_ns: int = 750 * NS_PER_MS
) -> balancing.RequestClass:
    """Return a class whose requests are deduplicated by their idempotency key within ``scope``."""
    return balancing.RequestClass(
        "keyed", balancing.Idempotency.IDEMPOTENCY_KEY, scope, window_ns, 300 * NS_PER_MS, NS_PER_S
    )


def make_settings(*classes: balancing.RequestClass, **overrides: Any) -> balancing.Settings:
    """Return permissive settings: hedging, cancellation, Retry-After and up to four attempts are allowed."""
    defaults = balancing.Settings(
        classes=classes or (IDEMPOTENT,),
        fleet_size=3,
        max_attempts=4,
        hedging_allowed=True,
        cancellation_allowed=True,
        retry_after_allowed=True,
        max_retry_after_ns=2 * NS_PER_S,
        slow_start_window_ns=20 * NS_PER_S,
        initial_capacity=0.12,
        overload_multiple=3.0,
    )
    return replace(defaults, **overrides)


def make_endpoints(count: int, **fields: Any) -> list[balancing.Endpoint]:
    """Return ``count`` endpoints with the ids 1, 2, ..., spread evenly over three zones and three cells."""
    return [balancing.Endpoint(number, zone=number % 3, cell=number % 3, **fields) for number in range(1, count + 1)]


@dataclass
class TrackedAttempt:
    """The harness's record of one attempt."""

    endpoint_id: int
    sent_ns: int
    zone: int  # of the endpoint when the attempt was sent: its idempotency key is recorded there
    cell: int
    is_open: bool = True
    may_have_run: bool = True


@dataclass
class TrackedRequest:
    """The harness's record of one request."""

    request_class: balancing.RequestClass
    deadline_ns: int
    attempts: list[TrackedAttempt] = field(default_factory=list)
    finished: bool = False
    final_answers: int = 0
    streaming: bool = False

    @property
    def is_answered(self) -> bool:
        """Whether no final answer may follow: one was given, or a response is being streamed to the client."""
        return self.finished or self.streaming


class BalancerHarness:
    """Delivers events to a balancer and checks each of its actions against the four rules."""

    def __init__(self, settings: balancing.Settings, seed: int = 1) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now_ns = START_NS
        self.requests: dict[str, TrackedRequest] = {}
        self.endpoints: dict[int, balancing.Endpoint] = {}
        self.draining_ids: set[int] = set()
        self.timers: list[tuple[int, balancing.Timer]] = []  # (due_ns, timer)
        self.sends: list[tuple[int, int]] = []  # (sent_ns, endpoint_id)
        self.actions: list[balancing.Action] = []

    def feed(self, event: balancing.Event) -> list[balancing.Action]:
        """Deliver one event at the current time; check the actions and return them."""
        if isinstance(event, balancing.EndpointUpdate) and event.kind is not balancing.EndpointUpdateKind.FAILED:
            self._apply_update(event)
        elif isinstance(event, balancing.Request):
            request_class = (
                self.settings.classes[event.class_index]
                if event.class_index < len(self.settings.classes)
                else balancing.RequestClass()
            )
            self.requests[event.id] = TrackedRequest(request_class, self.now_ns + event.time_left_ns)
        elif isinstance(event, balancing.ClientDisconnected) and event.request_id in self.requests:
            self.requests[event.request_id].finished = True
        elif isinstance(event, balancing.ResponseStarted) and event.request_id in self.requests:
            self.requests[event.request_id].streaming = True
        actions = self.balancer.handle(self.now_ns, event)
        for action in actions:
            self._check(action)
        self.actions += actions
        return actions

    def _apply_update(self, event: balancing.EndpointUpdate) -> None:
        listed = {endpoint.id for endpoint in event.endpoints}
        for endpoint in event.endpoints:
            self.endpoints[endpoint.id] = replace(endpoint)
            if endpoint.state is balancing.EndpointState.DRAINING:
                self.draining_ids.add(endpoint.id)
            elif endpoint.state is balancing.EndpointState.READY:
                self.draining_ids.discard(endpoint.id)
        if event.kind is not balancing.EndpointUpdateKind.DELTA:
            for endpoint in self.endpoints.values():
                if endpoint.id not in listed:
                    endpoint.state = balancing.EndpointState.REMOVED

    def _check(self, action: balancing.Action) -> None:
        if isinstance(action, balancing.SetTimer):
            assert action.delay_ns >= 0
            self.timers.append((self.now_ns + action.delay_ns, action.timer))
        elif isinstance(action, balancing.SendAttempt):
            self._check_send(action)
        elif isinstance(action, balancing.RejectRequest | balancing.FailRequest):
            request = self.requests[action.request_id]
            assert not request.finished, "a final answer to a finished request"
            assert not request.streaming, "a final answer although a response is being streamed"
            assert self.now_ns <= request.deadline_ns + 20 * NS_PER_MS, "a late final answer"
            request.finished, request.final_answers = True, request.final_answers + 1
            if isinstance(action, balancing.RejectRequest):
                self._check_rejection(action, request)

    def _check_rejection(self, action: balancing.RejectRequest, request: TrackedRequest) -> None:
        assert 0 <= action.retry_after_ns <= self.settings.max_retry_after_ns
        request_class = request.request_class
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        if may_have_run and request_class.idempotency is not balancing.Idempotency.IDEMPOTENT:
            assert request_class.idempotency is balancing.Idempotency.IDEMPOTENCY_KEY, (
                "rejected a request that may have run"
            )
            assert request_class.deduplication_scope is balancing.DeduplicationScope.ALL, (
                "rejected a request that may have run"
            )

    def _check_send(self, action: balancing.SendAttempt) -> None:
        request, endpoint = self.requests[action.request_id], self.endpoints[action.endpoint_id]
        assert not request.finished, "sent an attempt of a finished request"
        assert not request.streaming, "sent an attempt although a response is being streamed"
        assert self.now_ns < request.deadline_ns, "sent an attempt at or after the deadline"
        assert 0 < action.timeout_ns <= request.deadline_ns - self.now_ns
        assert len(request.attempts) < self.settings.max_attempts
        if any(attempt.is_open for attempt in request.attempts):
            assert self.settings.hedging_allowed, "two attempts in flight without hedging"
        assert endpoint.id not in self.draining_ids, "sent to a draining server"
        assert endpoint.state is balancing.EndpointState.READY or not self.settings.removal_is_binding, (
            "sent to a removed server"
        )
        self._check_retry(request, endpoint)
        request.attempts.append(TrackedAttempt(action.endpoint_id, self.now_ns, endpoint.zone, endpoint.cell))
        self.sends.append((self.now_ns, action.endpoint_id))

    def _check_retry(self, request: TrackedRequest, endpoint: balancing.Endpoint) -> None:
        """Check that a request that may have run is retried only within its deduplication window and scope."""
        request_class = request.request_class
        earlier = [attempt for attempt in request.attempts if attempt.may_have_run]
        if earlier and request_class.idempotency is balancing.Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a non-idempotent request was retried")
        if earlier and request_class.idempotency is balancing.Idempotency.IDEMPOTENCY_KEY:
            first = earlier[0]
            assert self.now_ns - first.sent_ns <= request_class.deduplication_window_ns, "retried after the window"
            if request_class.deduplication_scope is not balancing.DeduplicationScope.ALL:
                scope = request_class.deduplication_scope.value
                assert getattr(endpoint, scope) == getattr(first, scope), "retried outside the deduplication scope"

    def send_request(
        self, name: str, class_index: int = 0, time_left_ns: int = NS_PER_S, tenant: int = 0
    ) -> list[balancing.Action]:
        """Deliver a new request."""
        return self.feed(balancing.Request(name, class_index, tenant, time_left_ns))

    def finish_attempt(
        self, name: str, attempt_index: int, result: balancing.AttemptResult, finishes_request: bool | None = None
    ) -> list[balancing.Action]:
        """Finish an attempt with ``result``; ``finishes_request`` overrides whether its request finishes, too."""
        request = self.requests[name]
        attempt = request.attempts[attempt_index]
        attempt.is_open = False
        if result in balancing.NOT_PROCESSED:
            attempt.may_have_run = False
        is_final = result is balancing.AttemptResult.OK or request.streaming
        request.finished = request.finished or (is_final if finishes_request is None else finishes_request)
        duration_ns = self.now_ns - attempt.sent_ns
        return self.feed(
            balancing.AttemptFinished(name, attempt_index, attempt.endpoint_id, result, request.finished, duration_ns)
        )

    def pass_time(self, duration_ns: int, interval_ns: int = 5 * NS_PER_MS) -> None:
        """Advance the clock in steps of ``interval_ns``; fire due timers and time out attempts at their deadlines."""
        until_ns = self.now_ns + duration_ns
        while self.now_ns < until_ns:
            self.now_ns += interval_ns
            due = [timer for timer in self.timers if timer[0] <= self.now_ns]
            self.timers = [timer for timer in self.timers if timer[0] > self.now_ns]
            for _, timer in due:
                self.feed(balancing.TimerFired(timer))
            for name, request in list(self.requests.items()):
                for index, attempt in enumerate(request.attempts):
                    if attempt.is_open and self.now_ns >= request.deadline_ns and not request.streaming:
                        self.finish_attempt(name, index, balancing.AttemptResult.TIMEOUT)

    def run_to_deadlines(self) -> None:
        """Advance past every deadline; check that each request is answered, with at most one final answer."""
        last_deadline_ns = max([0, *(request.deadline_ns for request in self.requests.values())])
        self.pass_time(last_deadline_ns - self.now_ns + 50 * NS_PER_MS)
        for name, request in self.requests.items():
            assert request.is_answered, f"request {name} was not answered"
            assert request.final_answers <= 1


def start_harness(settings: balancing.Settings, endpoints: list[balancing.Endpoint], seed: int = 1) -> BalancerHarness:
    """Return a harness whose balancer has received its first endpoint list."""
    harness = BalancerHarness(settings, seed)
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, endpoints))
    return harness


def sent_endpoint_ids(actions: list[balancing.Action]) -> list[int]:
    """Return the ids of the endpoints that the actions send attempts to."""
    return [action.endpoint_id for action in actions if isinstance(action, balancing.SendAttempt)]


def leave_unanswered_on_idle_connections(harness: BalancerHarness) -> None:
    """Let two consecutive requests get no response on connections that were idle for 1 s."""
    serve_requests(harness, 60)
    harness.pass_time(NS_PER_S)
    for number in range(2):
        harness.send_request(f"aged{number}")
        harness.pass_time(200 * NS_PER_MS)


def serve_requests(
    harness: BalancerHarness, count: int, duration_ns: int = 40 * NS_PER_MS, gap_ns: int = 10 * NS_PER_MS
) -> None:
    """Send ``count`` requests one after the other; each is answered after ``duration_ns``."""
    first = len(harness.requests)
    for number in range(first, first + count):
        name = f"warm{number}"
        if sent_endpoint_ids(harness.send_request(name)):
            harness.pass_time(duration_ns)
            if not harness.requests[name].finished:
                harness.finish_attempt(name, 0, balancing.AttemptResult.OK)
        harness.pass_time(gap_ns)
