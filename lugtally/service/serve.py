"""Builds the sidecar from its configuration, runs it, and answers signals."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from loguru import logger

from lugtally import __version__, api, logs
from lugtally.config import sidecar as config
from lugtally.config.server_list import number_of
from lugtally.control.drains import BanFile
from lugtally.control.listener import Listener
from lugtally.facade import Decisions, Facade
from lugtally.hub.scheduler import MS, READ, Hub
from lugtally.net.destination import Destinations, Limits, answer_limit, idle_limit, shares
from lugtally.net.front import Front
from lugtally.net.server_list import MOST_PAUSE_NS, ListWatch
from lugtally.overload.gate import MOST_ADVICE_NS, Bounds, Gate
from lugtally.overload.probe import Probe, Told
from lugtally.service.control import Control, ControlError

if TYPE_CHECKING:
    from lugtally.config.operator import Overload

RETIRE_EVERY_NS = 1000 * MS
BANS_EVERY_NS = 250 * MS  # how soon a ban called at another process of the same name binds this one
LATE_NS = 50 * MS
READ_EVERY_NS = 250 * MS


def serve(
    told: config.Config,
    level: str,
    form: logs.Format = "text",
    *,
    overload: Bounds | None = None,
    control: str = "",
    decisions: Decisions | None = None,
) -> int:
    """Run the sidecar until it is told to stop; returns the exit status.

    ``overload`` has it refuse by worth before it falls behind itself; without, all is let in that the module lets in.
    ``control`` is the path of a Unix socket for ``lugtally status``.
    ``decisions`` makes what decides in the place of the shipped module: for comparisons by the rehearsal kit alone.
    """
    logs.start(level, form)
    hub = Hub()
    # Whatever the settings allow, the module's pauses after a failed call must leave a change's term time enough.
    settings = replace(told.settings, ask_within_ns=min(told.settings.ask_within_ns or MOST_PAUSE_NS, MOST_PAUSE_NS))
    facade = Facade(settings, told.seed, hub, decisions)
    most_fronts, most_links = shares(told.sockets)
    limits = Limits(told.connect_timeout_ns, idle_limit(told.keepalive_ns), most_links, answer_limit(told.memory_mb))
    fields = told.settings.load_fields if told.answers_report else ()
    destinations = Destinations(hub, limits, fields)
    pool = ListWatch(hub, facade, destinations, told.discovery, told.zones)
    facade.register(destinations.close_idle, pool.watch)
    front = Front(hub, facade, destinations, told.settings.classes, most_fronts, told.settings.tenants)
    gate: Gate | None = None
    if overload is not None:
        try:
            gate = Gate(told.settings.classes, overload, told.seed, hub.now())
        except ValueError as error:
            print(f"lugtally: operator file: overload.refuse_first: {error}", file=sys.stderr)
            return 2
        facade.guard(gate)
        probe = Probe(Told(told.cores, told.memory_mb << 20, told.sockets), lambda: front.open + destinations.open)
        hub.spawn(_watch_self, hub, gate, probe)
    started = hub.now()

    def snapshot() -> dict[str, Any]:
        return {
            "sidecar": told.name,
            "version": __version__,
            "ready": front.ready,
            "draining": front.draining,
            "up_s": (hub.now() - started) / 1e9,
            "front_sockets": front.open,
            "connections": destinations.open,
            "destinations": pool.usable,
            "requests": facade.counted(),
            "overload": gate and gate.shown(),
        }

    told_by = None
    desk = _Desk(facade, front, BanFile(tempfile.gettempdir(), told.name))
    desk.reread()
    operators: Listener | None = None
    try:
        if control:
            told_by = Control(hub, control, snapshot)
        if told.operators is not None:
            try:
                operators = Listener(hub, told.operators, desk)
            except OSError as error:
                print(f"lugtally: operator: {told.operators[0]}:{told.operators[1]}: {error.strerror}", file=sys.stderr)
                return 1
        if told.inherited is None:
            front.listen(told.listen)
        else:
            front.adopt(told.inherited)
    except ValueError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    except ControlError as error:
        print(f"lugtally: operator file: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"lugtally: listen: {told.listen[0]}:{told.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    _on_signals(hub, {signal.SIGTERM: front.drain, signal.SIGINT: front.drain, signal.SIGHUP: lambda: _reread(pool)})
    hub.spawn(pool.start, told.known)
    hub.spawn(_keep_house, hub, destinations, pool, front)
    hub.spawn(_follow_bans, hub, desk)
    # What lives from the start is never garbage: collections then stay short.
    gc.collect()
    gc.freeze()
    logger.info(
        "{sidecar} serves at {host}:{port}",
        event="sidecar.serving",
        sidecar=told.name,
        host=told.listen[0],
        port=told.listen[1],
    )
    hub.run(facade.tick)
    if told_by is not None:
        told_by.close()
    if operators is not None:
        operators.close()
    logger.info("{sidecar} has stopped", event="sidecar.stopped", sidecar=told.name)
    return 0


class _Desk:
    """What the operators' calls read and change: readiness, the counters, and the drains by hand."""

    def __init__(self, facade: Facade, front: Front, file: BanFile) -> None:
        self._facade = facade
        self._front = front
        self._file = file
        self._banned: set[str] = set()

    def ready(self) -> bool:
        return self._front.ready and not self._front.draining

    def figures(self) -> dict[str, object]:
        facade = self._facade
        return facade.counters.figures(facade.in_progress, facade.targets, facade.disabled())

    def offline(self, server: str) -> bool:
        if server not in self._banned:
            if not self._facade.listed(number_of(server)):
                return False
            self._banned.add(server)
            self._facade.ban(number_of(server))
            logger.warning("pledge server {server} is drained by hand", event="drains.offline", server=server)
        self._file.write(self._banned)
        return True

    def online(self, server: str) -> bool:
        if server not in self._banned:
            return self._facade.listed(number_of(server))
        self._banned.discard(server)
        self._facade.unban(number_of(server))
        logger.warning("pledge server {server} is back from a drain by hand", event="drains.online", server=server)
        self._file.write(self._banned)
        return True

    def reread(self) -> None:
        """Take over the bans that another process of this name wrote, as a process replacement has two."""
        told = self._file.read()
        if told is None:
            return
        for server in told - self._banned:
            self._facade.ban(number_of(server))
        for server in self._banned - told:
            self._facade.unban(number_of(server))
        if told != self._banned:
            logger.info("drains by hand taken from the file: {banned}", event="drains.read", banned=sorted(told))
        self._banned = told


