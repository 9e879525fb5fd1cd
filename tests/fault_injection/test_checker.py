"""The checker finds each kind of offence, and none in what is allowed."""

from __future__ import annotations

import dataclasses

import pytest

from tests.fault_injection.checker import check
from tests.fault_injection.identity import BodyIdentity, MalformedBodyError, make_body, read_identity
from tests.fault_injection.records import (
    Answer,
    Attempt,
    ConnectionEnd,
    EndedConnection,
    Interval,
    RequestClass,
    ResponseKind,
    RunRecords,
    SentRequest,
    SidecarKill,
    SidecarStop,
)
from tests.fault_injection.verdict import NotJudged, Rule, Verdict

NS_PER_MS = 1_000_000
SENT_MS = 1000
DEADLINE_MS = 2000
REQUEST_ID = "r1"
ENDPOINT = "e1"
BODY = make_body(BodyIdentity(REQUEST_ID, 1, ENDPOINT), 300)


def ns(milliseconds: float) -> int:
    return int(milliseconds * NS_PER_MS)


class Run:
    """The records of a run with one sound request, that a test spoils in one place."""

    def __init__(self) -> None:
        self.records = RunRecords()
        self.request = self.add_request(REQUEST_ID)
        self.attempt = self.add_attempt(1100, told_ms=900)
        self.answer = Answer(1, REQUEST_ID, 200, BODY, True, ns(1200))
        self.records.answers.append(self.answer)

    def add_request(self, request_id: str, position: int = 0, write_number: int = 0) -> SentRequest:
        request = SentRequest(request_id, RequestClass.IDEMPOTENT, 0, 1, position, ns(DEADLINE_MS - SENT_MS))
        request.last_byte_ns, request.write_number = ns(SENT_MS), write_number
        self.records.requests[request_id] = request
        return request

    def add_attempt(self, at_ms: float, told_ms: float = 1) -> Attempt:
        number = len(self.records.attempts) + 1
        attempt = Attempt(
            number, ENDPOINT, REQUEST_ID, 0, ns(at_ms), ns(told_ms), ns(at_ms), ns(at_ms), ResponseKind.COMPLETE
        )
        self.records.attempts.append(attempt)
        return attempt

    def end_connection(self, at_ms: float, end: ConnectionEnd = ConnectionEnd.CLOSED_BY_SIDECAR) -> None:
        self.records.ended_connections[1] = EndedConnection(1, ns(at_ms), end)

    def lose_answer(self) -> None:
        self.records.answers.remove(self.answer)

    def verdict(self) -> Verdict:
        return check(self.records)

    def breached(self) -> list[Rule]:
        return [violation.rule for violation in self.verdict().violations]


@pytest.fixture
def run() -> Run:
    return Run()


def test_a_sound_request_breaches_nothing(run: Run) -> None:
    verdict = run.verdict()
    assert not verdict.violations
    assert (verdict.judged, verdict.served) == (1, 1)
    assert set(verdict.counts().values()) == {0}


# ------------------------------------------------------------ no answer


def test_silence_is_no_answer(run: Run) -> None:
    run.lose_answer()
    assert run.breached() == [Rule.NO_ANSWER]


def test_a_new_connection_closed_without_an_answer_is_no_answer(run: Run) -> None:
    run.lose_answer()
    run.records.attempts.clear()
    for end in (ConnectionEnd.CLOSED_BY_SIDECAR, ConnectionEnd.RESET_BY_SIDECAR):
        run.end_connection(1010, end)
        assert run.breached() == [Rule.NO_ANSWER]


def test_a_cut_answer_is_no_answer(run: Run) -> None:
    run.answer.body, run.answer.is_complete = BODY[:200], False
    run.end_connection(1200, ConnectionEnd.RESET_BY_SIDECAR)
    assert run.breached() == [Rule.NO_ANSWER]


