"""The verdict of a run as text, with the timeline of requests that it breached."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator

from tests.fault_injection.checker import NotJudged, Verdict, Violation
from tests.fault_injection.records import RunRecords, SentRequest
from tests.fault_injection.scenario import RunResult, Scenario

MAX_TIMELINES_PER_SHAPE = 2
MAX_SHAPES = 20
_NUMBER = re.compile(r"(?<![A-Za-z])-?\d+|(?<=\be)\d+")
BEFORE_REQUEST_NS = 200_000_000
AFTER_DEADLINE_NS = 1_000_000_000
MAX_NEIGHBOURS = 3
"""Requests before and behind it on its connection that a timeline shows."""
NEARBY_FAULTS_NS = 4_000_000_000


def describe(scenario: Scenario, result: RunResult, verdict: Verdict) -> Iterator[str]:
    """Yield the lines of the verdict; timelines for the first violations of each shape."""
    word = "BREACHED" if verdict.violations else "KEPT"
    yield (
        f"{word} seed {scenario.seed}: {verdict.judged} requests judged, {verdict.served} served, "
        f"{verdict.refused_or_failed} refused or failed, {verdict.left} left; {len(result.records.attempts)} attempts"
    )
    for rule, count in verdict.counts().items():
        yield f"  {rule.name.lower():22} {count:5}"
    lags = result.records.own_lags
    longest_ms = max((lag.end_ns - lag.start_ns for lag in lags), default=0) / 1e6
    yield f"  the judging process ran late {len(lags)} times, {longest_ms:.0f} ms at most"
    yield from _shapes(verdict)
    for reason, count in verdict.not_judged.most_common():
        yield f"  not judged: {reason.value}: {count}"
    shown: Counter[str] = Counter()
    for violation in sorted(verdict.violations, key=lambda violation: violation.rule.name):
        shown[_shape(violation)] += 1
        if shown[_shape(violation)] <= MAX_TIMELINES_PER_SHAPE:
            yield from timeline(violation, result)
    for request_id in verdict.pending_at_close[:MAX_TIMELINES_PER_SHAPE]:
        yield f"not judged {request_id}: {NotJudged.PENDING_AT_CLOSE.value}"
        yield from _timeline(request_id, result)


def _shape(violation: Violation) -> str:
    return f"{violation.rule.name.lower()}: {_NUMBER.sub('N', violation.detail)}"


def _shapes(verdict: Verdict) -> Iterator[str]:
    """Yield how often the same was said of a violation, numbers aside: causes show by this."""
    for shape, count in Counter(map(_shape, verdict.violations)).most_common(MAX_SHAPES):
        yield f"  {count:5} x {shape}"


def timeline(violation: Violation, result: RunResult) -> Iterator[str]:
    """Yield what happened to one request, in milliseconds from the start of the run."""
    yield f"{violation.rule.name.lower()} {violation.request_id}: {violation.detail}"
    yield from _timeline(violation.request_id, result)


def _timeline(request_id: str, result: RunResult) -> Iterator[str]:
    request = result.records.requests.get(request_id)
    if request is None:
        return
    for at_ns, text in sorted(_events(request, result.records)):
        if _is_near(request, at_ns) or text.startswith("fault: "):
            yield f"    {(at_ns - result.started_ns) / 1e6:9.1f} {text}"


def _is_near(request: SentRequest, at_ns: int) -> bool:
    """Return whether this is within the life of the request or just beside it."""
    if request.last_byte_ns is None:
        return True
    return request.last_byte_ns - BEFORE_REQUEST_NS <= at_ns <= request.deadline_ns + AFTER_DEADLINE_NS


def _events(request: SentRequest, records: RunRecords) -> Iterator[tuple[int, str]]:
    on_connection = [other for other in records.requests.values() if other.connection == request.connection]
    for other in on_connection:
        if other.last_byte_ns is not None and _is_neighbour(other.request_id, request, records):
            mark = "*" if other is request else "-"
            yield (
                other.last_byte_ns,
                f"{mark} {other.request_id} ({other.request_class.value}) whole by write {other.write_number} on "
                f"connection {other.connection} of sidecar {other.sidecar}, {other.time_left_ns / 1e9:.3f} s left",
            )
    if request.disconnected_ns is not None:
        yield request.disconnected_ns, "the client leaves"
    for answer in records.answers:
        if answer.connection == request.connection and _is_neighbour(answer.request_id, request, records):
            whole = "whole" if answer.is_complete else "cut"
            yield answer.ended_ns, f"answer {answer.status} to {answer.request_id}, {whole}, {len(answer.body)} bytes"
    ended = records.ended_connections.get(request.connection)
    if ended is not None:
        yield ended.ended_ns, f"connection {request.connection} {ended.end.value}"
    for attempt in records.attempts:
        if attempt.request_id == request.request_id:
            told = f"told {attempt.time_left_ns / 1e9:.3f} s"
            whole = "whole" if attempt.last_byte_ns is not None else "not whole"
            yield attempt.first_byte_ns, f"attempt {attempt.attempt_number} at {attempt.endpoint}, {told}, {whole}"
            if attempt.ended_ns is not None:
                yield (
                    attempt.ended_ns,
                    f"attempt {attempt.attempt_number} over: {attempt.plan}; {attempt.response_kind.value}",
                )
    yield from _nearby_faults(request, records)


def _is_neighbour(request_id: str | None, request: SentRequest, records: RunRecords) -> bool:
    if request_id is None:
        return True
    return abs(records.requests[request_id].position - request.position) <= MAX_NEIGHBOURS


def _nearby_faults(request: SentRequest, records: RunRecords) -> Iterator[tuple[int, str]]:
    if request.last_byte_ns is None:
        return
    for fault in records.faults:
        if fault.sidecar not in (None, request.sidecar):
            continue
        if -NEARBY_FAULTS_NS <= fault.at_ns - request.last_byte_ns <= request.time_left_ns + NEARBY_FAULTS_NS:
            yield fault.at_ns, f"fault: {fault.text}"
