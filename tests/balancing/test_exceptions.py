"""One small test for each failure that earned an exception to the design."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.balancing import outlier_detection
from lugtally.balancing.latency import CONGESTED_RATIO
from lugtally.balancing.outlier_detection import MAX_EJECTED_SHARE
from tests.balancing.world import MS, SAFE, S, World, age_connections, lines, served, settings, started


def silence(world: World, server: int, count: int) -> None:
    """``count`` requests that end unanswered at ``server`` while others are answered."""
    for _ in range(count * 12):
        name = f"s{len(world.tracks)}"
        world.send_request(name, left=400 * MS)
        for at, copy in enumerate(world.tracks[name].copies):
            if copy.server != server:
                world.pass_time(30 * MS)
                if not world.tracks[name].over:
                    world.end(name, at, balancing.AttemptResult.OK)
        world.pass_time(10 * MS)


def test_silent_server_is_left_alone_and_tried_again_later() -> None:
    """Once its last request had timed out, a silent server stayed shut out for good."""
    world = started(settings(hedging_allowed=False), lines(10))
    served(world, 60)
    start = world.now
    silence(world, 3, 20)
    asked = [at for at, where in world.sends if where == 3 and at > start]
    assert 1 <= len(asked) <= 5, "of 240 requests; an equal share would be 24"
    world.pass_time(60 * S)
    served(world, 120)
    assert any(where == 3 for at, where in world.sends if at > world.now - 20 * S)


def test_a_server_that_answers_again_is_found_within_seconds() -> None:
    """After a silence servers were shut out for up to 16 s, while the others carried too much."""
    world = started(settings(max_attempts=1), lines(10))
    endpoint = world.balancer.state.subset.members[0]
    for _ in range(9):
        world.now = max(world.now, endpoint.ejected_until_ns)
        outlier_detection.eject(world.balancer.state, world.now, endpoint)
        assert world.now < endpoint.ejected_until_ns <= world.now + 5 * S


def test_servers_that_turn_all_away_go_though_half_of_the_fleet_is_out() -> None:
    """Slow servers had taken up the half, and two that had just stopped took in 450 requests."""
    for result in balancing.AttemptResult.NO_CONNECTION, balancing.AttemptResult.REJECTED:
        world = started(settings(max_attempts=1), lines(10))
        for endpoint in world.balancer.state.subset.members[:5]:
            endpoint.ejected_until_ns = world.now + 60 * S
        dead = world.balancer.state.subset.members[5].id
        for n in range(60):
            world.send_request(f"x{n}")
            world.now += 5 * MS
            for copy in world.tracks[f"x{n}"].copies:
                world.end(f"x{n}", 0, result if copy.server == dead else balancing.AttemptResult.OK)
        assert sum(where == dead for _, where in world.sends) <= 2


def test_lateness_of_a_whole_fleet_ejects_nobody() -> None:
    """A jam makes every server late; half the fleet used to be ejected for it."""
    world = started(settings(hedging_allowed=False, max_attempts=1), lines(10))
    served(world, 40)
    for n in range(30):
        world.send_request(f"late{n}", left=100 * MS)
        world.send_request(f"good{n}", left=S)
        world.pass_time(60 * MS)
        for copy in world.tracks[f"good{n}"].copies:
            world.balancer.state.endpoints[copy.server].last_response_ns = world.now
        for name in [f"late{n}"]:
            for copy in world.tracks[name].copies:  # its server answers somebody meanwhile
                world.balancer.state.endpoints[copy.server].last_response_ns = world.now
        world.pass_time(60 * MS)
    assert not any(p.ejected_until_ns > world.now for p in world.balancer.state.subset.members)


def test_errors_in_a_row_eject_but_never_more_than_the_cap() -> None:
    world = started(settings(max_attempts=1), lines(10))
    for n in range(200):
        name = f"e{n}"
        world.send_request(name)
        if world.tracks[name].copies:
            world.end(name, 0, balancing.AttemptResult.RESET)
        world.pass_time(5 * MS)
    ejected = sum(p.ejected_until_ns > world.now for p in world.balancer.state.subset.members)
    assert 0 < ejected <= MAX_EJECTED_SHARE * 10


def test_single_spoilt_answers_among_good_ones_eject_nobody() -> None:
    """One answer in twenty was spoilt, by any server alike: half of a healthy fleet was always left alone."""
    world = started(settings(max_attempts=1), lines(10))
    ejected = 0
    for n in range(300):
        world.send_request(f"x{n}")
        world.now += 20 * MS
        world.end(f"x{n}", 0, balancing.AttemptResult.RESET if n % 20 == 0 else balancing.AttemptResult.OK)
        ejected += any(p.ejected_until_ns > world.now for p in world.balancer.state.subset.members)
    assert ejected < 15


def test_one_refused_connection_costs_a_server_about_a_second() -> None:
    world = started(settings(max_attempts=1), lines(10))
    world.send_request("a")
    world.end("a", 0, balancing.AttemptResult.NO_CONNECTION)
    until = [p.ejected_until_ns for p in world.balancer.state.subset.members if p.ejected_until_ns]
    assert len(until) == 1 and until[0] <= world.now + 1.2 * S


def test_usual_time_does_not_follow_a_jam() -> None:
    """It rose from 60 to 400 ms with a jam and hid it."""
    world = started(settings(), lines(10))
    served(world, 100, took=40 * MS)
    before = world.balancer.state.latency.baseline_ns[0]
    served(world, 20, took=400 * MS)
    assert before <= world.balancer.state.latency.baseline_ns[0] < 1.3 * before


def test_window_stops_a_jam_from_feeding_itself() -> None:
    """With 54 servers and 6 balancers, limits by server acted too late and let one each be a crowd."""
    world = started(settings(max_attempts=1, fleet_size=6), lines(54))
    served(world, 150)
    sends = len(world.sends)
    for n in range(400):  # nothing is answered any more
        world.send_request(f"jam{n}", left=20 * S)
        world.pass_time(5 * MS)
    assert len(world.sends) - sends <= 4 * 54 / 6
    refused = [a for a in world.log if isinstance(a, balancing.RejectRequest)]
    assert refused and all(a.retry_after_ns > 0 for a in refused)


def test_lost_answers_are_no_load() -> None:
    """Servers that lost some answers but gave the others soon were taken for jammed and left unused."""
    world = started(settings(max_attempts=1, fleet_size=2), lines(10))
    served(world, 100)
    for n in range(60):
        world.send_request(f"x{n}", left=2 * S)
        world.pass_time(20 * MS)
        if n % 4 and world.tracks[f"x{n}"].copies:
            world.end(f"x{n}", 0, balancing.AttemptResult.OK)
    sent = sum(bool(world.tracks[f"x{n}"].copies) for n in range(60))
    assert (
        sent == 60 and world.balancer.state.lost_responses >= 4 and world.balancer.state.admission.log_probability > 0
    )
    world.pass_time(3 * S)
    assert world.balancer.state.lost_responses == 0 and not any(
        p.lost_responses for p in world.balancer.state.subset.members
    )


def test_as_many_may_be_in_flight_as_the_aims_leave_room_for() -> None:
    """Requests that take 2 of 300 ms were refused for the few in flight that keep such servers busy."""
    world = started(settings(max_attempts=1, fleet_size=2), lines(10))
    for n in range(600):
        world.send_request(f"x{n}")
        world.now += 2 * MS
        world.end(f"x{n}", 0, balancing.AttemptResult.OK)
    assert world.balancer.state.concurrency.limit > 30, "the floor is 20"


def test_worn_servers_rest_lowest_id_first() -> None:
    """Servers slow even one at a time need a rest, the same ones at every balancer."""
    world = started(settings(), lines(10))
    served(world, 40)
    for endpoint in world.balancer.state.subset.members:
        endpoint.concurrency_limit, endpoint.slowness, endpoint.samples, endpoint.last_response_ns = (
            1.0,
            2 * CONGESTED_RATIO,
            20,
            world.now,
        )
    world.balancer._refresh(world.now)
    assert {p.id for p in world.balancer.state.subset.members if p.ejected_until_ns > world.now} == {1, 2, 3, 4, 5}


def test_lateness_lets_in_less_and_cheap_classes_first() -> None:
    """A hundred quiet sidecars never filled a window of four: together they kept the fleet jammed."""
    dear = replace(SAFE, name="dear", priority_weight=20.0)
    world = started(settings(SAFE, dear, max_attempts=1, fleet_size=100), lines(12))
    tried = [0, 0]
    for n in range(120):
        for cls in (0, 1):
            world.send_request(f"{cls}-{n}", cls)
            copies = world.tracks[f"{cls}-{n}"].copies
            if copies and n > 40:
                tried[cls] += 1
        world.pass_time(240 * MS if n > 20 else 40 * MS)
        for cls in (0, 1):
            if world.tracks[f"{cls}-{n}"].copies and not world.tracks[f"{cls}-{n}"].over:
                world.end(f"{cls}-{n}", 0, balancing.AttemptResult.OK)
    assert tried[0] < 30 < 60 < tried[1]
    served(world, 60)
    assert all(world.tracks[f"warm{len(world.tracks) - 1 - n}"].copies for n in range(5)), "and it recovers"


def test_unused_connections_are_closed_first_once_they_die_unseen() -> None:
    """A quiet sidecar took sound servers for dead: its connections had been dropped while unused."""
    world = started(settings(), lines(12))
    age_connections(world)
    assert not [a for a in world.log if isinstance(a, balancing.CloseIdleConnections)]
    world.send_request("a")
    world.pass_time(1200 * MS)
    world.log.clear()
    for n in range(6):
        world.send_request(f"b{n}")
        world.pass_time(10 * MS)
    closed = [a.endpoint_id for a in world.log if isinstance(a, balancing.CloseIdleConnections)]
    assert (
        closed and closed == [a.endpoint_id for a in world.log if isinstance(a, balancing.SendAttempt)][: len(closed)]
    )


def test_equals_are_told_apart_by_reports_that_own_answers_bear_out() -> None:
    """Quiet sidecars have nothing in flight at either of two servers; idle but late is a lie."""

    def share(report: float, took: int) -> float:
        world = started(settings(load_report_fields=("queue",)), lines(10))
        sends = 0
        for n in range(400):
            world.send_request(f"a{n}")
            for copy in world.tracks[f"a{n}"].copies:
                odd = copy.server == 1
                world.now += took if odd else 40 * MS
                world.tracks[f"a{n}"].over = True
                world.feed(
                    balancing.AttemptFinished(
                        f"a{n}",
                        0,
                        copy.server,
                        balancing.AttemptResult.OK,
                        True,
                        took if odd else 40 * MS,
                        (report if odd else 1.0,),
                    )
                )
                sends += odd and n > 50
        return sends / 350

    assert share(6.0, 40 * MS) < 0.07, "a reported queue is shunned"
    assert share(0.0, 100 * MS) < 0.07, "so is one that reports idle but answers late"


def test_far_servers_are_used_when_near_ones_are_full() -> None:
    """The lean to the own zone was kept while the near servers were full."""
    world = started(settings(SAFE, cross_zone_cost=0.1, fleet_size=1), lines(12))
    for n in range(20):
        world.send_request(f"a{n}")
    zones = [world.lines[where].zone for _, where in world.sends]
    assert zones.count(0) >= 6 and len(zones) - zones.count(0) >= 6


def test_where_aims_are_far_several_times_the_usual_is_no_jam() -> None:
    """A busy sidecar's own delay of some ms on answers of 1 ms passed for a jam at every server: it refused most."""
    far = replace(SAFE, latency_objective_ns=500 * MS, deadline_ns=2 * S)
    world = started(settings(far, max_attempts=1), lines(10))
    served(world, 100, took=2 * MS)
    for turn in range(200):  # it gets busy, by and by
        names = [f"busy{turn}.{n}" for n in range(min(24, 2 + turn // 5))]
        for name in names:
            world.send_request(name)
        world.pass_time(16 * MS)  # eight times the usual, and a thirtieth of the aim
        for name in names:
            for at in range(len(world.tracks[name].copies)):
                if not world.tracks[name].over:
                    world.end(name, at, balancing.AttemptResult.OK)
    refused = sum(isinstance(a, balancing.RejectRequest) for a in world.log)
    assert refused <= 10, f"{refused} of {len(world.tracks)} refused though every answer was soon"
    assert all(p.ejected_until_ns <= world.now for p in world.balancer.state.subset.members)


def test_after_a_long_rest_nothing_is_left_of_what_was_asked() -> None:
    """What was asked for had faded to nothing, and the first request after the rest divided by it."""
    world = started(settings(SAFE, tenants=(balancing.Tenant("a", 10.0),), load_report_fields=("inflight",)), lines(4))
    served(world, 20)
    world.balancer.state.concurrency.own_load = world.balancer.state.concurrency.fleet_load = (
        1.0  # as reports would have it
    )
    world.now += 100 * 3600 * S
    served(world, 5)
    assert all(n > 0 for n in world.balancer.state.priority.demand.values())
    assert 0 < world.balancer.state.priority.lowest <= 1.0