def test_a_stream_that_its_endpoint_broke_off_is_not_judged(run: Run) -> None:
    run.answer.body, run.answer.is_complete = BODY[:200], False
    run.attempt.response_kind = ResponseKind.INCOMPLETE
    assert run.verdict().not_judged[NotJudged.TRUNCATED_BY_ENDPOINT] == 1
    assert not run.breached()


def test_a_kept_connection_closed_while_a_request_was_on_its_way_is_not_judged(run: Run) -> None:
    crossing = run.add_request("r2", position=1, write_number=1)
    crossing.last_byte_ns = ns(1300)
    run.end_connection(1301)
    assert not run.breached()
    assert run.verdict().not_judged[NotJudged.CROSSED_CLOSE] == 1
    run.end_connection(1500)
    assert run.verdict().not_judged[NotJudged.PENDING_AT_CLOSE] == 1


def test_a_request_in_one_write_with_an_answered_one_was_read(run: Run) -> None:
    run.add_request("r2", position=1, write_number=0)
    run.end_connection(1201)
    assert run.breached() == [Rule.NO_ANSWER]


def test_a_request_that_was_forwarded_was_read(run: Run) -> None:
    crossing = run.add_request("r2", position=1, write_number=1)
    crossing.last_byte_ns = ns(1300)
    run.add_attempt(1310).request_id = "r2"
    run.end_connection(1320)
    assert run.breached() == [Rule.NO_ANSWER]


def test_what_is_pending_at_a_kill_is_not_judged(run: Run) -> None:
    run.lose_answer()
    run.end_connection(1150, ConnectionEnd.RESET_BY_SIDECAR)
    run.records.kills.append(SidecarKill(0, ns(1150)))
    assert not run.breached()
    assert run.verdict().not_judged[NotJudged.SIDECAR_KILLED] == 1
    run.records.kills = [SidecarKill(1, ns(1150))]
    assert run.breached() == [Rule.NO_ANSWER], "another sidecar was killed"


def test_a_request_behind_a_malformed_one_is_owed_no_answer(run: Run) -> None:
    run.lose_answer()
    run.request.follows_malformed = True
    assert not run.breached()


def test_a_client_that_left_is_owed_no_answer(run: Run) -> None:
    run.lose_answer()
    run.request.disconnected_ns = ns(1150)
    verdict = run.verdict()
    assert not verdict.violations
    assert verdict.disconnected == 1


# ------------------------------------------------------------ late, second and wrong answers


def test_an_answer_after_the_slack_is_late(run: Run) -> None:
    run.answer.ended_ns = ns(DEADLINE_MS + 499)
    assert not run.breached()
    run.answer.ended_ns = ns(DEADLINE_MS + 501)
    assert run.breached() == [Rule.LATE_ANSWER]


def test_a_stopped_sidecar_has_the_slack_once_it_goes_on(run: Run) -> None:
    run.records.stops.append(SidecarStop(ns(1900), ns(4000), 0))
    run.answer.ended_ns = ns(4499)
    assert not run.breached()
    run.answer.ended_ns = ns(4501)
    assert run.breached() == [Rule.LATE_ANSWER]
    run.records.stops = [SidecarStop(ns(1900), ns(4000), 1)]
    assert run.breached() == [Rule.LATE_ANSWER], "another sidecar was stopped"


def test_times_are_not_judged_while_the_judge_ran_late(run: Run) -> None:
    run.answer.ended_ns = ns(DEADLINE_MS + 600)
    run.records.own_lags.append(Interval(ns(1500), ns(1560)))
    assert not run.breached()
    assert run.verdict().not_judged[NotJudged.OWN_LAG] == 1


def test_a_second_answer(run: Run) -> None:
    run.records.answers.append(dataclasses.replace(run.answer))
    assert run.breached() == [Rule.SECOND_ANSWER]
    run.records.answers[1].request_id = None
    assert run.breached() == [Rule.SECOND_ANSWER]


def test_an_answer_made_for_another_request(run: Run) -> None:
    run.answer.body = make_body(BodyIdentity("r9", 1, ENDPOINT), 300)
    assert run.breached() == [Rule.WRONG_ANSWER]


