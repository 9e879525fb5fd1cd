"""The simulator's wire format: translates messages to events of the balancer, and its actions to messages.

Each message is a JSON array: its name, in most messages the number of a balancer instance, and then its fields by
position.  A malformed message raises ``ValueError``, ``KeyError``, ``IndexError``, ``TypeError`` or
``AttributeError``.
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
"""States of an endpoint on the wire; any other state counts as removed."""

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
"""The texts that stand for the timers without fields."""
RETRY_TIMER_PREFIX = "r"
"""The text of a retry timer is this prefix and the id of its request."""

HEALTHY = "GOOD"
"""Result of a health check that succeeded."""
CLIENT_RETRY_FLAG = 2
"""Bit in the flags of ``req``: the request is a retry by the client."""


def read_endpoints(rows: list[Message]) -> list[balancing.Endpoint]:
    """Translate the rows of ``define_list``: id, zone, (ignored), cell, state, (ignored), start time."""
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
    """Return the message for an action of an instance."""
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
    """Return the text that stands for a timer on the wire."""
    if isinstance(timer, balancing.RetryTimer):
        return RETRY_TIMER_PREFIX + timer.request_id
    return TIMER_TEXTS[timer]


def _read_timer(message: Message) -> balancing.Event | None:
    """Translate ``timer``: text from position 2 on; ``None`` if no timer has this text."""
    text = message[2]
    for timer, timer_text in TIMER_TEXTS.items():
        if text == timer_text:
            return balancing.TimerFired(timer)
    if text.startswith(RETRY_TIMER_PREFIX):
        return balancing.TimerFired(balancing.RetryTimer(text.removeprefix(RETRY_TIMER_PREFIX)))
    return None


def _read_request(message: Message) -> balancing.Event:
    """Translate ``req``: request, class, tenant, (key), time left, (ignored), flags from position 2 on."""
    is_retry = bool((message[8] or 0) & CLIENT_RETRY_FLAG)
    return balancing.Request(message[2], message[3] or 0, message[4] or 0, message[6], is_retry)


def _read_attempt_finished(message: Message) -> balancing.Event:
    """Translate ``answer``: request, finished, duration, result, attempt, endpoint, load report from position 2 on."""
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
"""Functions that read the events for one instance, by message name; they return ``None`` for ignored events."""
