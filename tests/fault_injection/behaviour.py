"""The faults that a run can inject.  The value of a fault is its name for ``--only``."""

from __future__ import annotations

from enum import Enum


class ClientBehaviour(Enum):
    """How a client behaves on one connection."""

    NORMAL = "plain"
    PIECES = "pieces"
    PIPELINE = "pipeline"
    ABANDON = "abandon"
    SHORT_DEADLINE = "short_deadline"
    SLOW_READER = "slow_reader"
    MALFORMED_REQUEST = "bad_client"


class EndpointBehaviour(Enum):
    """How an endpoint handles one attempt."""

    NORMAL = "sound"
    RESET = "reset"
    TRUNCATED = "cut"
    SILENCE = "silence"
    DUPLICATED = "doubled"
    LATE = "late"
    ENDLESS = "endless"
    LONG_BODY = "long_body"
    UNPROCESSED = "unprocessed"
    SERVER_ERROR = "server_error"
    SLOW_BODY = "slow_body"
    PAUSING_BODY = "pausing_body"


class TimedFault(Enum):
    """A fault that is injected at a scheduled time."""

    STOP = "stop"
    TERMINATE = "term"
    KILL = "kill"
    RELOAD = "reload"
    DRAIN = "drain"
    ENDPOINT_KILL = "endpoint_kill"
    DISCOVERY_RESET = "discovery_reset"
    DISCOVERY_SILENCE = "discovery_silence"
    SLOW_CONNECT = "slow_dial"
    STARVE = "starve"
    IDLE_FLOOD = "idle_flood"
    BUFFER_FLOOD = "buffer_flood"
    SIGNAL_SERIES = "signals"


class ProcessCondition(Enum):
    """A condition under which the sidecars run from their start."""

    LOW_MEMORY = "low_memory"
    FAILING_CALLS = "failing_calls"
    STEPPED_CLOCK = "stepped_clock"


Fault = ClientBehaviour | EndpointBehaviour | TimedFault | ProcessCondition
ALL_FAULTS: dict[str, Fault] = {
    fault.value: fault
    for group in (ClientBehaviour, EndpointBehaviour, TimedFault, ProcessCondition)
    for fault in group
    if fault not in (ClientBehaviour.NORMAL, EndpointBehaviour.NORMAL)
}
