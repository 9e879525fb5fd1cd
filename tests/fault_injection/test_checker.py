"""Tests that the checker reports each kind of violation, and no violation for allowed behaviour."""

from __future__ import annotations

import dataclasses

import pytest

from lugtally.units import NS_PER_MS
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
from tests.fault_injection.verdict import Rule, UncheckedReason, Verdict

SENT_MS = 1000
DEADLINE_MS = 2000
REQUEST_ID = "r1"
ENDPOINT = "e1"
BODY = make_body(BodyIdentity(REQUEST_ID, 1, ENDPOINT), 300)


def ns(milliseconds: float) -> int:
    """Convert milliseconds to nanoseconds."""
    return int(milliseconds * NS_PER_MS)


class RecordedRun:
    """The records of a run with one answered request; a test alters them and checks them again."""

    def __init__(self) -> None:
        self.records = RunRecords()
        self.request = self.add_request(REQUEST_ID)
        self.attempt = self.add_attempt(1100, time_left_ms=900)
        self.answer = Answer(1, REQUEST_ID, 200, BODY, True, ns(1200))
        self.records.answers.append(self.answer)

    def add_request(self, request_id: str, position: int = 0, write_number: int = 0) -> SentRequest:
        """Add an idempotent request on connection 1, completely written at ``SENT_MS``."""
        request = SentRequest(request_id, RequestClass.IDEMPOTENT, 0, 1, position, ns(DEADLINE_MS - SENT_MS))
        request.last_byte_ns, request.write_number = ns(SENT_MS), write_number
        self.records.requests[request_id] = request
        return request

    def add_attempt(self, at_ms: float, time_left_ms: float = 1) -> Attempt:
        """Add an attempt of the first request, which an endpoint received and answered completely."""
        number = len(self.records.attempts) + 1
        attempt = Attempt(
            number, ENDPOINT, REQUEST_ID, 0, ns(at_ms), ns(time_left_ms), ns(at_ms), ns(at_ms), ResponseKind.COMPLETE
        )
        self.records.attempts.append(attempt)
        return attempt

    def end_connection(self, at_ms: float, end: ConnectionEnd = ConnectionEnd.CLOSED_BY_SIDECAR) -> None:
        """End connection 1, replacing an earlier end of it."""
        self.records.ended_connections[1] = EndedConnection(1, ns(at_ms), end)

    def remove_answer(self) -> None:
        self.records.answers.remove(self.answer)

    def verdict(self) -> Verdict:
        return check(self.records)

    def violated_rules(self) -> list[Rule]:
        return [violation.rule for violation in self.verdict().violations]


@pytest.fixture
def run() -> RecordedRun:
    return RecordedRun()


def test_answered_request_violates_no_rule(run: RecordedRun) -> None:
    verdict = run.verdict()
    assert not verdict.violations
    assert (verdict.complete_requests, verdict.served) == (1, 1)
    assert set(verdict.counts().values()) == {0}


# ------------------------------------------------------------ no answer


def test_request_without_answer_is_a_violation(run: RecordedRun) -> None:
    run.remove_answer()
    assert run.violated_rules() == [Rule.NO_ANSWER]


@pytest.mark.parametrize("end", [ConnectionEnd.CLOSED_BY_SIDECAR, ConnectionEnd.RESET_BY_SIDECAR])
def test_request_on_closed_new_connection_is_a_violation(run: RecordedRun, end: ConnectionEnd) -> None:
    run.remove_answer()
    run.records.attempts.clear()
    run.end_connection(1010, end)
    assert run.violated_rules() == [Rule.NO_ANSWER]


@pytest.mark.parametrize(
    ("has_length", "pauses", "has_request_behind", "is_allowed"),
    [
        (True, False, False, False),
        (True, False, True, False),
        (True, True, False, False),
        (True, True, True, True),
        (False, False, False, False),
        (False, False, True, True),
        (False, True, False, False),
        (False, True, True, True),
    ],
)
def test_started_response_fails_only_before_another_request(
    has_length: bool, pauses: bool, has_request_behind: bool, is_allowed: bool, run: RecordedRun
) -> None:
    run.answer.status, run.answer.body = 502, b"failed"
    attempt = run.attempt
    attempt.writes_slowly, attempt.has_length, attempt.pauses = True, has_length, pauses
    attempt.response_started_ns, attempt.closed_early_ns = ns(1150), ns(DEADLINE_MS)
    if has_request_behind:
        run.add_request("r2", position=1)
        run.records.answers.append(Answer(1, "r2", 503, b"busy", True, ns(DEADLINE_MS)))
    assert run.violated_rules() == ([] if is_allowed else [Rule.STREAM_CLOSED_EARLY])


