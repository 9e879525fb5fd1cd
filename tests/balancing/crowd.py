"""A fleet like the print servers': one core each, few slots, a choke when crowded, and late reports of load.

``python -m tests.balancing.crowd`` prints, a second at a time, what the servers truly hold beside what the sidecars end
with; ``python -m tests.balancing.crowd plays`` plays the twelve days that judge a change; the tests use
:func:`crowd` to hold the decisions against chokes that only the whole fleet can cause.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import replace
from statistics import mean

from lugtally import balancing
from lugtally.testbed.emulator.server_model import ServerTraits
from tests.balancing.fleet import Fleet
from tests.balancing.world import MS, S, settings

# Three classes as such a site has them: short reads, saves of twice their worth, keyed submits of long work.
CLASSES = (
    balancing.RequestClass(
        "status",
        balancing.Idempotency.IDEMPOTENT,
        latency_objective_ns=600 * MS,
        deadline_ns=3 * S,
        priority_weight=1.0,
        late_priority_weight=0.5,
    ),
    balancing.RequestClass(
        "save",
        balancing.Idempotency.IDEMPOTENT,
        latency_objective_ns=750 * MS,
        deadline_ns=3 * S,
        priority_weight=2.0,
        late_priority_weight=0.3,
    ),
    balancing.RequestClass(
        "submit",
        balancing.Idempotency.IDEMPOTENCY_KEY,
        balancing.DeduplicationScope.CELL,
        5 * S,
        1200 * MS,
        5 * S,
        2.0,
        0.3,
    ),
)
WORK = (0.041, 0.053, 0.100)  # seconds of a standard core
SHARES = (0.63, 0.23, 0.14)
CHOKING = ServerTraits(
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
KINDS = (CHOKING, replace(CHOKING, speed=0.6))


def capacity(servers: int, kinds: tuple[ServerTraits, ...] = KINDS) -> float:
    """Requests a second that the servers can do, with the classes mixed as they come."""
    speed = sum(kinds[n % len(kinds)].speed * kinds[n % len(kinds)].cores for n in range(1, servers + 1))
    return speed / sum(w * s for w, s in zip(WORK, SHARES, strict=True))


def crowd(
    sidecars: int = 6,
    servers: int = 9,
    load: float = 0.75,
    seed: int = 1,
    kinds: tuple[ServerTraits, ...] = KINDS,
    tenants: tuple[tuple[float, float], ...] = ((1.0, 1.0),),
) -> Fleet:
    """Such a fleet, loaded to that part of what it can do; reports refreshed every 0.7 s, seen 0.2 s late.

    ``tenants``: the part of all traffic that each sends, and its quota as a part of what the fleet can do.
    """
    whole = capacity(servers, kinds)
    told = settings(
        *CLASSES,
        fleet_size=sidecars,
        max_attempts=5,
        load_report_fields=("inflight",),
        timer_resolution_ns=5 * MS,
        initial_capacity=0.25,
        slow_start_window_ns=17 * S,
        overload_multiple=4.0,
        over_quota_weight=0.1,
        tenants=tuple(balancing.Tenant(f"t{n}", quota * whole) for n, (_, quota) in enumerate(tenants)),
    )
    return Fleet(
        told,
        sidecars,
        servers,
        rate=load * whole,
        work=WORK,
        shares=SHARES,
        seed=seed,
        traits=kinds,
        reports=(700 * MS, 200 * MS),
        tenants=tuple(part for part, _ in tenants),
    )


def worth(tally: Counter[str] | dict[str, int]) -> float:
    """Worth served in time over worth asked for, by the tally of the world."""
    asked = sum(CLASSES[c].priority_weight * tally.get(f"asked {c}", 0) for c in range(len(CLASSES)))
    served = sum(CLASSES[c].priority_weight * tally.get(f"served {c}", 0) for c in range(len(CLASSES)))
    return served / max(1.0, asked)


def play(seed: int, start: int, seconds: int = 60) -> tuple[int, int, float]:
    """One play: a 2.2-fold slowing of all servers for 10 s from ``start``.  Returns the most servers choked at once,
    the server-seconds choked, and the worth kept."""
    world = crowd(seed=seed)
    most = choked = 0
    for second in range(seconds):
        world.slow_all(2.2 if start <= second < start + 10 else 1.0)
        world.run(S)
        most, choked = max(most, world.choked()), choked + world.choked()
    return most, choked, worth(world.tally)


def plays(seeds: range = range(1, 7)) -> None:
    """The plays that judge a change here: each seed with the slowing from 20 s and from 30 s."""
    kept = []
    print("seed  from  most choked  server-seconds  worth")
    for seed in seeds:
        for start in (20, 30):
            most, choked, part = play(seed, start)
            kept.append((most, part))
            print(f"{seed:4d}  {start:4d}  {most:11d}  {choked:14d}  {part:.3f}")
    print(
        f"plays with a choke: {sum(m > 0 for m, _ in kept)} of {len(kept)}; "
        f"worth {min(p for _, p in kept):.3f} to {max(p for _, p in kept):.3f}, mean {mean(p for _, p in kept):.3f}"
    )


def main() -> None:
    if sys.argv[1:] == ["plays"]:
        plays()
        return
    world = crowd()
    before: Counter[str] = Counter()
    print(" s  worth  refused  choked  held at each server")
    for second in range(60):
        world.slow_all(2.2 if 30 <= second < 40 else 1.0)
        world.run(S)
        now = Counter(world.tally)
        step = now - before
        before = now
        asked = sum(step[f"asked {c}"] for c in range(len(CLASSES)))
        refused = sum(step[f"refused {c}"] for c in range(len(CLASSES)))
        print(f"{second:2d}  {worth(step):5.2f}  {refused / max(1, asked):7.2f}  {world.choked():6d}  {world.held()}")
    print(f"all: worth {worth(world.tally):.3f}")


if __name__ == "__main__":
    main()