def _follow_bans(hub: Hub, desk: _Desk) -> None:
    while True:
        hub.sleep(BANS_EVERY_NS)
        desk.reread()


def guard_of(own: Overload, settings: api.Settings) -> Bounds | None:
    """The operator's words on own overload in the units of the gate; none where it is off."""
    if not own.enabled:
        return None
    advice = min(settings.max_advice_ns, MOST_ADVICE_NS) if settings.advice else 0
    return Bounds(
        target_ns=int(own.target_ms * MS),
        memory=own.memory,
        descriptors=own.descriptors,
        first=own.refuse_first,
        advice_ns=advice,
    )


def _keep_house(hub: Hub, destinations: Destinations, pool: ListWatch, front: Front) -> None:
    """Retire idle connections; be ready once there is somewhere to send to."""
    while True:
        front.ready = front.ready or pool.usable > 0
        hub.sleep(RETIRE_EVERY_NS if front.ready else 10 * MS)
        destinations.retire()
        if hub.latest_ns > LATE_NS:
            # The machine or a collection held the process up: look here before blaming a decision.
            logger.warning("timers ran {late_ms:.0f} ms late", event="sidecar.late", late_ms=hub.latest_ns / MS)
        hub.latest_ns = 0


def _watch_self(hub: Hub, gate: Gate, probe: Probe) -> None:
    """Read the machine now and then; say when refusing begins and ends, with what was seen."""
    refusing = False
    while True:
        hub.sleep(READ_EVERY_NS)
        gate.read(probe.read())
        gate.idle(hub.now())
        reading = gate.meter.reading
        if refusing != gate.refusing:
            refusing = gate.refusing
            logger.warning(
                "{what} for own overload: {refused:.0%} of the requests, delay {delay_ms:.1f} ms, "
                "{cpu:.0%} of the cores, {memory:.0%} of the memory, {descriptors:.0%} of the descriptors",
                event="overload.refusing",
                what="refusing" if refusing else "no longer refusing",
                begun=refusing,
                refused=gate.cut,
                delay_ms=gate.meter.delay_ns / MS,
                cpu=reading.cpu_share,
                memory=reading.memory_share,
                descriptors=reading.descriptors_share,
            )


def _reread(pool: ListWatch) -> None:
    """SIGHUP: move the watch where the configuration now says.  All else in it holds from the next start."""
    try:
        told = config.load(os.environ, again=True)
    except config.ConfigError as error:
        # A slip in the file must not end the service: all goes on as it was told before.
        logger.error("the new configuration is not used: {why}", event="config.refused", why=str(error))
        return
    logger.info(
        "told to read the configuration again: discovery at {host}:{port}",
        event="config.reread",
        host=told.discovery[0],
        port=told.discovery[1],
    )
    pool.move(told.discovery)


def _on_signals(hub: Hub, handlers: dict[signal.Signals, Callable[[], None]]) -> None:
    """Signals wake the poll through a socket, as a blocked poll would go on after a handler."""
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in handlers:
        signal.signal(number, lambda *_: None)

    def told(_: int) -> None:
        writer.fileno()  # keeps the other end alive
        for number in dict.fromkeys(reader.recv(64)):
            handlers[signal.Signals(number)]()

    hub.watch(reader.fileno(), READ, told)
