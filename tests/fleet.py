"""A plain world of many sidecars: many instances of the module, and servers that work through queues, without sockets.

It is deterministic: one heap of events, one random source, fixed seeds.  Servers have two cores and a queue; one that
started a while ago is cold and grows warm evenly.  The instances share nothing but these servers and their list.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from lugtally import Balancer, api
from tests.world import MS, S

CORES = 2
COLD_FROM = 0.3
WARM_NS = 8 * S


@dataclass
class Machine:
    """One server: its cores, its queue, and what has been sent to it."""

    line: api.Server
    busy: int = 0
    queue: list[tuple[int, str, int]] = field(default_factory=list)     # instance, request, attempt
    sends: list[tuple[int, float]] = field(default_factory=list)        # when, work in seconds

    def speed(self, now: int) -> float:
        """The part of its full speed that it has by now."""
        if not self.line.started_ns:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.line.started_ns) / WARM_NS)


@dataclass
class Asked:
    """One request of one instance."""

    cls: int
    work: float
    deadline: int
    where: list[int] = field(default_factory=list)
    out: dict[int, int] = field(default_factory=dict)   # attempt -> when sent
    ended: str = ""


class Fleet:
    """Sidecars, servers, and the events between them."""

    def __init__(self, told: api.Settings, sidecars: int, servers: int, *, rate: float, work: tuple[float, ...],
                 shares: tuple[float, ...] = (1.0,), seed: int = 1) -> None:
        """``work`` in seconds of a core and ``shares`` of the requests are by class."""
        self.told, self.rng, self.now = told, Random(seed), 1000 * S
        self.machines = {n: Machine(api.Server(n, zone=n % 2)) for n in range(1, servers + 1)}
        self.work, self.shares = work, shares
        self.asked: dict[tuple[int, str], Asked] = {}
        self.tally: dict[str, int] = defaultdict(int)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        # Traffic is uneven: the busiest sidecar carries several times the mean, some next to nothing.
        parts = [self.rng.gammavariate(1.2, 1.0) for _ in range(sidecars)]
        self.rates = [rate * part / sum(parts) for part in parts]
        self.balancers = [Balancer(told, seed * 1000 + n) for n in range(sidecars)]
        for at in range(sidecars):
            self.tell(at, api.ListKind.KEPT)
            self._after(self._gap(at), lambda at=at: self._arrive(at))  # type: ignore[misc]

    def run(self, span: int) -> None:
        """Let time go by."""
        until = self.now + span
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heappop(self._events)
            event()
        self.now = until

    def replace(self, old: list[int], new: list[int]) -> None:
        """Servers are replaced by ones that start now; every sidecar is told at once."""
        for number in old:
            del self.machines[number]
        for number in new:
            self.machines[number] = Machine(api.Server(number, zone=number % 2, started_ns=self.now))
        for at in range(len(self.balancers)):
            self.tell(at, api.ListKind.WHOLE)

    def tell(self, at: int, kind: api.ListKind) -> None:
        """Give one instance the list."""
        self._feed(at, api.ServerList(kind, [m.line for m in self.machines.values()]))

    # ------------------------------------------------------------ the events

    def _after(self, span: int, event: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (self.now + span, self._count, event))

    def _gap(self, at: int) -> int:
        return int(self.rng.expovariate(self.rates[at]) * S)

    def _arrive(self, at: int) -> None:
        self._after(self._gap(at), lambda: self._arrive(at))
        self._count += 1
        name = f"r{self._count}"
        number = self.rng.choices(range(len(self.shares)), self.shares)[0]
        left = self.told.classes[number].deadline_ns
        self.asked[at, name] = Asked(number, self.rng.gammavariate(0.5, 2) * self.work[number], self.now + left)
        self.tally[f"asked {number}"] += 1
        self._feed(at, api.Request(name, number, 0, left))

    def _feed(self, at: int, event: api.Event) -> None:
        for action in self.balancers[at].handle(self.now, event):
            if isinstance(action, api.Send):
                self._send(at, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self._end(at, action.id, "refused" if isinstance(action, api.Refuse) else "failed")
            elif isinstance(action, api.Wake):
                token = action.token
                self._after(action.after_ns, lambda token=token: self._feed(at, api.Timer(token)))  # type: ignore[misc]
            elif isinstance(action, api.Cancel):
                self._answer(at, action.id, action.attempt, api.Result.CANCELLED)

    def _send(self, at: int, action: api.Send) -> None:
        asked = self.asked[at, action.id]
        attempt = len(asked.where)
        asked.where.append(action.server)
        asked.out[attempt] = self.now
        self.tally["sends"] += 1
        self.tally["repeats"] += attempt > 0
        machine = self.machines.get(action.server)
        if machine is None:
            self._after(MS, lambda: self._answer(at, action.id, attempt, api.Result.NO_CONNECTION))
            return
        machine.sends.append((self.now, asked.work))
        machine.queue.append((at, action.id, attempt))
        self._after(action.timeout_ns, lambda: self._answer(at, action.id, attempt, api.Result.TIMEOUT))
        self._serve(machine)

    def _serve(self, machine: Machine) -> None:
        while machine.busy < CORES and machine.queue:
            at, name, attempt = machine.queue.pop(0)
            asked = self.asked[at, name]
            if attempt not in asked.out:
                continue        # called off while it waited
            machine.busy += 1

            def done(at: int = at, name: str = name, attempt: int = attempt) -> None:
                machine.busy -= 1
                self._answer(at, name, attempt, api.Result.OK)
                self._serve(machine)

            self._after(int(asked.work / machine.speed(self.now) * S), done)

    def _answer(self, at: int, name: str, attempt: int, result: api.Result) -> None:
        asked = self.asked[at, name]
        if attempt not in asked.out:
            return
        took = self.now - asked.out.pop(attempt)
        won = result is api.Result.OK and not asked.ended
        self._feed(at, api.Outcome(name, attempt, asked.where[attempt], result, won or bool(asked.ended), took))
        if won:
            self._end(at, name, "late" if took > self.told.classes[asked.cls].aim_ns else "served")

    def _end(self, at: int, name: str, how: str) -> None:
        asked = self.asked[at, name]
        if not asked.ended:
            asked.ended = how
            self.tally[f"{how} {asked.cls}"] += 1
            for attempt in list(asked.out):
                self._answer(at, name, attempt, api.Result.CANCELLED)
