"""Checks the records of a run against the rules; it does no I/O and reads no clock.

A missing answer is not always a violation.  The following are not checked but counted in ``Verdict.unchecked``:

* requests pending at a sidecar that was killed;
* requests after a malformed request on the same connection, which the sidecar closes after it;
* requests on a connection that was closed after an earlier answer, unless an endpoint received a byte of an attempt or
  a request of the same write was answered, which would prove that the sidecar read the request.  The reason is
  ``UncheckedReason.PENDING_AT_CLOSE`` if the request was written more than ``CROSSING_NS`` before the close, otherwise
  ``UncheckedReason.CROSSED_CLOSE``;
* answers with a body that the endpoint truncated after the sidecar had forwarded part of it;
* the times of requests during which the checking process ran late; their bodies and counts are checked.

If a sidecar was stopped and continued only after the deadline, the slack for its answer starts at SIGCONT.  No attempt
may start after the deadline, with or without a stop.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from lugtally.units import NS_PER_MS
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
    SidecarKill,
)
from tests.fault_injection.verdict import Rule, UncheckedReason, Verdict, Violation

ANSWER_SLACK_NS = 500 * NS_PER_MS
TIME_LEFT_SLACK_NS = 150 * NS_PER_MS
CANCELLATION_SLACK_NS = 100 * NS_PER_MS
CLOCK_TOLERANCE_NS = 20 * NS_PER_MS
"""The error of an arrival time: the kernel counts in milliseconds, and the event loop orders concurrent reads."""
SLOW_RESPONSE_NS = 1000 * NS_PER_MS
"""How long after the deadline an endpoint that writes slowly may still write."""
CROSSING_NS = 50 * NS_PER_MS
"""A request that was written at most this long before a close counts as crossing it."""
SIDECAR_ERROR_STATUSES = frozenset({500, 502, 503})
"""The statuses of rejections and failures with which the sidecar itself may answer a valid request."""


class _Write(NamedTuple):
    """One write of a client: its connection and its number on that connection."""

    connection: int
    number: int


class _RequestEnd(NamedTuple):
    """A time after which no attempt of a request may be sent, and its cause."""

    at_ns: int
    cause: str


def check(records: RunRecords) -> Verdict:
    """Check all requests of a run and return the verdict."""
    return _Checker(records).check()


class _Checker:
    """Checks one run, whose attempts and answers it indexes by request."""

    def __init__(self, records: RunRecords) -> None:
        self._records = records
        self._verdict = Verdict()
        self._attempts: dict[str, list[Attempt]] = defaultdict(list)
        self._slow_positions: dict[int, int] = {}  # by connection: the first request whose endpoint writes slowly
        for attempt in records.attempts:
            self._attempts[attempt.request_id].append(attempt)
            if attempt.writes_slowly and attempt.request_id in records.requests:
                self._record_slow_request(records.requests[attempt.request_id])
        self._answers: dict[str, list[Answer]] = defaultdict(list)
        self._answered_writes: set[_Write] = set()
        for answer in records.answers:
            self._index_answer(answer)

    def _record_slow_request(self, request: SentRequest) -> None:
        first = self._slow_positions.get(request.connection, request.position)
        self._slow_positions[request.connection] = min(first, request.position)

    def _is_delayed_by_endpoint(self, request: SentRequest) -> bool:
        """Return whether the endpoint of the request, or of an earlier one on its connection, writes slowly."""
        return request.position >= self._slow_positions.get(request.connection, request.position + 1)

    def _index_answer(self, answer: Answer) -> None:
        if answer.request_id is None:
            self._add_violation(
                Rule.SECOND_ANSWER, f"connection {answer.connection}", f"status {answer.status}, no request unanswered"
            )
            return
        self._answers[answer.request_id].append(answer)
        request = self._records.requests[answer.request_id]
        self._answered_writes.add(_write_of(request))

    def check(self) -> Verdict:
        for request in self._records.requests.values():
            self._check_request(request)
        for failure in self._records.process_failures:
            self._add_violation(Rule.PROCESS_FAILED, f"sidecar {failure.sidecar}", failure.detail)
        for attempt in self._records.attempts:
            if attempt.request_id and attempt.request_id not in self._records.requests:
                self._add_violation(
                    Rule.WRONG_ANSWER, attempt.request_id, f"{attempt.endpoint} received a request that no client sent"
                )
        return self._verdict

    def _add_violation(self, rule: Rule, request_id: str, detail: str) -> None:
        self._verdict.violations.append(Violation(rule, request_id, detail))

    # ------------------------------------------------------------ one request

    def _check_request(self, request: SentRequest) -> None:
        answers, attempts = self._answers[request.request_id], self._attempts[request.request_id]
        if request.request_class is RequestClass.NON_IDEMPOTENT:
            self._check_non_idempotent(request, attempts)
        if len(answers) > 1:
            self._add_violation(Rule.SECOND_ANSWER, request.request_id, f"{len(answers)} answers")
        for answer in answers:
            if answer.is_complete:
                self._check_body(request, answer)
        if request.last_byte_ns is None:
            self._check_incomplete_request(request, attempts)
        else:
            self._check_complete_request(request, answers, attempts)

    def _check_incomplete_request(self, request: SentRequest, attempts: list[Attempt]) -> None:
        self._verdict.unchecked[UncheckedReason.NEVER_COMPLETE] += 1
        for attempt in attempts:
            self._add_violation(
                Rule.FORWARDED_AFTER_END, request.request_id, f"{attempt.endpoint}: the request was never complete"
            )

    def _check_complete_request(self, request: SentRequest, answers: list[Answer], attempts: list[Attempt]) -> None:
        self._verdict.complete_requests += 1
        complete_answer = next((answer for answer in answers if answer.is_complete), None)
        self._check_answer(request, complete_answer, answers)
        if self._overlaps_scheduling_lag(request):
            self._verdict.unchecked[UncheckedReason.SCHEDULING_LAG] += 1
            return
        if complete_answer is not None:
            self._check_answer_time(request, complete_answer)
        self._check_attempts(request, complete_answer, attempts)
        self._check_slow_responses(request, answers, attempts)

    def _check_slow_responses(self, request: SentRequest, answers: list[Answer], attempts: list[Attempt]) -> None:
        """Check that a response was not cut off, unless its client left or the response of another attempt was used."""
        if request.disconnected_ns is not None or request.follows_malformed or self._was_pending_at_kill(request):
            return
        if any(answer.status == 200 and answer.is_complete for answer in answers):
            return
        for attempt in attempts:
            if attempt.closed_early_ns is None or self._was_stopped(request):
                continue
            if attempt.response_started_ns > request.deadline_ns - CLOCK_TOLERANCE_NS:
                continue  # the response had not started in time
            # In front of pipelined requests, a response that stalls or whose length is not declared may fail: it may
            # never end, and the requests behind it would get no response in time.
            may_never_end = attempt.pauses or not attempt.has_length
            if not (may_never_end and self._has_request_behind(request, attempt.closed_early_ns)):
                self._add_violation(Rule.STREAM_CLOSED_EARLY, request.request_id, f"{attempt.endpoint}: {attempt.plan}")

    def _has_request_behind(self, request: SentRequest, until_ns: int) -> bool:
        """Return whether a further request had been written to the connection by then."""
        return any(
            other.connection == request.connection
            and other.position > request.position
            and other.last_byte_ns is not None
            and other.last_byte_ns <= until_ns
            for other in self._records.requests.values()
        )

    def _was_stopped(self, request: SentRequest) -> bool:
        """Return whether the sidecar was stopped or killed, or the client left, while the request was in progress."""
        assert request.last_byte_ns is not None
        ended = self._records.ended_connections.get(request.connection)
        if ended is not None and ended.end is ConnectionEnd.CLOSED_BY_CLIENT:
            return True
        return any(
            stop.sidecar == request.sidecar and stop.overlaps(request.last_byte_ns, request.deadline_ns)
            for stop in self._records.stops
        )

    def _check_answer(self, request: SentRequest, complete_answer: Answer | None, answers: list[Answer]) -> None:
        if complete_answer is not None:
            self._verdict.served += complete_answer.status == 200
            self._verdict.rejected_or_failed += complete_answer.status != 200
        elif request.disconnected_ns is not None and request.disconnected_ns < self._due_ns(request):
            self._verdict.disconnected += 1
        elif (reason := self._unchecked_reason(request, answers)) is not None:
            self._verdict.unchecked[reason] += 1
            if reason is UncheckedReason.PENDING_AT_CLOSE:
                self._verdict.pending_at_close.append(request.request_id)
        else:
            self._add_violation(Rule.NO_ANSWER, request.request_id, self._describe_missing_answer(request, answers))

    def _describe_missing_answer(self, request: SentRequest, answers: list[Answer]) -> str:
        assert request.last_byte_ns is not None
        ended = self._records.ended_connections.get(request.connection)
        if ended is None or ended.end is ConnectionEnd.CLOSED_BY_CLIENT:
            outcome = "the sidecar left the connection open"
        else:
            elapsed_ms = (ended.ended_ns - request.last_byte_ns) / NS_PER_MS
            outcome = f"{ended.end.value} {elapsed_ms:.0f} ms after its last byte"
        if answers:
            outcome = f"a truncated answer of status {answers[0].status} and {len(answers[0].body)} bytes; {outcome}"
        connection = "reused" if request.position else "new"
        attempts = "forwarded" if self._attempts[request.request_id] else "never forwarded"
        if not answers and _write_of(request) in self._answered_writes:
            attempts += ", in one write with an answered request"
        return f"{outcome}; {connection} connection; {attempts}"

    def _unchecked_reason(self, request: SentRequest, answers: list[Answer]) -> UncheckedReason | None:
        if self._was_pending_at_kill(request):
            return UncheckedReason.SIDECAR_KILLED
        if request.follows_malformed:
            return UncheckedReason.AFTER_MALFORMED_REQUEST
        if any(self._was_truncated_by_endpoint(request, answer) for answer in answers):
            return UncheckedReason.TRUNCATED_BY_ENDPOINT
        if not answers and self._may_be_unread(request):
            assert request.last_byte_ns is not None
            ended_ns = self._records.ended_connections[request.connection].ended_ns
            crossed = ended_ns - request.last_byte_ns <= CROSSING_NS
            return UncheckedReason.CROSSED_CLOSE if crossed else UncheckedReason.PENDING_AT_CLOSE
        return None

    def _was_pending_at_kill(self, request: SentRequest) -> bool:
        ended = self._records.ended_connections.get(request.connection)
        return ended is not None and any(
            kill.sidecar == request.sidecar
            and kill.at_ns <= ended.ended_ns + CLOCK_TOLERANCE_NS
            and ended.ended_ns - kill.at_ns < ANSWER_SLACK_NS
            and kill.at_ns < self._due_ns(request) + self._extra_time_ns(request)
            and self._is_excused_by(kill, request)
            for kill in self._records.kills
        )

    def _extra_time_ns(self, request: SentRequest) -> int:
        """Return how long after its deadline a request may still be pending, because its endpoint writes slowly."""
        return SLOW_RESPONSE_NS if self._is_delayed_by_endpoint(request) else 0

    def _is_excused_by(self, kill: SidecarKill, request: SentRequest) -> bool:
        """Return whether a request that the kill found pending needs no answer."""
        return not kill.follows_sigterm or self._is_delayed_by_endpoint(request)

    def _may_be_unread(self, request: SentRequest) -> bool:
        """Return whether the sidecar may have closed a reused connection without reading the request."""
        ended = self._records.ended_connections.get(request.connection)
        return (
            ended is not None
            and ended.end is not ConnectionEnd.CLOSED_BY_CLIENT
            and any(write.connection == request.connection for write in self._answered_writes)
            and _write_of(request) not in self._answered_writes
            and not self._attempts[request.request_id]
        )

    def _was_truncated_by_endpoint(self, request: SentRequest, answer: Answer) -> bool:
        """Return whether the answer comes from an attempt whose endpoint sent an incomplete response."""
        identity = read_identity_prefix(answer.body)
        return identity is not None and any(
            attempt.attempt_number == identity.attempt_number and attempt.response_kind is ResponseKind.INCOMPLETE
            for attempt in self._attempts[request.request_id]
        )

    def _check_non_idempotent(self, request: SentRequest, attempts: list[Attempt]) -> None:
        may_have_run = [
            attempt
            for attempt in attempts
            if attempt.last_byte_ns is not None and attempt.response_kind is not ResponseKind.UNPROCESSED
        ]
        if len(may_have_run) > 1:
            endpoints = ", ".join(attempt.endpoint for attempt in may_have_run)
            self._add_violation(Rule.AT_MOST_ONCE_TWICE, request.request_id, f"received completely by {endpoints}")

    def _check_body(self, request: SentRequest, answer: Answer) -> None:
        if answer.status in SIDECAR_ERROR_STATUSES:
            return
        if answer.status != 200:
            if not request.follows_malformed:
                self._add_violation(
                    Rule.WRONG_ANSWER, request.request_id, f"status {answer.status} {answer.body[:60]!r}"
                )
            return
        try:
            identity = read_identity(answer.body)
        except MalformedBodyError as error:
            self._add_violation(Rule.WRONG_ANSWER, request.request_id, str(error))
            return
        if identity.request_id != request.request_id:
            self._add_violation(
                Rule.WRONG_ANSWER, request.request_id, f"made for {identity.request_id} by {identity.endpoint}"
            )
        elif not any(
            attempt.attempt_number == identity.attempt_number and attempt.endpoint == identity.endpoint
            for attempt in self._attempts[request.request_id]
        ):
            self._add_violation(Rule.WRONG_ANSWER, request.request_id, f"{identity.endpoint} received no such attempt")

    # ------------------------------------------------------------ times

    def _due_ns(self, request: SentRequest) -> int:
        """Return when the answer is due: the slack later than the deadline, or than SIGCONT if that comes later."""
        until_ns = request.deadline_ns
        for stop in sorted(self._records.stops, key=lambda interval: interval.start_ns):
            if stop.sidecar == request.sidecar and stop.start_ns < until_ns + ANSWER_SLACK_NS:
                until_ns = max(until_ns, stop.end_ns)
        return until_ns + ANSWER_SLACK_NS

    def _overlaps_scheduling_lag(self, request: SentRequest) -> bool:
        assert request.last_byte_ns is not None
        return _any_overlaps(self._records.scheduling_lags, request.last_byte_ns, self._due_ns(request))

    def _check_answer_time(self, request: SentRequest, answer: Answer) -> None:
        overdue_ns = answer.ended_ns - self._due_ns(request)
        if overdue_ns > 0 and not request.reads_slowly and request.disconnected_ns is None:
            if self._is_delayed_by_endpoint(request):
                return
            detail = f"{overdue_ns / NS_PER_MS:.0f} ms after deadline and slack; status {answer.status}"
            self._add_violation(Rule.LATE_ANSWER, request.request_id, detail)

    def _check_attempts(self, request: SentRequest, complete_answer: Answer | None, attempts: list[Attempt]) -> None:
        ends = [_RequestEnd(request.deadline_ns, "its deadline")]
        if complete_answer is not None:
            ends.append(_RequestEnd(complete_answer.ended_ns, "its answer"))
        if request.disconnected_ns is not None:
            cancelled_ns = request.disconnected_ns + CANCELLATION_SLACK_NS
            ends.append(_RequestEnd(cancelled_ns, "0.1 s after its client disconnected"))
        earliest_end = min(ends, key=lambda end: end.at_ns)
        for attempt in attempts:
            self._check_attempt_end(request, attempt, earliest_end)
            self._check_time_left(request, attempt)

    def _check_attempt_end(self, request: SentRequest, attempt: Attempt, end: _RequestEnd) -> None:
        limit_ns = end.at_ns + CLOCK_TOLERANCE_NS
        if attempt.first_byte_ns > limit_ns:
            detail = f"{attempt.endpoint}: {(attempt.first_byte_ns - end.at_ns) / NS_PER_MS:.0f} ms after {end.cause}"
            self._add_violation(Rule.FORWARDED_AFTER_END, request.request_id, detail)
        elif attempt.latest_byte_ns > limit_ns:
            detail = f"{attempt.endpoint}: {(attempt.latest_byte_ns - end.at_ns) / NS_PER_MS:.0f} ms after {end.cause}"
            self._add_violation(Rule.BYTES_AFTER_END, request.request_id, detail)

    def _check_time_left(self, request: SentRequest, attempt: Attempt) -> None:
        if attempt.time_left_ns < 0:
            return
        excess_ns = attempt.time_left_ns - max(0, request.deadline_ns - attempt.first_byte_ns)
        if excess_ns > TIME_LEFT_SLACK_NS:
            time_left_ms, excess_ms = attempt.time_left_ns / NS_PER_MS, excess_ns / NS_PER_MS
            detail = f"{attempt.endpoint}: X-Time-Left {time_left_ms:.0f} ms, {excess_ms:.0f} ms too much"
            self._add_violation(Rule.TIME_LEFT_TOO_LARGE, request.request_id, detail)


def _write_of(request: SentRequest) -> _Write:
    """Return the write that contained the last byte of a request."""
    return _Write(request.connection, request.write_number)


def _any_overlaps(intervals: Iterable[Interval], start_ns: int, end_ns: int) -> bool:
    return any(interval.overlaps(start_ns, end_ns) for interval in intervals)
