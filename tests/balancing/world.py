"""Helpers of the tests: terse events, and a checker of the four rules that knows nothing of the module."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from lugtally import Balancer, balancing
from lugtally.units import NS_PER_MS, NS_PER_S

MS = NS_PER_MS
S = NS_PER_S
T0 = 1000 * S  # servers with started_ns = 0 are long warm by then

SAFE = balancing.RequestClass("safe", balancing.Idempotency.IDEMPOTENT, latency_objective_ns=300 * MS, deadline_ns=S)
UNSAFE = balancing.RequestClass(
    "unsafe", balancing.Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * MS, deadline_ns=S
)


def keyed(group: balancing.DeduplicationScope, window_ns: int = 750 * MS) -> balancing.RequestClass:
    """A keyed class."""
    return balancing.RequestClass("keyed", balancing.Idempotency.IDEMPOTENCY_KEY, group, window_ns, 300 * MS, S)


def settings(*classes: balancing.RequestClass, **more: Any) -> balancing.Settings:
    """Settings of a deployment that allows most things."""
    plain = balancing.Settings(
        classes=classes or (SAFE,),
        fleet_size=3,
        max_attempts=4,
        hedging_allowed=True,
        cancellation_allowed=True,
        retry_after_allowed=True,
        max_retry_after_ns=2 * S,
        slow_start_window_ns=20 * S,
        initial_capacity=0.12,
        overload_multiple=3.0,
    )
    return replace(plain, **more)


def lines(count: int, **more: Any) -> list[balancing.Endpoint]:
    """``count`` servers with the ids 1, 2, ...; every third one in each zone and cell."""
    return [balancing.Endpoint(n, zone=n % 3, cell=n % 3, **more) for n in range(1, count + 1)]


@dataclass
class Copy:
    """One attempt as the checker sees it."""

    server: int
    sent: int
    zone: int  # of the server when it was sent: the record of its key stays there, whatever the list says later
    cell: int
    open: bool = True
    ran: bool = True


@dataclass
class Track:
    """One request as the checker sees it."""

    cls: balancing.RequestClass
    deadline: int
    copies: list[Copy] = field(default_factory=list)
    over: bool = False
    finals: int = 0
    streaming: bool = False


class World:
    """Feeds a balancer and holds every action against the four rules."""

    def __init__(self, configured: balancing.Settings, seed: int = 1) -> None:
        self.configured = configured
        self.balancer = Balancer(configured, seed)
        self.now = T0
        self.tracks: dict[str, Track] = {}
        self.lines: dict[int, balancing.Endpoint] = {}
        self.drained: set[int] = set()
        self.wakes: list[tuple[int, str]] = []
        self.sends: list[tuple[int, int]] = []  # when, where
        self.log: list[balancing.Action] = []

    def feed(self, event: balancing.Event) -> list[balancing.Action]:
        """One event at the present time; returns the actions after checking them."""
        if isinstance(event, balancing.EndpointUpdate) and event.kind is not balancing.EndpointUpdateKind.FAILED:
            self._apply_update(event)
        elif isinstance(event, balancing.Request):
            cls = (
                self.configured.classes[event.class_index]
                if event.class_index < len(self.configured.classes)
                else balancing.RequestClass()
            )
            self.tracks[event.id] = Track(cls, self.now + event.time_left_ns)
        elif isinstance(event, balancing.ClientDisconnected) and event.request_id in self.tracks:
            self.tracks[event.request_id].over = True
        elif isinstance(event, balancing.ResponseStarted) and event.request_id in self.tracks:
            self.tracks[event.request_id].streaming = True
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def _apply_update(self, event: balancing.EndpointUpdate) -> None:
        seen = {line.id for line in event.endpoints}
        for line in event.endpoints:
            self.lines[line.id] = replace(line)
            if line.state is balancing.EndpointState.DRAINING:
                self.drained.add(line.id)
            elif line.state is balancing.EndpointState.READY:
                self.drained.discard(line.id)
        if event.kind is not balancing.EndpointUpdateKind.DELTA:
            for line in self.lines.values():
                if line.id not in seen:
                    line.state = balancing.EndpointState.REMOVED

    def _check(self, action: balancing.Action) -> None:
        if isinstance(action, balancing.SetTimer):
            assert action.delay_ns >= 0
            self.wakes.append((self.now + action.delay_ns, action.token))
        elif isinstance(action, balancing.SendAttempt):
            self._check_send(action)
        elif isinstance(action, balancing.RejectRequest | balancing.FailRequest):
            track = self.tracks[action.request_id]
            assert not track.over and not track.streaming, "a second final answer"
            assert self.now <= track.deadline + 20 * MS, "a late final answer"
            track.over, track.finals = True, track.finals + 1
            if isinstance(action, balancing.RejectRequest):
                assert 0 <= action.retry_after_ns <= self.configured.max_retry_after_ns
                cls = track.cls
                if any(c.ran for c in track.copies) and cls.idempotency is not balancing.Idempotency.IDEMPOTENT:
                    assert cls.idempotency is balancing.Idempotency.IDEMPOTENCY_KEY, "refused what may have run"
                    assert cls.deduplication_scope is balancing.DeduplicationScope.ALL, "refused what may have run"

    def _check_send(self, action: balancing.SendAttempt) -> None:
        track, line = self.tracks[action.request_id], self.lines[action.endpoint_id]
        assert not track.over and not track.streaming and self.now < track.deadline, "sent what is over"
        assert 0 < action.timeout_ns <= track.deadline - self.now
        assert len(track.copies) < self.configured.max_attempts
        if any(c.open for c in track.copies):
            assert self.configured.hedging_allowed, "two attempts at once"
        assert line.id not in self.drained, "sent to a draining server"
        assert line.state is balancing.EndpointState.READY or not self.configured.removal_is_binding, (
            "sent to a server that is gone"
        )
        ran = [c for c in track.copies if c.ran]
        if ran and track.cls.idempotency is balancing.Idempotency.NON_IDEMPOTENT:
            raise AssertionError("an unsafe request was repeated")
        if ran and track.cls.idempotency is balancing.Idempotency.IDEMPOTENCY_KEY:
            first = ran[0]
            assert self.now - first.sent <= track.cls.deduplication_window_ns, "repeated after the window"
            if track.cls.deduplication_scope is not balancing.DeduplicationScope.ALL:
                name = track.cls.deduplication_scope.value
                assert getattr(line, name) == getattr(first, name), "left the group"
        track.copies.append(Copy(action.endpoint_id, self.now, line.zone, line.cell))
        self.sends.append((self.now, action.endpoint_id))

    def send_request(self, name: str, cls: int = 0, left: int = S, tenant: int = 0) -> list[balancing.Action]:
        """A request arrives."""
        return self.feed(balancing.Request(name, cls, tenant, left))

    def end(
        self, name: str, attempt: int, result: balancing.AttemptResult, over: bool | None = None
    ) -> list[balancing.Action]:
        """An attempt ends."""
        track = self.tracks[name]
        copy = track.copies[attempt]
        copy.open = False
        if result in balancing.NOT_PROCESSED:
            copy.ran = False
        ends = result is balancing.AttemptResult.OK or track.streaming
        track.over = track.over or (ends if over is None else over)
        return self.feed(
            balancing.AttemptFinished(name, attempt, copy.server, result, track.over, self.now - copy.sent)
        )

    def pass_time(self, duration_ns: int, interval_ns: int = 5 * MS) -> None:
        """Let time go by, with timers delivered and attempts timed out at their deadlines."""
        until = self.now + duration_ns
        while self.now < until:
            self.now += interval_ns
            due = [w for w in self.wakes if w[0] <= self.now]
            self.wakes = [w for w in self.wakes if w[0] > self.now]
            for _, token in due:
                self.feed(balancing.TimerFired(token))
            for name, track in list(self.tracks.items()):
                for at, copy in enumerate(track.copies):
                    if copy.open and self.now >= track.deadline and not track.streaming:
                        self.end(name, at, balancing.AttemptResult.TIMEOUT)

    def run_to_deadlines(self) -> None:
        """Run past every deadline; then each request must be over."""
        self.pass_time(max([0, *(t.deadline for t in self.tracks.values())]) - self.now + 50 * MS)
        for name, track in self.tracks.items():
            assert track.over or track.streaming, f"{name} was lost"
            assert track.finals <= 1


def started(configured: balancing.Settings, servers: list[balancing.Endpoint], seed: int = 1) -> World:
    """A world whose balancer has been given its first list."""
    world = World(configured, seed)
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, servers))
    return world


def sent(actions: list[balancing.Action]) -> list[int]:
    """The servers that the actions send to."""
    return [a.endpoint_id for a in actions if isinstance(a, balancing.SendAttempt)]


def age_connections(world: World) -> None:
    """Two requests in a row get no answer on connections that were not used for a while."""
    served(world, 60)
    world.pass_time(S)
    for n in range(2):
        world.send_request(f"aged{n}")
        world.pass_time(200 * MS)


def served(world: World, count: int, took: int = 40 * MS, gap: int = 10 * MS) -> None:
    """``count`` requests, each answered well before the next ones pile up."""
    first = len(world.tracks)
    for n in range(first, first + count):
        name = f"warm{n}"
        if sent(world.send_request(name)):
            world.pass_time(took)
            if not world.tracks[name].over:
                world.end(name, 0, balancing.AttemptResult.OK)
        world.pass_time(gap)
