"""The process of the stand-ins: pledge servers, server list and the troubles' script.

It is started with the path of a specification and told ``go SECONDS`` and ``stop`` on standard input; when that ends,
it ends.  Its clock counts seconds from the base in the specification, on the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

import uvloop

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.discovery import ServerList
from lugtally.testbed.emulator.endpoint_registry import Catalog, Row
from lugtally.testbed.emulator.server import Host, Shared
from lugtally.testbed.emulator.timer_lag import TimerLag
from lugtally.testbed.scenario import schedule
from lugtally.testbed.scenario.scenario import METHODS
from lugtally.testbed.scenario.schedule import Event, Schedule
from lugtally.testbed.scenario.specification import ProcessSpecification, read_specification, run_digits, serial_of
from lugtally.testbed.verification.event_log import EventLogWriter

LOOK_S = 0.25


class World:
    """All stand-ins of a run, and what happens to them."""

    def __init__(self, told: ProcessSpecification) -> None:
        self.schedule: Schedule = schedule.make(told.scenario, told.seed)
        self.told = told
        scenario = told.scenario
        self.event_log = EventLogWriter(Path(told.event_log_path))
        self.timer_lag = TimerLag("stand-ins")
        run = run_digits(told.seed)
        arrivals = self.schedule.arrivals

        def known(id: str) -> float | None:
            serial = serial_of(id, run)
            try:
                return None if serial is None else arrivals[serial].work
            except IndexError:
                return None

        keyed = [cls for cls in scenario.classes if cls.effect == "keyed"]
        network = scenario.network
        self.shared = Shared(
            told.seed,
            told.loopback_block,
            self.clock,
            self.event_log.write,
            self.timer_lag,
            known,
            {cls.name: METHODS[cls.effect] for cls in scenario.classes},
            self.schedule.sidecar_zones,
            network.same_zone_ms / 1000,
            network.cross_zone_ms / 1000,
            network.handshake_trips,
            scenario.fleet.attempt_noise,
            network.probe_ms / 1000,
            scenario.fleet.error_rate,
            network.idle_s,
            key_ttl={cls.name: cls.key_ttl_ms / 1000 for cls in keyed},
            key_wide=frozenset(cls.name for cls in keyed if cls.key_scope == "all"),
        )
        self.hosts = {
            at: Host(self.shared, machine, at, cold=False) for at, machine in enumerate(self.schedule.machines)
        }
        self.started_ms: dict[str, int] = {}
        self.list: ServerList | None = None
        self._stopped = asyncio.Event()

    def clock(self) -> float:
        """Seconds since the base."""
        return time.monotonic() - self.told.base

    def address(self, id: str, sidecar: int) -> str:
        """Where a sidecar finds a server."""
        for place, host in self.hosts.items():
            if host.machine.id == id:
                return f"{loopback.server(self.told.loopback_block, place, sidecar)}:{loopback.PORT}"
        # One that was replaced: its row is about its end, the address no longer matters.
        return f"{loopback.server(self.told.loopback_block, 0, sidecar)}:{loopback.PORT}"

    def row(self, host: Host, state: str) -> Row:
        """A server's line of the list."""
        zones = self.told.scenario.fleet.zones
        return Row(
            host.machine.id,
            host.machine.zone,
            zones.index(host.machine.zone),
            state,
            self.started_ms.get(host.machine.id, 0),
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        scenario = self.told.scenario
        first = [self.hosts[at] for at in range(scenario.fleet.servers)]
        for host in first:
            host.start(cold=False)
        discovery = scenario.discovery
        self.list = ServerList(
            self.told.loopback_block,
            scenario.fleet.sidecars,
            Catalog([self.row(host, "ready") for host in first]),
            self.clock,
            self.event_log.write,
            self.address,
            at_once=discovery.calls_at_once,
            call_s=discovery.call_ms / 1000,
            wait_most_s=discovery.wait_most_s,
        )
        await self.list.start()
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        print("ready", flush=True)
        looker = loop.create_task(self._look())
        while line := (await reader.readline()).decode().split():
            if line[0] == "go":
                self._script(float(line[1]))
            elif line[0] == "stop":
                break
        looker.cancel()
        for host in self.hosts.values():
            if host.running:
                host.stop()
        self.event_log.write(self.timer_lag.report())
        self.event_log.close()

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            for host in self.hosts.values():
                if host.running:
                    host.changed()
                    host.look()
                    if host.model.fallen:
                        # It stays down; the list learns so as of any process that has ended.
                        host.stop()
                        self._list_later(host, "gone")
            self.event_log.flush()

    # ------------------------------------------------------------ the script

    def _script(self, start: float) -> None:
        loop = asyncio.get_running_loop()
        for event in self.schedule.events:
            loop.call_later(max(0.0, start + event.at - self.clock()), self._happen, event)

    def _happen(self, event: Event) -> None:
        kind = event.trouble.kind.replace("-", "_")
        if kind.startswith("discovery"):
            assert self.list is not None
            if kind == "discovery_down":
                self.list.fail(event.begins)
            else:
                self.list.slow = event.trouble.size if event.begins else 0.0
            return
        if kind == "burst" or kind.startswith("sidecar"):
            return  # the load tool's and the runner's
        act: Callable[[Host, Event], None] = getattr(self, f"_{kind}")
        for place in event.servers:
            act(self.hosts[place], event)

    def _list_later(self, host: Host, state: str, *, silent: bool = False) -> None:
        """The list shows a change only after a while; the order of changes stays."""
        row = self.row(host, state)
        wait = self.schedule.silent_notice if silent else self.schedule.notice
        assert self.list is not None
        asyncio.get_running_loop().call_later(wait, self.list.put, row)

    def _silent(self, host: Host, event: Event) -> None:
        host.advance()
        host.model.silent = event.begins
        host.changed()

    def _neighbour(self, host: Host, event: Event) -> None:
        host.advance()
        host.model.taken_away = event.trouble.size if event.begins else 0.0
        host.changed()

    def _shared_slow(self, host: Host, event: Event) -> None:
        host.advance()
        host.model.slower = event.trouble.size if event.begins else 1.0
        host.changed()

    def _errors(self, host: Host, event: Event) -> None:
        host.faults.errors = event.trouble.size if event.begins else 0.0

    def _reset(self, host: Host, event: Event) -> None:
        host.faults.reset = event.trouble.size if event.begins else 0.0

    def _spoilt(self, host: Host, event: Event) -> None:
        host.faults.spoilt = event.trouble.size if event.begins else 0.0

    def _slow_bytes(self, host: Host, event: Event) -> None:
        host.faults.slow_s = event.trouble.size if event.begins else 0.0

    def _refuse(self, host: Host, event: Event) -> None:
        if event.begins:
            host.unlisten()
        elif host.running:
            host.listen()

    def _never_up(self, host: Host, event: Event) -> None:
        if event.begins:
            host.block_up()
        else:
            host.unblock()

    def _vanish(self, host: Host, event: Event) -> None:
        if event.begins:
            host.cut()
            self._list_later(host, "gone", silent=True)
        else:
            host.mend()
            self._list_later(host, "ready", silent=True)

    def _drain(self, host: Host, event: Event) -> None:
        if event.begins:
            self._begin_drain(host)
            asyncio.get_running_loop().call_later(event.trouble.takes_s, self._leave, host)

    def _begin_drain(self, host: Host) -> None:
        host.advance()
        host.model.draining = True
        host.changed()
        self._list_later(host, "draining")

    def _leave(self, host: Host) -> None:
        if host.running:
            host.stop()
            self._list_later(host, "gone")

    def _restart(self, host: Host, event: Event) -> None:
        if event.begins:
            self._begin_drain(host)
            loop = asyncio.get_running_loop()
            loop.call_later(event.trouble.takes_s, self._leave, host)
            loop.call_later(event.trouble.takes_s + event.trouble.size, self._boot, host)

    def _crash(self, host: Host, event: Event) -> None:
        if event.begins:
            self._leave(host)
            asyncio.get_running_loop().call_later(event.trouble.takes_s, self._boot, host)

    def _boot(self, host: Host) -> None:
        self.started_ms[host.machine.id] = int(time.time() * 1000)
        host.start(cold=True)
        self._list_later(host, "ready")

    def _replace(self, host: Host, event: Event) -> None:
        """Drained, gone, and another machine at its address under a new id."""
        if not event.begins:
            return
        self._begin_drain(host)
        loop = asyncio.get_running_loop()
        loop.call_later(event.trouble.takes_s, self._leave, host)

        def successor() -> None:
            machine = schedule.machine(self.told.scenario, self.told.seed, host.place, f"{host.machine.id}x")
            self.hosts[host.place] = new = Host(self.shared, machine, host.place, cold=True)
            self._boot(new)

        loop.call_later(event.trouble.takes_s + event.trouble.size, successor)

    def _join(self, host: Host, event: Event) -> None:
        if event.begins:
            self._boot(host)


async def _main(path: str) -> None:
    await World(read_specification(path)).run()


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1]))
