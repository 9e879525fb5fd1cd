"""A scenario and a seed to all that will happen: arrivals, servers and troubles, drawn ahead.

The plan is a pure function: the load tool and the stand-ins each make it for themselves and agree without a word.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log, sqrt

import numpy as np

from lugtally.testbed.emulator.server_model import Traits
from lugtally.testbed.scenario.random_streams import between, stream
from lugtally.testbed.scenario.scenario import Class, Scenario, Trouble


@dataclass(frozen=True, slots=True)
class Arrival:
    """A first try: ``at`` seconds into the run, ``work`` in core-seconds."""

    at: float
    sidecar: int
    cls: int
    work: float


@dataclass(frozen=True, slots=True)
class Machine:
    """A pledge server's place and nature."""

    id: str
    zone: str
    traits: Traits


@dataclass(frozen=True, slots=True)
class Event:
    """A trouble begins or ends at ``at`` seconds, for the servers of these places."""

    at: float
    begins: bool
    trouble: Trouble
    servers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that is drawn before a run starts."""

    scenario: Scenario
    seed: int
    arrivals: tuple[Arrival, ...]
    machines: tuple[Machine, ...]
    sidecar_zones: tuple[str, ...]
    events: tuple[Event, ...]
    mean_work: tuple[float, ...]  # by class, core-seconds
    rate: float  # first tries a second
    notice: float  # seconds until the list shows a change
    silent_notice: float


def make(scenario: Scenario, seed: int) -> Schedule:
    """Draw the run of that seed."""
    mean_work = tuple(between(stream(seed, "class", cls.name), cls.work_ms) / 1000 for cls in scenario.classes)
    machines = _machines(scenario, seed)
    discovery = stream(seed, "discovery")
    notice, silent = (
        between(discovery, scenario.discovery.notice_s),
        between(discovery, scenario.discovery.silent_notice_s),
    )
    events = _events(scenario, seed, machines)
    rate = scenario.load.rate_per_s
    if scenario.load.utilisation is not None:
        capacity = sum(m.traits.cores * m.traits.speed for m in machines[: scenario.fleet.servers])
        a_request = sum(c.share * w for c, w in zip(scenario.classes, mean_work, strict=True))
        rate = scenario.load.utilisation * capacity / a_request
    arrivals = _arrivals(scenario, seed, rate, mean_work)
    zones = scenario.fleet.zones
    return Schedule(
        scenario,
        seed,
        arrivals,
        machines,
        tuple(zones[at % len(zones)] for at in range(scenario.fleet.sidecars)),
        events,
        mean_work,
        rate,
        notice,
        silent,
    )


def machine(scenario: Scenario, seed: int, at: int, id: str = "") -> Machine:
    """The server of that place; a replacement at the same place is drawn under its own id."""
    fleet, network = scenario.fleet, scenario.network
    id = id or f"s-{at:03d}"
    random = stream(seed, "server", id)
    speed = between(stream(seed, "speed"), fleet.speed)
    sigma = sqrt(log(1 + fleet.speed_cv**2))
    speed *= exp(sigma * float(random.standard_normal()) - sigma**2 / 2)
    # Spread over the zones by place, so that one more server moves none of the others.
    first = (at + 0.5) * fleet.zone_skew % 1 < fleet.zone_skew or len(fleet.zones) == 1
    zone = fleet.zones[0] if first else fleet.zones[1 + at % (len(fleet.zones) - 1)]
    return Machine(
        id,
        zone,
        Traits(
            cores=fleet.cores,
            slots=fleet.cores * fleet.slots_per_core,
            queue=fleet.cores * fleet.queue_per_core,
            speed=speed,
            crowd_at=fleet.crowd_at,
            crowd_loss=fleet.crowd_loss,
            choke_at=fleet.choke_at,
            choke_over=fleet.choke_over_s,
            choke_slower=fleet.choke_slower,
            choke_idle=fleet.choke_idle_s,
            choke_most=fleet.choke_most_s,
            cold_from=fleet.cold_from,
            cold_s=fleet.cold_s,
            warm_by_work=fleet.warm_by == "work",
            fall_multiple=fleet.fall_multiple,
            fall_after=fleet.fall_after_s,
            connections=network.connections,
            full_tax=network.full_tax,
            handshake_s=between(random, network.handshake_ms) / 1000,
            drops_expired=fleet.drops_expired,
        ),
    )


def _machines(scenario: Scenario, seed: int) -> tuple[Machine, ...]:
    count = scenario.fleet.servers + sum(t.servers or 1 for t in scenario.troubles if t.kind == "join")
    return tuple(machine(scenario, seed, at) for at in range(count))


def _events(scenario: Scenario, seed: int, machines: tuple[Machine, ...]) -> tuple[Event, ...]:
    events: list[Event] = []
    chosen: list[tuple[int, ...]] = []
    joined = scenario.fleet.servers
    for at, trouble in enumerate(scenario.troubles):
        if trouble.kind == "join":
            servers = tuple(range(joined, joined + (trouble.servers or 1)))
            joined = servers[-1] + 1
        elif trouble.same_as is not None:
            servers = chosen[trouble.same_as]
        else:
            servers = _choose(scenario, seed, at, trouble, machines)
        chosen.append(servers)
        if trouble.every_s:
            for turn, one in enumerate(servers):
                start = trouble.at_s + turn * trouble.every_s
                events += _one(seed, at, trouble, start, (one,))
        else:
            events += _one(seed, at, trouble, trouble.at_s, servers)
    return tuple(sorted(events, key=lambda e: e.at))


def _choose(scenario: Scenario, seed: int, at: int, trouble: Trouble, machines: tuple[Machine, ...]) -> tuple[int, ...]:
    able = [i for i in range(scenario.fleet.servers) if trouble.zone in (None, machines[i].zone)]
    if trouble.part is None and trouble.servers is None:
        return tuple(able)
    count = trouble.servers if trouble.servers is not None else max(1, round((trouble.part or 0) * len(able)))
    order = stream(seed, "trouble", at).permutation(len(able))
    return tuple(sorted(able[int(i)] for i in order[:count]))


def _one(seed: int, at: int, trouble: Trouble, start: float, servers: tuple[int, ...]) -> list[Event]:
    if trouble.on_off_s is None or trouble.for_s is None:
        events = [Event(start, True, trouble, servers)]
        if trouble.for_s is not None:
            events.append(Event(start + trouble.for_s, False, trouble, servers))
        return events
    events = []
    for one in servers:  # each goes on and off by itself
        random = stream(seed, "on-off", at, one)
        now, begins = start, True
        while now < start + trouble.for_s:
            events.append(Event(now, begins, trouble, (one,)))
            now += between(random, trouble.on_off_s)
            begins = not begins
        events.append(Event(start + trouble.for_s, False, trouble, (one,)))
    return events


def _work(cls: Class, mean: float, random: np.random.Generator, count: int) -> np.ndarray:
    """Core-seconds of ``count`` requests, with that mean whatever the shape."""
    if cls.shape == "fixed":
        return np.full(count, mean)
    if cls.shape == "exponential":
        return random.exponential(mean, count)
    if cls.shape == "pareto":
        return (random.pareto(cls.spread, count) + 1) * mean * (cls.spread - 1) / cls.spread
    return random.lognormal(log(mean) - cls.spread**2 / 2, cls.spread, count)


def _profile(scenario: Scenario, seed: int, times: np.ndarray) -> np.ndarray:
    """The rate at each time as a multiple of the mean, with the bursts on top."""
    load = scenario.load
    factor = np.ones_like(times)
    random = stream(seed, "profile")
    if load.shape == "wave":
        phase = random.random()
        factor += load.swing * np.sin(2 * np.pi * (times / load.wave_s + phase))
    elif load.shape == "bursty":
        steps = random.lognormal(0, load.swing, int(scenario.length_s / 0.5) + 2)
        factor *= (steps / steps.mean())[(times / 0.5).astype(int)]
    for trouble in scenario.troubles:
        if trouble.kind == "burst":
            end = trouble.at_s + (trouble.for_s or scenario.length_s)
            factor = np.where((times >= trouble.at_s) & (times < end), factor * trouble.size, factor)
    return factor


def _arrivals(scenario: Scenario, seed: int, rate: float, mean_work: tuple[float, ...]) -> tuple[Arrival, ...]:
    """A Poisson process for each sidecar, thinned to the profile (Lewis and Shedler, 1979)."""
    load, fleet = scenario.load, scenario.fleet
    sigma = sqrt(log(1 + load.sidecar_cv**2))
    weights = np.array([stream(seed, "weight", i).lognormal(0, sigma) for i in range(fleet.sidecars)])
    weights /= weights.sum()
    grid = np.arange(0, scenario.length_s, 0.01)
    most = float(_profile(scenario, seed, grid).max()) * 1.001
    shares = np.cumsum([cls.share for cls in scenario.classes])
    found: list[Arrival] = []
    for sidecar in range(fleet.sidecars):
        random = stream(seed, "arrivals", sidecar)
        peak = rate * float(weights[sidecar]) * most
        count = int(peak * scenario.length_s + 10 * sqrt(peak * scenario.length_s) + 20)
        times = np.cumsum(random.exponential(1 / peak, count))
        keep = random.random(count) * most < _profile(scenario, seed, np.minimum(times, scenario.length_s))
        classes = np.minimum(np.searchsorted(shares, random.random(count), side="right"), len(shares) - 1)
        drawn = [
            _work(cls, mean_work[at], stream(seed, "work", sidecar, cls.name), count)
            for at, cls in enumerate(scenario.classes)
        ]
        found += [
            Arrival(float(times[i]), sidecar, int(classes[i]), float(drawn[int(classes[i])][i]))
            for i in range(count)
            if keep[i] and times[i] < scenario.length_s
        ]
    return tuple(sorted(found, key=lambda a: a.at))
