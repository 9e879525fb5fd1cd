"""The invariants, judged from the records of a run; no I/O and no clock.

Not every request without an answer is lost.  These are not judged, and counted in ``Verdict.not_judged``:

* pending at a sidecar that was killed;
* sent behind a malformed request on the same connection, which ends there;
* sent on a connection that has had an answer and ended, with no byte of an attempt for it seen, unless the same write
  brought a request that was answered, so that it was surely read (``NotJudged.CROSSED_CLOSE``; where it was written
  over ``CROSSING_NS`` before the close it is counted apart, as ``NotJudged.PENDING_AT_CLOSE``);
* answered with a body that the endpoint itself broke off, where part of it had been passed on;
* with its times uncertain, as the judging process came to run late (times alone: bodies and counts are judged).

A sidecar that was stopped past a deadline has the slack from when it was continued, for answers; not for attempts.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from tests.fault_injection.identity import MalformedBodyError, read_identity, read_identity_prefix
from tests.fault_injection.records import (
    Answer,
    Attempt,
    ConnectionEnd,
    Interval,
    RequestClass,
    ResponseKind,
    RunRecords,
    SentRequest,
)

NS_PER_MS = 1_000_000
ANSWER_SLACK_NS = 500 * NS_PER_MS
TIME_LEFT_SLACK_NS = 150 * NS_PER_MS
CLIENT_LEFT_SLACK_NS = 100 * NS_PER_MS
CLOCK_TOLERANCE_NS = 20 * NS_PER_MS
"""How far an arrival may be off: the kernel counts in milliseconds, and the order of two reads is the loop's."""
CROSSING_NS = 50 * NS_PER_MS
"""How long before a close a request may have been written and still count as one that crossed it."""
PLAIN_STATUSES = frozenset({500, 502, 503})
"""Refusals and failures that the sidecar itself may give a sound request."""


class Rule(Enum):
    """A rule; the value is what its breach means."""

    NO_ANSWER = "no whole answer"
    LATE_ANSWER = "the answer came later than the slack after the deadline"
    SECOND_ANSWER = "bytes of another answer on the connection"
    WRONG_ANSWER = "a whole answer that no endpoint made for this request, and no plain refusal or failure"
    FORWARDED_AFTER_END = "an attempt began after the answer, the deadline, or 0.1 s after the client left"
    BYTES_AFTER_END = "bytes of an attempt came after the answer, the deadline, or 0.1 s after the client left"
    TIME_LEFT_TOO_LARGE = "an endpoint was told more time than the client had left"
    AT_MOST_ONCE_TWICE = "an at-most-once request came to endpoints twice"


class NotJudged(Enum):
    """Why a request, or the times of one, went unjudged."""

    SIDECAR_KILLED = "its sidecar was killed"
    BEHIND_MALFORMED = "behind a malformed request"
    CROSSED_CLOSE = "crossed the close of a kept connection"
    PENDING_AT_CLOSE = "sent well before the close of a kept connection; whether it was read cannot be seen"
    BROKEN_BY_ENDPOINT = "streamed, and broken off by its endpoint"
    NEVER_WHOLE = "never written whole"
    OWN_LAG = "the judging process ran late (times alone)"


@dataclass(slots=True, frozen=True)
class Violation:
    """One breach of a rule."""

    rule: Rule
    request_id: str
    detail: str


@dataclass(slots=True)
class Verdict:
    """The violations of a run, and how much was judged."""

    violations: list[Violation] = field(default_factory=list)
    judged: int = 0
    served: int = 0
    refused_or_failed: int = 0
    left: int = 0
    not_judged: Counter[NotJudged] = field(default_factory=Counter)
    pending_at_close: list[str] = field(default_factory=list)
    """The ids behind ``NotJudged.PENDING_AT_CLOSE``, for a reader to look at."""

    def counts(self) -> dict[Rule, int]:
        """Return the number of violations of each rule."""
        by_rule = Counter(violation.rule for violation in self.violations)
        return {rule: by_rule[rule] for rule in Rule}


def check(records: RunRecords) -> Verdict:
    """Judge all requests of a run."""
    return _Checker(records).check()


