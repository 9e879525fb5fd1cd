"""Tests of a fleet of balancers that share servers: slow start, congestion, priority and tenant quotas."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import replace
from math import inf
from statistics import mean

import pytest

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.congested_fleet import CHOKING_SERVER_TRAITS, TenantTraffic, congested_fleet, simulate_slowdown
from tests.balancing.fleet import Fleet
from tests.balancing.fleet_records import DEFAULT_SERVER_TRAITS, FleetServer, FleetSettings, RequestOutcome
from tests.balancing.harness import IDEMPOTENT, make_endpoints, make_settings, sent_endpoint_ids, start_harness

SLOW_START = {
    "slow_start_window_ns": int(DEFAULT_SERVER_TRAITS.warm_up_s * NS_PER_S),
    "initial_capacity": DEFAULT_SERVER_TRAITS.initial_capacity,
    "overload_multiple": DEFAULT_SERVER_TRAITS.collapse_multiple,
}
WORK_S = 0.08  # CPU seconds of one core


def make_fleet(sidecars: int, servers: int, load: float = 0.6, seed: int = 1) -> Fleet:
    """Return a fleet whose requests use the fraction ``load`` of the servers' cores."""
    balancer_settings = make_settings(IDEMPOTENT, fleet_size=sidecars, **SLOW_START)
    request_rate = servers * DEFAULT_SERVER_TRAITS.cores * load / WORK_S
    return Fleet(FleetSettings(balancer_settings, sidecars, servers, request_rate, (WORK_S,), seed=seed))


@pytest.mark.parametrize(("sidecars", "servers"), [(4, 12), (40, 60), (200, 60)])
def test_cold_servers_get_a_slow_start_share_from_all_sidecars(sidecars: int, servers: int) -> None:
    """Cold servers get between 50% and 85% of what the slow-start ramp allows, and none collapses."""
    fleet = make_fleet(sidecars, servers)
    fleet.run(10 * NS_PER_S)
    # The mean requests per second at each server.
    warm_rate = mean(len(server.send_times_ns) for server in fleet.servers.values()) / 10
    replaced_count = servers * 3 // 10
    new = range(1001, 1001 + replaced_count)
    fleet.replace(list(range(1, replaced_count + 1)), list(new))
    fleet.run(4 * NS_PER_S)
    cold = [fleet.servers[number] for number in new]
    cold_rate = mean(len(server.send_times_ns) for server in cold) / 4
    ramp = (
        DEFAULT_SERVER_TRAITS.initial_capacity
        + (1 - DEFAULT_SERVER_TRAITS.initial_capacity) * 2 / DEFAULT_SERVER_TRAITS.warm_up_s
    )  # on average over these seconds
    assert cold_rate > 0.5 * ramp * warm_rate, "cold servers get too little while warm ones get too much"
    assert cold_rate < 0.85 * ramp * warm_rate, "slow start admits more than its share"
    assert not any(server.model.collapsed for server in cold), "the sidecars together overloaded a cold server"


def excess_over_budget(server: FleetServer, started_ns: int, window_ns: int) -> float:
    """Return by how many requests the busiest window exceeds the budget plus the statistical allowance.

    The budget N is the configured multiple of the server's capacity at the start of the window; the allowance is
    2 x sqrt(N) + 2.
    """
    excess = -inf
    for index, begin_ns in enumerate(server.send_times_ns):
        sends = bisect_left(server.send_times_ns, begin_ns + window_ns) - index
        ramp = DEFAULT_SERVER_TRAITS.initial_capacity + (1 - DEFAULT_SERVER_TRAITS.initial_capacity) * min(
            1.0, (begin_ns - started_ns) / (DEFAULT_SERVER_TRAITS.warm_up_s * NS_PER_S)
        )
        budget = (
            DEFAULT_SERVER_TRAITS.collapse_multiple * ramp * DEFAULT_SERVER_TRAITS.cores / WORK_S * window_ns / NS_PER_S
        )
        excess = max(excess, sends - (budget + 2 * budget**0.5 + 2))
    return excess


@pytest.mark.parametrize("load", [0.6, 0.95])
@pytest.mark.parametrize(("sidecars", "servers"), [(4, 12), (20, 40), (30, 60), (200, 60)])
def test_all_sidecars_stay_within_a_cold_servers_budget(sidecars: int, servers: int, load: float) -> None:
    """All sidecars together stay within the budget, even if 70% of them restart while a third of the servers are
    replaced by cold ones."""
    fleet = make_fleet(sidecars, servers, load=load, seed=2)
    fleet.run(6 * NS_PER_S)
    fleet.restart(0.7)
    replaced_count, started_ns = servers // 3, fleet.now_ns
    new = range(1001, 1001 + replaced_count)
    fleet.replace(list(range(1, replaced_count + 1)), list(new))
    fleet.run(5 * NS_PER_S)
    cold = [fleet.servers[number] for number in new]
    assert (
        max(excess_over_budget(server, started_ns, window_s * NS_PER_S) for server in cold for window_s in (1, 3)) <= 0
    )
    assert not any(server.model.collapsed for server in cold)
    assert mean(len(server.send_times_ns) for server in cold) > 5, "cold servers got no requests"


