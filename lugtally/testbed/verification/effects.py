"""Rule 2: a request has at most one effect.

It is repeated only within the scope and the window in which repeats are deduplicated.
"""

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
    effects_by_first_id: dict[str, list[ServerAttempt]] = defaultdict(list)
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
                effects_by_first_id[request.first_id].append(attempt)
        violations += _check_rejection(request, attempts, request_class, start)
    return violations + _check_single_effects(effects_by_first_id, start)


def _may_have_been_processed(attempt: ServerAttempt) -> bool:
    """Return whether the server may have processed an attempt: it arrived completely and was not rejected."""
    return attempt.outcome != ServerOutcome.REJECTED


def _check_repeats(attempts: list[ServerAttempt], request_class: RequestClass, start: float) -> list[Violation]:
    """Report each attempt that an earlier one of the same request did not allow."""
    violations: list[Violation] = []
    possibly_processed: list[ServerAttempt] = []
    for attempt in attempts:
        for earlier in possibly_processed:
            violation = _check_repeat(attempt, earlier, request_class, start)
            if violation is not None:
                violations.append(violation)
                break
        if _may_have_been_processed(attempt):
            possibly_processed.append(attempt)
    return violations


def _check_repeat(
    attempt: ServerAttempt, earlier: ServerAttempt, request_class: RequestClass, start: float
) -> Violation | None:
    """Report an attempt that is not allowed after an earlier one that may have been processed."""
    elapsed_s = attempt.last_byte_at - earlier.last_byte_at
    allowed_s = request_class.deduplication_window_ms / 1000 + SOCKET_ALLOWANCE_S
    if request_class.effect == "unsafe":
        name = ViolationName.NON_IDEMPOTENT_REPEATED
        description = (
            f"sent to {attempt.server} after {earlier.server} had received it at {earlier.last_byte_at - start:.3f} s"
        )
    elif request_class.deduplication_scope != "all" and earlier.zone != attempt.zone:
        name = ViolationName.REPEATED_OUT_OF_SCOPE
        description = f"sent to {attempt.server} in {attempt.zone} after {earlier.server} in {earlier.zone}"
    elif elapsed_s > allowed_s:
        name = ViolationName.REPEATED_AFTER_WINDOW
        description = f"sent again {elapsed_s:.3f} s after the first; {allowed_s:.3f} s allowed"
    else:
        return None
    return Violation(name, Rule.EFFECTS, attempt.last_byte_at - start, attempt.request_id, description)


def _check_rejection(
    request: ClientAttempt, attempts: list[ServerAttempt], request_class: RequestClass, start: float
) -> list[Violation]:
    """Report a rejection of a request that may have been processed, unless a repeat is deduplicated everywhere."""
    is_deduplicated_everywhere = request_class.effect == "keyed" and request_class.deduplication_scope == "all"
    if request.outcome != ClientOutcome.REJECTED or is_deduplicated_everywhere:
        return []
    received = next((attempt for attempt in attempts if _may_have_been_processed(attempt)), None)
    if received is None:
        return []
    return [
        Violation(
            ViolationName.REJECTED_AFTER_RUN,
            Rule.EFFECTS,
            request.ended_at - start,
            request.request_id,
            f"answered {request.status} although {received.server} had received it "
            f"at {received.last_byte_at - start:.3f} s",
        )
    ]


def _check_single_effects(effects_by_first_id: dict[str, list[ServerAttempt]], start: float) -> list[Violation]:
    """Report each request that had more than one effect over all attempts of its client."""
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
        for first_id, attempts in effects_by_first_id.items()
        if len(attempts) > 1
    ]