class _Checker:
    def __init__(self, records: RunRecords) -> None:
        self._records = records
        self._verdict = Verdict()
        self._attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.request_id].append(attempt)
        self._answers: dict[str, list[Answer]] = defaultdict(list)
        self._answered_writes: set[tuple[int, int]] = set()
        for answer in records.answers:
            self._note_answer(answer)

    def _note_answer(self, answer: Answer) -> None:
        if answer.request_id is None:
            self._add(Rule.SECOND_ANSWER, f"connection {answer.connection}", f"status {answer.status} to no request")
            return
        self._answers[answer.request_id].append(answer)
        request = self._records.requests[answer.request_id]
        self._answered_writes.add((request.connection, request.write_number))

    def check(self) -> Verdict:
        for request in self._records.requests.values():
            self._check_request(request)
        for attempt in self._records.attempts:
            if attempt.request_id and attempt.request_id not in self._records.requests:
                self._add(Rule.WRONG_ANSWER, attempt.request_id, f"{attempt.endpoint} got a request that nobody sent")
        return self._verdict

    def _add(self, rule: Rule, request_id: str, detail: str) -> None:
        self._verdict.violations.append(Violation(rule, request_id, detail))

    # ------------------------------------------------------------ one request

    def _check_request(self, request: SentRequest) -> None:
        answers, attempts = self._answers[request.request_id], self._attempts[request.request_id]
        if request.request_class is RequestClass.NON_IDEMPOTENT:
            self._check_at_most_once(request, attempts)
        if len(answers) > 1:
            self._add(Rule.SECOND_ANSWER, request.request_id, f"{len(answers)} answers")
        for answer in answers:
            if answer.is_complete:
                self._check_body(request, answer)
        if request.last_byte_ns is None:
            self._verdict.not_judged[NotJudged.NEVER_WHOLE] += 1
            for attempt in attempts:
                self._add(Rule.FORWARDED_AFTER_END, request.request_id, f"{attempt.endpoint}: it was never whole")
            return
        self._verdict.judged += 1
        whole = next((answer for answer in answers if answer.is_complete), None)
        self._check_answer(request, whole, answers)
        if self._has_own_lag(request):
            self._verdict.not_judged[NotJudged.OWN_LAG] += 1
            return
        if whole is not None:
            self._check_lateness(request, whole)
        self._check_attempts(request, whole, attempts)

    def _check_answer(self, request: SentRequest, whole: Answer | None, answers: list[Answer]) -> None:
        if whole is not None:
            self._verdict.served += whole.status == 200
            self._verdict.refused_or_failed += whole.status != 200
        elif request.disconnected_ns is not None and request.disconnected_ns < self._due_ns(request):
            self._verdict.left += 1
        elif (reason := self._excuse(request, answers)) is not None:
            self._verdict.not_judged[reason] += 1
            if reason is NotJudged.PENDING_AT_CLOSE:
                self._verdict.pending_at_close.append(request.request_id)
        else:
            self._add(Rule.NO_ANSWER, request.request_id, self._missing_answer_detail(request, answers))

    def _missing_answer_detail(self, request: SentRequest, answers: list[Answer]) -> str:
        assert request.last_byte_ns is not None
        ended = self._records.ended_connections.get(request.connection)
        if ended is None or ended.end is ConnectionEnd.CLOSED_BY_CLIENT:
            how = "nothing came"
        else:
            how = f"{ended.end.value} {(ended.ended_ns - request.last_byte_ns) / 1e6:.0f} ms after its last byte"
        if answers:
            how = f"a cut answer of status {answers[0].status} and {len(answers[0].body)} bytes; {how}"
        kept = "kept" if request.position else "new"
        read = "forwarded" if self._attempts[request.request_id] else "never forwarded"
        if not answers and (request.connection, request.write_number) in self._answered_writes:
            read += ", in one write with an answered one"
        return f"{how}; {kept} connection; {read}"

    def _excuse(self, request: SentRequest, answers: list[Answer]) -> NotJudged | None:
        if self._was_pending_at_kill(request):
            return NotJudged.SIDECAR_KILLED
        if request.follows_malformed:
            return NotJudged.BEHIND_MALFORMED
        if any(self._was_broken_by_endpoint(request, answer) for answer in answers):
            return NotJudged.BROKEN_BY_ENDPOINT
        if not answers and self._may_be_unread(request):
            assert request.last_byte_ns is not None
            ended_ns = self._records.ended_connections[request.connection].ended_ns
            crossed = ended_ns - request.last_byte_ns <= CROSSING_NS
            return NotJudged.CROSSED_CLOSE if crossed else NotJudged.PENDING_AT_CLOSE
        return None

    def _was_pending_at_kill(self, request: SentRequest) -> bool:
        ended = self._records.ended_connections.get(request.connection)
        return ended is not None and any(
            kill.sidecar == request.sidecar
            and kill.at_ns <= ended.ended_ns + CLOCK_TOLERANCE_NS
            and ended.ended_ns - kill.at_ns < ANSWER_SLACK_NS
            and kill.at_ns < self._due_ns(request)
            for kill in self._records.kills
        )

    def _may_be_unread(self, request: SentRequest) -> bool:
        ended = self._records.ended_connections.get(request.connection)
        return (
            ended is not None
            and ended.end is not ConnectionEnd.CLOSED_BY_CLIENT
            and any(write[0] == request.connection for write in self._answered_writes)
            and (request.connection, request.write_number) not in self._answered_writes
            and not self._attempts[request.request_id]
        )

    def _was_broken_by_endpoint(self, request: SentRequest, answer: Answer) -> bool:
        """Return whether a cut answer, told as cut, is of an attempt whose endpoint broke it off."""
        identity = read_identity_prefix(answer.body)
        return identity is not None and any(
            attempt.attempt_number == identity.attempt_number and attempt.response_kind is ResponseKind.INCOMPLETE
            for attempt in self._attempts[request.request_id]
        )

    def _check_at_most_once(self, request: SentRequest, attempts: list[Attempt]) -> None:
        may_have_run = [
            attempt
            for attempt in attempts
            if attempt.last_byte_ns is not None and attempt.response_kind is not ResponseKind.UNPROCESSED
        ]
        if len(may_have_run) > 1:
            endpoints = ", ".join(attempt.endpoint for attempt in may_have_run)
            self._add(Rule.AT_MOST_ONCE_TWICE, request.request_id, f"whole at {endpoints}")

    def _check_body(self, request: SentRequest, answer: Answer) -> None:
        if answer.status in PLAIN_STATUSES:
            return
        if answer.status != 200:
            if not request.follows_malformed:
                self._add(Rule.WRONG_ANSWER, request.request_id, f"status {answer.status} {answer.body[:60]!r}")
            return
        try:
            identity = read_identity(answer.body)
        except MalformedBodyError as error:
            self._add(Rule.WRONG_ANSWER, request.request_id, str(error))
            return
        if identity.request_id != request.request_id:
            self._add(Rule.WRONG_ANSWER, request.request_id, f"made for {identity.request_id} at {identity.endpoint}")
        elif not any(
            attempt.attempt_number == identity.attempt_number and attempt.endpoint == identity.endpoint
            for attempt in self._attempts[request.request_id]
        ):
            self._add(Rule.WRONG_ANSWER, request.request_id, f"{identity.endpoint} saw no such attempt")

    # ------------------------------------------------------------ times

    def _due_ns(self, request: SentRequest) -> int:
        """Return until when the answer must have come: a stopped sidecar has the slack once it goes on."""
        until_ns = request.deadline_ns
        for stop in sorted(self._records.stops, key=lambda interval: interval.start_ns):
            if stop.sidecar == request.sidecar and stop.start_ns < until_ns + ANSWER_SLACK_NS:
                until_ns = max(until_ns, stop.end_ns)
        return until_ns + ANSWER_SLACK_NS

    def _has_own_lag(self, request: SentRequest) -> bool:
        assert request.last_byte_ns is not None
        return _any_overlaps(self._records.own_lags, request.last_byte_ns, self._due_ns(request))

    def _check_lateness(self, request: SentRequest, answer: Answer) -> None:
        late_ns = answer.ended_ns - self._due_ns(request)
        if late_ns > 0 and not request.reads_slowly and request.disconnected_ns is None:
            detail = f"{late_ns / 1e6:.0f} ms after deadline and slack; status {answer.status}"
            self._add(Rule.LATE_ANSWER, request.request_id, detail)

    def _check_attempts(self, request: SentRequest, whole: Answer | None, attempts: list[Attempt]) -> None:
        ends = {"its deadline": request.deadline_ns}
        if whole is not None:
            ends["its answer"] = whole.ended_ns
        if request.disconnected_ns is not None:
            ends["0.1 s after its client left"] = request.disconnected_ns + CLIENT_LEFT_SLACK_NS
        end, end_ns = min(ends.items(), key=lambda item: item[1])
        for attempt in attempts:
            self._check_attempt_times(request, attempt, end, end_ns)

    def _check_attempt_times(self, request: SentRequest, attempt: Attempt, end: str, end_ns: int) -> None:
        limit_ns = end_ns + CLOCK_TOLERANCE_NS
        if attempt.first_byte_ns > limit_ns:
            detail = f"{attempt.endpoint}: {(attempt.first_byte_ns - end_ns) / 1e6:.0f} ms after {end}"
            self._add(Rule.FORWARDED_AFTER_END, request.request_id, detail)
        elif attempt.latest_byte_ns > limit_ns:
            detail = f"{attempt.endpoint}: {(attempt.latest_byte_ns - end_ns) / 1e6:.0f} ms after {end}"
            self._add(Rule.BYTES_AFTER_END, request.request_id, detail)
        if attempt.time_left_ns < 0:
            return
        excess_ns = attempt.time_left_ns - max(0, request.deadline_ns - attempt.first_byte_ns)
        if excess_ns > TIME_LEFT_SLACK_NS:
            detail = f"{attempt.endpoint}: told {attempt.time_left_ns / 1e6:.0f} ms, {excess_ns / 1e6:.0f} ms too much"
            self._add(Rule.TIME_LEFT_TOO_LARGE, request.request_id, detail)


def _any_overlaps(intervals: Iterable[Interval], start_ns: int, end_ns: int) -> bool:
    return any(interval.overlaps(start_ns, end_ns) for interval in intervals)