def test_truncated_answer_counts_as_no_answer(run: RecordedRun) -> None:
    run.answer.body, run.answer.is_complete = BODY[:200], False
    run.end_connection(1200, ConnectionEnd.RESET_BY_SIDECAR)
    assert run.violated_rules() == [Rule.NO_ANSWER]


def test_stream_truncated_by_its_endpoint_is_not_checked(run: RecordedRun) -> None:
    run.answer.body, run.answer.is_complete = BODY[:200], False
    run.attempt.response_kind = ResponseKind.INCOMPLETE
    assert run.verdict().unchecked[UncheckedReason.TRUNCATED_BY_ENDPOINT] == 1
    assert not run.violated_rules()


def test_request_crossing_a_connection_close_is_not_checked(run: RecordedRun) -> None:
    """A request written more than ``CROSSING_NS`` before the close is counted separately."""
    second_request = run.add_request("r2", position=1, write_number=1)
    second_request.last_byte_ns = ns(1300)
    run.end_connection(1301)
    assert not run.violated_rules()
    assert run.verdict().unchecked[UncheckedReason.CROSSED_CLOSE] == 1
    run.end_connection(1500)
    assert run.verdict().unchecked[UncheckedReason.PENDING_AT_CLOSE] == 1


def test_unanswered_request_in_an_answered_write_is_a_violation(run: RecordedRun) -> None:
    """The answer to the other request proves that the sidecar read the bytes of the write."""
    run.add_request("r2", position=1, write_number=0)
    run.end_connection(1201)
    assert run.violated_rules() == [Rule.NO_ANSWER]


def test_forwarded_request_without_answer_is_a_violation(run: RecordedRun) -> None:
    """The attempt proves that the sidecar read the request."""
    second_request = run.add_request("r2", position=1, write_number=1)
    second_request.last_byte_ns = ns(1300)
    run.add_attempt(1310).request_id = "r2"
    run.end_connection(1320)
    assert run.violated_rules() == [Rule.NO_ANSWER]


def test_request_pending_at_a_kill_is_not_checked(run: RecordedRun) -> None:
    run.remove_answer()
    run.end_connection(1150, ConnectionEnd.RESET_BY_SIDECAR)
    run.records.kills.append(SidecarKill(0, ns(1150)))
    assert not run.violated_rules()
    assert run.verdict().unchecked[UncheckedReason.SIDECAR_KILLED] == 1
    run.records.kills = [SidecarKill(1, ns(1150))]
    assert run.violated_rules() == [Rule.NO_ANSWER], "another sidecar was killed"


def test_request_after_a_malformed_one_needs_no_answer(run: RecordedRun) -> None:
    run.remove_answer()
    run.request.follows_malformed = True
    assert not run.violated_rules()


def test_request_of_a_disconnected_client_needs_no_answer(run: RecordedRun) -> None:
    run.remove_answer()
    run.request.disconnected_ns = ns(1150)
    verdict = run.verdict()
    assert not verdict.violations
    assert verdict.disconnected == 1


# ------------------------------------------------------------ late, second and wrong answers


def test_answer_after_deadline_and_slack_is_late(run: RecordedRun) -> None:
    run.answer.ended_ns = ns(DEADLINE_MS + 499)
    assert not run.violated_rules()
    run.answer.ended_ns = ns(DEADLINE_MS + 501)
    assert run.violated_rules() == [Rule.LATE_ANSWER]


def test_slack_of_a_stopped_sidecar_starts_at_sigcont(run: RecordedRun) -> None:
    run.records.stops.append(SidecarStop(ns(1900), ns(4000), 0))
    run.answer.ended_ns = ns(4499)
    assert not run.violated_rules()
    run.answer.ended_ns = ns(4501)
    assert run.violated_rules() == [Rule.LATE_ANSWER]
    run.records.stops = [SidecarStop(ns(1900), ns(4000), 1)]
    assert run.violated_rules() == [Rule.LATE_ANSWER], "another sidecar was stopped"


def test_times_are_not_checked_during_a_scheduling_lag(run: RecordedRun) -> None:
    run.answer.ended_ns = ns(DEADLINE_MS + 600)
    run.records.scheduling_lags.append(Interval(ns(1500), ns(1560)))
    assert not run.violated_rules()
    assert run.verdict().unchecked[UncheckedReason.SCHEDULING_LAG] == 1


def test_second_answer_is_a_violation(run: RecordedRun) -> None:
    run.records.answers.append(dataclasses.replace(run.answer))
    assert run.violated_rules() == [Rule.SECOND_ANSWER]
    run.records.answers[1].request_id = None
    assert run.violated_rules() == [Rule.SECOND_ANSWER]


