"""A balancer that raises: each request concerned is answered at once, and what follows is sound."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lugtally import balancing, dispatch
from lugtally.balancing import outlier_detection, retry_budget
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
    """Records each event; ``decide`` may raise."""

    def __init__(self) -> None:
        self.events: list[balancing.Event] = []
        self.decide: Decide = lambda _: []

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        self.events.append(event)
        return self.decide(event)

    def may_start(self, now: int, request_id: str, attempt: int) -> bool:
        """Fail, as an unknown attempt might make it."""
        raise KeyError(request_id)


class Fixture:
    """A dispatcher over a faulty balancer."""

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
        """Run ``work``; what it waits for comes long before a request's deadline."""
        began_ns = self.loop.now()
        run_task(self.loop, self.dispatcher, work)
        assert self.loop.now() - began_ns < TIME_LEFT_NS, "it waited for the deadline"

    def forgotten(self) -> list[str]:
        """Ids of the requests that the balancer was told to forget."""
        return [event.request_id for event in self.balancer.events if isinstance(event, balancing.ClientDisconnected)]


@pytest.fixture
def fixture() -> Fixture:
    return Fixture()


def fail_on(kind: type, attempts: int = 1) -> Decide:
    """Start that many attempts for each request, and fail on events of this kind."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, kind):
            raise RuntimeError
        if isinstance(event, balancing.Request):
            return [balancing.SendAttempt(event.id, 7, event.time_left_ns)] * attempts
        return []

    return decide


def test_a_request_that_it_failed_on_is_rejected_at_once(fixture: Fixture) -> None:
    fixture.balancer.decide = fail_on(balancing.Request)

    def work() -> None:
        pending = fixture.pending()
        assert fixture.dispatcher.next_decision(pending) == dispatch.Rejected(0)
        assert fixture.forgotten() == [pending.id] * 2

    fixture.run(work)


@pytest.mark.parametrize("fails_on", ["the first attempt", "the retry"])
def test_the_balancers_books_are_right_after_a_fault(fails_on: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """An attempt that it recorded and never ordered took its place at the endpoint for good."""
    settings = balancing.Settings(max_attempts=4, timer_resolution_ns=NS_PER_MS)
    balancer = Balancer(settings, 1)
    loop = EventLoop()
    dispatcher = dispatch.Dispatcher(settings, 1, loop, lambda *_: balancer)
    listed = [ListedEndpoint(endpoint_id, 0, 0, ListedState.READY, 0) for endpoint_id in (7, 8)]
    dispatcher.update_endpoints(balancing.EndpointUpdateKind.CACHED, listed)
    watch_attempt = outlier_detection.watch_attempt
    watched: list[int] = []

    def fail_once(*arguments: Any) -> None:
        watched.append(1)
        if len(watched) == (1 if fails_on == "the first attempt" else 2):
            raise RuntimeError
        watch_attempt(*arguments)

    monkeypatch.setattr(outlier_detection, "watch_attempt", fail_once)
    monkeypatch.setattr(retry_budget, "try_spend", lambda *_: True)

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
        assert not balancer.state.requests
        assert not balancer.state.attempts
        assert not any(endpoint.in_flight for endpoint in balancer.state.endpoints.values())
        after = new_request()
        assert isinstance(dispatcher.next_decision(after), dispatch.StartAttempt), "the next event is not sound"
        assert dispatcher.attempt_finished(after, 0, AttemptOutcome.SERVED)

    run_task(loop, dispatcher, work)


@pytest.mark.parametrize(
    ("outcome", "decision"),
    [
        (AttemptOutcome.RESET, dispatch.Failed()),
        (AttemptOutcome.CONNECTION_REFUSED, dispatch.Rejected(0)),
        (AttemptOutcome.SERVED, dispatch.Finished()),
    ],
)
def test_an_attempt_whose_end_it_failed_on_ends_the_request(
    outcome: AttemptOutcome, decision: dispatch.Decision, fixture: Fixture
) -> None:
    fixture.balancer.decide = fail_on(balancing.AttemptFinished)

    def work() -> None:
        pending = fixture.pending()
        assert isinstance(fixture.dispatcher.next_decision(pending), dispatch.StartAttempt)
        fixture.dispatcher.attempt_finished(pending, 0, outcome)
        assert fixture.dispatcher.next_decision(pending) == decision

    fixture.run(work)


@pytest.mark.parametrize(
    ("outcome", "decision"),
    [(AttemptOutcome.SERVED, dispatch.Finished()), (AttemptOutcome.ERRORED, dispatch.Failed())],
)
def test_another_attempt_in_flight_may_still_bring_the_answer(
    outcome: AttemptOutcome, decision: dispatch.Decision, fixture: Fixture
) -> None:
    fixture.balancer.decide = fail_on(balancing.AttemptFinished, attempts=2)

    def work() -> None:
        pending = fixture.pending()
        for _ in range(2):
            assert isinstance(fixture.dispatcher.next_decision(pending), dispatch.StartAttempt)
        fixture.dispatcher.attempt_finished(pending, 0, AttemptOutcome.RESET)
        assert fixture.forgotten() == [pending.id]
        assert not pending.finished
        fixture.dispatcher.attempt_finished(pending, 1, outcome)
        assert fixture.dispatcher.next_decision(pending) == decision

    fixture.run(work)


def test_a_stream_that_it_failed_on_goes_on_to_its_end(fixture: Fixture) -> None:
    fixture.balancer.decide = fail_on(balancing.ResponseStarted, attempts=2)

    def work() -> None:
        pending = fixture.pending()
        for _ in range(2):
            fixture.dispatcher.next_decision(pending)
        assert fixture.dispatcher.claim_stream(pending, 0)
        assert fixture.forgotten() == [pending.id], "it may send more for the request"
        assert fixture.cancelled == [1]
        fixture.dispatcher.attempt_finished(pending, 1, AttemptOutcome.CANCELLED)
        assert not pending.finished
        assert fixture.dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)
        assert fixture.dispatcher.next_decision(pending) == dispatch.Finished()
        assert not fixture.dispatcher._service_times._average_ns, "a stream lasts as long as its client takes"

    fixture.run(work)


def test_a_client_that_leaves_ends_its_request_all_the_same(fixture: Fixture) -> None:
    fixture.balancer.decide = fail_on(balancing.ClientDisconnected)

    def work() -> None:
        pending = fixture.pending()
        fixture.dispatcher.next_decision(pending)
        fixture.dispatcher.client_disconnected(pending)
        assert fixture.dispatcher.next_decision(pending) == dispatch.Finished()
        assert fixture.cancelled == [0]

    fixture.run(work)


def test_of_requests_in_backoff_only_the_one_whose_timer_it_failed_on_is_answered(fixture: Fixture) -> None:
    """The other request still waits for a timer of its own."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [balancing.SendAttempt(event.id, 7, event.time_left_ns)]
        if isinstance(event, balancing.AttemptFinished):
            return [balancing.SetTimer(NS_PER_MS * int(event.request_id), balancing.RetryTimer(event.request_id))]
        if event == balancing.TimerFired(balancing.RetryTimer("1")):
            raise RuntimeError
        return [balancing.RejectRequest("2", 5)]

    def work() -> None:
        first, second = fixture.pending(), fixture.pending()
        for pending in (first, second):
            fixture.dispatcher.next_decision(pending)
            fixture.dispatcher.attempt_finished(pending, 0, AttemptOutcome.RESET)
        assert fixture.dispatcher.next_decision(first) == dispatch.Failed()
        assert fixture.dispatcher.next_decision(second) == dispatch.Rejected(5)

    fixture.balancer.decide = decide
    fixture.run(work)