def test_an_answer_of_an_attempt_that_never_was(run: Run) -> None:
    for identity in (BodyIdentity(REQUEST_ID, 9, ENDPOINT), BodyIdentity(REQUEST_ID, 1, "e9")):
        run.answer.body = make_body(identity, 300)
        assert run.breached() == [Rule.WRONG_ANSWER]


@pytest.mark.parametrize("body", [BODY[:-1], BODY + b"x", b"", b"x" * 300, BODY[:150] + b"?" + BODY[151:]])
def test_a_whole_answer_with_a_spoilt_body(run: Run, body: bytes) -> None:
    run.answer.body = body
    assert run.breached() == [Rule.WRONG_ANSWER]
    with pytest.raises(MalformedBodyError):
        read_identity(body)


def test_plain_refusals_and_failures_alone_are_answers_of_the_sidecar(run: Run) -> None:
    run.answer.body = b"busy\n"
    for status in (500, 502, 503):
        run.answer.status = status
        assert not run.breached()
    run.answer.status = 408
    assert run.breached() == [Rule.WRONG_ANSWER]


def test_an_attempt_for_a_request_that_nobody_sent(run: Run) -> None:
    run.add_attempt(1100).request_id = "r9"
    assert run.breached() == [Rule.WRONG_ANSWER]


# ------------------------------------------------------------ attempts


def test_an_attempt_after_the_answer(run: Run) -> None:
    run.add_attempt(1230)
    assert run.breached() == [Rule.FORWARDED_AFTER_END]


def test_an_attempt_after_the_deadline(run: Run) -> None:
    run.add_attempt(DEADLINE_MS + 30, told_ms=0)
    run.answer.ended_ns = ns(DEADLINE_MS + 100)
    assert run.breached() == [Rule.FORWARDED_AFTER_END]


def test_a_stop_does_not_excuse_an_attempt_after_the_deadline(run: Run) -> None:
    run.records.stops.append(SidecarStop(ns(1900), ns(4000), 0))
    run.add_attempt(4001, told_ms=0)
    run.answer.ended_ns = ns(4002)
    assert run.breached() == [Rule.FORWARDED_AFTER_END]


def test_an_attempt_after_the_client_left(run: Run) -> None:
    run.lose_answer()
    run.request.disconnected_ns = ns(1150)
    run.add_attempt(1240)
    assert not run.breached()
    run.add_attempt(1280)
    assert run.breached() == [Rule.FORWARDED_AFTER_END]


def test_an_attempt_for_a_request_that_was_never_whole(run: Run) -> None:
    run.lose_answer()
    run.request.last_byte_ns = None
    assert run.breached() == [Rule.FORWARDED_AFTER_END]


def test_bytes_of_an_attempt_after_the_end(run: Run) -> None:
    run.attempt.latest_byte_ns = ns(1230)
    assert run.breached() == [Rule.BYTES_AFTER_END]


def test_too_much_time_told(run: Run) -> None:
    run.attempt.time_left_ns = ns(900 + 149)
    assert not run.breached()
    run.attempt.time_left_ns = ns(900 + 151)
    assert run.breached() == [Rule.TIME_LEFT_TOO_LARGE]


def test_an_at_most_once_request_twice(run: Run) -> None:
    run.add_attempt(1110)
    assert not run.breached()
    run.request.request_class = RequestClass.NON_IDEMPOTENT
    assert run.breached() == [Rule.AT_MOST_ONCE_TWICE]


def test_an_at_most_once_request_may_follow_a_proof_that_it_did_not_run(run: Run) -> None:
    run.request.request_class = RequestClass.NON_IDEMPOTENT
    run.attempt.response_kind = ResponseKind.UNPROCESSED
    run.add_attempt(1110)
    assert not run.breached()
    run.attempt.response_kind, run.attempt.last_byte_ns = ResponseKind.COMPLETE, None
    assert not run.breached(), "the first was never whole"
