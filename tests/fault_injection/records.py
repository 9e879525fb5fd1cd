"""The records of a run; every time is of ``time.monotonic_ns``, one clock for all processes of this machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestClass(Enum):
    """The classes of the settings in ``sidecar_process``; the value is the name on the wire."""

    IDEMPOTENT = "campaign-read"
    IDEMPOTENCY_KEY = "pledge-record"
    NON_IDEMPOTENT = "receipt-issue"


class ConnectionEnd(Enum):
    """How a client's connection was closed, and by whom."""

    CLOSED_BY_SIDECAR = "closed by the sidecar"
    RESET_BY_SIDECAR = "reset by the sidecar"
    CLOSED_BY_CLIENT = "closed by the client"


class ResponseKind(Enum):
    """What an endpoint sent for an attempt."""

    NONE = "nothing"
    COMPLETE = "a complete response"
    UNPROCESSED = "a response with X-Unprocessed: 1"
    INCOMPLETE = "a truncated or endless response"


@dataclass(slots=True)
class SentRequest:
    """One request as its client sent it."""

    request_id: str
    request_class: RequestClass
    sidecar: int
    connection: int
    position: int
    """Its index among the requests of its connection, from 0."""
    time_left_ns: int
    write_number: int = -1
    """The write of its connection that contained its last byte; the bytes of one write are read together."""
    last_byte_ns: int | None = None
    """When the call that wrote its last byte returned; ``None`` while it is incomplete."""
    disconnected_ns: int | None = None
    """When its client closed or reset the connection before the answer."""
    reads_slowly: bool = False
    follows_malformed: bool = False
    """Whether a malformed request precedes it on its connection: it needs no answer."""

    @property
    def deadline_ns(self) -> int:
        """Its deadline, which counts from its last byte."""
        assert self.last_byte_ns is not None
        return self.last_byte_ns + self.time_left_ns


@dataclass(slots=True)
class Answer:
    """A response that a client read, complete or truncated."""

    connection: int
    request_id: str | None
    """The first unanswered request of the connection; ``None`` if there was none."""
    status: int
    body: bytes
    is_complete: bool
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
    """One request as an endpoint received it."""

    attempt_number: int
    """Unique among all endpoints of the run."""
    endpoint: str
    request_id: str
    """Empty until the head was read."""
    sidecar_port: int
    first_byte_ns: int
    time_left_ns: int = -1
    """The value of ``X-Time-Left``; -1 until the head was read."""
    last_byte_ns: int | None = None
    """When its last byte arrived; ``None`` while it is incomplete."""
    latest_byte_ns: int = 0
    """When its latest byte arrived, also while it is incomplete."""
    response_kind: ResponseKind = ResponseKind.NONE
    plan: str = ""
    """The planned behaviour of the endpoint, for timelines."""
    ended_ns: int | None = None


@dataclass(slots=True)
class Interval:
    """A period in which a process could not run."""

    start_ns: int
    end_ns: int

    def overlaps(self, start_ns: int, end_ns: int) -> bool:
        """Return whether the two periods have a moment in common."""
        return self.start_ns <= end_ns and start_ns <= self.end_ns


@dataclass(slots=True)
class SidecarStop(Interval):
    """A period in which a sidecar was stopped by SIGSTOP."""

    sidecar: int


@dataclass(slots=True)
class SidecarKill:
    """The moment at which a sidecar was killed; its pending requests are not checked."""

    sidecar: int
    at_ns: int


@dataclass(slots=True)
class InjectedFault:
    """A fault at the time of its injection, for timelines."""

    at_ns: int
    text: str
    sidecar: int | None = None
    """The affected sidecar; ``None`` if all are affected."""


@dataclass(slots=True)
class RunRecords:
    """All records of one run."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    ended_connections: dict[int, EndedConnection] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    stops: list[SidecarStop] = field(default_factory=list)
    kills: list[SidecarKill] = field(default_factory=list)
    scheduling_lags: list[Interval] = field(default_factory=list)
    """When the process of the checker ran late."""
    faults: list[InjectedFault] = field(default_factory=list)