def test_a_request_whose_hedge_was_lost_with_a_timer_is_answered_as_its_attempt_ends(fixture: Fixture) -> None:
    """The balancer waits for an attempt that never began."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [
                balancing.SendAttempt(event.id, 7, event.time_left_ns),
                balancing.SetTimer(1, balancing.OverdueCheck()),
            ]
        if isinstance(event, balancing.TimerFired):
            raise RuntimeError
        return []

    def work() -> None:
        pending = fixture.pending()
        fixture.dispatcher.next_decision(pending)
        while not any(isinstance(event, balancing.TimerFired) for event in fixture.balancer.events):
            fixture.loop.sleep(NS_PER_MS)
        assert not pending.finished, "its attempt is in flight"
        fixture.dispatcher.attempt_finished(pending, 0, AttemptOutcome.ERRORED)
        assert fixture.dispatcher.next_decision(pending) == dispatch.Failed()

    fixture.balancer.decide = decide
    fixture.run(work)


def test_a_timer_that_it_failed_on_fires_again(fixture: Fixture, monkeypatch: pytest.MonkeyPatch) -> None:
    """It may be a chain, as that of the watch, which would end for good."""
    monkeypatch.setattr(fault_recovery, "FAULT_RETRY_NS", NS_PER_MS)
    watched: list[int] = []
    fixture.dispatcher.set_handlers(lambda _: None, lambda: watched.append(1))

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.EndpointUpdate):
            return [balancing.SetTimer(1, balancing.PollTimer())]
        if fixture.balancer.events.count(event) < 3:
            raise RuntimeError
        return [balancing.WatchEndpoints()]

    def work() -> None:
        fixture.dispatcher.update_endpoints(balancing.EndpointUpdateKind.FAILED)
        limit_ns = fixture.loop.now() + TIME_LEFT_NS // 2
        while not watched:
            assert fixture.loop.now() < limit_ns, "the timer never fired again"
            fixture.loop.sleep(NS_PER_MS)

    fixture.balancer.decide = decide
    fixture.run(work)


def test_a_list_that_it_failed_on_is_told_again_whole(fixture: Fixture, monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain in it was lost until discovery happened to name the endpoint again."""
    monkeypatch.setattr(fault_recovery, "FAULT_RETRY_NS", NS_PER_MS)
    watched: list[int] = []
    fixture.dispatcher.set_handlers(lambda _: None, lambda: watched.append(1))

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if len(fixture.balancer.events) == 2:
            raise RuntimeError
        return []

    def work() -> None:
        kinds = balancing.EndpointUpdateKind
        fixture.dispatcher.update_endpoints(
            kinds.FULL, [ListedEndpoint(7, 0, 0, ListedState.READY, 0), ListedEndpoint(8, 0, 0, ListedState.READY, 0)]
        )
        fixture.dispatcher.update_endpoints(kinds.DELTA, [ListedEndpoint(7, 0, 0, ListedState.DRAINING, 0)])
        limit_ns = fixture.loop.now() + TIME_LEFT_NS // 2
        while len(fixture.balancer.events) < 3:
            assert fixture.loop.now() < limit_ns, "the list was lost"
            fixture.loop.sleep(NS_PER_MS)
        whole = balancing.EndpointUpdate(
            kinds.FULL,
            [balancing.Endpoint(7, state=balancing.EndpointState.DRAINING), balancing.Endpoint(8)],
        )
        assert fixture.balancer.events[2] == whole
        assert watched == [1], "the watch may have been lost with it"
        fixture.loop.sleep(5 * NS_PER_MS)
        assert len(fixture.balancer.events) == 3, "once is enough"

    fixture.balancer.decide = decide
    fixture.run(work)


def test_an_order_that_cannot_be_carried_out_costs_no_other(fixture: Fixture) -> None:
    """The answer that had come was lost with it."""

    def close_idle_connections(endpoint_id: int) -> None:
        raise OSError(endpoint_id)

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [balancing.CloseIdleConnections(7), balancing.SendAttempt(event.id, 7, event.time_left_ns)]
        return [balancing.CloseIdleConnections(7)]

    def work() -> None:
        pending = fixture.pending()
        assert isinstance(fixture.dispatcher.next_decision(pending), dispatch.StartAttempt)
        assert fixture.dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)
        assert fixture.dispatcher.next_decision(pending) == dispatch.Finished()

    fixture.dispatcher.set_handlers(close_idle_connections, lambda: None)
    fixture.balancer.decide = decide
    fixture.run(work)


def test_an_attempt_of_which_it_cannot_say_whether_it_may_start_is_not_started(fixture: Fixture) -> None:
    fixture.balancer.decide = fail_on(balancing.GossipReceived)

    def work() -> None:
        pending = fixture.pending()
        fixture.dispatcher.next_decision(pending)
        assert not fixture.dispatcher.may_start(pending, 0)

    fixture.run(work)
