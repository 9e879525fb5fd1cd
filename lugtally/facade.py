"""The decision module in blocking style: ``pick``, ``report`` and ``tick``.

This is the sidecar's one caller of ``Balancer``.  It translates plain values to the module's events and its
actions to verdicts and orders; it decides nothing and knows no protocol.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Protocol

from loguru import logger

from lugtally import api
from lugtally.control.counters import Counters
from lugtally.decide import Balancer
from lugtally.ending import RESULTS, WRITTEN, Ending
from lugtally.hub.scheduler import Hub, Signal
from lugtally.overload.gate import Gate

BACKSTOP_NS = 20 * api.MS
UNKNOWN = -1  # the tenant of a request that names none, or one that the settings do not know


@dataclass(slots=True)
class Attempt:
    """Verdict: send the request to this destination."""

    number: int
    destination: int
    until: int


@dataclass(slots=True)
class BusyReply:
    """Verdict: final, asking again does no harm, best after ``retry_in_ns`` (0: no advice)."""

    retry_in_ns: int


@dataclass(slots=True)
class Failed:
    """Verdict: final, promises nothing."""


@dataclass(slots=True)
class Over:
    """Verdict: nothing is left to decide; a step was served, or the client is gone."""


Verdict = Attempt | BusyReply | Failed | Over


class Ask:
    """One request as the facade sees it, from its arrival to its final answer."""

    __slots__ = (
        "id",
        "cls",
        "tenant",
        "deadline",
        "is_retry",
        "cancel",
        "verdicts",
        "signal",
        "sent",
        "out",
        "over",
        "begun",
        "streamed",
    )

    def __init__(
        self, hub: Hub, cls: int, deadline: int, is_retry: bool, cancel: Callable[[int], None], tenant: int = UNKNOWN
    ) -> None:
        self.id = ""
        self.cls, self.deadline, self.is_retry, self.tenant = cls, deadline, is_retry, tenant
        self.cancel = cancel  # calls off the step of that number; reports it later
        self.verdicts: deque[Verdict] = deque()
        self.signal = Signal(hub)
        self.sent: list[tuple[int, int]] = []  # by step: destination, when
        self.out: set[int] = set()
        self.over = False
        self.begun = False
        self.streamed = -1  # the step whose answer is passed on as it comes: the request is bound to it


@dataclass(slots=True)
class AttemptEnded:
    """Report: how an attempt ended."""

    ask: Ask
    number: int
    ending: Ending
    load: tuple[float, ...] | None = None


@dataclass(slots=True)
class ClientGone:
    """Report: the client went away before its final answer."""

    ask: Ask


@dataclass(slots=True)
class Listed:
    """A destination as the server list lists it."""

    number: int
    zone: int
    cell: int
    state: str
    started_ns: int


@dataclass(slots=True)
class ListNews:
    """Report: a server list (``kept``, ``whole`` or ``changes``), or that asking for one ``failed``."""

    kind: str
    listed: list[Listed]


STATES = {"ready": api.State.UP, "draining": api.State.DRAINING}


class Decider(Protocol):
    """What decides: the shipped :class:`Balancer`, or what the rehearsal kit compares it with."""

    def handle(self, now: int, event: api.Event, /) -> list[api.Action]:
        """What to do about an event at ``now`` (nanoseconds)."""


Decisions = Callable[[api.Settings, int], Decider]


class Facade:
    """One sidecar's decisions, called from its tasks."""

    def __init__(self, settings: api.Settings, seed: int, hub: Hub, decisions: Decisions | None = None) -> None:
        self._hub = hub
        self._balancer = (decisions or Balancer)(settings, seed)
        self._asks: dict[str, Ask] = {}
        self._count = 0
        self._timers: list[tuple[int, int, str]] = []
        self._gate: Gate | None = None
        self._ends = {"left": 0, "own_overload": 0}  # the rest is in the counters
        self._usual: dict[int, float] = {}  # class -> how long an answer usually takes, nanoseconds
        self._close_idle: Callable[[int], None] = lambda _: None
        self._watch: Callable[[], None] = lambda: None
        self.counters = Counters(tuple(cls.name for cls in settings.classes))
        self._lines: dict[int, Listed] = {}  # each listed destination as discovery last told it
        self._ever: set[int] = set()  # every destination listed since the start
        self._banned: set[int] = set()  # drained by hand: the module hears of them as draining
        self._eased: dict[int, int] = {}  # back from a ban: cold from then on, whatever the list says

    def register(self, close_idle: Callable[[int], None], watch: Callable[[], None]) -> None:
        """Who closes idle connections to a destination, and who watches the server list."""
        self._close_idle, self._watch = close_idle, watch

    def guard(self, gate: Gate) -> None:
        """Ask this gate before anything is done for a request."""
        self._gate = gate

    def refused(self, cls: int, left_ns: int) -> BusyReply | None:
        """The busy reply of a request that must not come in now: this sidecar itself is overloaded.

        Called with nothing done for the request but its head read, so that nothing of it has been sent.
        """
        gate = self._gate
        if gate is None:
            return None
        why = gate.ask(self._hub.now(), cls, left_ns, self._hub.delay(), self._usual.get(cls, 0.0))
        if why is None:
            return None
        self._ends["own_overload"] += 1
        self.counters.refused(cls)
        return BusyReply(gate.advice())

    def counted(self) -> dict[str, int]:
        """Requests by how they ended so far, and those in progress."""
        books = self.counters
        return {
            "in_progress": len(self._asks),
            "served": sum(books.success),
            "busy": sum(books.overload) - self._ends["own_overload"],
            "failed": sum(books.error),
            **self._ends,
        }

    def pick(self, ask: Ask) -> Verdict:
        """Block until the next verdict on a request; the first call hands it to the module."""
        if not ask.begun:
            ask.begun = True
            self._count += 1
            ask.id = str(self._count)  # our own: a client that repeats an id in flight must not lose one
            self._asks[ask.id] = ask
            left = max(0, ask.deadline - self._hub.now())
            self._feed(api.Request(ask.id, ask.cls, ask.tenant, left, ask.is_retry))
        while not ask.verdicts:
            if ask.streamed >= 0:
                ask.signal.wait()  # its answer has begun: the stream's own end ends it, however long it takes
                continue
            ask.signal.wait(ask.deadline + BACKSTOP_NS)
            if not ask.verdicts and ask.streamed < 0 and self._hub.now() >= ask.deadline + BACKSTOP_NS:
                # Guards the one final answer against a fault: each step has timed out by now.
                logger.error("no verdict by the deadline of a request", event="decisions.no-verdict")
                self._end(ask, Failed())
        return ask.verdicts.popleft()

    def claim(self, ask: Ask, number: int) -> bool:
        """A step has the head of a long answer: may it pass it on to the client?  The first to ask may.

        From then on the module sends nothing more for the request, and nothing but that step's end ends it.
        """
        if ask.over or ask.streamed >= 0 or number not in ask.out:
            return False
        ask.streamed = number
        self._feed(api.FirstByte(ask.id, number, ask.sent[number][0]))
        return True

    def may_begin(self, ask: Ask, number: int) -> bool:
        """Whether a step's bytes may go out now: asked right before each part of them is written."""
        if ask.over or number not in ask.out:
            return False
        asked: Callable[[int, str, int], bool] | None = getattr(self._balancer, "may_begin", None)
        return asked is None or asked(self._hub.now(), ask.id, number)

    def report(self, news: AttemptEnded | ClientGone | ListNews) -> None:
        """Tell the module what has happened."""
        if isinstance(news, AttemptEnded):
            self._step_ended(news)
        elif isinstance(news, ClientGone):
            if not news.ask.over:
                self._feed(api.ClientLeft(news.ask.id))
                self._ends["left"] += 1
                self._end(news.ask, Over())
        else:
            for line in news.listed:
                if line.state == "gone":
                    self._lines.pop(line.number, None)
                    self._eased.pop(line.number, None)
                else:
                    self._lines[line.number] = line
                    self._ever.add(line.number)
            if news.kind == "whole":
                for number in self._lines.keys() - {line.number for line in news.listed}:
                    del self._lines[number]
                    self._eased.pop(number, None)
            self._feed(api.ServerList(api.ListKind(news.kind), [self._server(line) for line in news.listed]))

    def _server(self, line: Listed) -> api.Server:
        """A line of the list as the module is told it: a server drained by hand drains, whatever the list says."""
        state = (
            api.State.DRAINING
            if line.number in self._banned and line.state != "gone"
            else (STATES.get(line.state, api.State.GONE))
        )
        return api.Server(
            line.number, line.zone, line.cell, state, max(line.started_ns, self._eased.get(line.number, 0))
        )

    # ------------------------------------------------------------ drains by hand

    def listed(self, number: int) -> bool:
        """Whether that destination was listed at any time since the start."""
        return number in self._ever

    @property
    def in_progress(self) -> int:
        """Requests taken and not ended."""
        return len(self._asks)

    @property
    def targets(self) -> int:
        """Destinations in the list at hand."""
        return len(self._lines)

    def disabled(self) -> int:
        """Listed destinations that get no new work now: drained by hand, or ejected by the module."""
        ejected: Callable[[int], int] = getattr(self._balancer, "ejected", lambda _: 0)
        return len(self._banned & self._lines.keys()) + ejected(self._hub.now())

    def ban(self, number: int) -> None:
        """Drained by hand: no new work goes there from now on, until :meth:`unban`."""
        if number not in self._banned:
            self._banned.add(number)
            if (line := self._lines.get(number)) is not None:
                self._feed(api.ServerList(api.ListKind.CHANGES, [self._server(line)]))

    def unban(self, number: int) -> None:
        """The ban is over: the server comes back as one that has just started, and is eased in."""
        if number in self._banned:
            self._banned.discard(number)
            if (line := self._lines.get(number)) is not None:
                self._eased[number] = self._hub.now()
                self._feed(api.ServerList(api.ListKind.CHANGES, [self._server(line)]))

    def tick(self) -> int | None:
        """Fire due timers; returns when to call again, none where no timer is set."""
        now = self._hub.now()
        while self._timers and self._timers[0][0] <= now:
            self._feed(api.Timer(heappop(self._timers)[2]))
        return self._timers[0][0] if self._timers else None

    def _step_ended(self, news: AttemptEnded) -> None:
        ask = news.ask
        ask.out.discard(news.number)
        destination, sent = ask.sent[news.number]
        bound = ask.streamed == news.number
        won = news.ending is Ending.SERVED and not ask.over and (ask.streamed < 0 or bound)
        took = self._hub.now() - sent
        if news.ending in WRITTEN:
            self.counters.dispatches += 1
        self._feed(
            api.Outcome(
                ask.id, news.number, destination, RESULTS[news.ending], won or ask.over or bound, took, news.load
            )
        )
        if won:
            usual = self._usual.setdefault(ask.cls, float(took))
            self._usual[ask.cls] = usual + 0.1 * (took - usual)
            self.counters.served(ask.cls)
            self._end(ask, Over())
        elif bound:
            self._end(ask, Failed())  # half an answer has gone out: the client's connection ends

    def _end(self, ask: Ask, verdict: Verdict) -> None:
        """The request is over: its last verdict, and an end to the steps that are still out."""
        if ask.over:
            return
        ask.over = True
        if isinstance(verdict, BusyReply):
            self.counters.refused(ask.cls)
        elif isinstance(verdict, Failed):
            self.counters.failed(ask.cls)
        self._asks.pop(ask.id, None)
        ask.verdicts.append(verdict)
        ask.signal.set()
        for number in list(ask.out):
            ask.cancel(number)

    def _feed(self, event: api.Event) -> None:
        now = self._hub.now()
        try:
            actions = self._balancer.handle(now, event)
        except Exception:
            # The request concerned still gets its answer from the backstop in ``pick``.
            logger.exception("the decision module failed on {news}", event="decisions.fault", news=type(event).__name__)
            return
        for action in actions:
            self._act(now, action)

    def _act(self, now: int, action: api.Action) -> None:
        match action:
            case api.Send(id, destination, timeout):
                if (ask := self._asks.get(id)) is not None:
                    number = len(ask.sent)
                    ask.sent.append((destination, now))
                    ask.out.add(number)
                    ask.verdicts.append(Attempt(number, destination, now + timeout))
                    ask.signal.set()
            case api.Refuse(id, retry_in):
                if (ask := self._asks.get(id)) is not None and ask.streamed < 0:
                    self._end(ask, BusyReply(retry_in))
            case api.Fail(id):
                if (ask := self._asks.get(id)) is not None and ask.streamed < 0:
                    self._end(ask, Failed())
            case api.Cancel(id, attempt):
                if (ask := self._asks.get(id)) is not None and attempt in ask.out and attempt != ask.streamed:
                    ask.cancel(attempt)
            case api.Wake(after, token):
                self._count += 1
                heappush(self._timers, (now + after, self._count, token))
            case api.CloseIdle(destination):
                self._close_idle(destination)
            case api.Watch():
                self._watch()
