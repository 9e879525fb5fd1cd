"""Tests of the subset of endpoints, and of the choice among them by load, zone and load report."""

from __future__ import annotations

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.harness import IDEMPOTENT, make_endpoints, make_settings, start_harness


def test_subset_of_ten_replaces_draining_members_only() -> None:
    harness = start_harness(make_settings(fleet_size=20), make_endpoints(40))
    first = {endpoint.id for endpoint in harness.balancer.subset.members}
    assert len(first) == 10
    draining = sorted(first)[:3]
    harness.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA,
            [balancing.Endpoint(number, state=balancing.EndpointState.DRAINING) for number in draining],
        )
    )
    second = {endpoint.id for endpoint in harness.balancer.subset.members}
    assert len(second) == 10
    assert not second & set(draining)
    assert first - set(draining) < second


def test_subset_grows_as_unfinished_requests_accumulate() -> None:
    """With much traffic the subset has more members than its minimum of ten."""
    harness = start_harness(make_settings(fleet_size=20), make_endpoints(40))
    for number in range(14):
        harness.send_request(f"a{number}", time_left_ns=5 * NS_PER_S)
        harness.pass_time(100 * NS_PER_MS)
    assert len(harness.balancer.subset.members) > 10


def test_pick_spreads_unfinished_requests_over_endpoints() -> None:
    harness = start_harness(make_settings(fleet_size=1), make_endpoints(10))
    for number in range(10):
        harness.send_request(f"a{number}")
    spread = [len(endpoint.in_flight) for endpoint in harness.balancer.subset.members]
    assert sum(spread) == 10
    assert max(spread) <= 2


def test_pick_avoids_reported_queue_and_late_idle_server() -> None:
    """Load reports decide between servers with equally many requests in flight, unless latency contradicts them."""

    def send_share(report: float, duration_ns: int) -> float:
        harness = start_harness(make_settings(load_report_fields=("queue",)), make_endpoints(10))
        sends = 0
        for number in range(400):
            harness.send_request(f"a{number}")
            for attempt in harness.requests[f"a{number}"].attempts:
                differs = attempt.endpoint_id == 1
                harness.now_ns += duration_ns if differs else 40 * NS_PER_MS
                harness.requests[f"a{number}"].finished = True
                harness.feed(
                    balancing.AttemptFinished(
                        f"a{number}",
                        0,
                        attempt.endpoint_id,
                        balancing.AttemptResult.OK,
                        True,
                        duration_ns if differs else 40 * NS_PER_MS,
                        (report if differs else 1.0,),
                    )
                )
                sends += differs and number > 50
        return sends / 350

    assert send_share(6.0, 40 * NS_PER_MS) < 0.07, "a server that reports a queue is picked too often"
    assert send_share(0.0, 100 * NS_PER_MS) < 0.07, (
        "a server that reports no queue but responds late is picked too often"
    )


def test_pick_uses_other_zones_when_own_zone_is_full() -> None:
    """The balancer's zone is no longer preferred when the servers in it have many requests in flight."""
    harness = start_harness(make_settings(IDEMPOTENT, cross_zone_cost=0.1, fleet_size=1), make_endpoints(12))
    for number in range(20):
        harness.send_request(f"a{number}")
    zones = [harness.endpoints[endpoint_id].zone for _, endpoint_id in harness.sends]
    assert zones.count(0) >= 6
    assert len(zones) - zones.count(0) >= 6