def test_answer_made_for_another_request_is_wrong(run: RecordedRun) -> None:
    run.answer.body = make_body(BodyIdentity("r9", 1, ENDPOINT), 300)
    assert run.violated_rules() == [Rule.WRONG_ANSWER]


@pytest.mark.parametrize(
    "identity",
    [BodyIdentity(REQUEST_ID, 9, ENDPOINT), BodyIdentity(REQUEST_ID, 1, "e9")],
    ids=["attempt number", "endpoint"],
)
def test_answer_of_an_unknown_attempt_is_wrong(run: RecordedRun, identity: BodyIdentity) -> None:
    run.answer.body = make_body(identity, 300)
    assert run.violated_rules() == [Rule.WRONG_ANSWER]


@pytest.mark.parametrize(
    "body",
    [BODY[:-1], BODY + b"x", b"", b"x" * 300, BODY[:150] + b"?" + BODY[151:]],
    ids=["truncated", "extended", "empty", "without identity", "one byte changed"],
)
def test_answer_with_an_altered_body_is_wrong(run: RecordedRun, body: bytes) -> None:
    run.answer.body = body
    assert run.violated_rules() == [Rule.WRONG_ANSWER]
    with pytest.raises(MalformedBodyError):
        read_identity(body)


def test_sidecar_may_answer_only_rejections_and_failures(run: RecordedRun) -> None:
    run.answer.body = b"busy\n"
    for status in (500, 502, 503):
        run.answer.status = status
        assert not run.violated_rules()
    run.answer.status = 408
    assert run.violated_rules() == [Rule.WRONG_ANSWER]


def test_attempt_for_an_unknown_request_is_wrong(run: RecordedRun) -> None:
    run.add_attempt(1100).request_id = "r9"
    assert run.violated_rules() == [Rule.WRONG_ANSWER]


# ------------------------------------------------------------ attempts


def test_attempt_after_the_answer_is_a_violation(run: RecordedRun) -> None:
    run.add_attempt(1230)
    assert run.violated_rules() == [Rule.FORWARDED_AFTER_END]


def test_attempt_after_the_deadline_is_a_violation(run: RecordedRun) -> None:
    run.add_attempt(DEADLINE_MS + 30, time_left_ms=0)
    run.answer.ended_ns = ns(DEADLINE_MS + 100)
    assert run.violated_rules() == [Rule.FORWARDED_AFTER_END]


def test_late_attempt_of_a_stopped_sidecar_is_a_violation(run: RecordedRun) -> None:
    """A stop of the sidecar extends the time for the answer, but not the time for attempts."""
    run.records.stops.append(SidecarStop(ns(1900), ns(4000), 0))
    run.add_attempt(4001, time_left_ms=0)
    run.answer.ended_ns = ns(4002)
    assert run.violated_rules() == [Rule.FORWARDED_AFTER_END]


def test_attempt_after_client_disconnect_is_a_violation(run: RecordedRun) -> None:
    run.remove_answer()
    run.request.disconnected_ns = ns(1150)
    run.add_attempt(1240)
    assert not run.violated_rules()
    run.add_attempt(1280)
    assert run.violated_rules() == [Rule.FORWARDED_AFTER_END]


def test_attempt_for_an_incomplete_request_is_a_violation(run: RecordedRun) -> None:
    run.remove_answer()
    run.request.last_byte_ns = None
    assert run.violated_rules() == [Rule.FORWARDED_AFTER_END]


def test_attempt_bytes_after_the_answer_are_a_violation(run: RecordedRun) -> None:
    run.attempt.latest_byte_ns = ns(1230)
    assert run.violated_rules() == [Rule.BYTES_AFTER_END]


def test_excessive_time_left_is_a_violation(run: RecordedRun) -> None:
    run.attempt.time_left_ns = ns(900 + 149)
    assert not run.violated_rules()
    run.attempt.time_left_ns = ns(900 + 151)
    assert run.violated_rules() == [Rule.TIME_LEFT_TOO_LARGE]


def test_non_idempotent_request_sent_twice_is_a_violation(run: RecordedRun) -> None:
    run.add_attempt(1110)
    assert not run.violated_rules()
    run.request.request_class = RequestClass.NON_IDEMPOTENT
    assert run.violated_rules() == [Rule.AT_MOST_ONCE_TWICE]


def test_unprocessed_non_idempotent_request_may_be_retried(run: RecordedRun) -> None:
    run.request.request_class = RequestClass.NON_IDEMPOTENT
    run.attempt.response_kind = ResponseKind.UNPROCESSED
    run.add_attempt(1110)
    assert not run.violated_rules()
    run.attempt.response_kind, run.attempt.last_byte_ns = ResponseKind.COMPLETE, None
    assert not run.violated_rules(), "the first attempt was never complete"
