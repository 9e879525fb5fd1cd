"""Exceptions of the balancer: requests are answered without delay, and later events are handled correctly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lugtally import balancing, dispatch
from lugtally.balancing.balancer import Balancer
from lugtally.config.endpoint_list import ListedState
from lugtally.dispatch import fault_recovery
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.dispatch.endpoint_registry import ListedEndpoint
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.dispatch.scripted_balancer import run_task

TIME_LEFT_NS = 5 * NS_PER_S
Decide = Callable[[balancing.Event], list[balancing.Action]]


class FaultyBalancer:
    """Records each event and returns the actions of ``decide``, which may raise an exception."""

    def __init__(self) -> None:
        self.events: list[balancing.Event] = []
        self.decide: Decide = lambda _: []

    def handle(self, now_ns: int, event: balancing.Event) -> list[balancing.Action]:
        self.events.append(event)
        return self.decide(event)

    def may_start(self, now_ns: int, request_id: str, attempt: int) -> bool:
        """Raise an exception, as the balancer might for an unknown attempt."""
        raise KeyError(request_id)


class FaultHarness:
    """A dispatcher with a faulty balancer."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.balancer = FaultyBalancer()
        self.dispatcher = dispatch.Dispatcher(
            balancing.Settings(subscribe_to_endpoints=True), 1, self.loop, lambda *_: self.balancer
        )
        self.cancelled: list[int] = []

    def pending(self) -> dispatch.PendingRequest:
        deadline_ns = self.loop.now() + TIME_LEFT_NS
        return dispatch.PendingRequest(self.loop, 0, deadline_ns, False, self.cancelled.append)

    def run(self, work: Callable[[], None]) -> None:
        """Run ``work``, which must not wait until the deadline of its requests."""
        started_ns = self.loop.now()
        run_task(self.loop, self.dispatcher, work)
        assert self.loop.now() - started_ns < TIME_LEFT_NS, "the request was not answered before its deadline"

    def dropped_requests(self) -> list[str]:
        """Return the ids of the requests that a ``ClientDisconnected`` event made the balancer drop."""
        return [event.request_id for event in self.balancer.events if isinstance(event, balancing.ClientDisconnected)]


@pytest.fixture
def harness() -> FaultHarness:
    return FaultHarness()


def fail_on(kind: type, attempts: int = 1) -> Decide:
    """Return a function that starts ``attempts`` attempts for each request and fails on events of type ``kind``."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, kind):
            raise RuntimeError
        if isinstance(event, balancing.Request):
            return [balancing.SendAttempt(event.id, 7, event.time_left_ns)] * attempts
        return []

    return decide


def test_submission_fault_rejects_the_request_immediately(harness: FaultHarness) -> None:
    harness.balancer.decide = fail_on(balancing.Request)

    def work() -> None:
        pending = harness.pending()
        assert harness.dispatcher.next_decision(pending) == dispatch.Rejected(0)
        assert harness.dropped_requests() == [pending.id] * 2

    harness.run(work)


@pytest.mark.parametrize("fails_on", ["the first attempt", "the retry"])
def test_balancer_state_is_consistent_after_fault(fails_on: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: an attempt that was recorded but never started counted as in flight until the process ended."""
    settings = balancing.Settings(max_attempts=4, timer_resolution_ns=NS_PER_MS)
    balancer = Balancer(settings, 1)
    loop = EventLoop()
    dispatcher = dispatch.Dispatcher(settings, 1, loop, lambda *_: balancer)
    listed = [ListedEndpoint(endpoint_id, 0, 0, ListedState.READY, 0) for endpoint_id in (7, 8)]
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.CACHED, listed)
    track_attempt = balancer.overdue.track
    watched: list[int] = []

    def fail_selected_call(*arguments: Any) -> list[balancing.Action]:
        watched.append(1)
        if len(watched) == (1 if fails_on == "the first attempt" else 2):
            raise RuntimeError
        return track_attempt(*arguments)

    monkeypatch.setattr(balancer.overdue, "track", fail_selected_call)
    monkeypatch.setattr(balancer.retry_budget, "try_spend", lambda: True)

    def new_request() -> dispatch.PendingRequest:
        return dispatch.PendingRequest(loop, 0, loop.now() + TIME_LEFT_NS, False, lambda _: None)

    def work() -> None:
        pending = new_request()
        decision = dispatcher.next_decision(pending)
        if fails_on == "the retry":
            assert isinstance(decision, dispatch.StartAttempt)
            dispatcher.attempt_finished(pending, 0, AttemptOutcome.CONNECTION_REFUSED)
            decision = dispatcher.next_decision(pending)
        assert decision == dispatch.Rejected(0)
        assert len(watched) == (1 if fails_on == "the first attempt" else 2)
        assert not balancer.requests
        assert not balancer.attempts
        assert not any(endpoint.in_flight for endpoint in balancer.endpoints.by_id.values())
        later = new_request()
        assert isinstance(dispatcher.next_decision(later), dispatch.StartAttempt), "a later event was handled wrongly"
        assert dispatcher.attempt_finished(later, 0, AttemptOutcome.SERVED)

    run_task(loop, dispatcher, work)


