"""Rule 1: each request gets exactly one complete response, its own and in time, and reaches servers unaltered."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import (
    ClientAttempt,
    ClientOutcome,
    ProcessEvent,
    ProcessEventKind,
    ServerOutcome,
)
from lugtally.testbed.verification.violations import (
    RESPONSE_SLACK_S,
    SOCKET_ALLOWANCE_S,
    Rule,
    Violation,
    ViolationName,
)

STOP_SIGNALS = (ProcessEventKind.KILL, ProcessEventKind.TERM)
NO_RESPONSE_DUE = (ClientOutcome.DUPLICATE, ClientOutcome.UNREACHABLE, ClientOutcome.CLIENT_LEFT)
WITHOUT_RESPONSE = (ClientOutcome.DROPPED, ClientOutcome.PENDING)


class StopInterval(NamedTuple):
    """Interval in which a sidecar was stopping or restarting: from the first signal until it was ready again."""

    begin: float
    end: float


StopIntervals = dict[int, list[StopInterval]]  # by sidecar


@dataclass(slots=True)
class ResponseFindings:
    """Result of the checks of rule 1."""

    violations: list[Violation] = field(default_factory=list)
    lost: int = 0  # requests whose sidecar was killed; they do not count as violations


def check_responses(log: EventLog, start: float) -> ResponseFindings:
    """Check the response to each client attempt.

    An attempt whose sidecar was killed counts as lost.  An attempt dropped while its sidecar was stopping is no
    violation if no server received it.
    """
    kills = [event for event in log.process_events if event.kind == ProcessEventKind.KILL]
    stop_intervals = _stop_intervals(log.process_events)
    served_ids = {attempt.request_id for attempt in log.server_attempts if attempt.outcome == ServerOutcome.SERVED}
    findings = ResponseFindings()
    for attempt in log.client_attempts:
        if attempt.outcome == ClientOutcome.DUPLICATE or attempt.duplicate_response:
            findings.violations.append(_duplicate_response_violation(attempt, start))
        if attempt.outcome in NO_RESPONSE_DUE:
            continue
        if any(_was_in_flight_at_kill(attempt, kill) for kill in kills):
            findings.lost += attempt.outcome in WITHOUT_RESPONSE
            continue
        if attempt.outcome in WITHOUT_RESPONSE:
            if (
                _was_dropped_during_stop(attempt, stop_intervals)
                and attempt.request_id not in log.server_attempts_by_request
            ):
                continue
            findings.violations.append(_dropped_violation(attempt, start))
        elif attempt.ended_at > _response_due_at(attempt):
            findings.violations.append(_late_violation(attempt, start))
        if attempt.outcome == ClientOutcome.FOREIGN or (
            attempt.outcome == ClientOutcome.SERVED and attempt.request_id not in served_ids
        ):
            findings.violations.append(_foreign_response_violation(attempt, start))
    return findings


def check_unknown_requests(log: EventLog, start: float) -> list[Violation]:
    """Report each request at a server that no client sent in this form."""
    return [
        Violation(
            ViolationName.REQUEST_ALTERED,
            Rule.RESPONSES,
            request.at - start,
            request.server,
            f"sidecar {request.sidecar} sent what no client had sent: {request.description}",
        )
        for request in log.unknown_requests
    ]


def _stop_intervals(events: list[ProcessEvent]) -> StopIntervals:
    """Return when each sidecar was stopping or restarting."""
    intervals: StopIntervals = defaultdict(list)
    signalled_at: dict[int, float] = {}
    for event in sorted(events, key=lambda event: event.at):
        if event.kind in STOP_SIGNALS:
            signalled_at.setdefault(event.sidecar, event.at)
        elif event.kind == ProcessEventKind.READY and event.sidecar in signalled_at:
            intervals[event.sidecar].append(StopInterval(signalled_at.pop(event.sidecar), event.at))
    for sidecar, since in signalled_at.items():
        intervals[sidecar].append(StopInterval(since, inf))
    return intervals


def _was_in_flight_at_kill(attempt: ClientAttempt, kill: ProcessEvent) -> bool:
    """Return whether the attempt was in flight when its sidecar was killed."""
    return kill.sidecar == attempt.sidecar and attempt.sent_at <= kill.at <= attempt.ended_at


def _was_dropped_during_stop(attempt: ClientAttempt, stop_intervals: StopIntervals) -> bool:
    """Return whether the connection of the attempt ended while its sidecar was stopping or restarting."""
    if attempt.outcome != ClientOutcome.DROPPED:
        return False
    return any(
        stop.begin <= attempt.ended_at and attempt.sent_at <= stop.end
        for stop in stop_intervals.get(attempt.sidecar, ())
    )


def _response_due_at(attempt: ClientAttempt) -> float:
    """Return the latest time at which the response to an attempt is in time."""
    return attempt.deadline_at + RESPONSE_SLACK_S + SOCKET_ALLOWANCE_S


def _violation(name: ViolationName, attempt: ClientAttempt, start: float, description: str) -> Violation:
    return Violation(name, Rule.RESPONSES, attempt.ended_at - start, attempt.request_id, description)


def _duplicate_response_violation(attempt: ClientAttempt, start: float) -> Violation:
    return _violation(ViolationName.DUPLICATE_RESPONSE, attempt, start, "bytes followed the final response")


def _dropped_violation(attempt: ClientAttempt, start: float) -> Violation:
    dropped = attempt.outcome == ClientOutcome.DROPPED
    what_happened = "the connection ended without a complete response" if dropped else "no response"
    due_s = _response_due_at(attempt) - start
    return _violation(
        ViolationName.DROPPED,
        attempt,
        start,
        f"sidecar {attempt.sidecar}: {what_happened}; a response was due by {due_s:.3f} s",
    )


def _late_violation(attempt: ClientAttempt, start: float) -> Violation:
    ended_s, due_s = attempt.ended_at - start, _response_due_at(attempt) - start
    return _violation(
        ViolationName.LATE,
        attempt,
        start,
        f"sidecar {attempt.sidecar} answered at {ended_s:.3f} s, due by {due_s:.3f} s",
    )


def _foreign_response_violation(attempt: ClientAttempt, start: float) -> Violation:
    return _violation(
        ViolationName.FOREIGN_RESPONSE,
        attempt,
        start,
        f"sidecar {attempt.sidecar} returned a body that no server made for this request",
    )
