"""Random lives: whatever happens, in whatever order, the four rules hold and nothing is raised."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as draws_from
from hypothesis import strategies as st

from lugtally import balancing
from tests.balancing.world import MS, SAFE, UNSAFE, S, World, keyed, lines
from tests.balancing.world import settings as told

DRAWS = 1  # the examples must not change with the text of a test, as they would by its digest

CLASSES = (
    SAFE,
    UNSAFE,
    keyed(balancing.DeduplicationScope.ALL, 400 * MS),
    keyed(balancing.DeduplicationScope.ZONE),
    keyed(balancing.DeduplicationScope.CELL, 300 * MS),
    replace(SAFE, stream=True),
)
RESULTS = list(balancing.AttemptResult)

STEP = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, len(CLASSES)), st.integers(1, 1200)),
    st.tuples(st.just("ask"), st.integers(0, len(CLASSES)), st.integers(1, 1200)),
    st.tuples(st.just("end"), st.integers(0, 200), st.integers(0, len(RESULTS) - 1)),
    st.tuples(st.just("end"), st.integers(0, 200), st.integers(0, len(RESULTS) - 1)),
    st.tuples(st.just("wait"), st.integers(0, 400), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 40), st.integers(0, 5)),
    st.tuples(st.just("left"), st.integers(0, 200), st.just(0)),
    st.tuples(st.just("byte"), st.integers(0, 200), st.just(0)),
    st.tuples(st.just("odd"), st.integers(0, 6), st.just(0)),
)


def play(world: World, steps: list[tuple[str, int, int]]) -> None:
    """Carry out the drawn steps."""
    for number, (what, one, two) in enumerate(steps):
        open_copies = [(n, at) for n, t in world.tracks.items() for at, c in enumerate(t.copies) if c.open]
        live = [n for n, t in world.tracks.items() if not t.over and not t.streaming]
        if what == "ask":
            world.send_request(f"r{number}", one, two * MS)
        elif what == "end" and open_copies:
            name, at = open_copies[one % len(open_copies)]
            world.end(name, at, RESULTS[two])
        elif what == "wait":
            world.pass_time(one * MS)
        elif what == "left" and live:
            world.feed(balancing.ClientDisconnected(live[one % len(live)]))
        elif what == "byte" and open_copies:
            name, at = open_copies[one % len(open_copies)]
            if not world.tracks[name].over and not world.tracks[name].streaming:
                world.feed(balancing.ResponseStarted(name, at, world.tracks[name].copies[at].server))
        elif what == "list":
            change_list(world, one, two)
        elif what == "odd":
            odd(world, one)


def change_list(world: World, one: int, two: int) -> None:
    """One of the ways in which news of the list arrives."""
    server = balancing.Endpoint(1 + one % 14, zone=one % 3, cell=one % 3)
    if two == 0:
        world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
    elif two == 1:
        world.feed(
            balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, [x for x in lines(12) if x.id % 5 != one % 5])
        )
    elif two == 2:
        world.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.DELTA, [replace(server, started_ns=world.now - one * MS)]
            )
        )
    else:
        state = (balancing.EndpointState.DRAINING, balancing.EndpointState.REMOVED, balancing.EndpointState.READY)[
            two - 3
        ]
        world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [replace(server, state=state)]))


def odd(world: World, one: int) -> None:
    """Events that name what the balancer does not hold change nothing that is owed."""
    event: list[balancing.Event] = [
        balancing.ClientDisconnected("nobody"),
        balancing.TimerFired("rnobody"),
        balancing.TimerFired("?"),
        balancing.HealthCheckFinished(99, True),
        balancing.GossipReceived(1, "x"),
        balancing.ResponseStarted("nobody", 0, 1),
        balancing.AttemptFinished("nobody", 3, 77, balancing.AttemptResult.TIMEOUT, False, 5),
    ]
    assert not [
        a
        for a in world.feed(event[one])
        if isinstance(a, balancing.SendAttempt | balancing.RejectRequest | balancing.FailRequest)
    ]


@draws_from(DRAWS)
@settings(derandomize=True, deadline=None, max_examples=250, database=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(STEP, min_size=5, max_size=60),
    st.booleans(),
    st.booleans(),
    st.integers(1, 6),
    st.integers(0, 14),
    st.integers(0, 9),
)
def test_rules_hold(
    steps: list[tuple[str, int, int]], copies: bool, gone_binds: bool, attempts: int, count: int, seed: int
) -> None:
    world = World(told(*CLASSES, hedging_allowed=copies, removal_is_binding=gone_binds, max_attempts=attempts), seed)
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, lines(count)))
    play(world, steps)
    world.run_to_deadlines()


@draws_from(DRAWS)
@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    st.lists(st.tuples(st.integers(-3, 9), st.text("+-:0123456789v.x \u0664", max_size=24)), max_size=30),
    st.integers(0, 9),
)
def test_no_message_raises_or_breaks_a_rule(messages: list[tuple[int, str]], seed: int) -> None:
    world = World(told(*CLASSES, fleet_size=3), seed)
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, lines(9)))
    for n, (peer, text) in enumerate(messages):
        world.feed(balancing.GossipReceived(peer, text))
        world.send_request(f"m{n}", n % len(CLASSES))
        world.pass_time(40 * MS)
    world.run_to_deadlines()


@draws_from(DRAWS)
@settings(derandomize=True, deadline=None, max_examples=40, database=None, suppress_health_check=list(HealthCheck))
@given(st.lists(STEP, min_size=20, max_size=60), st.integers(0, 9))
def test_same_events_same_actions(steps: list[tuple[str, int, int]], seed: int) -> None:
    logs = []
    for _ in range(2):
        world = World(told(*CLASSES), seed)
        world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, lines(9)))
        play(world, steps)
        logs.append(world.log)
    assert logs[0] == logs[1]


@draws_from(DRAWS)
@settings(derandomize=True, deadline=None, max_examples=25, database=None, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 20), st.integers(1, 12), st.integers(2, 25), st.booleans(), st.integers(0, 9))
def test_cold_servers_stay_under_the_bound(age_s: int, cold: int, gap_ms: int, restarted: bool, seed: int) -> None:
    """A fleet at full load, one balancer: no cold server is sent more than its capacity surely allows.

    The bound of the rule is 3 x capacity; a fleet of 12 whose warm servers get 1/12 of the traffic each is
    taken to be fully loaded, so that one balancer alone may use 3 x ramp x its mean rate a server.
    """
    world = World(told(SAFE), seed)
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, lines(12)))
    if not restarted:
        drive(world, 3 * S, gap_ms)
    born = world.now - age_s * S
    fresh = [replace(x, started_ns=born) for x in lines(12) if x.id <= cold]
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, fresh))
    start = world.now
    drive(world, 4 * S, gap_ms)
    mean = 1000 / gap_ms / 12
    for server in range(1, cold + 1):
        times = [at for at, where in world.sends if where == server and at > start]
        for first in times:
            count = sum(first <= at < first + 2 * S for at in times)
            ramp = min(1.0, 0.12 + 0.88 * (first + 2 * S - born) / (20 * S))
            assert count <= 2 + 3 * ramp * mean * 2


@draws_from(DRAWS)
@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(st.integers(0, 18), st.booleans(), st.integers(0, 9))
def test_many_unequal_balancers_together_do_not_push_a_cold_server_over(age_s: int, restarted: bool, seed: int) -> None:
    """Thirty balancers, one with half of the traffic, share twelve servers that are fully loaded.

    A fall is their fault only from when they were told of the start: for a list that changes, 6 s into the run.
    """
    count, rate = 30, 240.0
    worlds = [World(told(SAFE, fleet_size=count), seed * 100 + n) for n in range(count)]
    rates = [rate / 2] + [rate / 2 / (count - 1)] * (count - 1)
    rng = Random(seed)
    due: list[float] = [rng.expovariate(r) for r in rates]
    informed = worlds[0].now + 6 * S
    born = informed - age_s * S
    fresh = [replace(x, started_ns=born) if x.id == 1 else x for x in lines(12)]
    for world in worlds:
        world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, fresh if restarted else lines(12)))
    for step in range(2000):
        for world, each in zip(worlds, range(count), strict=True):
            if step == 1200 and not restarted:
                world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [fresh[0]]))
            while due[each] * S < step * 5 * MS:
                due[each] += rng.expovariate(rates[each])
                name = f"c{len(world.tracks)}"
                if sent_to(world, name):
                    world.end(name, 0, balancing.AttemptResult.OK)
            world.now += 5 * MS
    since = born if restarted else informed
    times = sorted(at for world in worlds for at, where in world.sends if where == 1 and at >= since)
    for first in times:
        together = sum(first <= at < first + 2 * S for at in times)
        ramp = min(1.0, 0.12 + 0.88 * max(0, first - born) / (20 * S))
        assert together <= 3 + 3 * ramp * rate / 12 * 2


def drive(world: World, span: int, gap_ms: int) -> None:
    """Requests at an even pace, each answered 40 ms later."""
    until = world.now + span
    ends: list[tuple[int, str]] = []
    number = len(world.tracks)
    while world.now < until:
        number += 1
        if sent_to(world, f"d{number}"):
            ends.append((world.now + 40 * MS, f"d{number}"))
        world.pass_time(gap_ms * MS, gap_ms * MS)
        for at, name in list(ends):
            if at <= world.now:
                ends.remove((at, name))
                if not world.tracks[name].over:
                    world.end(name, 0, balancing.AttemptResult.OK)


def sent_to(world: World, name: str) -> bool:
    """Ask, and tell whether it was sent."""
    return any(isinstance(a, balancing.SendAttempt) for a in world.send_request(name))
