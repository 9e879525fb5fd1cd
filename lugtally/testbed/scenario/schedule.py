"""Schedule of a run: everything that is drawn before the run, from a scenario and a seed.

The schedule is a pure function of the two.  The load generator and the emulated fleet each compute it.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log, sqrt

from lugtally.testbed.emulator.server_model import ServerTraits
from lugtally.testbed.scenario.arrivals import Arrival, draw_arrivals
from lugtally.testbed.scenario.fault_events import FaultEvent, draw_fault_events
from lugtally.testbed.scenario.random_streams import draw_from, stream
from lugtally.testbed.scenario.scenario import Scenario


@dataclass(frozen=True, slots=True)
class Machine:
    """The name, zone and properties of a server."""

    name: str
    zone: str
    traits: ServerTraits


@dataclass(frozen=True, slots=True)
class Schedule:
    """Everything that is drawn before a run."""

    scenario: Scenario
    seed: int
    arrivals: tuple[Arrival, ...]
    machines: tuple[Machine, ...]
    sidecar_zones: tuple[str, ...]
    events: tuple[FaultEvent, ...]
    mean_work: tuple[float, ...]  # of a request, in core-seconds, by class
    rate: float  # first attempts per second
    propagation_s: float  # from a change until the endpoint list contains it
    silent_propagation_s: float  # the same for a machine that disappears silently


def make_schedule(scenario: Scenario, seed: int) -> Schedule:
    """Draw the schedule of a scenario and seed."""
    mean_work = tuple(
        draw_from(stream(seed, "class", request_class.name), request_class.work_ms) / 1000
        for request_class in scenario.classes
    )
    machines = _draw_machines(scenario, seed)
    discovery = stream(seed, "discovery")
    propagation_s = draw_from(discovery, scenario.discovery.propagation_s)
    silent_propagation_s = draw_from(discovery, scenario.discovery.silent_propagation_s)
    rate = _arrival_rate(scenario, machines, mean_work)
    zones = scenario.fleet.zones
    return Schedule(
        scenario=scenario,
        seed=seed,
        arrivals=draw_arrivals(scenario, seed, rate, mean_work),
        machines=machines,
        sidecar_zones=tuple(zones[sidecar % len(zones)] for sidecar in range(scenario.fleet.sidecars)),
        events=draw_fault_events(scenario, seed, tuple(machine.zone for machine in machines)),
        mean_work=mean_work,
        rate=rate,
        propagation_s=propagation_s,
        silent_propagation_s=silent_propagation_s,
    )


def draw_machine(scenario: Scenario, seed: int, server_index: int, name: str = "") -> Machine:
    """Draw the server with this index.  A replacement at the same index is drawn by its own ``name``."""
    fleet, network = scenario.fleet, scenario.network
    name = name or f"s-{server_index:03d}"
    random = stream(seed, "server", name)
    speed = draw_from(stream(seed, "speed"), fleet.speed)
    sigma = sqrt(log(1 + fleet.speed_cv**2))
    speed *= exp(sigma * float(random.standard_normal()) - sigma**2 / 2)
    traits = ServerTraits(
        cores=fleet.cores,
        slots=fleet.cores * fleet.slots_per_core,
        max_queue=fleet.cores * fleet.queue_per_core,
        speed=speed,
        congestion_threshold=fleet.congestion_threshold,
        congestion_loss=fleet.congestion_loss,
        choke_threshold=fleet.choke_threshold,
        choke_onset_s=fleet.choke_onset_s,
        choke_slowdown=fleet.choke_slowdown,
        choke_idle_s=fleet.choke_idle_s,
        max_choke_s=fleet.max_choke_s,
        initial_capacity=fleet.initial_capacity,
        warm_up_s=fleet.warm_up_s,
        warms_up_by_work=fleet.warm_up_by == "work",
        collapse_multiple=fleet.collapse_multiple,
        collapse_window_s=fleet.collapse_window_s,
        max_connections=network.max_connections,
        full_table_loss=network.full_table_loss,
        handshake_work=draw_from(random, network.handshake_ms) / 1000,
        drops_expired=fleet.drops_expired,
    )
    return Machine(name, _zone_of(scenario, server_index), traits)


def _zone_of(scenario: Scenario, server_index: int) -> str:
    """Return the zone of a server.  It depends only on the index, so that adding a server moves no other."""
    fleet = scenario.fleet
    is_first = (server_index + 0.5) * fleet.zone_skew % 1 < fleet.zone_skew or len(fleet.zones) == 1
    return fleet.zones[0] if is_first else fleet.zones[1 + server_index % (len(fleet.zones) - 1)]


def _draw_machines(scenario: Scenario, seed: int) -> tuple[Machine, ...]:
    """Draw the initial servers and the servers that join during the run."""
    joining = sum(fault.servers or 1 for fault in scenario.faults if fault.kind == "join")
    return tuple(draw_machine(scenario, seed, server_index) for server_index in range(scenario.fleet.servers + joining))


def _arrival_rate(scenario: Scenario, machines: tuple[Machine, ...], mean_work: tuple[float, ...]) -> float:
    """Return the first attempts per second, as the scenario gives them or from the utilisation of the fleet."""
    if scenario.load.utilisation is None:
        return scenario.load.rate_per_s
    initial_machines = machines[: scenario.fleet.servers]
    capacity = sum(machine.traits.cores * machine.traits.speed for machine in initial_machines)
    work_per_request = sum(
        request_class.share * work for request_class, work in zip(scenario.classes, mean_work, strict=True)
    )
    return scenario.load.utilisation * capacity / work_per_request
