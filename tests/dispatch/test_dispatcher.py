"""The dispatcher: attempt outcomes, hedged requests, and requests without a decision."""

from __future__ import annotations

import time

import pytest

from lugtally import balancing, dispatch
from lugtally.dispatch.attempt_outcome import ATTEMPT_RESULTS, AttemptOutcome
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from tests.dispatch.scripted_balancer import TwoAttemptBalancer, run_task


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def dispatcher(loop: EventLoop, balancer: TwoAttemptBalancer) -> dispatch.Dispatcher:
    return dispatch.Dispatcher(balancing.Settings(), 1, loop)


def test_outcomes_that_rule_out_processing() -> None:
    not_processed = {outcome for outcome in AttemptOutcome if ATTEMPT_RESULTS[outcome] in balancing.NOT_PROCESSED}
    assert not_processed == {
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECTION_REFUSED,
        AttemptOutcome.CONNECT_TIMEOUT,
        AttemptOutcome.NO_DESCRIPTOR,
        AttemptOutcome.RESET_BEFORE_SENT,
        AttemptOutcome.TIMEOUT_BEFORE_SENT,
        AttemptOutcome.CANCELLED_BEFORE_SENT,
    }


def test_first_served_attempt_wins_and_the_other_is_cancelled(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: TwoAttemptBalancer
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
        dispatcher.client_disconnected(pending)  # the request has finished

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
def test_request_without_decision_ends_at_its_deadline(
    class_index: int,
    decision: dispatch.Decision,
    stalled: bool,
    loop: EventLoop,
    dispatcher: dispatch.Dispatcher,
    balancer: TwoAttemptBalancer,
) -> None:
    """The request gets a final answer although the balancer made no decision: a rejection if no attempt was started."""
    decisions: list[dispatch.Decision] = []

    def stall() -> None:
        time.sleep(0.15)  # stalls the process until after the deadline and its margin

    def work() -> None:
        pending = dispatch.PendingRequest(loop, class_index, loop.now() + 100 * NS_PER_MS, False, lambda _: None)
        if stalled:
            loop.spawn(stall)
        while not decisions or isinstance(decisions[-1], dispatch.StartAttempt):
            decisions.append(dispatcher.next_decision(pending))
        dispatcher._perform(loop.now(), balancing.SendAttempt(pending.id, 7, NS_PER_MS))
        assert not pending.decisions, "an attempt was started after the final answer"

    run_task(loop, dispatcher, work)
    assert decisions[-1] == decision
    assert balancer.events[-1] == balancing.ClientDisconnected("1"), "the balancer still waits for the request"


def test_request_past_its_deadline_is_rejected_unsent(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: TwoAttemptBalancer
) -> None:
    """The deadline passed before the request was submitted."""
    decisions: list[dispatch.Decision] = []

    def work() -> None:
        decisions.append(dispatcher.next_decision(dispatch.PendingRequest(loop, 0, loop.now(), False, lambda _: None)))

    run_task(loop, dispatcher, work)
    assert decisions == [dispatch.Rejected(0)]
    assert not balancer.events
    assert not dispatcher.in_progress


def test_attempt_deadline_is_limited_by_its_request(loop: EventLoop, dispatcher: dispatch.Dispatcher) -> None:
    """Otherwise the timeout that is sent to the endpoint would exceed the client's remaining time."""

    def work() -> None:
        pending = dispatch.PendingRequest(loop, 0, loop.now() + 5000 * NS_PER_MS, False, lambda _: None)
        for _ in range(2):
            dispatcher.next_decision(pending)
        dispatcher._perform(loop.now(), balancing.SendAttempt(pending.id, 7, 9000 * NS_PER_MS))
        assert dispatcher.next_decision(pending) == dispatch.StartAttempt(2, 7, pending.deadline_ns)
        assert dispatcher.may_start(pending, 2)
        pending.deadline_ns = loop.now()  # the deadline has passed
        assert not dispatcher.may_start(pending, 2)

    run_task(loop, dispatcher, work)


def test_outcomes_after_client_disconnect_change_nothing(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: TwoAttemptBalancer
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
    finished_events = [event for event in balancer.events if isinstance(event, balancing.AttemptFinished)]
    assert [finished_event.request_finished for finished_event in finished_events] == [True, True]
    assert dispatcher.request_counts()["left"] == 1
    assert dispatcher.request_counts()["served"] == 0


def test_request_finishes_with_its_streaming_attempt(
    loop: EventLoop, dispatcher: dispatch.Dispatcher, balancer: TwoAttemptBalancer
) -> None:
    """Once an attempt streams its response, other attempts and decisions of the balancer are ignored."""
    cancelled: list[int] = []
    decisions: list[dispatch.Decision] = []

    def work() -> None:
        pending = dispatch.PendingRequest(loop, 0, loop.now() + 5 * NS_PER_MS, False, cancelled.append)
        dispatcher.next_decision(pending)
        dispatcher.next_decision(pending)
        assert dispatcher.claim_stream(pending, 1)
        assert not dispatcher.claim_stream(pending, 0)
        assert not dispatcher.claim_stream(pending, 1)
        dispatcher.attempt_finished(pending, 0, AttemptOutcome.SERVED)  # complete, but after the stream was claimed
        dispatcher._perform(loop.now(), balancing.FailRequest(pending.id))  # also after the stream was claimed
        loop.sleep(30 * NS_PER_MS)  # until after the deadline and its margin
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
