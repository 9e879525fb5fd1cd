"""Rule 1: each request gets exactly one complete response, in time and made for it, and reaches servers unaltered."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import inf

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
NOT_ANSWERED = (ClientOutcome.DROPPED, ClientOutcome.PENDING)


@dataclass(slots=True)
class ResponseFindings:
    """Violations of the rule, and requests lost by a killed sidecar, which are none."""

    violations: list[Violation] = field(default_factory=list)
    lost: int = 0


def check_responses(log: EventLog, start: float) -> ResponseFindings:
    """Hold each client attempt against the rule."""
    kills = {(event.sidecar, event.at) for event in log.process_events if event.kind == ProcessEventKind.KILL}
    stops = _stop_intervals(log.process_events)
    served = {attempt.request_id for attempt in log.server_attempts if attempt.outcome == ServerOutcome.SERVED}
    findings = ResponseFindings()
    for attempt in log.client_attempts:
        if attempt.outcome == ClientOutcome.DUPLICATE or attempt.duplicate_response:
            findings.violations.append(_duplicate_response(attempt, start))
        if attempt.outcome in NO_RESPONSE_DUE:
            continue
        if any(sidecar == attempt.sidecar and attempt.sent_at <= at <= attempt.ended_at for sidecar, at in kills):
            findings.lost += attempt.outcome in NOT_ANSWERED
            continue
        if attempt.outcome in NOT_ANSWERED:
            if _met_planned_stop(attempt, stops) and attempt.request_id not in log.server_attempts_by_request:
                continue
            findings.violations.append(_dropped(attempt, start))
        elif attempt.ended_at > _response_due(attempt):
            findings.violations.append(_late(attempt, start))
        if attempt.outcome == ClientOutcome.FOREIGN or (
            attempt.outcome == ClientOutcome.SERVED and attempt.request_id not in served
        ):
            findings.violations.append(_foreign_response(attempt, start))
    return findings


def check_unknown_requests(log: EventLog, start: float) -> list[Violation]:
    """Report each request that reached a server and that no client sent in this form."""
    return [
        Violation(
            ViolationName.REQUEST_ALTERED,
            Rule.RESPONSES,
            request.at - start,
            request.server,
            f"sidecar {request.sidecar} sent what no client did: {request.description}",
        )
        for request in log.unknown_requests
    ]


def _stop_intervals(events: list[ProcessEvent]) -> dict[int, list[tuple[float, float]]]:
    """When each sidecar was being stopped: from the first signal until it was ready again."""
    intervals: dict[int, list[tuple[float, float]]] = defaultdict(list)
    signalled_at: dict[int, float] = {}
    for event in sorted(events, key=lambda event: event.at):
        if event.kind in STOP_SIGNALS:
            signalled_at.setdefault(event.sidecar, event.at)
        elif event.kind == ProcessEventKind.READY and event.sidecar in signalled_at:
            intervals[event.sidecar].append((signalled_at.pop(event.sidecar), event.at))
    for sidecar, since in signalled_at.items():
        intervals[sidecar].append((since, inf))
    return intervals


def _met_planned_stop(attempt: ClientAttempt, stops: dict[int, list[tuple[float, float]]]) -> bool:
    """Whether the connection ended as the sidecar was being stopped."""
    if attempt.outcome != ClientOutcome.DROPPED:
        return False
    return any(begin <= attempt.ended_at and attempt.sent_at <= end for begin, end in stops.get(attempt.sidecar, ()))


def _response_due(attempt: ClientAttempt) -> float:
    return attempt.deadline_at + RESPONSE_SLACK_S + SOCKET_ALLOWANCE_S


def _violation(name: ViolationName, attempt: ClientAttempt, start: float, description: str) -> Violation:
    return Violation(name, Rule.RESPONSES, attempt.ended_at - start, attempt.request_id, description)


def _duplicate_response(attempt: ClientAttempt, start: float) -> Violation:
    return _violation(ViolationName.DUPLICATE_RESPONSE, attempt, start, "bytes came behind the one final answer")


def _dropped(attempt: ClientAttempt, start: float) -> Violation:
    dropped = attempt.outcome == ClientOutcome.DROPPED
    how = "the connection ended without a whole answer" if dropped else "nothing came"
    due = _response_due(attempt) - start
    return _violation(
        ViolationName.DROPPED,
        attempt,
        start,
        f"sidecar {attempt.sidecar}: {how}; an answer was due by {due:.3f} s",
    )


def _late(attempt: ClientAttempt, start: float) -> Violation:
    ended, due = attempt.ended_at - start, _response_due(attempt) - start
    return _violation(
        ViolationName.LATE,
        attempt,
        start,
        f"sidecar {attempt.sidecar} answered at {ended:.3f} s, due by {due:.3f} s",
    )


def _foreign_response(attempt: ClientAttempt, start: float) -> Violation:
    return _violation(
        ViolationName.FOREIGN_RESPONSE,
        attempt,
        start,
        f"sidecar {attempt.sidecar} served a body that no server made for this request",
    )
