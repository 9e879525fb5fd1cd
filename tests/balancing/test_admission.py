"""Admission, concurrency limit and priority: one test for each failure that earned a rule."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.world import IDEMPOTENT, make_endpoints, serve_requests, settings, start_world


def test_the_latency_baseline_does_not_follow_congestion() -> None:
    """It rose from 60 to 400 ms with the congestion and hid it."""
    world = start_world(settings(), make_endpoints(10))
    serve_requests(world, 100, duration_ns=40 * NS_PER_MS)
    before = world.balancer.latency.baselines_ns[0]
    serve_requests(world, 20, duration_ns=400 * NS_PER_MS)
    assert before <= world.balancer.latency.baselines_ns[0] < 1.3 * before


def test_the_concurrency_limit_stops_congestion_from_feeding_itself() -> None:
    """With 54 servers and 6 balancers, limits by server acted too late: one request each was already too many."""
    world = start_world(settings(max_attempts=1, fleet_size=6), make_endpoints(54))
    serve_requests(world, 150)
    sends = len(world.sends)
    for number in range(400):  # nothing is answered any more
        world.send_request(f"queued{number}", time_left_ns=20 * NS_PER_S)
        world.pass_time(5 * NS_PER_MS)
    assert len(world.sends) - sends <= 4 * 54 / 6
    rejected = [action for action in world.actions if isinstance(action, balancing.RejectRequest)]
    assert rejected
    assert all(action.retry_after_ns > 0 for action in rejected)


def test_lost_responses_are_no_load() -> None:
    """Servers that lost some responses but gave the others soon were taken for congested and left unused."""
    world = start_world(settings(max_attempts=1, fleet_size=2), make_endpoints(10))
    serve_requests(world, 100)
    for number in range(60):
        world.send_request(f"x{number}", time_left_ns=2 * NS_PER_S)
        world.pass_time(20 * NS_PER_MS)
        if number % 4 and world.requests[f"x{number}"].attempts:
            world.end(f"x{number}", 0, balancing.AttemptResult.OK)
    sent = sum(bool(world.requests[f"x{number}"].attempts) for number in range(60))
    assert sent == 60
    assert world.balancer.attempts.lost_responses >= 4
    assert world.balancer.admission.log_probability > 0
    world.pass_time(3 * NS_PER_S)
    assert world.balancer.attempts.lost_responses == 0
    assert not any(endpoint.lost_responses for endpoint in world.balancer.subset.members)


def test_as_many_may_be_in_flight_as_the_latency_objectives_allow() -> None:
    """Requests that take 2 of 300 ms were rejected for the few in flight that keep such servers busy."""
    world = start_world(settings(max_attempts=1, fleet_size=2), make_endpoints(10))
    for number in range(600):
        world.send_request(f"x{number}")
        world.now += 2 * NS_PER_MS
        world.end(f"x{number}", 0, balancing.AttemptResult.OK)
    assert world.balancer.limiter.limit > 30, "the floor is 20"


def test_late_responses_shed_classes_of_low_priority_first() -> None:
    """A hundred quiet sidecars never filled a concurrency limit of four: together they kept the fleet congested."""
    valuable = replace(IDEMPOTENT, name="valuable", priority_weight=20.0)
    world = start_world(settings(IDEMPOTENT, valuable, max_attempts=1, fleet_size=100), make_endpoints(12))
    admitted = [0, 0]
    for number in range(120):
        for class_index in (0, 1):
            world.send_request(f"{class_index}-{number}", class_index)
            if world.requests[f"{class_index}-{number}"].attempts and number > 40:
                admitted[class_index] += 1
        world.pass_time(240 * NS_PER_MS if number > 20 else 40 * NS_PER_MS)
        for class_index in (0, 1):
            if (
                world.requests[f"{class_index}-{number}"].attempts
                and not world.requests[f"{class_index}-{number}"].finished
            ):
                world.end(f"{class_index}-{number}", 0, balancing.AttemptResult.OK)
    assert admitted[0] < 30
    assert admitted[1] > 60
    serve_requests(world, 60)
    assert all(world.requests[f"warm{len(world.requests) - 1 - number}"].attempts for number in range(5)), (
        "and it recovers"
    )


def test_several_times_the_baseline_is_no_congestion_under_a_long_latency_objective() -> None:
    """A busy sidecar's own delay of some ms on responses of 1 ms passed for congestion: it rejected most."""
    relaxed = replace(IDEMPOTENT, latency_objective_ns=500 * NS_PER_MS, deadline_ns=2 * NS_PER_S)
    world = start_world(settings(relaxed, max_attempts=1), make_endpoints(10))
    serve_requests(world, 100, duration_ns=2 * NS_PER_MS)
    for turn in range(200):  # it gets busy by degrees
        names = [f"busy{turn}.{number}" for number in range(min(24, 2 + turn // 5))]
        for name in names:
            world.send_request(name)
        world.pass_time(16 * NS_PER_MS)  # eight times the baseline, and a thirtieth of the objective
        for name in names:
            for index in range(len(world.requests[name].attempts)):
                if not world.requests[name].finished:
                    world.end(name, index, balancing.AttemptResult.OK)
    rejected = sum(isinstance(action, balancing.RejectRequest) for action in world.actions)
    assert rejected <= 10, f"{rejected} of {len(world.requests)} rejected though every response was soon"
    assert all(endpoint.ejected_until_ns <= world.now for endpoint in world.balancer.subset.members)


def test_the_demand_of_each_class_outlasts_a_long_idle_time() -> None:
    """The demand had decayed to nothing, and the first request after the idle time divided by it."""
    world = start_world(
        settings(IDEMPOTENT, tenants=(balancing.Tenant("a", 10.0),), load_report_fields=("inflight",)),
        make_endpoints(4),
    )
    serve_requests(world, 20)
    world.balancer.quota.own_load = world.balancer.quota.fleet_load = 1.0  # as reports would have it
    world.now += 100 * 3600 * NS_PER_S
    serve_requests(world, 5)
    assert all(demand > 0 for demand in world.balancer.priority.demand.values())
    assert 0 < world.balancer.priority.lowest <= 1.0
