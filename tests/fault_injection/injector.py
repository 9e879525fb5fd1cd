"""Injects scheduled faults into sidecars, endpoints and discovery services."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

from lugtally.units import NS_PER_S
from tests.fault_injection.behaviour import TimedFault
from tests.fault_injection.clock import now_ns
from tests.fault_injection.discovery import DRAINING, READY, REMOVED, DiscoveryService, EndpointCatalog
from tests.fault_injection.endpoint import Endpoint
from tests.fault_injection.faults import ScheduledFault
from tests.fault_injection.records import InjectedFault, RunRecords, SidecarKill, SidecarStop
from tests.fault_injection.sidecar_process import SidecarProcess

TERMINATION_GRACE_S = 3.7
"""The time from SIGTERM to SIGKILL: 0.7 s longer than the longest ``X-Time-Left`` that clients send."""
RELOADS_PER_FAULT = 3
RELOAD_GAP_S = 0.15
STARVE_PERIOD_S = 0.1
STARVE_STOPPED_S = 0.06
HALF_REQUEST = b"GET /campaign-read HTTP/1.1\r\nHost: x\r\n"
REMOVED_PERIOD_S = 0.2
SIGNAL_SERIES = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
SIGNAL_GAP_S = 0.05
MANY_DESCRIPTORS = 1024
MANY_CLIENTS_FACTOR = 4
"""With this many descriptors or more, a buffer flood has this many times the connections."""
_INCOMPLETE_HEAD = b"POST /receipt-issue HTTP/1.1\r\nHost: x\r\n"
_MANY_FIELDS = b"".join(b"%x: b\r\n" % number for number in range(1800))
BUFFERED_DATA = (
    _INCOMPLETE_HEAD + b"X-Correlation-Id: flood\r\nContent-Length: 60000\r\n\r\n" + b"b" * 55_000,
    _INCOMPLETE_HEAD + _MANY_FIELDS + b"Content-Length: 60000\r\n\r\n" + b"b" * 30_000,
    _INCOMPLETE_HEAD + _MANY_FIELDS[:800] + b"Content-Length: 60000\r\n\r\n" + b"b" * 30_000,
    _INCOMPLETE_HEAD + b"X: " + b"x" * 15_000,
)
"""What each client of a buffer flood sends: incomplete requests, by kind."""


@dataclass(slots=True)
class FaultTargets:
    """The processes and services into which faults are injected."""

    sidecars: list[SidecarProcess]
    endpoints: list[Endpoint]
    catalog: EndpointCatalog
    services: list[DiscoveryService]
    service_addresses: list[str]


class FaultInjector:
    """Injects the faults of one schedule and records them."""

    def __init__(self, targets: FaultTargets, records: RunRecords) -> None:
        self._targets = targets
        self._records = records
        self._reserved_sidecars: set[int] = set()
        self._reserved_endpoints: set[str] = set()
        self._handlers: dict[TimedFault, Callable[[ScheduledFault], Awaitable[None]]] = {
            TimedFault.STOP: self._stop_sidecar,
            TimedFault.TERMINATE: self._terminate_sidecar,
            TimedFault.KILL: self._kill_sidecar,
            TimedFault.RELOAD: self._reload_sidecars,
            TimedFault.DRAIN: self._drain_endpoint,
            TimedFault.ENDPOINT_KILL: self._kill_endpoint,
            TimedFault.DISCOVERY_RESET: self._reset_discovery,
            TimedFault.DISCOVERY_SILENCE: self._silence_discovery,
            TimedFault.SLOW_CONNECT: self._slow_connect,
            TimedFault.STARVE: self._starve_sidecar,
            TimedFault.IDLE_FLOOD: self._flood_sidecar,
            TimedFault.BUFFER_FLOOD: self._overload_buffers,
            TimedFault.SIGNAL_SERIES: self._signal_sidecar,
        }

    async def run_schedule(self, schedule: list[ScheduledFault]) -> None:
        """Inject each fault at its time; return when the last one has ended."""
        started_ns = now_ns()
        async with asyncio.TaskGroup() as faults:
            for fault in schedule:
                await asyncio.sleep(max(0.0, fault.at_s - (now_ns() - started_ns) / NS_PER_S))
                faults.create_task(self._inject(fault))

    async def _inject(self, fault: ScheduledFault) -> None:
        await self._handlers[fault.fault](fault)

    def _record(self, text: str, sidecar: SidecarProcess | None = None) -> None:
        number = None if sidecar is None else sidecar.number
        self._records.faults.append(InjectedFault(now_ns(), text, number))

    # ------------------------------------------------------------ sidecars

    @contextlib.contextmanager
    def _reserve_sidecar(self, fault: ScheduledFault) -> Iterator[SidecarProcess | None]:
        """Reserve the sidecar of a fault and yield it; yield ``None`` if another fault has reserved it."""
        sidecar = self._targets.sidecars[fault.target % len(self._targets.sidecars)]
        if sidecar.number in self._reserved_sidecars:
            yield None
            return
        self._reserved_sidecars.add(sidecar.number)
        try:
            yield sidecar
        finally:
            self._reserved_sidecars.discard(sidecar.number)

    async def _stop_sidecar(self, fault: ScheduledFault) -> None:
        with self._reserve_sidecar(fault) as sidecar:
            if sidecar is not None:
                self._record(f"SIGSTOP sidecar {sidecar.number} for {fault.duration_s} s", sidecar)
                await self._pause(sidecar, fault.duration_s)
                self._record(f"SIGCONT sidecar {sidecar.number}", sidecar)

    async def _pause(self, sidecar: SidecarProcess, duration_s: float) -> None:
        """Stop a sidecar with SIGSTOP for the duration, and record the actual interval."""
        started_ns = now_ns()
        stop = SidecarStop(started_ns, started_ns + int(duration_s * NS_PER_S), sidecar.number)
        sidecar.send_signal(signal.SIGSTOP)
        self._records.stops.append(stop)
        try:
            await asyncio.sleep(duration_s)
        finally:
            sidecar.send_signal(signal.SIGCONT)
            stop.end_ns = now_ns()

    async def _starve_sidecar(self, fault: ScheduledFault) -> None:
        """Stop a sidecar for most of each period, like a process that gets too little CPU time."""
        with self._reserve_sidecar(fault) as sidecar:
            if sidecar is None:
                return
            self._record(f"starve sidecar {sidecar.number} for {fault.duration_s} s", sidecar)
            for _ in range(int(fault.duration_s / STARVE_PERIOD_S)):
                await self._pause(sidecar, STARVE_STOPPED_S)
                await asyncio.sleep(STARVE_PERIOD_S - STARVE_STOPPED_S)

    async def _terminate_sidecar(self, fault: ScheduledFault) -> None:
        """Shut a sidecar down, kill it if it still runs after the grace period, and start it again."""
        with self._reserve_sidecar(fault) as sidecar:
            if sidecar is None:
                return
            self._record(f"SIGTERM sidecar {sidecar.number}", sidecar)
            sidecar.send_signal(signal.SIGTERM)
            await self._kill_at_grace_end(sidecar, TERMINATION_GRACE_S)

    async def _kill_at_grace_end(self, sidecar: SidecarProcess, remaining_s: float) -> None:
        """Kill a sidecar that still runs after the rest of its grace period, and start it again."""
        exited = await sidecar.wait_for_exit(remaining_s)
        self._record(f"sidecar {sidecar.number} {'has exited' if exited else 'still runs: SIGKILL'}", sidecar)
        if not exited:
            self._records.kills.append(SidecarKill(sidecar.number, now_ns(), follows_sigterm=True))
        await self._restart_sidecar(sidecar)

    async def _kill_sidecar(self, fault: ScheduledFault) -> None:
        with self._reserve_sidecar(fault) as sidecar:
            if sidecar is None:
                return
            self._record(f"SIGKILL sidecar {sidecar.number}", sidecar)
            self._records.kills.append(SidecarKill(sidecar.number, now_ns()))
            await self._restart_sidecar(sidecar)

    async def _restart_sidecar(self, sidecar: SidecarProcess) -> None:
        sidecar.kill()
        await sidecar.start()
        self._record(f"sidecar {sidecar.number} is ready again", sidecar)

    async def _signal_sidecar(self, fault: ScheduledFault) -> None:
        """Send signals in quick succession, kill the sidecar at the earliest time, and start it again."""
        with self._reserve_sidecar(fault) as sidecar:
            if sidecar is None:
                return
            self._record(f"a series of signals to sidecar {sidecar.number}", sidecar)
            terminated_ns = 0
            for number in SIGNAL_SERIES:
                if number is signal.SIGTERM:
                    terminated_ns = terminated_ns or now_ns()
                sidecar.send_signal(number)
                await asyncio.sleep(SIGNAL_GAP_S)
            remaining_s = TERMINATION_GRACE_S - (now_ns() - terminated_ns) / NS_PER_S
            await self._kill_at_grace_end(sidecar, remaining_s)

    async def _reload_sidecars(self, fault: ScheduledFault) -> None:
        """Reload the sidecars several times, each time with another discovery service."""
        targets = self._targets
        self._record("SIGHUP to all sidecars, several times")
        for reload_number in range(RELOADS_PER_FAULT):
            for sidecar in targets.sidecars:
                if sidecar.is_running and sidecar.number not in self._reserved_sidecars:
                    service = (fault.target + reload_number) % len(targets.service_addresses)
                    sidecar.reload(targets.service_addresses[service])
            await asyncio.sleep(RELOAD_GAP_S)

    async def _overload_buffers(self, fault: ScheduledFault) -> None:
        """Open connections that make the sidecar buffer as much as possible, and close them after the duration."""
        sidecar = self._targets.sidecars[fault.target % len(self._targets.sidecars)]
        count = fault.connection_count * (MANY_CLIENTS_FACTOR if sidecar.max_descriptors >= MANY_DESCRIPTORS else 1)
        kind = fault.target // len(self._targets.sidecars) % len(BUFFERED_DATA)
        self._record(f"{count} connections with incomplete requests, kind {kind}, to sidecar {sidecar.number}", sidecar)
        sockets = []
        for _ in range(count):
            sock = await self._open_connection(sidecar, sends_half=False)
            sockets.append(sock)
            await asyncio.sleep(0)
            with contextlib.suppress(OSError):
                sock.send(BUFFERED_DATA[kind])
        await asyncio.sleep(fault.duration_s)
        for sock in sockets:
            sock.close()

    async def _flood_sidecar(self, fault: ScheduledFault) -> None:
        """Open connections that send nothing, or half a request each, and close them after the duration."""
        sidecar = self._targets.sidecars[fault.target % len(self._targets.sidecars)]
        sends_half = fault.connection_count % 2 == 1
        kind = "connections with half a request" if sends_half else "idle connections"
        self._record(f"{fault.connection_count} {kind} to sidecar {sidecar.number} for {fault.duration_s} s", sidecar)
        sockets = [await self._open_connection(sidecar, sends_half) for _ in range(fault.connection_count)]
        await asyncio.sleep(fault.duration_s)
        for sock in sockets:
            sock.close()

    @staticmethod
    async def _open_connection(sidecar: SidecarProcess, sends_half: bool) -> socket.socket:
        """Start to connect without waiting for the result; send half a request if the connection is established."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(sidecar.address)
        if sends_half:
            await asyncio.sleep(0)
            with contextlib.suppress(OSError):
                sock.send(HALF_REQUEST)
        return sock

    # ------------------------------------------------------------ endpoints

    @contextlib.contextmanager
    def _reserve_endpoint(self, fault: ScheduledFault) -> Iterator[Endpoint | None]:
        """Reserve the endpoint of a fault and yield it; yield ``None`` if it or half of the endpoints are reserved."""
        endpoints = self._targets.endpoints
        endpoint = endpoints[fault.target % len(endpoints)]
        if endpoint.name in self._reserved_endpoints or len(self._reserved_endpoints) >= len(endpoints) // 2:
            yield None
            return
        self._reserved_endpoints.add(endpoint.name)
        try:
            yield endpoint
        finally:
            self._reserved_endpoints.discard(endpoint.name)

    async def _drain_endpoint(self, fault: ScheduledFault) -> None:
        """List an endpoint as draining, then as removed, then as newly started."""
        with self._reserve_endpoint(fault) as endpoint:
            if endpoint is None:
                return
            self._record(f"{endpoint.name} is listed as draining")
            self._targets.catalog.set_state(endpoint, DRAINING)
            await asyncio.sleep(fault.duration_s)
            self._targets.catalog.set_state(endpoint, REMOVED)
            await asyncio.sleep(REMOVED_PERIOD_S)
            self._record(f"{endpoint.name} is listed as newly started")
            self._targets.catalog.set_state(endpoint, READY, started_now=True)

    async def _kill_endpoint(self, fault: ScheduledFault) -> None:
        with self._reserve_endpoint(fault) as endpoint:
            if endpoint is None:
                return
            self._record(f"{endpoint.name} is killed")
            await endpoint.stop()
            await asyncio.sleep(fault.duration_s)
            endpoint.restart()
            self._targets.catalog.set_state(endpoint, READY, started_now=True)
            self._record(f"{endpoint.name} listens again")

    async def _slow_connect(self, fault: ScheduledFault) -> None:
        endpoint = self._targets.endpoints[fault.target % len(self._targets.endpoints)]
        self._record(f"{endpoint.name} accepts no connection for {fault.duration_s} s")
        endpoint.delay_accepts(fault.duration_s)

    # ------------------------------------------------------------ discovery

    async def _reset_discovery(self, fault: ScheduledFault) -> None:
        self._record("the discovery services reset their connections")
        for service in self._targets.services:
            service.reset_connections()

    async def _silence_discovery(self, fault: ScheduledFault) -> None:
        self._record(f"the discovery services answer no call for {fault.duration_s} s")
        for service in self._targets.services:
            service.pause_answers(fault.duration_s)
