"""What a run saw, as typed records; every time is of ``time.monotonic_ns`` and thus of one clock on this machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestClass(Enum):
    """The classes of the settings in ``sidecar_process``; the value is the name on the wire."""

    IDEMPOTENT = "campaign-read"
    IDEMPOTENCY_KEY = "pledge-record"
    AT_MOST_ONCE = "receipt-issue"


class ConnectionEnd(Enum):
    """Who ended a client's connection."""

    CLOSED_BY_SIDECAR = "closed by the sidecar"
    RESET_BY_SIDECAR = "reset by the sidecar"
    CLOSED_BY_CLIENT = "closed by the client"


class Reply(Enum):
    """What an endpoint did for an attempt, as far as the judgment needs it."""

    NONE = "nothing"
    WHOLE = "a whole response"
    UNPROCESSED = "a response that says that the request never ran"
    BROKEN = "a response that the endpoint broke off, left unfinished or never ends"


@dataclass(slots=True)
class SentRequest:
    """One request as its client sent it."""

    request_id: str
    request_class: RequestClass
    sidecar: int
    connection: int
    position: int
    """Its place among the requests of its connection, from 0."""
    time_left_ns: int
    write_number: int = -1
    """Which write of its connection brought its last byte: what one write brought is read together."""
    last_byte_ns: int | None = None
    """When the call that wrote its last byte returned; ``None`` where it was never written whole."""
    left_ns: int | None = None
    """When its client closed or reset the connection while it was owed an answer."""
    reads_slowly: bool = False
    is_behind_malformed: bool = False
    """Whether a malformed request went before it on its connection: it is owed no answer."""

    @property
    def deadline_ns(self) -> int:
        """When its client stops waiting; it must have been written whole."""
        assert self.last_byte_ns is not None
        return self.last_byte_ns + self.time_left_ns


@dataclass(slots=True)
class Answer:
    """A response that a client read, whole or not."""

    connection: int
    request_id: str | None
    """The request in whose turn it came; ``None`` where none was unanswered."""
    status: int
    body: bytes
    is_whole: bool
    ended_ns: int
    """When its last byte arrived."""


@dataclass(slots=True)
class EndedConnection:
    """The end of a client's connection."""

    connection: int
    ended_ns: int
    end: ConnectionEnd


@dataclass(slots=True)
class Attempt:
    """One request as it came to an endpoint."""

    attempt_number: int
    """Unique among all endpoints of the run."""
    endpoint: str
    request_id: str
    """Empty until the head was read."""
    sidecar_port: int
    first_byte_ns: int
    time_left_ns: int = -1
    """What the head told; -1 until the head was read."""
    last_byte_ns: int | None = None
    """When the request was whole; ``None`` where it never was."""
    latest_byte_ns: int = 0
    """When the latest byte of it arrived, whole or not."""
    reply: Reply = Reply.NONE
    plan: str = ""
    """What the endpoint was to do with it, for timelines."""
    ended_ns: int | None = None


@dataclass(slots=True)
class Interval:
    """A time in which something could not run."""

    start_ns: int
    end_ns: int

    def overlaps(self, start_ns: int, end_ns: int) -> bool:
        """Return whether any of that time is in it."""
        return self.start_ns <= end_ns and start_ns <= self.end_ns


@dataclass(slots=True)
class SidecarStop(Interval):
    """A sidecar was stopped by SIGSTOP."""

    sidecar: int


@dataclass(slots=True)
class SidecarKill:
    """A sidecar was killed: what it had taken and not answered then is not judged."""

    sidecar: int
    at_ns: int


@dataclass(slots=True)
class InjectedFault:
    """A fault as it took place, for timelines."""

    at_ns: int
    text: str
    sidecar: int | None = None
    """The one that it befell; ``None`` where it concerns them all."""


@dataclass(slots=True)
class RunRecords:
    """Everything that one run saw."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    ended_connections: dict[int, EndedConnection] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    stops: list[SidecarStop] = field(default_factory=list)
    kills: list[SidecarKill] = field(default_factory=list)
    own_lags: list[Interval] = field(default_factory=list)
    """When the judging process itself came to run late."""
    faults: list[InjectedFault] = field(default_factory=list)
