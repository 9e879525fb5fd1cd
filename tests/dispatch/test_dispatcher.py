"""The dispatcher: the table of attempt outcomes, two attempts at a time, and requests without a decision."""

from __future__ import annotations

import time

import pytest

from lugtally import balancing, dispatch
from lugtally.dispatch.attempt_outcome import ATTEMPT_RESULTS, AttemptOutcome
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from tests.dispatch.scripted_balancer import ScriptedBalancer, run_task


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def dispatcher(loop: EventLoop, balancer: ScriptedBalancer) -> dispatch.Dispatcher:
    return dispatch.Dispatcher(balancing.Settings(), 1, loop)


def test_every_outcome_has_a_result_and_only_unsent_ones_never_ran() -> None:
    never = {outcome for outcome in AttemptOutcome if ATTEMPT_RESULTS[outcome] in balancing.NOT_PROCESSED}
    assert never == {
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECTION_REFUSED,
        AttemptOutcome.CONNECT_TIMEOUT,
        AttemptOutcome.NO_DESCRIPTOR,
        AttemptOutcome.RESET_BEFORE_SENT,
        AttemptOutcome.TIMEOUT_BEFORE_SENT,
        AttemptOutcome.CANCELLED_BEFORE_SENT,
    }


def test_first_served_attempt_wins_and_the_other_is_cancelled(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: ScriptedBalancer
) -> None:
    cancelled: list[int] = []
    closed: list[int] = []
    dispatcher.set_handlers(closed.append, lambda: None)

    def work() -> None:
        pending = dispatch.PendingRequest(loop, 0, loop.now() + 5000 * NS_PER_MS, False, cancelled.append)
        first, second = dispatcher.next_decision(pending), dispatcher.next_decision(pending)
        assert isinstance(first, dispatch.StartAttempt)
        assert isinstance(second, dispatch.StartAttempt)
        dispatcher.attempt_finished(pending, 1, AttemptOutcome.SERVED)
        assert isinstance(dispatcher.next_decision(pending), dispatch.Finished)
        assert cancelled == [0]
        assert closed == [9]
        dispatcher.attempt_finished(pending, 0, AttemptOutcome.CANCELLED)
        dispatcher.client_disconnected(pending)  # too late to mean anything

    run_task(loop, dispatcher, work)
    finished = [
        (event.result, event.request_finished, event.endpoint_id)
        for event in balancer.events
        if isinstance(event, balancing.AttemptFinished)
    ]
    assert finished == [(balancing.AttemptResult.OK, True, 8), (balancing.AttemptResult.CANCELLED, True, 7)]
    assert not any(isinstance(event, balancing.ClientDisconnected) for event in balancer.events)


@pytest.mark.parametrize(
    ("class_index", "decision"),
    [(1, dispatch.Rejected(0)), (0, dispatch.Failed())],
    ids=["no attempt", "two attempts"],
)
@pytest.mark.parametrize("stalled", [False, True])
def test_a_request_without_a_verdict_ends_at_its_deadline(
    class_index: int,
    decision: dispatch.Decision,
    stalled: bool,
    loop: EventLoop,
    dispatcher: dispatch.Dispatcher,
    balancer: ScriptedBalancer,
) -> None:
    """A fault in the balancer must not cost the one final response; without an attempt a repeat is safe."""
    decisions: list[dispatch.Decision] = []

    def stall() -> None:
        time.sleep(0.15)  # the whole process: past the deadline and its margin

    def work() -> None:
        pending = dispatch.PendingRequest(loop, class_index, loop.now() + 100 * NS_PER_MS, False, lambda _: None)
        if stalled:
            loop.spawn(stall)
        while not decisions or isinstance(decisions[-1], dispatch.StartAttempt):
            decisions.append(dispatcher.next_decision(pending))
        dispatcher._perform(loop.now(), balancing.SendAttempt(pending.id, 7, NS_PER_MS))
        assert not pending.decisions, "an attempt after the end"

    run_task(loop, dispatcher, work)
    assert decisions[-1] == decision
    assert balancer.events[-1] == balancing.ClientDisconnected("1"), "the balancer still waits for it"


