"""One run: sidecars, endpoints, discovery and clients, the faults of its seed, and the records of it all."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.fault_injection.behaviour import ALL_FAULTS, ClientBehaviour, EndpointBehaviour, Fault, TimedFault
from tests.fault_injection.client import Client, ClientFleet
from tests.fault_injection.clock import now_ns, watch_own_lag
from tests.fault_injection.discovery import READY, DiscoveryService, EndpointCatalog
from tests.fault_injection.endpoint import Endpoint, EndpointFleet
from tests.fault_injection.faults import draw_schedule
from tests.fault_injection.injector import FaultInjector, Site
from tests.fault_injection.records import RunRecords
from tests.fault_injection.sidecar_process import SidecarProcess

ZONES = ("a", "b")
DISCOVERY_SERVICES = 2
CLIENTS_END_S = 15.0
"""How long clients may take to end once they are told to: the longest deadline and their patience, twice."""


@dataclass(slots=True, frozen=True)
class Scenario:
    """What a run is made of; the same values give the same plan."""

    seed: int
    duration_s: float
    sidecars: int = 3
    clients: int = 60
    endpoints: int = 6
    max_descriptors: int = 96
    faults: tuple[Fault, ...] = tuple(ALL_FAULTS.values())


@dataclass(slots=True)
class RunResult:
    """The records of a run, and what the sidecars logged."""

    records: RunRecords
    logs: list[str]
    started_ns: int


def run_scenario(scenario: Scenario) -> RunResult:
    """Play a scenario to its end."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_Run(scenario, Path(folder)).run())


class _Run:
    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self._scenario = scenario
        self._records = RunRecords()
        self._catalog = EndpointCatalog()
        count = scenario.sidecars
        self._sidecars = [
            SidecarProcess(number, folder, self._catalog, scenario.max_descriptors, count) for number in range(count)
        ]
        self._services = [DiscoveryService(self._catalog) for _ in range(DISCOVERY_SERVICES)]
        self._endpoints: list[Endpoint] = []
        self._is_stopping = False

    async def run(self) -> RunResult:
        lag_watch = asyncio.create_task(watch_own_lag(self._records))
        try:
            site = await self._start()
            started_ns = now_ns()
            await self._play(site)
            return RunResult(self._records, [sidecar.log for sidecar in self._sidecars], started_ns)
        finally:
            lag_watch.cancel()
            await self._end()

    async def _start(self) -> Site:
        scenario = self._scenario
        enabled = tuple(fault for fault in scenario.faults if isinstance(fault, EndpointBehaviour))
        fleet = EndpointFleet(scenario.seed, self._records, enabled)
        for number in range(scenario.endpoints):
            endpoint = Endpoint(f"e{number}", fleet, ZONES[number % len(ZONES)], number // len(ZONES))
            endpoint.start()
            self._catalog.set_state(endpoint, READY)
            self._endpoints.append(endpoint)
        addresses = [await service.start() for service in self._services]
        for sidecar in self._sidecars:
            sidecar.discovery = addresses[0]
        await asyncio.gather(*(sidecar.start() for sidecar in self._sidecars))
        return Site(self._sidecars, self._endpoints, self._catalog, self._services, addresses)

    async def _play(self, site: Site) -> None:
        scenario = self._scenario
        fleet = ClientFleet(
            scenario.seed,
            self._records,
            [sidecar.address for sidecar in self._sidecars],
            tuple(fault for fault in scenario.faults if isinstance(fault, ClientBehaviour)),
            lambda: self._is_stopping,
        )
        clients = [asyncio.create_task(Client(fleet, number).run()) for number in range(scenario.clients)]
        enabled = tuple(fault for fault in scenario.faults if isinstance(fault, TimedFault))
        schedule = draw_schedule(scenario.seed, scenario.duration_s, enabled)
        injection = asyncio.create_task(FaultInjector(site, self._records).play(schedule))
        await asyncio.sleep(scenario.duration_s)
        self._is_stopping = True
        _, hanging = await asyncio.wait(clients, timeout=CLIENTS_END_S)
        for client in hanging:
            client.cancel()
        results = await asyncio.gather(*clients, injection, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        if hanging:
            raise TimeoutError(f"{len(hanging)} clients did not end")

    async def _end(self) -> None:
        for sidecar in self._sidecars:
            sidecar.kill()
        for service in self._services:
            service.stop()
        for endpoint in self._endpoints:
            await endpoint.stop()
