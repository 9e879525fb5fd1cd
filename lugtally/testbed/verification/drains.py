"""Rule 3: no request reaches a draining or removed server later than a grace time after the sidecar was notified.

A sidecar that polls too rarely counts as notified.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from math import inf
from typing import NamedTuple

from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import EndpointChanged, ServerAttempt
from lugtally.testbed.verification.violations import (
    DRAIN_GRACE_S,
    SOCKET_ALLOWANCE_S,
    Rule,
    Violation,
    ViolationName,
)

READY = "ready"
FAILED_CALL_FACTOR = 4  # times poll_within_s, after a call that failed


class KnownState(NamedTuple):
    """What a sidecar knows of a server from a time on."""

    since: float
    usable: bool


class SidecarEndpoint(NamedTuple):
    """A server as one sidecar knows it."""

    sidecar: int
    server: str


StatesByEndpoint = dict[SidecarEndpoint, list[KnownState]]


def check_drains(log: EventLog, schedule: Schedule, start: float) -> list[Violation]:
    """Report each request that reached a server after its sidecar knew that the server is unusable."""
    states = _known_states(log, schedule)
    grace = DRAIN_GRACE_S + SOCKET_ALLOWANCE_S
    violations: list[Violation] = []
    for attempt in log.server_attempts:
        known = states.get(SidecarEndpoint(attempt.sidecar, attempt.server), [])
        position = bisect_right(known, (attempt.first_byte_at, True)) - 1
        if position >= 0 and not known[position].usable and attempt.first_byte_at > known[position].since + grace:
            violations.append(_sent_to_drained(attempt, known[position].since, grace, start))
    return violations


def _known_states(log: EventLog, schedule: Schedule) -> StatesByEndpoint:
    """Return what each sidecar knew of each server, with one entry for each change."""
    states: StatesByEndpoint = defaultdict(list)
    for notified in log.notifications:
        endpoint = SidecarEndpoint(notified.sidecar, notified.server)
        states[endpoint].append(KnownState(notified.at, notified.state == READY))
    poll_interval = schedule.scenario.discovery.poll_within_s
    for sidecar in range(schedule.scenario.fleet.sidecars):
        for at in _implied_notifications(log, sidecar, poll_interval):
            for change in _latest_changes(log.endpoint_changes, at - poll_interval):
                if change.state != READY:
                    states[SidecarEndpoint(sidecar, change.server)].append(KnownState(at, False))
    return {endpoint: _without_repeats(sorted(known)) for endpoint, known in states.items()}


def _implied_notifications(log: EventLog, sidecar: int, poll_interval: float) -> list[float]:
    """Return when a sidecar that did not poll in time counts as notified of the earlier changes."""
    calls = sorted((call for call in log.discovery_calls if call.sidecar == sidecar), key=lambda call: call.began_at)
    implied: list[float] = []
    for position, call in enumerate(calls):
        allowed = poll_interval * (1 if call.succeeded else FAILED_CALL_FACTOR) + SOCKET_ALLOWANCE_S
        next_began_at = calls[position + 1].began_at if position + 1 < len(calls) else inf
        if next_began_at - call.ended_at > allowed:
            implied.append(call.ended_at + allowed)
    return implied


def _latest_changes(changes: list[EndpointChanged], until: float) -> list[EndpointChanged]:
    """Return the last change of each server until a time."""
    latest: dict[str, EndpointChanged] = {}
    for change in changes:
        if change.at <= until:
            latest[change.server] = change
    return list(latest.values())


def _without_repeats(states: list[KnownState]) -> list[KnownState]:
    """Drop each state that equals the one before it."""
    changes: list[KnownState] = []
    for state in states:
        if not changes or changes[-1].usable != state.usable:
            changes.append(state)
    return changes


def _sent_to_drained(attempt: ServerAttempt, since: float, grace: float, start: float) -> Violation:
    return Violation(
        ViolationName.SENT_TO_DRAINED,
        Rule.DRAINS,
        attempt.first_byte_at - start,
        attempt.server,
        f"sidecar {attempt.sidecar} sent {attempt.request_id} there "
        f"{attempt.first_byte_at - since:.3f} s after its notification; {grace:.3f} s allowed",
    )