@pytest.mark.parametrize(
    ("outcome", "decision"),
    [
        (AttemptOutcome.RESET, dispatch.Failed()),
        (AttemptOutcome.CONNECTION_REFUSED, dispatch.Rejected(0)),
        (AttemptOutcome.SERVED, dispatch.Finished()),
    ],
)
def test_request_ends_after_fault_on_finished_attempt(
    outcome: AttemptOutcome, decision: dispatch.Decision, harness: FaultHarness
) -> None:
    harness.balancer.decide = fail_on(balancing.AttemptFinished)

    def work() -> None:
        pending = harness.pending()
        assert isinstance(harness.dispatcher.next_decision(pending), dispatch.StartAttempt)
        harness.dispatcher.attempt_finished(pending, 0, outcome)
        assert harness.dispatcher.next_decision(pending) == decision

    harness.run(work)


@pytest.mark.parametrize(
    ("outcome", "decision"),
    [(AttemptOutcome.SERVED, dispatch.Finished()), (AttemptOutcome.ERRORED, dispatch.Failed())],
)
def test_other_attempt_in_flight_can_be_served_after_fault(
    outcome: AttemptOutcome, decision: dispatch.Decision, harness: FaultHarness
) -> None:
    harness.balancer.decide = fail_on(balancing.AttemptFinished, attempts=2)

    def work() -> None:
        pending = harness.pending()
        for _ in range(2):
            assert isinstance(harness.dispatcher.next_decision(pending), dispatch.StartAttempt)
        harness.dispatcher.attempt_finished(pending, 0, AttemptOutcome.RESET)
        assert harness.dropped_requests() == [pending.id]
        assert not pending.finished
        harness.dispatcher.attempt_finished(pending, 1, outcome)
        assert harness.dispatcher.next_decision(pending) == decision

    harness.run(work)


def test_stream_continues_after_fault_on_its_start(harness: FaultHarness) -> None:
    harness.balancer.decide = fail_on(balancing.ResponseStarted, attempts=2)

    def work() -> None:
        pending = harness.pending()
        for _ in range(2):
            harness.dispatcher.next_decision(pending)
        assert harness.dispatcher.claim_stream(pending, 0)
        assert harness.dropped_requests() == [pending.id], "the balancer may start another attempt"
        assert harness.cancelled == [1]
        harness.dispatcher.attempt_finished(pending, 1, AttemptOutcome.CANCELLED)
        assert not pending.finished
        assert harness.dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)
        assert harness.dispatcher.next_decision(pending) == dispatch.Finished()
        assert not harness.dispatcher._service_times._average_ns, "the duration of a stream depends on its client"

    harness.run(work)


def test_request_ends_after_fault_on_client_disconnect(harness: FaultHarness) -> None:
    harness.balancer.decide = fail_on(balancing.ClientDisconnected)

    def work() -> None:
        pending = harness.pending()
        harness.dispatcher.next_decision(pending)
        harness.dispatcher.client_disconnected(pending)
        assert harness.dispatcher.next_decision(pending) == dispatch.Finished()
        assert harness.cancelled == [0]

    harness.run(work)


def test_timer_fault_answers_only_the_request_in_backoff(harness: FaultHarness) -> None:
    """The fault concerns the timer of the first request; the second request waits for another timer."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [balancing.SendAttempt(event.id, 7, event.time_left_ns)]
        if isinstance(event, balancing.AttemptFinished):
            return [balancing.SetTimer(NS_PER_MS * int(event.request_id), balancing.RetryTimer(event.request_id))]
        if event == balancing.TimerFired(balancing.RetryTimer("1")):
            raise RuntimeError
        return [balancing.RejectRequest("2", 5)]

    def work() -> None:
        first, second = harness.pending(), harness.pending()
        for pending in (first, second):
            harness.dispatcher.next_decision(pending)
            harness.dispatcher.attempt_finished(pending, 0, AttemptOutcome.RESET)
        assert harness.dispatcher.next_decision(first) == dispatch.Failed()
        assert harness.dispatcher.next_decision(second) == dispatch.Rejected(5)

    harness.balancer.decide = decide
    harness.run(work)


def test_request_is_answered_when_hedge_is_lost_with_timer(harness: FaultHarness) -> None:
    """After the fault, the balancer waits for an attempt that was never started."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [
                balancing.SendAttempt(event.id, 7, event.time_left_ns),
                balancing.SetTimer(1, balancing.OverdueTimer()),
            ]
        if isinstance(event, balancing.TimerFired):
            raise RuntimeError
        return []

    def work() -> None:
        pending = harness.pending()
        harness.dispatcher.next_decision(pending)
        while not any(isinstance(event, balancing.TimerFired) for event in harness.balancer.events):
            harness.loop.sleep(NS_PER_MS)
        assert not pending.finished, "its attempt is in flight"
        harness.dispatcher.attempt_finished(pending, 0, AttemptOutcome.ERRORED)
        assert harness.dispatcher.next_decision(pending) == dispatch.Failed()

    harness.balancer.decide = decide
    harness.run(work)