def test_small_burst_at_a_quiet_sidecar_is_admitted() -> None:
    """A sidecar with two requests in flight on average admits a burst of seven."""
    harness = start_harness(make_settings(IDEMPOTENT, fleet_size=40, max_attempts=1), make_endpoints(60))
    for number in range(80):  # twenty per second, each answered after 100 ms: two in flight
        harness.send_request(f"quiet{number}")
        harness.pass_time(50 * NS_PER_MS)
        if number:
            harness.finish_attempt(f"quiet{number - 1}", 0, balancing.AttemptResult.OK)
    burst = sum(bool(sent_endpoint_ids(harness.send_request(f"burst{number}"))) for number in range(7))
    assert burst == 7


def test_overloaded_fleet_rejects_long_work_before_reads() -> None:
    """Priority is the weight divided by the service time: reads are rejected less often than requests of twice the
    weight that take six times as long."""
    read = replace(
        IDEMPOTENT, name="read", priority_weight=1.0, latency_objective_ns=300 * NS_PER_MS, deadline_ns=800 * NS_PER_MS
    )
    submit = replace(
        IDEMPOTENT, name="long", priority_weight=2.0, latency_objective_ns=1000 * NS_PER_MS, deadline_ns=3 * NS_PER_S
    )
    balancer_settings = make_settings(read, submit, fleet_size=40, **SLOW_START)
    work_s, shares = (0.04, 0.24), (0.7, 0.3)
    mean_work_s = sum(work * share for work, share in zip(work_s, shares, strict=True))
    request_rate = 60 * DEFAULT_SERVER_TRAITS.cores * 1.1 / mean_work_s
    fleet = Fleet(FleetSettings(balancer_settings, 40, 60, request_rate, work_s, shares))
    fleet.run(12 * NS_PER_S)
    counts = fleet.class_counts
    rejected = [counts[RequestOutcome.REJECTED, index] / counts[RequestOutcome.ARRIVED, index] for index in (0, 1)]
    assert rejected[0] < 0.8 * rejected[1], rejected


def test_one_core_servers_seldom_choke_in_a_shared_slowdown() -> None:
    """Servers of one core and four slots choke when congested for 2 s and recover only when idle.

    A single run is sensitive to any change in timing, so the test adds up twelve runs."""
    results = [simulate_slowdown(seed, start_s) for seed in range(1, 7) for start_s in (20, 30)]
    assert sum(result.choked_server_seconds for result in results) < 135, (
        "the sidecars congested servers until they choked"
    )
    assert min(result.served_share for result in results) > 0.75, "far below what a fleet at 75% load can serve"


def test_overloaded_one_core_servers_never_choke() -> None:
    """Under overload 2 to 3.2 requests are in flight at each server on average."""
    fleet = congested_fleet(load=1.3, seed=2)
    in_flight, max_choked = [], 0
    for _ in range(25):
        fleet.run(NS_PER_S)
        max_choked = max(max_choked, fleet.choked_count())
        in_flight.append(mean(fleet.in_flight()))
    assert max_choked == 0
    assert 2.0 < mean(in_flight[5:]) < 3.2, "the servers are congested or idle"


def test_fleet_limit_grows_with_the_cores_of_the_servers() -> None:
    """A limit of four requests at each server would leave a fifth of the capacity of four cores unused."""
    four_cores = replace(CHOKING_SERVER_TRAITS, cores=4, slots=16, max_queue=160)
    fleet = congested_fleet(load=0.8, seed=2, server_traits=(four_cores,))
    fleet.run(20 * NS_PER_S)
    arrived = sum(count for (outcome, _), count in fleet.class_counts.items() if outcome is RequestOutcome.ARRIVED)
    rejected = sum(count for (outcome, _), count in fleet.class_counts.items() if outcome is RequestOutcome.REJECTED)
    assert rejected < 0.15 * arrived
    assert sum(balancer.quota.fleet_limit_per_endpoint > 5 for balancer in fleet.balancers) >= 4


def test_overloaded_fleet_rejects_tenant_over_quota_first() -> None:
    """Tenants within their quotas are rejected equally often; a tenant over its quota is rejected more often."""
    rejected = []
    for quotas in ((3.0, 3.0), (0.4, 0.4)):  # fractions of the fleet's capacity; the tenants send 0.9 and 0.3 of it
        fleet = congested_fleet(
            load=1.2, seed=3, tenants=(TenantTraffic(0.75, quotas[0]), TenantTraffic(0.25, quotas[1]))
        )
        fleet.run(25 * NS_PER_S)
        counts = fleet.tenant_counts
        rejected.append(
            [counts[RequestOutcome.REJECTED, tenant] / counts[RequestOutcome.ARRIVED, tenant] for tenant in (0, 1)]
        )
    assert rejected[0][1] > 0.8 * rejected[0][0], "both tenants are within their quotas, but one is rejected more often"
    assert rejected[1][1] < 0.6 * rejected[1][0], rejected
