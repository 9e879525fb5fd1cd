"""The interface of the decision module: settings, events and actions.

Everything that enters or leaves :class:`lugtally.decide.Balancer` is one of the types below.  Times are
integer nanoseconds; classes and zones are positions in the settings; servers are opaque integers.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum

MS = 1_000_000
SECOND = 1_000_000_000


class Effect(Enum):
    """What a class allows once one of its attempts may have run."""

    SAFE = "safe"  # repeat and refuse at will
    KEYED = "keyed"  # repeat only where, and only while, duplicates are dropped
    UNSAFE = "unsafe"  # repeat or refuse only when it is certain that nothing ran


class Group(Enum):
    """Which servers drop the duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    DECLINED = "declined"  # the request itself is at fault; no other server would do better
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"


NEVER_RAN = frozenset({Result.REJECTED, Result.NO_CONNECTION, Result.NEVER_SENT})


class ListKind(Enum):
    """What a list event carries: changes, the whole list, the list kept over a restart, or a failure."""

    CHANGES = "changes"
    WHOLE = "whole"
    KEPT = "kept"
    FAILED = "failed"


class State(Enum):
    """What the list says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


def _check(owner: object, *, positive: tuple[str, ...] = ()) -> None:
    """Reject negative numbers, zeros where zero means nothing, and what is no number, by the field's name."""
    for item in fields(owner):  # type: ignore[arg-type]
        value = getattr(owner, item.name)
        number = isinstance(item.default, (int, float)) and not isinstance(item.default, bool)
        if number and not isinstance(value, (int, float)):
            raise ValueError(f"{item.name}: {value!r} is no number")
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        if not value >= 0 or value == float("inf"):
            raise ValueError(f"{item.name}: {value!r} is negative or not a number")
        if item.name in positive and value == 0:
            raise ValueError(f"{item.name}: must be above 0")


@dataclass(slots=True)
class RequestClass:
    """One class of requests.  The defaults suit a request about which nothing is known: never repeat it."""

    name: str = ""
    effect: Effect = Effect.UNSAFE
    group: Group = Group.CELL
    window_ns: int = 0
    aim_ns: int = SECOND
    deadline_ns: int = 5 * SECOND
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        if not isinstance(self.effect, Effect):
            raise ValueError(f"effect: {self.effect!r} is unknown")
        if not isinstance(self.group, Group):
            raise ValueError(f"group: {self.group!r} is unknown")
        _check(self, positive=("aim_ns", "deadline_ns"))


@dataclass(slots=True)
class Tenant:
    """One account: how many requests a second are within its share, over all balancers together."""

    name: str = ""
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check(self)


@dataclass(slots=True)
class Settings:
    """What a balancer is told when it starts.  Every default is the cautious reading of a missing setting."""

    classes: tuple[RequestClass, ...] = ()
    zone: int = 0
    balancers: int = 1
    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    advice: bool = False
    max_advice_ns: int = 0
    ask_for_list: bool = False
    gone_binds: bool = True
    ask_within_ns: int = 0  # how long the list may go unasked; 0: not told
    cold_from: float = 0.1
    warm_within_ns: int = 30 * SECOND
    fall_multiple: float = 2.0
    cross_zone_price: float = 0.0
    tick_ns: int = 5 * MS
    load_fields: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # part of its worth that a request past its tenant's share still has

    def __post_init__(self) -> None:
        _check(self, positive=("balancers", "max_attempts", "fall_multiple", "tick_ns"))
        if self.cold_from > 1:
            raise ValueError(f"cold_from: {self.cold_from!r} is above 1")


# ---------------------------------------------------------------- events


@dataclass(slots=True)
class Server:
    """One line of the server list."""

    id: int
    zone: int = 0
    cell: int = 0
    state: State = State.UP
    started_ns: int = 0


@dataclass(slots=True)
class ServerList:
    """News of the list.  ``KEPT`` is the first event of every life."""

    kind: ListKind
    servers: list[Server]


@dataclass(slots=True)
class Request:
    """A client's request has arrived; exactly one final answer is owed."""

    id: str
    cls: int
    tenant: int
    time_left_ns: int
    is_retry: bool = False


@dataclass(slots=True)
class ClientLeft:
    """The request is over without our answer."""

    id: str


@dataclass(slots=True)
class Outcome:
    """How one attempt ended; ``over`` says that the request itself is over as well."""

    id: str
    attempt: int
    server: int
    result: Result
    over: bool
    took_ns: int
    load: tuple[float, ...] | None = None


@dataclass(slots=True)
class FirstByte:
    """A streamed answer has begun: the request now belongs to the client."""

    id: str
    attempt: int
    server: int


@dataclass(slots=True)
class Timer:
    """A ``Wake`` has come due."""

    token: str


@dataclass(slots=True)
class Probed:
    """What a probe found.  This module sends none, so it only has to be harmless."""

    server: int
    ok: bool


@dataclass(slots=True)
class PeerMessage:
    """A message of another balancer.  This module sends none, so it only has to be harmless."""

    peer: int
    text: str


Event = ServerList | Request | ClientLeft | Outcome | FirstByte | Timer | Probed | PeerMessage


# ---------------------------------------------------------------- actions


@dataclass(slots=True)
class Send:
    """Start the request's next attempt; it times out after ``timeout_ns``."""

    id: str
    server: int
    timeout_ns: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and asking again does no harm, best after ``retry_in_ns`` (0: no advice)."""

    id: str
    retry_in_ns: int


@dataclass(slots=True)
class Fail:
    """Final answer that promises nothing about what ran."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Wake:
    """Ask for a ``Timer`` with this token."""

    after_ns: int
    token: str


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list."""


@dataclass(slots=True)
class CloseIdle:
    """Close this balancer's idle connections to a server."""

    server: int


Action = Send | Refuse | Fail | Cancel | Wake | Watch | CloseIdle
