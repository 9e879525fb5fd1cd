"""A plain world of many sidecars: many instances of the module, and the kit's model of pledge servers, without sockets.

It is deterministic: one heap of events, one random source, fixed seeds.  The instances share nothing but the servers
and their list.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from random import Random

from lugtally import Balancer, balancing
from lugtally.testbed.emulator.server_model import Admission, Job, ServerModel, ServerTraits
from tests.balancing.world import MS, S

TRAITS = ServerTraits(initial_capacity=0.3, warm_up_s=8.0)


@dataclass
class Machine:
    """One server, and when something was sent to it."""

    line: balancing.Endpoint
    server: ServerModel
    sends: list[int] = field(default_factory=list)
    report: float | None = None  # the held requests that its answers tell, as of its last refresh
    jobs: dict[Job, tuple[int, str, int]] = field(default_factory=dict)  # instance, request, attempt
    due: float = inf  # the turn that is called for


@dataclass
class Asked:
    """One request of one instance."""

    cls: int
    tenant: int
    work: float
    where: list[int] = field(default_factory=list)
    out: dict[int, tuple[int, Job | None]] = field(default_factory=dict)  # attempt -> when sent, its job
    ended: str = ""


class Fleet:
    """Sidecars, servers, and the events between them."""

    def __init__(
        self,
        told: balancing.Settings,
        sidecars: int,
        servers: int,
        *,
        rate: float,
        work: tuple[float, ...],
        shares: tuple[float, ...] = (1.0,),
        seed: int = 1,
        traits: tuple[ServerTraits, ...] = (TRAITS,),
        reports: tuple[int, int] | None = None,
        tenants: tuple[float, ...] = (1.0,),
    ) -> None:
        """``work`` in seconds of a core and ``shares`` of the requests are by class, ``tenants`` shares by tenant.

        Server ``n`` has ``traits[n % len(traits)]``.  With ``reports`` each answer carries the requests held
        there, refreshed every ``reports[0]`` and seen ``reports[1]`` later (nanoseconds, each drawn from half
        to one and a half of it).
        """
        self.told, self.rng, self.now = told, Random(seed), 1000 * S
        self.traits, self.reports = traits, reports
        self.machines = {n: self._machine(n) for n in range(1, servers + 1)}
        self.work, self.shares, self.tenants = work, shares, tenants
        self.asked: dict[tuple[int, str], Asked] = {}
        self.tally: dict[str, int] = defaultdict(int)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        # Traffic is uneven: the busiest sidecar carries several times the mean, some next to nothing.
        parts = [self.rng.gammavariate(1.2, 1.0) for _ in range(sidecars)]
        self.rates = [rate * part / sum(parts) for part in parts]
        self.balancers = [Balancer(told, seed * 1000 + n) for n in range(sidecars)]
        if reports is not None:
            for machine in self.machines.values():
                self._refresh(machine)
        for at in range(sidecars):
            self.tell(at, balancing.EndpointUpdateKind.CACHED)
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
            self.machines[number] = self._machine(number, self.now)
            if self.reports is not None:
                self._refresh(self.machines[number])
        for at in range(len(self.balancers)):
            self.tell(at, balancing.EndpointUpdateKind.FULL)

    def restart(self, share: float) -> None:
        """That share of the instances, the busiest first, begins anew with the list as it was and nothing learnt."""
        order = sorted(range(len(self.balancers)), key=lambda at: -self.rates[at])
        for at in order[: round(share * len(order))]:
            self._count += 1
            for name in [name for other, name in self.asked if other == at and not self.asked[at, name].ended]:
                self._end(at, name, "lost")
            self.balancers[at] = Balancer(self.told, self._count)
            self.tell(at, balancing.EndpointUpdateKind.CACHED)

    def _machine(self, number: int, started: int = 0) -> Machine:
        line = balancing.Endpoint(number, zone=number % 2, started_ns=started)
        traits = self.traits[number % len(self.traits)]
        return Machine(line, ServerModel(traits, self.now / S, cold=started > 0))

    def _refresh(self, machine: Machine) -> None:
        """Its report is read off now and seen a while later; then the next one is due."""
        assert self.reports is not None
        every, late = self.reports
        self._turn(machine)
        held = float(machine.server.in_flight)

        def seen() -> None:
            machine.report = held

        self._after(int(late * self.rng.uniform(0.5, 1.5)), seen)
        if machine.line.id in self.machines:
            self._after(int(every * self.rng.uniform(0.5, 1.5)), lambda: self._refresh(machine))

    def held(self) -> list[int]:
        """What the servers truly hold now, by id."""
        for machine in self.machines.values():
            self._turn(machine)
        return [self.machines[n].server.in_flight for n in sorted(self.machines)]

    def slow_all(self, by: float) -> None:
        """Something that all servers depend on makes each of them slower by that much (1: not at all)."""
        for machine in self.machines.values():
            self._turn(machine)
            machine.server.slowdown = by

    def choked(self) -> int:
        """How many servers are choked now."""
        return sum(m.server.choked_since >= 0 for m in self.machines.values())

    def tell(self, at: int, kind: balancing.EndpointUpdateKind) -> None:
        """Give one instance the list."""
        self._feed(at, balancing.EndpointUpdate(kind, [m.line for m in self.machines.values()]))

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
        tenant = self.rng.choices(range(len(self.tenants)), self.tenants)[0] if len(self.tenants) > 1 else 0
        left = self.told.classes[number].deadline_ns
        self.asked[at, name] = Asked(number, tenant, self.rng.gammavariate(0.5, 2) * self.work[number])
        self.tally[f"asked {number}"] += 1
        self.tally[f"tenant {tenant} asked"] += 1
        self._feed(at, balancing.Request(name, number, tenant, left))

    def _feed(self, at: int, event: balancing.Event) -> None:
        for action in self.balancers[at].handle(self.now, event):
            if isinstance(action, balancing.SendAttempt):
                self._send(at, action)
            elif isinstance(action, balancing.RejectRequest | balancing.FailRequest):
                self._end(at, action.request_id, "refused" if isinstance(action, balancing.RejectRequest) else "failed")
            elif isinstance(action, balancing.SetTimer):
                token = action.token
                self._after(action.delay_ns, lambda token=token: self._feed(at, balancing.TimerFired(token)))  # type: ignore[misc]
            elif isinstance(action, balancing.CancelAttempt):
                self._answer(at, action.request_id, action.attempt, balancing.AttemptResult.CANCELLED)

    def _send(self, at: int, action: balancing.SendAttempt) -> None:
        asked = self.asked[at, action.request_id]
        attempt = len(asked.where)
        asked.where.append(action.endpoint_id)
        self.tally["sends"] += 1
        machine = self.machines.get(action.endpoint_id)
        job = Job(f"{at} {action.request_id} {attempt}", asked.work, sidecar=at) if machine else None
        asked.out[attempt] = self.now, job
        if machine is None or job is None:
            self._after(MS, lambda: self._answer(at, action.request_id, attempt, balancing.AttemptResult.NO_CONNECTION))
            return
        machine.sends.append(self.now)
        self._turn(machine)
        if machine.server.offer(self.now / S, job) is not Admission.ADMITTED:
            self._after(MS, lambda: self._answer(at, action.request_id, attempt, balancing.AttemptResult.REJECTED))
            return
        machine.jobs[job] = at, action.request_id, attempt
        self._after(
            action.timeout_ns, lambda: self._answer(at, action.request_id, attempt, balancing.AttemptResult.TIMEOUT)
        )
        self._call(machine)

    def _turn(self, machine: Machine) -> None:
        """Let a server work until now, and answer what has ended."""
        for job in machine.server.advance(self.now / S):
            if job in machine.jobs:  # else it was called off in the same moment
                self._answer(*machine.jobs.pop(job), balancing.AttemptResult.OK)

    def _call(self, machine: Machine) -> None:
        """Come back when something ends at a server."""
        due = machine.server.next_due()
        if due == inf or machine.due <= due:
            return
        machine.due = due

        def turn() -> None:
            if machine.due == due:
                machine.due = inf
            self._turn(machine)
            self._call(machine)

        self._after(max(0, int((due - self.now / S) * S) + 1), turn)

    def _answer(self, at: int, name: str, attempt: int, result: balancing.AttemptResult) -> None:
        asked = self.asked[at, name]
        if attempt not in asked.out:
            return
        sent, job = asked.out.pop(attempt)
        machine = self.machines.get(asked.where[attempt])
        if result is not balancing.AttemptResult.OK and machine is not None and job in machine.jobs:
            del machine.jobs[job]
            self._turn(machine)
            machine.server.cancel(self.now / S, job)
            self._call(machine)
        won = result is balancing.AttemptResult.OK and not asked.ended
        report = None
        if machine is not None and machine.report is not None and result is balancing.AttemptResult.OK:
            report = (machine.report,)
        event = balancing.AttemptFinished(
            name, attempt, asked.where[attempt], result, won or bool(asked.ended), self.now - sent, report
        )
        self._feed(at, event)
        if won:
            self._end(
                at, name, "late" if self.now - sent > self.told.classes[asked.cls].latency_objective_ns else "served"
            )

    def _end(self, at: int, name: str, how: str) -> None:
        asked = self.asked[at, name]
        if not asked.ended:
            asked.ended = how
            self.tally[f"{how} {asked.cls}"] += 1
            self.tally[f"tenant {asked.tenant} {how}"] += 1
            for attempt in list(asked.out):
                self._answer(at, name, attempt, balancing.AttemptResult.CANCELLED)
