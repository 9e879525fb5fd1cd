"""Runs a scenario: starts its sidecars, endpoints, discovery services and clients, and injects its faults."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.fault_injection.behaviour import (
    ALL_FAULTS,
    ClientBehaviour,
    EndpointBehaviour,
    Fault,
    ProcessCondition,
    TimedFault,
)
from tests.fault_injection.client import Client, SharedClientState
from tests.fault_injection.clock import now_ns, record_scheduling_lags
from tests.fault_injection.discovery import READY, DiscoveryService, EndpointCatalog
from tests.fault_injection.endpoint import Endpoint
from tests.fault_injection.endpoint_connection import SharedEndpointState
from tests.fault_injection.faults import draw_schedule
from tests.fault_injection.injector import FaultInjector, FaultTargets
from tests.fault_injection.records import RunRecords
from tests.fault_injection.sidecar_process import SidecarConditions, SidecarProcess
from tests.fault_injection.watcher import watch_processes

ZONES = ("a", "b")
DISCOVERY_SERVICES = 2
FAILING_CALL_PROBABILITY = 0.01
LOW_MEMORY_MB = 32
LOW_MEMORY_DESCRIPTORS = 1024
CLIENT_SHUTDOWN_TIMEOUT_S = 15.0
"""More than twice the longest time that a client waits for an answer: its deadline and the time after it."""


@dataclass(slots=True, frozen=True)
class Scenario:
    """The parameters of a run; equal parameters give equal plans of behaviours and faults."""

    seed: int
    duration_s: float
    sidecars: int = 3
    clients: int = 60
    endpoints: int = 6
    max_descriptors: int = 96
    faults: tuple[Fault, ...] = tuple(ALL_FAULTS.values())


@dataclass(slots=True)
class RunResult:
    """The records of a run, the logs of its sidecars, and the time of its start."""

    records: RunRecords
    logs: list[str]
    started_ns: int


def run_scenario(scenario: Scenario) -> RunResult:
    """Run a scenario to its end and return its records."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_Run(scenario, Path(folder)).run())


def _conditions(scenario: Scenario) -> SidecarConditions:
    """Return the conditions under which the sidecars of a scenario run."""
    environment: dict[str, str] = {}
    if ProcessCondition.FAILING_CALLS in scenario.faults:
        environment["FAILING_CALLS"] = f"{scenario.seed}:{FAILING_CALL_PROBABILITY}"
    if ProcessCondition.STEPPED_CLOCK in scenario.faults:
        environment["STEPPED_CLOCK"] = str(scenario.seed)
    if environment:
        environment["PYTHONPATH"] = str(Path(__file__).parent / "failing_calls")
    if ProcessCondition.LOW_MEMORY in scenario.faults:
        return SidecarConditions(LOW_MEMORY_DESCRIPTORS, LOW_MEMORY_MB, environment)
    return SidecarConditions(scenario.max_descriptors, environment=environment)


class _Run:
    """Starts the parts of one run, and stops them at its end."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self._scenario = scenario
        self._records = RunRecords()
        self._catalog = EndpointCatalog()
        count = scenario.sidecars
        self._sidecars = [
            SidecarProcess(number, folder, self._catalog, count, _conditions(scenario)) for number in range(count)
        ]
        self._services = [DiscoveryService(self._catalog) for _ in range(DISCOVERY_SERVICES)]
        self._endpoints: list[Endpoint] = []
        self._is_stopping = False

    async def run(self) -> RunResult:
        lag_recorder = asyncio.create_task(record_scheduling_lags(self._records))
        process_watcher = asyncio.create_task(watch_processes(self._sidecars, self._records))
        try:
            targets = await self._start()
            started_ns = now_ns()
            await self._run_clients_and_faults(targets)
            return RunResult(self._records, [sidecar.log for sidecar in self._sidecars], started_ns)
        finally:
            lag_recorder.cancel()
            process_watcher.cancel()
            await self._stop()

    async def _start(self) -> FaultTargets:
        scenario = self._scenario
        enabled = tuple(fault for fault in scenario.faults if isinstance(fault, EndpointBehaviour))
        shared = SharedEndpointState(scenario.seed, self._records, enabled)
        for number in range(scenario.endpoints):
            endpoint = Endpoint(f"e{number}", shared, ZONES[number % len(ZONES)], number // len(ZONES))
            endpoint.start()
            self._catalog.set_state(endpoint, READY)
            self._endpoints.append(endpoint)
        addresses = [await service.start() for service in self._services]
        for sidecar in self._sidecars:
            sidecar.discovery = addresses[0]
        await asyncio.gather(*(sidecar.start() for sidecar in self._sidecars))
        return FaultTargets(self._sidecars, self._endpoints, self._catalog, self._services, addresses)

    def _make_shared_client_state(self) -> SharedClientState:
        return SharedClientState(
            self._scenario.seed,
            self._records,
            [sidecar.address for sidecar in self._sidecars],
            tuple(fault for fault in self._scenario.faults if isinstance(fault, ClientBehaviour)),
            lambda: self._is_stopping,
        )

    async def _run_clients_and_faults(self, targets: FaultTargets) -> None:
        """Run the clients and the fault schedule to their ends; raise the first exception of either.

        Raises:
            TimeoutError: a client did not end in time.
        """
        scenario = self._scenario
        shared = self._make_shared_client_state()
        clients = [asyncio.create_task(Client(shared, number).run()) for number in range(scenario.clients)]
        enabled = tuple(fault for fault in scenario.faults if isinstance(fault, TimedFault))
        schedule = draw_schedule(scenario.seed, scenario.duration_s, enabled)
        injection = asyncio.create_task(FaultInjector(targets, self._records).run_schedule(schedule))
        await asyncio.sleep(scenario.duration_s)
        self._is_stopping = True
        _, unfinished = await asyncio.wait(clients, timeout=CLIENT_SHUTDOWN_TIMEOUT_S)
        for client in unfinished:
            client.cancel()
        results = await asyncio.gather(*clients, injection, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        if unfinished:
            raise TimeoutError(f"{len(unfinished)} clients did not end in time")

    async def _stop(self) -> None:
        for sidecar in self._sidecars:
            sidecar.kill()
        for service in self._services:
            service.stop()
        for endpoint in self._endpoints:
            await endpoint.stop()
