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

from lugtally import __version__, balancing, logs
from lugtally.admin.drain_store import DrainStore
from lugtally.admin.server import AdminServer
from lugtally.config import sidecar as config
from lugtally.config.endpoint_list import endpoint_id_of
from lugtally.daemon.status_socket import StatusSocket, StatusSocketError
from lugtally.discovery.watcher import MAX_BACKOFF_NS, EndpointWatcher
from lugtally.dispatch import BalancingPolicyFactory, Dispatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import READABLE, EventLoop
from lugtally.overload.admission import MOST_ADVICE_NS, AdmissionController, OverloadLimits
from lugtally.overload.resource_monitor import ResourceLimits, ResourceMonitor
from lugtally.units import NS_PER_MS
from lugtally.upstream.pool import (
    ConnectionLimits,
    UpstreamPool,
    max_response_body_bytes,
    safe_idle_timeout_ns,
    split_descriptors,
)

if TYPE_CHECKING:
    from lugtally.config.operator import Overload

RETIRE_EVERY_NS = 1000 * NS_PER_MS
BANS_EVERY_NS = 250 * NS_PER_MS  # how soon a ban called at another process of the same name binds this one
LATE_NS = 50 * NS_PER_MS
READ_EVERY_NS = 250 * NS_PER_MS


