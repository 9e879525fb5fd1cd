"""The ordinary path: backoff, budget, subset and pick as the design has them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lugtally import Balancer, api
from tests.world import MS, SAFE, UNSAFE, S, keyed, lines, served, settings, started


def waits(actions: list[api.Action]) -> list[int]:
    """The delays of retries among the actions."""
    return [a.after_ns for a in actions if isinstance(a, api.Wake) and a.token.startswith("r")]


def test_backoff_is_full_jitter_and_at_most_half_the_time_left() -> None:
    delays = []
    for seed in range(200):
        world = started(settings(), lines(12), seed)
        world.ask("a")
        delays += waits(world.end("a", 0, api.Result.ERROR))
    assert len(delays) == 200 and max(delays) <= 100 * MS
    assert min(delays) < 10 * MS and max(delays) > 90 * MS, "full jitter spreads over the whole range"
    short = []
    for seed in range(100):
        world = started(settings(), lines(12), seed)
        world.ask("a", left=80 * MS)
        short += waits(world.end("a", 0, api.Result.ERROR))
    assert short and max(short) <= 40 * MS


def test_backoff_doubles_and_each_retry_goes_to_another_server() -> None:
    late = []
    for seed in range(60):
        world = started(settings(replace(SAFE, deadline_ns=10 * S)), lines(12), seed)
        served(world, 40)
        world.ask("a", left=10 * S)
        world.end("a", 0, api.Result.ERROR)
        world.pass_time(110 * MS)
        late += waits(world.end("a", 1, api.Result.ERROR))
        world.pass_time(210 * MS)
        used = [c.server for c in world.tracks["a"].copies]
        assert len(used) == len(set(used))
    assert max(late) > 120 * MS and max(late) <= 200 * MS


def test_three_retries_at_most() -> None:
    world = started(settings(max_attempts=9), lines(12))
    served(world, 100, gap=5 * MS)
    world.ask("a", left=10 * S)
    for attempt in range(4):
        world.end("a", attempt, api.Result.ERROR)
        world.pass_time(S)
    assert len(world.tracks["a"].copies) == 4 and world.tracks["a"].over


def test_budget_is_a_tenth_of_the_window_and_one_for_a_quiet_balancer() -> None:
    world = started(settings(), lines(12))
    retried = 0
    for n in range(60):
        world.ask(f"q{n}")
        if world.tracks[f"q{n}"].copies:
            retried += bool(waits(world.end(f"q{n}", 0, api.Result.ERROR)))
        world.pass_time(100 * MS)
    assert 1 <= retried <= 6
    quiet = started(settings(), lines(12))
    quiet.ask("one")
    assert waits(quiet.end("one", 0, api.Result.ERROR))
    quiet.ask("two")
    answer = quiet.end("two", 0, api.Result.ERROR)
    assert not waits(answer) and any(isinstance(a, api.Refuse) for a in answer)


def test_blocked_retry_is_refused_with_advice_or_failed_by_the_effect_rule() -> None:
    for cls, kind in (
        (SAFE, api.Refuse),
        (UNSAFE, api.Fail),
        (keyed(api.Group.ZONE), api.Fail),
        (keyed(api.Group.ALL), api.Refuse),
    ):
        world = started(settings(cls, max_attempts=1), lines(12))
        world.ask("a")
        answer = [a for a in world.end("a", 0, api.Result.ERROR) if isinstance(a, api.Refuse | api.Fail)]
        assert [type(a) for a in answer] == [kind]
        if isinstance(answer[0], api.Refuse):
            assert answer[0].retry_in_ns > 0


def test_subset_has_ten_members_and_redraws_those_that_drain() -> None:
    world = started(settings(balancers=20), lines(40))
    first = {p.id for p in world.balancer.members}
    assert len(first) == 10
    gone = sorted(first)[:3]
    world.feed(api.ServerList(api.ListKind.CHANGES, [api.Server(n, state=api.State.DRAINING) for n in gone]))
    second = {p.id for p in world.balancer.members}
    assert len(second) == 10 and not second & set(gone) and first - set(gone) < second


def test_subset_grows_with_own_requests_in_flight() -> None:
    """A balancer that carries most of the traffic crowded its ten random members."""
    world = started(settings(balancers=20), lines(40))
    for n in range(14):
        world.ask(f"a{n}", left=5 * S)
        world.pass_time(100 * MS)
    assert len(world.balancer.members) > 10


def test_pick_prefers_fewer_own_requests_in_flight() -> None:
    world = started(settings(balancers=1), lines(10))
    for n in range(10):
        world.ask(f"a{n}")
    spread = [len(p.out) for p in world.balancer.members]
    assert sum(spread) == 10 and max(spread) <= 2


def test_no_usable_server_is_answered_at_once() -> None:
    for servers in ([], lines(3, state=api.State.DRAINING)):
        world = started(settings(), servers)
        assert [type(a) for a in world.ask("a")] == [api.Refuse]


def test_list_failure_is_followed_by_a_new_subscription() -> None:
    world = started(settings(ask_for_list=True), lines(4))
    assert api.Watch() in world.log
    world.log.clear()
    world.feed(api.ServerList(api.ListKind.FAILED, []))
    world.pass_time(3 * S)
    assert api.Watch() in world.log


def test_in_an_outage_the_list_is_asked_for_as_often_as_the_settings_want() -> None:
    """Between two failed calls up to 8 s went by: where a second is told, a drain was overlooked."""
    for told, most in ((S, S), (0, 8 * S), (60 * S, 8 * S)):
        world = started(settings(ask_for_list=True, ask_within_ns=told), lines(4))
        waits = []
        for _ in range(60):
            world.wakes.clear()
            world.feed(api.ServerList(api.ListKind.FAILED, []))
            waits += [at - world.now for at, token in world.wakes if token == "watch"]
        assert len(waits) == 60
        assert 0.7 * most < max(waits) <= most
        assert len(set(waits)) > 50, "forty sidecars must not ask in step"


@pytest.mark.parametrize(
    "field, make",
    [
        ("window_ns", lambda: api.RequestClass(window_ns=-1)),
        ("aim_ns", lambda: api.RequestClass(aim_ns=0)),
        ("effect", lambda: api.RequestClass(effect="maybe")),  # type: ignore[arg-type]
        ("group", lambda: api.RequestClass(group="rack")),  # type: ignore[arg-type]
        ("fall_multiple", lambda: api.Settings(fall_multiple=float("nan"))),
        ("warm_within_ns", lambda: api.Settings(warm_within_ns=-5)),
        ("cold_from", lambda: api.Settings(cold_from=1.5)),
        ("balancers", lambda: api.Settings(balancers=0)),
    ],
)
def test_impossible_settings_name_the_field(field: str, make: object) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=f"^{field}: "):
        make()


def test_balancer_of_default_settings_lives() -> None:
    balancer = Balancer(api.Settings(), 1)
    balancer.handle(5, api.ServerList(api.ListKind.KEPT, lines(3)))
    assert [type(a) for a in balancer.handle(6, api.Request("a", 4, 2, S))][0] is api.Send
