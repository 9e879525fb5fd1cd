"""Injection of the scheduled faults of servers and discovery into the emulated fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugtally.testbed.emulator.endpoint_registry import READY, REMOVED
from lugtally.testbed.emulator.fleet import EmulatedFleet
from lugtally.testbed.emulator.server import EmulatedServer
from lugtally.testbed.scenario.fault_events import FaultEvent
from lugtally.testbed.scenario.scenario import LOAD_FAULTS, SIDECAR_PREFIX

FaultAction = Callable[[EmulatedServer, FaultEvent], None]


class FaultInjector:
    """Begins and ends the scheduled faults of the servers and of discovery.

    Faults of the load are included in the drawn arrivals, and the runner applies the faults of sidecars.
    """

    def __init__(self, fleet: EmulatedFleet) -> None:
        self._fleet = fleet
        self._server_actions: dict[str, FaultAction] = {
            "silent": self._silence,
            "neighbour": self._reduce_cpu_share,
            "shared-slow": self._slow_shared_resource,
            "errors": self._fail_responses,
            "reset": self._reset_connections,
            "spoilt": self._malform_responses,
            "slow-bytes": self._slow_responses,
            "refuse": self._refuse_connections,
            "never-up": self._block_connections,
            "vanish": self._disconnect_network,
            "drain": self._drain,
            "restart": self._restart,
            "replace": self._replace,
            "crash": self._crash,
            "join": self._join,
        }
        self._discovery_actions: dict[str, Callable[[FaultEvent], None]] = {
            "discovery-down": self._stop_discovery,
            "discovery-slow": self._slow_discovery,
        }

    def schedule_events(self, run_start: float) -> None:
        """Schedule the events of a run that begins ``run_start`` seconds after the base time."""
        for event in self._fleet.schedule.events:
            self._call_later(max(0.0, run_start + event.at - self._fleet.clock()), self._apply, event)

    def _apply(self, event: FaultEvent) -> None:
        kind = event.fault.kind
        if kind in LOAD_FAULTS or kind.startswith(SIDECAR_PREFIX):
            return
        if kind in self._discovery_actions:
            self._discovery_actions[kind](event)
            return
        for server_index in event.server_indices:
            self._server_actions[kind](self._fleet.servers[server_index], event)

    def _call_later(self, delay: float, callback: Callable[..., None], argument: object) -> None:
        asyncio.get_running_loop().call_later(delay, callback, argument)

    def _stop_discovery(self, event: FaultEvent) -> None:
        self._fleet.discovery.set_down(event.begins)

    def _slow_discovery(self, event: FaultEvent) -> None:
        self._fleet.discovery.extra_call_s = event.active_size

    def _silence(self, server: EmulatedServer, event: FaultEvent) -> None:
        with server.change_model() as model:
            model.silent = event.begins

    def _reduce_cpu_share(self, server: EmulatedServer, event: FaultEvent) -> None:
        with server.change_model() as model:
            model.neighbour_share = event.active_size

    def _slow_shared_resource(self, server: EmulatedServer, event: FaultEvent) -> None:
        with server.change_model() as model:
            model.slowdown = event.fault.size if event.begins else 1.0

    def _fail_responses(self, server: EmulatedServer, event: FaultEvent) -> None:
        server.faults.error_share = event.active_size

    def _reset_connections(self, server: EmulatedServer, event: FaultEvent) -> None:
        server.faults.reset_share = event.active_size

    def _malform_responses(self, server: EmulatedServer, event: FaultEvent) -> None:
        server.faults.malformed_share = event.active_size

    def _slow_responses(self, server: EmulatedServer, event: FaultEvent) -> None:
        server.faults.slow_response_s = event.active_size

    def _refuse_connections(self, server: EmulatedServer, event: FaultEvent) -> None:
        if event.begins:
            server.refuse_connections()
        elif server.running:
            server.accept_connections()

    def _block_connections(self, server: EmulatedServer, event: FaultEvent) -> None:
        if event.begins:
            server.block_connections()
        else:
            server.unblock_connections()

    def _disconnect_network(self, server: EmulatedServer, event: FaultEvent) -> None:
        if event.begins:
            server.disconnect_network()
            self._fleet.schedule_list_update(server, REMOVED, silent=True)
        else:
            server.reconnect_network()
            self._fleet.schedule_list_update(server, READY, silent=True)

    def _drain(self, server: EmulatedServer, event: FaultEvent) -> None:
        if event.begins:
            self._fleet.begin_drain(server)
            self._call_later(event.fault.takes_s, self._fleet.shut_down, server)

    def _restart(self, server: EmulatedServer, event: FaultEvent) -> None:
        self._drain(server, event)
        if event.begins:
            self._call_later(event.fault.takes_s + event.fault.size, self._fleet.start_cold, server)

    def _replace(self, server: EmulatedServer, event: FaultEvent) -> None:
        """Drain and remove a server, and start another one with a new name at its address."""
        self._drain(server, event)
        if event.begins:
            self._call_later(event.fault.takes_s + event.fault.size, self._fleet.replace, server)

    def _crash(self, server: EmulatedServer, event: FaultEvent) -> None:
        if event.begins:
            self._fleet.shut_down(server)
            self._call_later(event.fault.takes_s, self._fleet.start_cold, server)

    def _join(self, server: EmulatedServer, event: FaultEvent) -> None:
        if event.begins:
            self._fleet.start_cold(server)
