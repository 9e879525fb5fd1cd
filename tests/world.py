"""Helpers of the tests: terse events, and a checker of the four rules that knows nothing of the module."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from lugtally import Balancer, api

MS = api.MS
S = api.SECOND
T0 = 1000 * S  # servers with started_ns = 0 are long warm by then

SAFE = api.RequestClass("safe", api.Effect.SAFE, aim_ns=300 * MS, deadline_ns=S)
UNSAFE = api.RequestClass("unsafe", api.Effect.UNSAFE, aim_ns=300 * MS, deadline_ns=S)


def keyed(group: api.Group, window_ns: int = 750 * MS) -> api.RequestClass:
    """A keyed class."""
    return api.RequestClass("keyed", api.Effect.KEYED, group, window_ns, 300 * MS, S)


def settings(*classes: api.RequestClass, **more: Any) -> api.Settings:
    """Settings of a deployment that allows most things."""
    plain = api.Settings(
        classes=classes or (SAFE,),
        balancers=3,
        max_attempts=4,
        second_copies=True,
        may_cancel=True,
        advice=True,
        max_advice_ns=2 * S,
        warm_within_ns=20 * S,
        cold_from=0.12,
        fall_multiple=3.0,
    )
    return replace(plain, **more)


def lines(count: int, **more: Any) -> list[api.Server]:
    """``count`` servers with the ids 1, 2, ...; every third one in each zone and cell."""
    return [api.Server(n, zone=n % 3, cell=n % 3, **more) for n in range(1, count + 1)]


@dataclass
class Copy:
    """One attempt as the checker sees it."""

    server: int
    sent: int
    open: bool = True
    ran: bool = True


@dataclass
class Track:
    """One request as the checker sees it."""

    cls: api.RequestClass
    deadline: int
    copies: list[Copy] = field(default_factory=list)
    over: bool = False
    finals: int = 0
    streaming: bool = False


class World:
    """Feeds a balancer and holds every action against the four rules."""

    def __init__(self, told: api.Settings, seed: int = 1) -> None:
        self.told = told
        self.balancer = Balancer(told, seed)
        self.now = T0
        self.tracks: dict[str, Track] = {}
        self.lines: dict[int, api.Server] = {}
        self.drained: set[int] = set()
        self.wakes: list[tuple[int, str]] = []
        self.sends: list[tuple[int, int]] = []  # when, where
        self.log: list[api.Action] = []

    def feed(self, event: api.Event) -> list[api.Action]:
        """One event at the present time; returns the actions after checking them."""
        if isinstance(event, api.ServerList) and event.kind is not api.ListKind.FAILED:
            self._take_list(event)
        elif isinstance(event, api.Request):
            cls = self.told.classes[event.cls] if event.cls < len(self.told.classes) else api.RequestClass()
            self.tracks[event.id] = Track(cls, self.now + event.time_left_ns)
        elif isinstance(event, api.ClientLeft) and event.id in self.tracks:
            self.tracks[event.id].over = True
        elif isinstance(event, api.FirstByte) and event.id in self.tracks:
            self.tracks[event.id].streaming = True
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def _take_list(self, event: api.ServerList) -> None:
        seen = {line.id for line in event.servers}
        for line in event.servers:
            self.lines[line.id] = replace(line)
            if line.state is api.State.DRAINING:
                self.drained.add(line.id)
            elif line.state is api.State.UP:
                self.drained.discard(line.id)
        if event.kind is not api.ListKind.CHANGES:
            for line in self.lines.values():
                if line.id not in seen:
                    line.state = api.State.GONE

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.Wake):
            assert action.after_ns >= 0
            self.wakes.append((self.now + action.after_ns, action.token))
        elif isinstance(action, api.Send):
            self._check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            track = self.tracks[action.id]
            assert not track.over and not track.streaming, "a second final answer"
            assert self.now <= track.deadline + 20 * MS, "a late final answer"
            track.over, track.finals = True, track.finals + 1
            if isinstance(action, api.Refuse):
                assert 0 <= action.retry_in_ns <= self.told.max_advice_ns
                cls = track.cls
                if any(c.ran for c in track.copies) and cls.effect is not api.Effect.SAFE:
                    assert cls.effect is api.Effect.KEYED, "refused what may have run"
                    assert cls.group is api.Group.ALL, "refused what may have run"

    def _check_send(self, action: api.Send) -> None:
        track, line = self.tracks[action.id], self.lines[action.server]
        assert not track.over and not track.streaming and self.now < track.deadline, "sent what is over"
        assert 0 < action.timeout_ns <= track.deadline - self.now
        assert len(track.copies) < self.told.max_attempts
        if any(c.open for c in track.copies):
            assert self.told.second_copies, "two attempts at once"
        assert line.id not in self.drained, "sent to a draining server"
        assert line.state is api.State.UP or not self.told.gone_binds, "sent to a server that is gone"
        ran = [c for c in track.copies if c.ran]
        if ran and track.cls.effect is api.Effect.UNSAFE:
            raise AssertionError("an unsafe request was repeated")
        if ran and track.cls.effect is api.Effect.KEYED:
            first = ran[0]
            assert self.now - first.sent <= track.cls.window_ns, "repeated after the window"
            if track.cls.group is not api.Group.ALL:
                name = track.cls.group.value
                assert getattr(line, name) == getattr(self.lines[first.server], name), "left the group"
        track.copies.append(Copy(action.server, self.now))
        self.sends.append((self.now, action.server))

    def ask(self, name: str, cls: int = 0, left: int = S, tenant: int = 0) -> list[api.Action]:
        """A request arrives."""
        return self.feed(api.Request(name, cls, tenant, left))

    def end(self, name: str, attempt: int, result: api.Result, over: bool | None = None) -> list[api.Action]:
        """An attempt ends."""
        track = self.tracks[name]
        copy = track.copies[attempt]
        copy.open = False
        if result in api.NEVER_RAN:
            copy.ran = False
        ends = result is api.Result.OK or track.streaming
        track.over = track.over or (ends if over is None else over)
        return self.feed(api.Outcome(name, attempt, copy.server, result, track.over, self.now - copy.sent))

    def pass_time(self, span: int, step: int = 5 * MS) -> None:
        """Let time go by, with timers delivered and attempts timed out at their deadlines."""
        until = self.now + span
        while self.now < until:
            self.now += step
            due = [w for w in self.wakes if w[0] <= self.now]
            self.wakes = [w for w in self.wakes if w[0] > self.now]
            for _, token in due:
                self.feed(api.Timer(token))
            for name, track in list(self.tracks.items()):
                for at, copy in enumerate(track.copies):
                    if copy.open and self.now >= track.deadline and not track.streaming:
                        self.end(name, at, api.Result.TIMEOUT)

    def settle(self) -> None:
        """Run past every deadline; then each request must be over."""
        self.pass_time(max([0, *(t.deadline for t in self.tracks.values())]) - self.now + 50 * MS)
        for name, track in self.tracks.items():
            assert track.over or track.streaming, f"{name} was lost"
            assert track.finals <= 1


def started(told: api.Settings, servers: list[api.Server], seed: int = 1) -> World:
    """A world whose balancer has been given its first list."""
    world = World(told, seed)
    world.feed(api.ServerList(api.ListKind.KEPT, servers))
    return world


def sent(actions: list[api.Action]) -> list[int]:
    """The servers that the actions send to."""
    return [a.server for a in actions if isinstance(a, api.Send)]


def age_connections(world: World) -> None:
    """Two requests in a row get no answer on connections that were not used for a while."""
    served(world, 60)
    world.pass_time(S)
    for n in range(2):
        world.ask(f"aged{n}")
        world.pass_time(200 * MS)


def served(world: World, count: int, took: int = 40 * MS, gap: int = 10 * MS) -> None:
    """``count`` requests, each answered well before the next ones pile up."""
    first = len(world.tracks)
    for n in range(first, first + count):
        name = f"warm{n}"
        if sent(world.ask(name)):
            world.pass_time(took)
            if not world.tracks[name].over:
                world.end(name, 0, api.Result.OK)
        world.pass_time(gap)
