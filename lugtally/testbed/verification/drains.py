"""Rule 3: a draining or removed server gets no requests once the sidecar was notified and a grace time has passed.

A sidecar that polls the endpoint list less often than required counts as notified.
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
FAILED_CALL_POLL_FACTOR = 4  # after a failed call, a sidecar may wait this many times poll_within_s


class KnownState(NamedTuple):
    """What a sidecar knows about a server, from the time ``since`` on."""

    since: float
    is_usable: bool


class SidecarEndpoint(NamedTuple):
    """A server as one sidecar knows it."""

    sidecar: int
    server: str


StatesByEndpoint = dict[SidecarEndpoint, list[KnownState]]


def check_drains(log: EventLog, schedule: Schedule, start: float) -> list[Violation]:
    """Report each request that reached a draining or removed server after the grace time."""
    states_by_endpoint = _known_states(log, schedule)
    allowed_s = DRAIN_GRACE_S + SOCKET_ALLOWANCE_S
    violations: list[Violation] = []
    for attempt in log.server_attempts:
        known_states = states_by_endpoint.get(SidecarEndpoint(attempt.sidecar, attempt.server), [])
        index = bisect_right(known_states, (attempt.first_byte_at, True)) - 1
        if (
            index >= 0
            and not known_states[index].is_usable
            and attempt.first_byte_at > known_states[index].since + allowed_s
        ):
            violations.append(_drain_violation(attempt, known_states[index].since, allowed_s, start))
    return violations


def _known_states(log: EventLog, schedule: Schedule) -> StatesByEndpoint:
    """Return what each sidecar knew about each server, in order of time, with one entry for each change."""
    states: StatesByEndpoint = defaultdict(list)
    for notified in log.notifications:
        endpoint = SidecarEndpoint(notified.sidecar, notified.server)
        states[endpoint].append(KnownState(notified.at, notified.state == READY))
    poll_within_s = schedule.scenario.discovery.poll_within_s
    for sidecar in range(schedule.scenario.fleet.sidecars):
        for at in _implied_notifications(log, sidecar, poll_within_s):
            for change in _latest_changes(log.endpoint_changes, at - poll_within_s):
                if change.state != READY:
                    states[SidecarEndpoint(sidecar, change.server)].append(KnownState(at, False))
    return {endpoint: _without_repeats(sorted(known_states)) for endpoint, known_states in states.items()}


def _implied_notifications(log: EventLog, sidecar: int, poll_within_s: float) -> list[float]:
    """Return the times at which a sidecar that polled too late counts as notified of earlier changes."""
    calls = sorted((call for call in log.discovery_calls if call.sidecar == sidecar), key=lambda call: call.began_at)
    implied_at: list[float] = []
    for index, call in enumerate(calls):
        allowed_s = poll_within_s * (1 if call.succeeded else FAILED_CALL_POLL_FACTOR) + SOCKET_ALLOWANCE_S
        next_began_at = calls[index + 1].began_at if index + 1 < len(calls) else inf
        if next_began_at - call.ended_at > allowed_s:
            implied_at.append(call.ended_at + allowed_s)
    return implied_at


def _latest_changes(changes: list[EndpointChanged], until: float) -> list[EndpointChanged]:
    """Return the last change of each server up to a time."""
    latest: dict[str, EndpointChanged] = {}
    for change in changes:
        if change.at <= until:
            latest[change.server] = change
    return list(latest.values())


def _without_repeats(states: list[KnownState]) -> list[KnownState]:
    """Return the states without those that equal the state before them."""
    changes: list[KnownState] = []
    for state in states:
        if not changes or changes[-1].is_usable != state.is_usable:
            changes.append(state)
    return changes


def _drain_violation(attempt: ServerAttempt, since: float, allowed_s: float, start: float) -> Violation:
    return Violation(
        ViolationName.SENT_TO_DRAINED,
        Rule.DRAINS,
        attempt.first_byte_at - start,
        attempt.server,
        f"sidecar {attempt.sidecar} sent {attempt.request_id} there "
        f"{attempt.first_byte_at - since:.3f} s after its notification; {allowed_s:.3f} s allowed",
    )
