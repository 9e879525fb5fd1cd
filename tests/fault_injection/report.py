"""The verdict on a run as text, with timelines of the requests that violate a rule."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fault_injection.records import RunRecords, SentRequest
from tests.fault_injection.scenario import RunResult, Scenario
from tests.fault_injection.verdict import UncheckedReason, Verdict, Violation

FAULT_PREFIX = "fault: "
MAX_TIMELINES_PER_SIGNATURE = 2
MAX_SIGNATURES = 20
_NUMBER_PATTERN = re.compile(r"(?<![A-Za-z])-?\d+|(?<=\be)\d+")
BEFORE_REQUEST_NS = 200 * NS_PER_MS
AFTER_DEADLINE_NS = NS_PER_S
MAX_NEIGHBOURS = 3
"""The number of requests before and after a request on its connection that its timeline shows."""
FAULT_MARGIN_NS = 4 * NS_PER_S
"""The time before a request and after its deadline in which its timeline shows injected faults."""


class TimedText(NamedTuple):
    """One line of a timeline."""

    at_ns: int
    text: str


def describe(scenario: Scenario, result: RunResult, verdict: Verdict) -> Iterator[str]:
    """Yield the lines of the verdict, with timelines of the first violations of each signature."""
    yield _summary(scenario, result, verdict)
    for rule, count in verdict.counts().items():
        yield f"  {rule.name.lower():22} {count:5}"
    lags = result.records.scheduling_lags
    longest_ms = max((lag.end_ns - lag.start_ns for lag in lags), default=0) / NS_PER_MS
    yield f"  the checking process ran late {len(lags)} times, {longest_ms:.0f} ms at most"
    yield from _signature_counts(verdict)
    for reason, count in verdict.unchecked.most_common():
        yield f"  not checked: {reason.value}: {count}"
    yield from _violations(verdict, result)
    for request_id in verdict.pending_at_close[:MAX_TIMELINES_PER_SIGNATURE]:
        yield f"not checked {request_id}: {UncheckedReason.PENDING_AT_CLOSE.value}"
        yield from _timeline(request_id, result)


def _summary(scenario: Scenario, result: RunResult, verdict: Verdict) -> str:
    summary = "BREACHED" if verdict.violations else "KEPT"
    return (
        f"{summary} seed {scenario.seed}: {verdict.complete_requests} complete requests, {verdict.served} served, "
        f"{verdict.rejected_or_failed} rejected or failed, {verdict.disconnected} disconnected; "
        f"{len(result.records.attempts)} attempts"
    )


def _violations(verdict: Verdict, result: RunResult) -> Iterator[str]:
    """Yield the first violations of each signature with their timelines."""
    shown: Counter[str] = Counter()
    for violation in sorted(verdict.violations, key=lambda violation: violation.rule.name):
        shown[_signature(violation)] += 1
        if shown[_signature(violation)] <= MAX_TIMELINES_PER_SIGNATURE:
            yield f"{violation.rule.name.lower()} {violation.request_id}: {violation.detail}"
            yield from _timeline(violation.request_id, result)


def _signature(violation: Violation) -> str:
    """Return the text of a violation without its numbers, which is equal for violations with the same cause."""
    return f"{violation.rule.name.lower()}: {_NUMBER_PATTERN.sub('N', violation.detail)}"


def _signature_counts(verdict: Verdict) -> Iterator[str]:
    """Yield the most frequent signatures of violations and their counts."""
    for signature, count in Counter(map(_signature, verdict.violations)).most_common(MAX_SIGNATURES):
        yield f"  {count:5} x {signature}"


def _timeline(request_id: str, result: RunResult) -> Iterator[str]:
    """Yield the events of one request, in milliseconds since the start of the run."""
    request = result.records.requests.get(request_id)
    if request is None:
        return
    for at_ns, text in sorted(_events(request, result.records)):
        if _is_around_request(request, at_ns) or text.startswith(FAULT_PREFIX):
            yield f"    {(at_ns - result.started_ns) / NS_PER_MS:9.1f} {text}"


def _is_around_request(request: SentRequest, at_ns: int) -> bool:
    """Return whether a time lies between shortly before the request and shortly after its deadline."""
    if request.last_byte_ns is None:
        return True
    return request.last_byte_ns - BEFORE_REQUEST_NS <= at_ns <= request.deadline_ns + AFTER_DEADLINE_NS


def _events(request: SentRequest, records: RunRecords) -> Iterator[TimedText]:
    yield from _request_events(request, records)
    yield from _answer_events(request, records)
    yield from _attempt_events(request, records)
    yield from _fault_events(request, records)


def _request_events(request: SentRequest, records: RunRecords) -> Iterator[TimedText]:
    """Yield when the request and its neighbours on the connection were written, and when its client disconnected."""
    on_connection = [other for other in records.requests.values() if other.connection == request.connection]
    for other in on_connection:
        if other.last_byte_ns is not None and _is_neighbour(other.request_id, request, records):
            mark = "*" if other is request else "-"
            yield TimedText(
                other.last_byte_ns,
                f"{mark} {other.request_id} ({other.request_class.value}) completed by write {other.write_number} on "
                f"connection {other.connection} of sidecar {other.sidecar}, {other.time_left_ns / NS_PER_S:.3f} s left",
            )
    if request.disconnected_ns is not None:
        yield TimedText(request.disconnected_ns, "the client disconnects")


def _answer_events(request: SentRequest, records: RunRecords) -> Iterator[TimedText]:
    """Yield the answers to the request and its neighbours, and the end of their connection."""
    for answer in records.answers:
        if answer.connection == request.connection and _is_neighbour(answer.request_id, request, records):
            extent = "complete" if answer.is_complete else "truncated"
            text = f"answer {answer.status} to {answer.request_id}, {extent}, {len(answer.body)} bytes"
            yield TimedText(answer.ended_ns, text)
    ended = records.ended_connections.get(request.connection)
    if ended is not None:
        yield TimedText(ended.ended_ns, f"connection {request.connection} {ended.end.value}")


def _attempt_events(request: SentRequest, records: RunRecords) -> Iterator[TimedText]:
    """Yield the start and the end of each attempt of the request."""
    for attempt in records.attempts:
        if attempt.request_id != request.request_id:
            continue
        name = f"attempt {attempt.attempt_number}"
        time_left = f"X-Time-Left {attempt.time_left_ns / NS_PER_S:.3f} s"
        extent = "complete" if attempt.last_byte_ns is not None else "incomplete"
        yield TimedText(attempt.first_byte_ns, f"{name} at {attempt.endpoint}, {time_left}, {extent}")
        if attempt.ended_ns is not None:
            yield TimedText(attempt.ended_ns, f"{name} ends: {attempt.plan}; {attempt.response_kind.value}")


def _is_neighbour(request_id: str | None, request: SentRequest, records: RunRecords) -> bool:
    """Return whether a request of the same connection is at most ``MAX_NEIGHBOURS`` positions away."""
    if request_id is None:
        return True
    return abs(records.requests[request_id].position - request.position) <= MAX_NEIGHBOURS


def _fault_events(request: SentRequest, records: RunRecords) -> Iterator[TimedText]:
    """Yield the faults that affected the request's sidecar near the time of the request."""
    if request.last_byte_ns is None:
        return
    for fault in records.faults:
        if fault.sidecar not in (None, request.sidecar):
            continue
        if -FAULT_MARGIN_NS <= fault.at_ns - request.last_byte_ns <= request.time_left_ns + FAULT_MARGIN_NS:
            yield TimedText(fault.at_ns, f"{FAULT_PREFIX}{fault.text}")
