"""What clients and endpoints may do besides sound requests and responses, each to be had alone with ``--only``."""

from __future__ import annotations

from enum import Enum


class ClientBehaviour(Enum):
    """What a client does on one connection."""

    PLAIN = "plain"
    PIECES = "pieces"
    PIPELINE = "pipeline"
    ABANDON = "abandon"
    SHORT_DEADLINE = "short_deadline"
    SLOW_READER = "slow_reader"
    BAD_CLIENT = "bad_client"


class EndpointBehaviour(Enum):
    """What an endpoint does with one attempt."""

    SOUND = "sound"
    RESET = "reset"
    CUT = "cut"
    SILENCE = "silence"
    DOUBLED = "doubled"
    LATE = "late"
    ENDLESS = "endless"
    LONG_BODY = "long_body"
    UNPROCESSED = "unprocessed"
    SERVER_ERROR = "server_error"


class TimedFault(Enum):
    """A fault that the schedule injects at a time."""

    STOP = "stop"
    TERMINATE = "term"
    KILL = "kill"
    RELOAD = "reload"
    DRAIN = "drain"
    ENDPOINT_KILL = "endpoint_kill"
    DISCOVERY_RESET = "discovery_reset"
    DISCOVERY_SILENCE = "discovery_silence"
    SLOW_DIAL = "slow_dial"
    STARVE = "starve"
    IDLE_FLOOD = "idle_flood"


Fault = ClientBehaviour | EndpointBehaviour | TimedFault
ALL_FAULTS: dict[str, Fault] = {
    fault.value: fault
    for group in (ClientBehaviour, EndpointBehaviour, TimedFault)
    for fault in group
    if fault not in (ClientBehaviour.PLAIN, EndpointBehaviour.SOUND)
}
