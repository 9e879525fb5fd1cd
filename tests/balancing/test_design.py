"""The ordinary path: backoff, budget, subset and pick as the design has them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lugtally import Balancer, balancing
from tests.balancing.world import MS, SAFE, UNSAFE, S, keyed, lines, served, settings, started


def waits(actions: list[balancing.Action]) -> list[int]:
    """The delays of retries among the actions."""
    return [a.delay_ns for a in actions if isinstance(a, balancing.SetTimer) and a.token.startswith("r")]


def test_backoff_is_full_jitter_and_at_most_half_the_time_left() -> None:
    delays = []
    for seed in range(200):
        world = started(settings(), lines(12), seed)
        world.send_request("a")
        delays += waits(world.end("a", 0, balancing.AttemptResult.ERROR))
    assert len(delays) == 200 and max(delays) <= 100 * MS
    assert min(delays) < 10 * MS and max(delays) > 90 * MS, "full jitter spreads over the whole range"
    short = []
    for seed in range(100):
        world = started(settings(), lines(12), seed)
        world.send_request("a", left=80 * MS)
        short += waits(world.end("a", 0, balancing.AttemptResult.ERROR))
    assert short and max(short) <= 40 * MS


def test_backoff_doubles_and_each_retry_goes_to_another_server() -> None:
    late = []
    for seed in range(60):
        world = started(settings(replace(SAFE, deadline_ns=10 * S)), lines(12), seed)
        served(world, 40)
        world.send_request("a", left=10 * S)
        world.end("a", 0, balancing.AttemptResult.ERROR)
        world.pass_time(110 * MS)
        late += waits(world.end("a", 1, balancing.AttemptResult.ERROR))
        world.pass_time(210 * MS)
        used = [c.server for c in world.tracks["a"].copies]
        assert len(used) == len(set(used))
    assert max(late) > 120 * MS and max(late) <= 200 * MS


def test_three_retries_at_most() -> None:
    world = started(settings(max_attempts=9), lines(12))
    served(world, 100, gap=5 * MS)
    world.send_request("a", left=10 * S)
    for attempt in range(4):
        world.end("a", attempt, balancing.AttemptResult.ERROR)
        world.pass_time(S)
    assert len(world.tracks["a"].copies) == 4 and world.tracks["a"].over


def test_budget_is_a_tenth_of_the_window_and_one_for_a_quiet_balancer() -> None:
    world = started(settings(), lines(12))
    retried = 0
    for n in range(60):
        world.send_request(f"q{n}")
        if world.tracks[f"q{n}"].copies:
            retried += bool(waits(world.end(f"q{n}", 0, balancing.AttemptResult.ERROR)))
        world.pass_time(100 * MS)
    assert 1 <= retried <= 6
    quiet = started(settings(), lines(12))
    quiet.send_request("one")
    assert waits(quiet.end("one", 0, balancing.AttemptResult.ERROR))
    quiet.send_request("two")
    answer = quiet.end("two", 0, balancing.AttemptResult.ERROR)
    assert not waits(answer) and any(isinstance(a, balancing.RejectRequest) for a in answer)


def test_blocked_retry_is_refused_with_advice_or_failed_by_the_effect_rule() -> None:
    for cls, kind in (
        (SAFE, balancing.RejectRequest),
        (UNSAFE, balancing.FailRequest),
        (keyed(balancing.DeduplicationScope.ZONE), balancing.FailRequest),
        (keyed(balancing.DeduplicationScope.ALL), balancing.RejectRequest),
    ):
        world = started(settings(cls, max_attempts=1), lines(12))
        world.send_request("a")
        answer = [
            a
            for a in world.end("a", 0, balancing.AttemptResult.ERROR)
            if isinstance(a, balancing.RejectRequest | balancing.FailRequest)
        ]
        assert [type(a) for a in answer] == [kind]
        if isinstance(answer[0], balancing.RejectRequest):
            assert answer[0].retry_after_ns > 0


def test_subset_has_ten_members_and_redraws_those_that_drain() -> None:
    world = started(settings(fleet_size=20), lines(40))
    first = {p.id for p in world.balancer.state.subset.members}
    assert len(first) == 10
    gone = sorted(first)[:3]
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA,
            [balancing.Endpoint(n, state=balancing.EndpointState.DRAINING) for n in gone],
        )
    )
    second = {p.id for p in world.balancer.state.subset.members}
    assert len(second) == 10 and not second & set(gone) and first - set(gone) < second


def test_subset_grows_with_own_requests_in_flight() -> None:
    """A balancer that carries most of the traffic crowded its ten random members."""
    world = started(settings(fleet_size=20), lines(40))
    for n in range(14):
        world.send_request(f"a{n}", left=5 * S)
        world.pass_time(100 * MS)
    assert len(world.balancer.state.subset.members) > 10


def test_pick_prefers_fewer_own_requests_in_flight() -> None:
    world = started(settings(fleet_size=1), lines(10))
    for n in range(10):
        world.send_request(f"a{n}")
    spread = [len(p.in_flight) for p in world.balancer.state.subset.members]
    assert sum(spread) == 10 and max(spread) <= 2


def test_no_usable_server_is_answered_at_once() -> None:
    for servers in ([], lines(3, state=balancing.EndpointState.DRAINING)):
        world = started(settings(), servers)
        assert [type(a) for a in world.send_request("a")] == [balancing.RejectRequest]


def test_list_failure_is_followed_by_a_new_subscription() -> None:
    world = started(settings(subscribe_to_endpoints=True), lines(4))
    assert balancing.WatchEndpoints() in world.log
    world.log.clear()
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
    world.pass_time(3 * S)
    assert balancing.WatchEndpoints() in world.log


def test_in_an_outage_the_list_is_asked_for_as_often_as_the_settings_want() -> None:
    """Between two failed calls up to 8 s went by: where a second is told, a drain was overlooked."""
    for told, most in ((S, S), (0, 8 * S), (60 * S, 8 * S)):
        world = started(settings(subscribe_to_endpoints=True, max_poll_interval_ns=told), lines(4))
        waits = []
        for _ in range(60):
            world.wakes.clear()
            world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
            waits += [at - world.now for at, token in world.wakes if token == "watch"]
        assert len(waits) == 60
        assert 0.7 * most < max(waits) <= most
        assert len(set(waits)) > 50, "forty sidecars must not ask in step"


@pytest.mark.parametrize(
    "field, make",
    [
        ("deduplication_window_ns", lambda: balancing.RequestClass(deduplication_window_ns=-1)),
        ("latency_objective_ns", lambda: balancing.RequestClass(latency_objective_ns=0)),
        ("idempotency", lambda: balancing.RequestClass(idempotency="maybe")),  # type: ignore[arg-type]
        ("deduplication_scope", lambda: balancing.RequestClass(deduplication_scope="rack")),  # type: ignore[arg-type]
        ("overload_multiple", lambda: balancing.Settings(overload_multiple=float("nan"))),
        ("slow_start_window_ns", lambda: balancing.Settings(slow_start_window_ns=-5)),
        ("initial_capacity", lambda: balancing.Settings(initial_capacity=1.5)),
        ("fleet_size", lambda: balancing.Settings(fleet_size=0)),
    ],
)
def test_impossible_settings_name_the_field(field: str, make: object) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=f"^{field}: "):
        make()


def test_balancer_of_default_settings_lives() -> None:
    balancer = Balancer(balancing.Settings(), 1)
    balancer.handle(5, balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, lines(3)))
    assert [type(a) for a in balancer.handle(6, balancing.Request("a", 4, 2, S))][0] is balancing.SendAttempt