def serve(
    told: config.SidecarConfig,
    level: str,
    form: logs.Format = "text",
    *,
    overload: OverloadLimits | None = None,
    control: str = "",
    decisions: BalancingPolicyFactory | None = None,
) -> int:
    """Run the sidecar until it is told to stop; returns the exit status.

    ``overload`` has it refuse by worth before it falls behind itself; without, all is let in that the module lets in.
    ``control`` is the path of a Unix socket for ``lugtally status``.
    ``decisions`` makes what decides in the place of the shipped module: for comparisons by the rehearsal kit alone.
    """
    logs.start(level, form)
    loop = EventLoop()
    # Whatever the settings allow, the module's pauses after a failed call must leave a change's term time enough.
    settings = replace(
        told.settings, max_poll_interval_ns=min(told.settings.max_poll_interval_ns or MAX_BACKOFF_NS, MAX_BACKOFF_NS)
    )
    dispatcher = Dispatcher(settings, told.seed, loop, decisions)
    most_fronts, most_links = split_descriptors(told.sockets)
    limits = ConnectionLimits(
        told.connect_timeout_ns,
        safe_idle_timeout_ns(told.keepalive_ns),
        most_links,
        max_response_body_bytes(told.memory_mb),
    )
    fields = told.settings.load_report_fields if told.answers_report else ()
    upstream = UpstreamPool(loop, limits, fields)
    pool = EndpointWatcher(loop, dispatcher, upstream, told.discovery, told.zones)
    dispatcher.set_handlers(upstream.close_idle_connections, pool.watch)
    downstream = DownstreamServer(loop, dispatcher, upstream, told.settings.classes, most_fronts, told.settings.tenants)
    admission: AdmissionController | None = None
    if overload is not None:
        try:
            admission = AdmissionController(told.settings.classes, overload, told.seed, loop.now())
        except ValueError as error:
            print(f"lugtally: operator file: overload.refuse_first: {error}", file=sys.stderr)
            return 2
        dispatcher.set_admission_controller(admission)
        probe = ResourceMonitor(
            ResourceLimits(told.cores, told.memory_mb << 20, told.sockets),
            lambda: downstream.open + upstream.open_connections,
        )
        loop.spawn(_watch_self, loop, admission, probe)
    started = loop.now()

    def snapshot() -> dict[str, Any]:
        return {
            "sidecar": told.name,
            "version": __version__,
            "ready": downstream.ready,
            "draining": downstream.draining,
            "up_s": (loop.now() - started) / 1e9,
            "front_sockets": downstream.open,
            "connections": upstream.open_connections,
            "destinations": pool.ready_count,
            "requests": dispatcher.request_counts(),
            "overload": admission and admission.snapshot(),
        }

    told_by = None
    desk = _Desk(dispatcher, downstream, DrainStore(tempfile.gettempdir(), told.name))
    desk.reread()
    operators: AdminServer | None = None
    try:
        if control:
            told_by = StatusSocket(loop, control, snapshot)
        if told.operators is not None:
            try:
                operators = AdminServer(loop, told.operators, desk)
            except OSError as error:
                print(f"lugtally: operator: {told.operators[0]}:{told.operators[1]}: {error.strerror}", file=sys.stderr)
                return 1
        if told.inherited is None:
            downstream.listen(told.listen)
        else:
            downstream.adopt(told.inherited)
    except ValueError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    except StatusSocketError as error:
        print(f"lugtally: operator file: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"lugtally: listen: {told.listen[0]}:{told.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    _on_signals(
        loop, {signal.SIGTERM: downstream.drain, signal.SIGINT: downstream.drain, signal.SIGHUP: lambda: _reread(pool)}
    )
    loop.spawn(pool.start, told.known)
    loop.spawn(_keep_house, loop, upstream, pool, downstream)
    loop.spawn(_follow_bans, loop, desk)
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
    loop.run(dispatcher.run_due_timers)
    if told_by is not None:
        told_by.close()
    if operators is not None:
        operators.close()
    logger.info("{sidecar} has stopped", event="sidecar.stopped", sidecar=told.name)
    return 0


class _Desk:
    """What the operators' calls read and change: readiness, the counters, and the drains by hand."""

    def __init__(self, dispatcher: Dispatcher, downstream: DownstreamServer, file: DrainStore) -> None:
        self._dispatcher = dispatcher
        self._front = downstream
        self._file = file
        self._banned: set[str] = set()

    def ready(self) -> bool:
        return self._front.ready and not self._front.draining

    def figures(self) -> dict[str, object]:
        dispatcher = self._dispatcher
        return dispatcher.metrics.snapshot(
            dispatcher.in_progress, dispatcher.endpoint_count, dispatcher.disabled_count()
        )

    def offline(self, server: str) -> bool:
        if server not in self._banned:
            if not self._dispatcher.was_listed(endpoint_id_of(server)):
                return False
            self._banned.add(server)
            self._dispatcher.start_drain(endpoint_id_of(server))
            logger.warning("pledge server {server} is drained by hand", event="drain.started", server=server)
        self._file.write(self._banned)
        return True

    def online(self, server: str) -> bool:
        if server not in self._banned:
            return self._dispatcher.was_listed(endpoint_id_of(server))
        self._banned.discard(server)
        self._dispatcher.end_drain(endpoint_id_of(server))
        logger.warning("pledge server {server} is back from a drain by hand", event="drain.ended", server=server)
        self._file.write(self._banned)
        return True

    def reread(self) -> None:
        """Take over the bans that another process of this name wrote, as a process replacement has two."""
        told = self._file.read()
        if told is None:
            return
        for server in told - self._banned:
            self._dispatcher.start_drain(endpoint_id_of(server))
        for server in self._banned - told:
            self._dispatcher.end_drain(endpoint_id_of(server))
        if told != self._banned:
            logger.info("drains by hand taken from the file: {banned}", event="drain.reloaded", banned=sorted(told))
        self._banned = told


def _follow_bans(loop: EventLoop, desk: _Desk) -> None:
    while True:
        loop.sleep(BANS_EVERY_NS)
        desk.reread()


def overload_limits(own: Overload, settings: balancing.Settings) -> OverloadLimits | None:
    """The operator's words on own overload in the units of the gate; none where it is off."""
    if not own.enabled:
        return None
    advice = min(settings.max_retry_after_ns, MOST_ADVICE_NS) if settings.retry_after_allowed else 0
    return OverloadLimits(
        target_ns=int(own.target_ms * NS_PER_MS),
        memory_fraction=own.memory,
        descriptors_fraction=own.descriptors,
        shed_first=own.refuse_first,
        max_retry_after_ns=advice,
    )


def _keep_house(loop: EventLoop, upstream: UpstreamPool, pool: EndpointWatcher, downstream: DownstreamServer) -> None:
    """Retire idle connections; be ready once there is somewhere to send to."""
    while True:
        downstream.ready = downstream.ready or pool.ready_count > 0
        loop.sleep(RETIRE_EVERY_NS if downstream.ready else 10 * NS_PER_MS)
        upstream.close_expired()
        if loop.max_timer_lag_ns > LATE_NS:
            # The machine or a collection held the process up: look here before blaming a decision.
            logger.warning(
                "timers ran {lag_ms:.0f} ms late", event="sidecar.timer_lag", lag_ms=loop.max_timer_lag_ns / NS_PER_MS
            )
        loop.max_timer_lag_ns = 0


def _watch_self(loop: EventLoop, admission: AdmissionController, probe: ResourceMonitor) -> None:
    """Read the machine now and then; say when refusing begins and ends, with what was seen."""
    refusing = False
    while True:
        loop.sleep(READ_EVERY_NS)
        admission.read(probe.read())
        admission.update_when_idle(loop.now())
        reading = admission.meter.reading
        if refusing != admission.is_shedding:
            refusing = admission.is_shedding
            logger.warning(
                "{what} for own overload: {shed_fraction:.0%} of the requests, delay {delay_ms:.1f} ms, "
                "{cpu:.0%} of the cores, {memory:.0%} of the memory, {descriptors:.0%} of the descriptors",
                event="overload.shedding",
                what="shedding load" if refusing else "no longer shedding load",
                shedding=refusing,
                shed_fraction=admission.shed_fraction,
                delay_ms=admission.meter.delay_ns / NS_PER_MS,
                cpu=reading.cpu_share,
                memory=reading.memory_share,
                descriptors=reading.descriptors_share,
            )


def _reread(pool: EndpointWatcher) -> None:
    """SIGHUP: move the watch where the configuration now says.  All else in it holds from the next start."""
    try:
        told = config.load(os.environ, again=True)
    except config.ConfigurationError as error:
        # A slip in the file must not end the service: all goes on as it was told before.
        logger.error("the new configuration is not used: {reason}", event="config.rejected", reason=str(error))
        return
    logger.info(
        "told to read the configuration again: discovery at {host}:{port}",
        event="config.reloaded",
        host=told.discovery[0],
        port=told.discovery[1],
    )
    pool.move_to(told.discovery)


def _on_signals(loop: EventLoop, handlers: dict[signal.Signals, Callable[[], None]]) -> None:
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

    loop.register(reader.fileno(), READABLE, told)
