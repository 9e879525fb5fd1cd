"""The simulator's wire: its names and positions, and their translation from and to the balancer's types.

Each message is a JSON array of its name, mostly an instance, and its fields by position.  What is malformed
raises ``ValueError``, ``KeyError``, ``IndexError``, ``TypeError`` or ``AttributeError``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lugtally import balancing

Message = list[Any]

ENDPOINT_STATES = {
    "healthy": balancing.EndpointState.READY,
    "cordoned": balancing.EndpointState.DRAINING,
    "deregistered": balancing.EndpointState.REMOVED,
}
"""States of an endpoint; any other counts as removed."""

UPDATE_KINDS = {
    "diff": balancing.EndpointUpdateKind.DELTA,
    "snapshot": balancing.EndpointUpdateKind.FULL,
    "disk": balancing.EndpointUpdateKind.CACHED,
    "error": balancing.EndpointUpdateKind.FAILED,
}

ATTEMPT_RESULTS = {
    "GOOD": balancing.AttemptResult.OK,
    "BAD": balancing.AttemptResult.ERROR,
    "FULL": balancing.AttemptResult.REJECTED,
    "LATE": balancing.AttemptResult.TIMEOUT,
    "NOCONN": balancing.AttemptResult.NO_CONNECTION,
    "RST": balancing.AttemptResult.RESET,
    "CXL": balancing.AttemptResult.CANCELLED,
    "NOP": balancing.AttemptResult.NEVER_SENT,
}

TIMER_TEXTS: dict[balancing.Timer, str] = {balancing.OverdueTimer(): "due", balancing.PollTimer(): "watch"}
"""The texts of the timers that carry nothing."""
RETRY_TIMER_PREFIX = "r"
"""The text of a retry timer is this and the id of its request."""

HEALTHY = "GOOD"
CLIENT_RETRY_FLAG = 2


def read_endpoints(rows: list[Message]) -> list[balancing.Endpoint]:
    """Translate the rows of a ``define_list``: id, zone, (unused), cell, state, (unused), start."""
    return [
        balancing.Endpoint(
            row[0],
            row[1] or 0,
            row[3] or 0,
            ENDPOINT_STATES.get(row[4], balancing.EndpointState.REMOVED),
            row[6] or 0,
        )
        for row in rows
    ]


def write_action(instance: int, action: balancing.Action) -> Message:
    """Translate one action of an instance."""
    match action:
        case balancing.SendAttempt(request_id, endpoint_id, timeout_ns):
            return ["dispatch", instance, request_id, endpoint_id, timeout_ns]
        case balancing.RejectRequest(request_id, retry_after_ns):
            return ["busy", instance, request_id, retry_after_ns]
        case balancing.FailRequest(request_id):
            return ["end_failed", instance, request_id]
        case balancing.CancelAttempt(request_id, attempt):
            return ["retract", instance, request_id, attempt]
        case balancing.SetTimer(delay_ns, timer):
            return ["remind", instance, delay_ns, write_timer(timer)]
        case balancing.CloseIdleConnections(endpoint_id):
            return ["free_links", instance, endpoint_id]
        case balancing.WatchEndpoints():
            return ["follow", instance, True]


def write_timer(timer: balancing.Timer) -> str:
    """Return the text that stands for a timer."""
    if isinstance(timer, balancing.RetryTimer):
        return RETRY_TIMER_PREFIX + timer.request_id
    return TIMER_TEXTS[timer]


def _read_timer(message: Message) -> balancing.Event | None:
    """Translate ``timer``: its text; ``None`` for a text that no balancer sets."""
    text = message[2]
    for timer, timer_text in TIMER_TEXTS.items():
        if text == timer_text:
            return balancing.TimerFired(timer)
    if text.startswith(RETRY_TIMER_PREFIX):
        return balancing.TimerFired(balancing.RetryTimer(text.removeprefix(RETRY_TIMER_PREFIX)))
    return None


def _read_request(message: Message) -> balancing.Event:
    """Translate ``req``: request, class, tenant, (key), time left, (unused), flags from position 2 on."""
    is_retry = bool((message[8] or 0) & CLIENT_RETRY_FLAG)
    return balancing.Request(message[2], message[3] or 0, message[4] or 0, message[6], is_retry)


def _read_attempt_finished(message: Message) -> balancing.Event:
    """Translate ``answer``: request, finished, duration, result, attempt, endpoint, load report."""
    load_report = tuple(message[8]) if len(message) > 8 and message[8] is not None else None
    return balancing.AttemptFinished(
        request_id=message[2],
        attempt=message[6],
        endpoint_id=message[7],
        result=ATTEMPT_RESULTS[message[5]],
        request_finished=bool(message[3]),
        duration_ns=message[4],
        load_report=load_report,
    )


EVENT_READERS: dict[str, Callable[[Message], balancing.Event | None]] = {
    "req": _read_request,
    "answer": _read_attempt_finished,
    "timer": _read_timer,
    "expired": lambda message: balancing.ClientDisconnected(message[2]),
    "first_byte": lambda message: balancing.ResponseStarted(message[2], message[3], message[4]),
    "health": lambda message: balancing.HealthCheckFinished(message[3], message[2] == HEALTHY),
    "message": lambda message: balancing.GossipReceived(message[2], message[3]),
}
"""Readers of the events for one instance, by the name of the message; ``None`` is ignored."""