def test_timer_fires_again_after_fault(harness: FaultHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise a periodic timer such as the poll timer, which is set again only when it fires, would stop."""
    monkeypatch.setattr(fault_recovery, "FAULT_RETRY_NS", NS_PER_MS)
    watched: list[int] = []
    harness.dispatcher.set_handlers(lambda _: None, lambda: watched.append(1))

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.EndpointUpdate):
            return [balancing.SetTimer(1, balancing.PollTimer())]
        if harness.balancer.events.count(event) < 3:
            raise RuntimeError
        return [balancing.WatchEndpoints()]

    def work() -> None:
        harness.dispatcher.update_endpoints(balancing.EndpointUpdateKind.FAILED)
        limit_ns = harness.loop.now() + TIME_LEFT_NS // 2
        while not watched:
            assert harness.loop.now() < limit_ns, "the timer did not fire again"
            harness.loop.sleep(NS_PER_MS)

    harness.balancer.decide = decide
    harness.run(work)


def test_full_list_is_sent_again_after_fault_on_update(harness: FaultHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: a drain in the update was lost until discovery listed the endpoint again."""
    monkeypatch.setattr(fault_recovery, "FAULT_RETRY_NS", NS_PER_MS)
    watched: list[int] = []
    harness.dispatcher.set_handlers(lambda _: None, lambda: watched.append(1))

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if len(harness.balancer.events) == 2:
            raise RuntimeError
        return []

    def work() -> None:
        kinds = balancing.EndpointUpdateKind
        harness.dispatcher.update_endpoints(
            kinds.FULL, [ListedEndpoint(7, 0, 0, ListedState.READY, 0), ListedEndpoint(8, 0, 0, ListedState.READY, 0)]
        )
        harness.dispatcher.update_endpoints(kinds.DELTA, [ListedEndpoint(7, 0, 0, ListedState.DRAINING, 0)])
        limit_ns = harness.loop.now() + TIME_LEFT_NS // 2
        while len(harness.balancer.events) < 3:
            assert harness.loop.now() < limit_ns, "the list was lost"
            harness.loop.sleep(NS_PER_MS)
        full_update = balancing.EndpointUpdate(
            kinds.FULL,
            [balancing.Endpoint(7, state=balancing.EndpointState.DRAINING), balancing.Endpoint(8)],
        )
        assert harness.balancer.events[2] == full_update
        assert watched == [1], "the watch may be lost with the update"
        harness.loop.sleep(5 * NS_PER_MS)
        assert len(harness.balancer.events) == 3, "the list was sent more than once"

    harness.balancer.decide = decide
    harness.run(work)


def test_failing_action_does_not_prevent_other_actions(harness: FaultHarness) -> None:
    """Regression: a response that had been received was lost."""

    def close_idle_connections(endpoint_id: int) -> None:
        raise OSError(endpoint_id)

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [balancing.CloseIdleConnections(7), balancing.SendAttempt(event.id, 7, event.time_left_ns)]
        return [balancing.CloseIdleConnections(7)]

    def work() -> None:
        pending = harness.pending()
        assert isinstance(harness.dispatcher.next_decision(pending), dispatch.StartAttempt)
        assert harness.dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)
        assert harness.dispatcher.next_decision(pending) == dispatch.Finished()

    harness.dispatcher.set_handlers(close_idle_connections, lambda: None)
    harness.balancer.decide = decide
    harness.run(work)


def test_attempt_does_not_start_after_fault_in_may_start(harness: FaultHarness) -> None:
    harness.balancer.decide = fail_on(balancing.GossipReceived)

    def work() -> None:
        pending = harness.pending()
        harness.dispatcher.next_decision(pending)
        assert not harness.dispatcher.may_start(pending, 0)

    harness.run(work)