def test_a_request_past_its_deadline_is_answered_without_an_attempt(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: ScriptedBalancer
) -> None:
    """It waited for too long before it came here."""
    decisions: list[dispatch.Decision] = []

    def work() -> None:
        decisions.append(dispatcher.next_decision(dispatch.PendingRequest(loop, 0, loop.now(), False, lambda _: None)))

    run_task(loop, dispatcher, work)
    assert decisions == [dispatch.Rejected(0)]
    assert not balancer.events
    assert not dispatcher.in_progress


def test_no_attempt_outlasts_its_request(loop: EventLoop, dispatcher: dispatch.Dispatcher) -> None:
    """A balancer may order a longer time: the server would be told of more than the client has left."""

    def work() -> None:
        pending = dispatch.PendingRequest(loop, 0, loop.now() + 5000 * NS_PER_MS, False, lambda _: None)
        for _ in range(2):
            dispatcher.next_decision(pending)
        dispatcher._perform(loop.now(), balancing.SendAttempt(pending.id, 7, 9000 * NS_PER_MS))
        assert dispatcher.next_decision(pending) == dispatch.StartAttempt(2, 7, pending.deadline_ns)
        assert dispatcher.may_start(pending, 2)
        pending.deadline_ns = loop.now()  # its time is over from now on
        assert not dispatcher.may_start(pending, 2)

    run_task(loop, dispatcher, work)


def test_reports_and_claims_after_the_client_left_change_nothing(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: ScriptedBalancer
) -> None:
    decisions: list[dispatch.Decision] = []

    def work() -> None:
        pending = dispatch.PendingRequest(loop, 0, loop.now() + 5000 * NS_PER_MS, False, lambda _: None)
        decisions.append(dispatcher.next_decision(pending))
        dispatcher.client_disconnected(pending)
        assert not dispatcher.claim_stream(pending, 0)
        assert not dispatcher.may_start(pending, 1)
        assert not dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)
        assert not dispatcher.attempt_finished(pending, 1, AttemptOutcome.CANCELLED_BEFORE_SENT)
        assert not pending.in_flight
        decisions.extend(dispatcher.next_decision(pending) for _ in range(2))
        assert not pending.decisions

    run_task(loop, dispatcher, work)
    assert [type(decision).__name__ for decision in decisions] == ["StartAttempt", "StartAttempt", "Finished"]
    ends = [event for event in balancer.events if isinstance(event, balancing.AttemptFinished)]
    assert [end.request_finished for end in ends] == [True, True]
    assert dispatcher.request_counts()["left"] == 1
    assert dispatcher.request_counts()["served"] == 0


def test_a_streaming_attempt_alone_finishes_its_request(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: ScriptedBalancer
) -> None:
    """Once an attempt streams its response, no other attempt's and no decision of the balancer may follow."""
    cancelled: list[int] = []
    decisions: list[dispatch.Decision] = []

    def work() -> None:
        pending = dispatch.PendingRequest(loop, 0, loop.now() + 5 * NS_PER_MS, False, cancelled.append)
        dispatcher.next_decision(pending)
        dispatcher.next_decision(pending)
        assert dispatcher.claim_stream(pending, 1)
        assert not dispatcher.claim_stream(pending, 0)
        assert not dispatcher.claim_stream(pending, 1)
        dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)  # the other's complete response is too late
        dispatcher._perform(loop.now(), balancing.FailRequest(pending.id))  # and so is the balancer's decision
        loop.sleep(30 * NS_PER_MS)  # past the deadline and the backstop
        assert not pending.finished
        dispatcher.attempt_finished(pending, 1, AttemptOutcome.RESET)
        decisions.append(dispatcher.next_decision(pending))

    run_task(loop, dispatcher, work)
    assert decisions == [dispatch.Failed()]
    assert [
        type(event).__name__
        for event in balancer.events
        if isinstance(event, (balancing.ResponseStarted, balancing.AttemptFinished))
    ] == ["ResponseStarted", "AttemptFinished", "AttemptFinished"]
    assert [event.request_finished for event in balancer.events if isinstance(event, balancing.AttemptFinished)] == [
        False,
        True,
    ]
