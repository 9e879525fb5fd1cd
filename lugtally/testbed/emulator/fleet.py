"""The emulated fleet: all servers of a run, and the discovery service that lists them."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.discovery import DiscoveryService
from lugtally.testbed.emulator.endpoint_registry import DRAINING, READY, REMOVED, EndpointEntry, EndpointRegistry
from lugtally.testbed.emulator.fleet_context import FleetContext, NetworkTimes
from lugtally.testbed.emulator.idempotency import IdempotencyStore
from lugtally.testbed.emulator.server import EmulatedServer
from lugtally.testbed.emulator.timer_lag import TimerLag
from lugtally.testbed.scenario.scenario import METHODS, Network, Scenario
from lugtally.testbed.scenario.schedule import Schedule, draw_machine, make_schedule
from lugtally.testbed.scenario.specification import ProcessSpecification, arrival_index_of, run_suffix
from lugtally.testbed.verification.event_log import EventLogWriter


class EmulatedFleet:
    """Starts, drains, stops and replaces the servers, and keeps the endpoint list up to date."""

    def __init__(self, specification: ProcessSpecification) -> None:
        self.schedule: Schedule = make_schedule(specification.scenario, specification.seed)
        self._specification = specification
        self._run_suffix = run_suffix(specification.seed)
        self._event_log = EventLogWriter(Path(specification.event_log_path))
        self._timer_lag = TimerLag("stand-ins")  # name of this process in the event log
        self._context = self._build_context()
        self.servers = {
            server_index: EmulatedServer(self._context, machine, server_index)
            for server_index, machine in enumerate(self.schedule.machines)
        }
        self._restarted_ms: dict[str, int] = {}  # milliseconds since the epoch, by server name
        self.discovery = self._build_discovery()

    def clock(self) -> float:
        """Return the seconds since the base time of the run."""
        return time.monotonic() - self._specification.base

    async def start(self) -> None:
        """Start the initial servers and the discovery service."""
        for server in self._initial_servers():
            server.start(cold=False)
        await self.discovery.start()

    def stop(self) -> None:
        """Stop all servers, record the timer lag and close the event log."""
        for server in self.servers.values():
            if server.running:
                server.stop()
        self._event_log.write(self._timer_lag.report())
        self._event_log.close()

    def sample_load(self) -> None:
        """Record the load of each server, and shut down those that have collapsed."""
        for server in self.servers.values():
            if server.running:
                server.update_model()
                server.record_load()
                if server.model.collapsed:
                    self.shut_down(server)
        self._event_log.flush()

    def start_cold(self, server: EmulatedServer) -> None:
        """Start a server that has to warm up, and list it as ready."""
        self._restarted_ms[server.name] = int(time.time() * 1000)
        server.start(cold=True)
        self.schedule_list_update(server, READY)

    def begin_drain(self, server: EmulatedServer) -> None:
        """Make a server reject new requests, and list it as draining."""
        with server.change_model() as model:
            model.draining = True
        self.schedule_list_update(server, DRAINING)

    def shut_down(self, server: EmulatedServer) -> None:
        """Stop a server and remove it from the list.  Does nothing if it is not running."""
        if server.running:
            server.stop()
            self.schedule_list_update(server, REMOVED)

    def replace(self, server: EmulatedServer) -> None:
        """Start a new server with another name at the index and address of this one."""
        specification = self._specification
        machine = draw_machine(specification.scenario, specification.seed, server.server_index, f"{server.name}x")
        self.servers[server.server_index] = replacement = EmulatedServer(self._context, machine, server.server_index)
        self.start_cold(replacement)

    def schedule_list_update(self, server: EmulatedServer, state: str, *, silent: bool = False) -> None:
        """Change a server's state in the list after the propagation delay.

        The delay is longer for a ``silent`` server, one that disappears without notice.
        """
        delay = self.schedule.silent_propagation_s if silent else self.schedule.propagation_s
        asyncio.get_running_loop().call_later(delay, self.discovery.update, self._list_entry(server, state))

    def _initial_servers(self) -> list[EmulatedServer]:
        return [self.servers[server_index] for server_index in range(self._specification.scenario.fleet.servers)]

    def _list_entry(self, server: EmulatedServer, state: str) -> EndpointEntry:
        cell = self._specification.scenario.fleet.zones.index(server.zone)
        return EndpointEntry(server.name, server.zone, cell, state, self._restarted_ms.get(server.name, 0))

    def _server_address(self, name: str, sidecar: int) -> str:
        """Return the address at which a sidecar reaches a server."""
        # A replaced server has no index any more.  Its last entry only removes it, so that any address is correct.
        server_index = next((server_index for server_index, server in self.servers.items() if server.name == name), 0)
        return f"{loopback.server_host(self._specification.loopback_block, server_index, sidecar)}:{loopback.PORT}"

    def _work_of(self, request_id: str) -> float | None:
        """Return the work of a request in core-seconds, None if no client sends a request with this id."""
        arrival_index = arrival_index_of(request_id, self._run_suffix)
        try:
            return None if arrival_index is None else self.schedule.arrivals[arrival_index].work
        except IndexError:
            return None

    def _build_discovery(self) -> DiscoveryService:
        scenario = self._specification.scenario
        hosts = [
            loopback.discovery_host(self._specification.loopback_block, sidecar)
            for sidecar in range(scenario.fleet.sidecars)
        ]
        registry = EndpointRegistry([self._list_entry(server, READY) for server in self._initial_servers()])
        return DiscoveryService(
            hosts, registry, self.clock, self._event_log.write, self._server_address, scenario.discovery
        )

    def _build_context(self) -> FleetContext:
        scenario = self._specification.scenario
        return FleetContext(
            seed=self._specification.seed,
            loopback_block=self._specification.loopback_block,
            clock=self.clock,
            record=self._event_log.write,
            timer_lag=self._timer_lag,
            work_of=self._work_of,
            methods={request_class.name: METHODS[request_class.effect] for request_class in scenario.classes},
            sidecar_zones=self.schedule.sidecar_zones,
            network=_network_times(scenario.network),
            attempt_noise=scenario.fleet.attempt_noise,
            health_check_work=scenario.network.health_check_ms / 1000,
            error_rate=scenario.fleet.error_rate,
            idempotency=_idempotency_store(scenario),
        )


def _network_times(network: Network) -> NetworkTimes:
    return NetworkTimes(
        same_zone_s=network.same_zone_ms / 1000,
        cross_zone_s=network.cross_zone_ms / 1000,
        handshake_round_trips=network.handshake_round_trips,
        idle_timeout_s=network.idle_timeout_s,
    )


def _idempotency_store(scenario: Scenario) -> IdempotencyStore:
    keyed = [request_class for request_class in scenario.classes if request_class.effect == "keyed"]
    return IdempotencyStore(
        {request_class.name: request_class.deduplication_window_ms / 1000 for request_class in keyed},
        frozenset(request_class.name for request_class in keyed if request_class.deduplication_scope == "all"),
    )
