"""The records of a run.

An answer is what a client read, a response what an endpoint sent.  Every time is from ``time.monotonic_ns``, which is
one clock for all processes of the machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestClass(Enum):
    """The request classes in the settings of ``sidecar_process``; the value is the name on the wire."""

    IDEMPOTENT = "campaign-read"
    IDEMPOTENCY_KEY = "pledge-record"
    NON_IDEMPOTENT = "receipt-issue"


class ConnectionEnd(Enum):
    """How a client's connection ended, and by whom."""

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
    """One request that a client sent, completely or in part."""

    request_id: str
    request_class: RequestClass
    sidecar: int
    connection: int
    position: int
    """Its index among the requests of its connection, from 0."""
    time_left_ns: int
    write_number: int = -1
    """The number of the write on its connection that contained its last byte; its bytes are read together."""
    last_byte_ns: int | None = None
    """When the call that wrote its last byte returned; ``None`` while it is incomplete."""
    disconnected_ns: int | None = None
    """When its client closed or reset the connection before the answer; ``None`` if it did not."""
    reads_slowly: bool = False
    follows_malformed: bool = False
    """Whether a malformed request precedes it on its connection, so that it needs no answer."""

    @property
    def deadline_ns(self) -> int:
        """The deadline: ``time_left_ns`` after its last byte."""
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
    """One request that an endpoint received, completely or in part."""

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
    writes_slowly: bool = False
    """Whether the endpoint writes its complete response past the deadline."""
    response_started_ns: int = 0
    """When the endpoint wrote the first bytes of such a response."""
    has_length: bool = True
    """Whether its response declares the length of its body."""
    pauses: bool = False
    """Whether its response stalls after the first bytes of its body."""
    closed_early_ns: int | None = None
    """When the endpoint found its connection closed while it wrote such a response."""
    plan: str = ""
    """The planned response of the endpoint as text, for timelines."""
    ended_ns: int | None = None


@dataclass(slots=True)
class Interval:
    """A period in which a process could not run."""

    start_ns: int
    end_ns: int

    def overlaps(self, start_ns: int, end_ns: int) -> bool:
        """Return whether this period and the given one overlap."""
        return self.start_ns <= end_ns and start_ns <= self.end_ns


@dataclass(slots=True)
class SidecarStop(Interval):
    """A period in which a sidecar was stopped by SIGSTOP."""

    sidecar: int


@dataclass(slots=True)
class SidecarKill:
    """The moment at which a sidecar was killed.

    Its pending requests are not checked.  If a SIGTERM preceded, that holds only for those on the connection of a
    response that its endpoint still wrote.
    """

    sidecar: int
    at_ns: int
    follows_sigterm: bool = False


@dataclass(slots=True)
class ProcessFailure:
    """A sidecar that ended without a signal, or took more memory than its limit and was killed for it."""

    sidecar: int
    detail: str


@dataclass(slots=True)
class InjectedFault:
    """An injected fault and its time, for timelines."""

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
    process_failures: list[ProcessFailure] = field(default_factory=list)
    scheduling_lags: list[Interval] = field(default_factory=list)
    """The periods in which the checking process ran late."""
    faults: list[InjectedFault] = field(default_factory=list)
