"""Rule 2: a request has at most one effect, and is repeated only where and while repeats are deduplicated."""

from __future__ import annotations

from collections import defaultdict

from lugtally.testbed.scenario.scenario import RequestClass
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome, ServerAttempt, ServerOutcome
from lugtally.testbed.verification.violations import SOCKET_ALLOWANCE_S, Rule, Violation, ViolationName


def check_effects(log: EventLog, schedule: Schedule, start: float) -> list[Violation]:
    """Check each request of a class that is not idempotent."""
    violations: list[Violation] = []
    effects: dict[str, list[ServerAttempt]] = defaultdict(list)
    for request in log.client_attempts:
        if request.outcome == ClientOutcome.DUPLICATE:
            continue
        request_class = schedule.scenario.classes[request.class_index]
        if request_class.effect == "safe":
            continue
        attempts = log.server_attempts_by_request.get(request.request_id, [])
        violations += _check_repeats(attempts, request_class, start)
        for attempt in attempts:
            if attempt.had_effect:
                effects[request.first_id].append(attempt)
        violations += _check_rejection(request, attempts, request_class, start)
    return violations + _check_single_effects(effects, start)


def _may_have_run(attempt: ServerAttempt) -> bool:
    """Return whether an attempt may have run: it arrived completely and the server did not reject it."""
    return attempt.outcome != ServerOutcome.REJECTED


def _check_repeats(attempts: list[ServerAttempt], request_class: RequestClass, start: float) -> list[Violation]:
    """Report each attempt that was not allowed after an earlier one."""
    violations: list[Violation] = []
    may_have_run: list[ServerAttempt] = []
    for attempt in attempts:
        for earlier in may_have_run:
            violation = _check_repeat(attempt, earlier, request_class, start)
            if violation is not None:
                violations.append(violation)
                break
        if _may_have_run(attempt):
            may_have_run.append(attempt)
    return violations


def _check_repeat(
    attempt: ServerAttempt, earlier: ServerAttempt, request_class: RequestClass, start: float
) -> Violation | None:
    """Report an attempt that was not allowed after an earlier one that may have run."""
    elapsed = attempt.last_byte_at - earlier.last_byte_at
    allowed = request_class.deduplication_window_ms / 1000 + SOCKET_ALLOWANCE_S
    if request_class.effect == "unsafe":
        name = ViolationName.NON_IDEMPOTENT_REPEATED
        description = (
            f"sent to {attempt.server} after {earlier.server} had received it at {earlier.last_byte_at - start:.3f} s"
        )
    elif request_class.deduplication_scope != "all" and earlier.zone != attempt.zone:
        name = ViolationName.REPEATED_OUT_OF_SCOPE
        description = f"sent to {attempt.server} in {attempt.zone} after {earlier.server} in {earlier.zone}"
    elif elapsed > allowed:
        name = ViolationName.REPEATED_AFTER_WINDOW
        description = f"sent again {elapsed:.3f} s after the first; {allowed:.3f} s allowed"
    else:
        return None
    return Violation(name, Rule.EFFECTS, attempt.last_byte_at - start, attempt.request_id, description)


def _check_rejection(
    request: ClientAttempt, attempts: list[ServerAttempt], request_class: RequestClass, start: float
) -> list[Violation]:
    """Report a rejection of a request that may have run, unless a repeat is deduplicated everywhere."""
    repeatable_everywhere = request_class.effect == "keyed" and request_class.deduplication_scope == "all"
    if request.outcome != ClientOutcome.REJECTED or repeatable_everywhere:
        return []
    ran = next((attempt for attempt in attempts if _may_have_run(attempt)), None)
    if ran is None:
        return []
    return [
        Violation(
            ViolationName.REJECTED_AFTER_RUN,
            Rule.EFFECTS,
            request.ended_at - start,
            request.request_id,
            f"answered {request.status} although {ran.server} had received it at {ran.last_byte_at - start:.3f} s",
        )
    ]


def _check_single_effects(effects: dict[str, list[ServerAttempt]], start: float) -> list[Violation]:
    """Report each request with more than one effect over all attempts of its client."""
    return [
        Violation(
            ViolationName.TWO_EFFECTS,
            Rule.EFFECTS,
            attempts[1].last_byte_at - start,
            first_id,
            "ran with effect at "
            + " and ".join(
                f"{attempt.server} ({attempt.request_id}, {attempt.last_byte_at - start:.3f} s)" for attempt in attempts
            ),
        )
        for first_id, attempts in effects.items()
        if len(attempts) > 1
    ]
