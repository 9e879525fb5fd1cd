"""A simulated fleet whose servers have one core and few slots, choke when congested, and report their load late.

``python -m tests.balancing.congested_fleet`` prints, for each second, the requests in flight at each server and the
outcomes of the requests.  ``python -m tests.balancing.congested_fleet plays`` runs the twelve simulations that show the
effect of a change.  The tests use :func:`congested_fleet` for congestion that no single sidecar causes.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import replace
from statistics import mean
from typing import NamedTuple

from lugtally import balancing
from lugtally.testbed.emulator.server_model import ServerTraits
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.fleet import Fleet
from tests.balancing.fleet_records import FleetSettings, LoadReportTiming, RequestOutcome
from tests.balancing.harness import make_settings

# Three typical classes: short reads, saves of twice their weight, and long submits with an idempotency key.
CLASSES = (
    balancing.RequestClass(
        "status",
        balancing.Idempotency.IDEMPOTENT,
        latency_objective_ns=600 * NS_PER_MS,
        deadline_ns=3 * NS_PER_S,
        priority_weight=1.0,
        late_priority_weight=0.5,
    ),
    balancing.RequestClass(
        "save",
        balancing.Idempotency.IDEMPOTENT,
        latency_objective_ns=750 * NS_PER_MS,
        deadline_ns=3 * NS_PER_S,
        priority_weight=2.0,
        late_priority_weight=0.3,
    ),
    balancing.RequestClass(
        "submit",
        balancing.Idempotency.IDEMPOTENCY_KEY,
        balancing.DeduplicationScope.CELL,
        5 * NS_PER_S,
        1200 * NS_PER_MS,
        5 * NS_PER_S,
        2.0,
        0.3,
    ),
)
WORK_S = (0.041, 0.053, 0.100)  # CPU seconds of a standard core, by class
CLASS_SHARES = (0.63, 0.23, 0.14)
CHOKING_SERVER_TRAITS = ServerTraits(
    cores=1,
    slots=4,
    max_queue=40,
    speed=0.95,
    congestion_threshold=8.0,
    congestion_loss=0.14,
    choke_threshold=4.0,
    choke_onset_s=2.0,
    choke_slowdown=2.8,
    choke_idle_s=3.5,
    max_choke_s=29.0,
)
SERVER_TRAITS = (CHOKING_SERVER_TRAITS, replace(CHOKING_SERVER_TRAITS, speed=0.6))


def capacity(servers: int, server_traits: tuple[ServerTraits, ...] = SERVER_TRAITS) -> float:
    """Return the requests per second that the servers can process with the mix of classes in ``CLASS_SHARES``."""
    traits_by_server = [server_traits[number % len(server_traits)] for number in range(1, servers + 1)]
    speed = sum(traits.speed * traits.cores for traits in traits_by_server)
    return speed / sum(work * share for work, share in zip(WORK_S, CLASS_SHARES, strict=True))


class TenantTraffic(NamedTuple):
    """A tenant's share of all traffic, and its quota as a fraction of the fleet's capacity."""

    share: float
    quota: float


def congested_fleet(
    sidecars: int = 6,
    servers: int = 9,
    load: float = 0.75,
    seed: int = 1,
    server_traits: tuple[ServerTraits, ...] = SERVER_TRAITS,
    tenants: tuple[TenantTraffic, ...] = (TenantTraffic(1.0, 1.0),),
) -> Fleet:
    """Return a fleet loaded to ``load`` times its capacity, with load reports every 0.7 s, published 0.2 s late."""
    total = capacity(servers, server_traits)
    balancer_settings = make_settings(
        *CLASSES,
        fleet_size=sidecars,
        max_attempts=5,
        load_report_fields=("inflight",),
        timer_resolution_ns=5 * NS_PER_MS,
        initial_capacity=0.25,
        slow_start_window_ns=17 * NS_PER_S,
        overload_multiple=4.0,
        over_quota_weight=0.1,
        tenants=tuple(balancing.Tenant(f"t{number}", tenant.quota * total) for number, tenant in enumerate(tenants)),
    )
    return Fleet(
        FleetSettings(
            balancer_settings,
            sidecars,
            servers,
            request_rate=load * total,
            work_s=WORK_S,
            class_shares=CLASS_SHARES,
            tenant_shares=tuple(tenant.share for tenant in tenants),
            seed=seed,
            server_traits=server_traits,
            load_reports=LoadReportTiming(700 * NS_PER_MS, 200 * NS_PER_MS),
        )
    )


def served_share(counts: Counter[tuple[RequestOutcome, int]]) -> float:
    """Return the share of requests served within their objective, weighted by priority."""
    arrived = sum(
        request_class.priority_weight * counts[RequestOutcome.ARRIVED, index]
        for index, request_class in enumerate(CLASSES)
    )
    served = sum(
        request_class.priority_weight * counts[RequestOutcome.SERVED, index]
        for index, request_class in enumerate(CLASSES)
    )
    return served / max(1.0, arrived)


class SlowdownResult(NamedTuple):
    """How many servers choked in one simulation, and what share of the requests was served."""

    max_choked: int  # the highest number of servers that choked at the same time
    choked_server_seconds: int
    served_share: float


def simulate_slowdown(seed: int, start_s: int, seconds: int = 60) -> SlowdownResult:
    """Run a fleet whose servers are all 2.2 times slower for 10 s from ``start_s``."""
    fleet = congested_fleet(seed=seed)
    max_choked = choked_server_seconds = 0
    for second in range(seconds):
        fleet.slow_down_all(2.2 if start_s <= second < start_s + 10 else 1.0)
        fleet.run(NS_PER_S)
        choked = fleet.choked_count()
        max_choked = max(max_choked, choked)
        choked_server_seconds += choked
    return SlowdownResult(max_choked, choked_server_seconds, served_share(fleet.class_counts))


def print_comparison(seeds: range = range(1, 7)) -> None:
    """Run the twelve simulations, each seed with a slowdown from 20 s and from 30 s, and print their results."""
    results = []
    print("seed  from  max choked  server-seconds  served share")
    for seed in seeds:
        for start_s in (20, 30):
            result = simulate_slowdown(seed, start_s)
            results.append(result)
            print(
                f"{seed:4d}  {start_s:4d}  {result.max_choked:10d}  {result.choked_server_seconds:14d}"
                f"  {result.served_share:.3f}"
            )
    shares = [result.served_share for result in results]
    print(
        f"runs with a choke: {sum(result.max_choked > 0 for result in results)} of {len(results)}; "
        f"served share {min(shares):.3f} to {max(shares):.3f}, mean {mean(shares):.3f}"
    )


def print_timeline() -> None:
    """Run one simulation and print a line for each second."""
    fleet = congested_fleet()
    previous_counts: Counter[tuple[RequestOutcome, int]] = Counter()
    print(" s  served  rejected  choked  in flight at each server")
    for second in range(60):
        fleet.slow_down_all(2.2 if 30 <= second < 40 else 1.0)
        fleet.run(NS_PER_S)
        counts = Counter(fleet.class_counts)
        change = counts - previous_counts
        previous_counts = counts
        arrived = sum(change[RequestOutcome.ARRIVED, index] for index in range(len(CLASSES)))
        rejected = sum(change[RequestOutcome.REJECTED, index] for index in range(len(CLASSES)))
        print(
            f"{second:2d}  {served_share(change):6.2f}  {rejected / max(1, arrived):8.2f}"
            f"  {fleet.choked_count():6d}  {fleet.in_flight()}"
        )
    print(f"all: served share {served_share(fleet.class_counts):.3f}")


def main() -> None:
    """Run one of the two commands that the module's docstring describes."""
    if sys.argv[1:] == ["plays"]:
        print_comparison()
    else:
        print_timeline()


if __name__ == "__main__":
    main()
