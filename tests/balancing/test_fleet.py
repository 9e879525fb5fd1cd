"""What one sidecar may do and many may not: many instances of the module together, at 4, 40 and 200."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import replace
from math import inf
from statistics import mean

import pytest

from lugtally import balancing
from tests.balancing.crowd import CHOKING, crowd, play
from tests.balancing.fleet import TRAITS, Fleet, Machine
from tests.balancing.world import MS, SAFE, S, lines, sent, settings, started

COLD = {
    "slow_start_window_ns": int(TRAITS.warm_up_s * S),
    "initial_capacity": TRAITS.initial_capacity,
    "overload_multiple": TRAITS.collapse_multiple,
}
WORK = 0.08  # seconds of a core


def fleet(sidecars: int, servers: int, load: float = 0.6, seed: int = 1) -> Fleet:
    """A fleet whose servers are loaded to that part of their cores."""
    told = settings(SAFE, fleet_size=sidecars, **COLD)
    return Fleet(told, sidecars, servers, rate=servers * TRAITS.cores * load / WORK, work=(WORK,), seed=seed)


@pytest.mark.parametrize(("sidecars", "servers"), [(4, 12), (40, 60), (200, 60)])
def test_servers_that_start_are_used_and_not_pushed_over_by_all_together(sidecars: int, servers: int) -> None:
    """Each sidecar let in its share of the whole fleet at one of its own ten members: on a join day servers that had
    just started got 3 to 5 requests a second where they have got 7 to 12 since, and warm ones carried the rest."""
    world = fleet(sidecars, servers)
    world.run(10 * S)
    share = mean(len(m.sends) for m in world.machines.values()) / 10  # a second, at a warm one
    part = servers * 3 // 10
    new = range(1001, 1001 + part)
    world.replace(list(range(1, part + 1)), list(new))
    world.run(4 * S)
    cold = [world.machines[number] for number in new]
    taken = mean(len(m.sends) for m in cold) / 4
    ramp = (
        TRAITS.initial_capacity + (1 - TRAITS.initial_capacity) * 2 / TRAITS.warm_up_s
    )  # on average over these seconds
    assert taken > 0.5 * ramp * share, "cold servers stand idle while the warm ones are swamped"
    assert taken < 0.85 * ramp * share, "slow start lets in more than the told part"
    assert not any(machine.server.collapsed for machine in cold), "all together pushed a cold server over"


def past_budget(machine: Machine, started: int, span: int) -> float:
    """By how much the most that was sent within such a span is over the budget and what is chance, in requests.

    The budget N is the told multiple of what the server can do as the span begins; 2 x root of N + 2 is chance.
    """
    most = -inf
    for at, begin in enumerate(machine.sends):
        sends = bisect_left(machine.sends, begin + span) - at
        ramp = TRAITS.initial_capacity + (1 - TRAITS.initial_capacity) * min(
            1.0, (begin - started) / (TRAITS.warm_up_s * S)
        )
        budget = TRAITS.collapse_multiple * ramp * TRAITS.cores / WORK * span / S
        most = max(most, sends - (budget + 2 * budget**0.5 + 2))
    return most


@pytest.mark.parametrize("load", [0.6, 0.95])
@pytest.mark.parametrize(("sidecars", "servers"), [(4, 12), (20, 40), (30, 60), (200, 60)])
def test_the_sum_of_all_processes_stays_within_a_cold_servers_budget(sidecars: int, servers: int, load: float) -> None:
    """Each process starts with a part of a first send and counts its own traffic anew: what all of them send counts,
    just as seven in ten of them, the busiest, begin anew and a third of the servers come back cold."""
    world = fleet(sidecars, servers, load=load, seed=2)
    world.run(6 * S)
    world.restart(0.7)
    part, started = servers // 3, world.now
    new = range(1001, 1001 + part)
    world.replace(list(range(1, part + 1)), list(new))
    world.run(5 * S)
    cold = [world.machines[number] for number in new]
    assert max(past_budget(m, started, span * S) for m in cold for span in (1, 3)) <= 0
    assert not any(m.server.collapsed for m in cold)
    assert mean(len(m.sends) for m in cold) > 5, "nothing was sent there at all"


def test_a_small_burst_at_a_quiet_sidecar_does_not_pass_for_a_jam() -> None:
    """The window on requests in flight was a multiple of their mean.  A quiet sidecar's few scatter by as much as that:
    in calm seconds forty of them refused a quarter of all for it, with two in flight at each server of two cores."""
    world = started(settings(SAFE, fleet_size=40, max_attempts=1), lines(60))
    for n in range(80):  # twenty a second, each answered after 100 ms: two in flight
        world.send_request(f"calm{n}")
        world.pass_time(50 * MS)
        if n:
            world.end(f"calm{n - 1}", 0, balancing.AttemptResult.OK)
    burst = sum(bool(sent(world.send_request(f"burst{n}"))) for n in range(7))
    assert burst == 7


def test_in_a_jam_long_work_of_little_worth_leaves_room_for_short_reads() -> None:
    """The last places went by worth a request alone: reads were refused as often as work five times as long, of twice
    their worth."""
    read = replace(SAFE, name="read", priority_weight=1.0, latency_objective_ns=300 * MS, deadline_ns=800 * MS)
    long = replace(SAFE, name="long", priority_weight=2.0, latency_objective_ns=1000 * MS, deadline_ns=3 * S)
    told = settings(read, long, fleet_size=40, **COLD)
    work, shares = (0.04, 0.24), (0.7, 0.3)
    rate = 60 * TRAITS.cores * 1.1 / sum(w * s for w, s in zip(work, shares, strict=True))
    world = Fleet(told, 40, 60, rate=rate, work=work, shares=shares)
    world.run(12 * S)
    refused = [world.tally[f"refused {n}"] / world.tally[f"asked {n}"] for n in (0, 1)]
    assert refused[0] < 0.8 * refused[1], refused


def test_one_core_servers_seldom_choke_through_a_shared_slowing() -> None:
    """Servers of one core and four slots choke when crowded for 2 s and mend only when idle.  In a 2.2-fold slowing
    of all of them some choked on six of these twelve plays, for 178 server-seconds, and stayed so to the end.  Single
    plays tip either way with any change: all twelve are judged together."""
    played = [play(seed, start) for seed in range(1, 7) for start in (20, 30)]
    assert sum(choked for _, choked, _ in played) < 135, "the sidecars together crowded servers until they choked"
    assert min(kept for _, _, kept in played) > 0.75, "far under what a fleet at three quarters can do"


def test_in_overload_servers_of_one_core_hold_few_and_stay_whole() -> None:
    """Each sidecar let in what its own answers bore: on seed 2 servers held 3.6 on average and one choked."""
    world = crowd(load=1.3, seed=2)
    held, most = [], 0
    for _ in range(25):
        world.run(S)
        most = max(most, world.choked())
        held.append(mean(world.held()))
    assert most == 0
    assert 2.0 < mean(held[5:]) < 3.2, "the servers are crowded, or kept idle"


def test_the_limit_on_what_servers_hold_grows_where_they_have_more_cores() -> None:
    """Four requests at each server of four cores would leave a fifth of the capacity unused."""
    roomy = replace(CHOKING, cores=4, slots=16, max_queue=160)
    world = crowd(load=0.8, seed=2, kinds=(roomy,))
    world.run(20 * S)
    asked = sum(n for what, n in world.tally.items() if what.startswith("asked"))
    refused = sum(n for what, n in world.tally.items() if what.startswith("refused"))
    assert refused < 0.15 * asked
    assert sum(b.state.concurrency.fleet_limit > 5 for b in world.balancers) >= 4


def test_in_overload_a_tenant_past_its_share_is_refused_first() -> None:
    """Requests past a tenant's share are worth a tenth, and were let in as often as those of tenants within theirs."""
    refused = []
    for quotas in ((3.0, 3.0), (0.4, 0.4)):  # of what the fleet can do; the tenants send 0.9 and 0.3 of it
        world = crowd(load=1.2, seed=3, tenants=((0.75, quotas[0]), (0.25, quotas[1])))
        world.run(25 * S)
        refused.append([world.tally[f"tenant {n} refused"] / world.tally[f"tenant {n} asked"] for n in (0, 1)])
    assert refused[0][1] > 0.8 * refused[0][0], "both within their shares: no difference is made"
    assert refused[1][1] < 0.6 * refused[1][0], refused
