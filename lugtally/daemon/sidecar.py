"""The sidecar: builds it from its configuration, starts it, runs it and stops it."""

from __future__ import annotations

import gc
import signal
import sys
import tempfile
from dataclasses import replace
from typing import Any

from loguru import logger

from lugtally import __version__, balancing, logs
from lugtally.admin.drain_store import DrainStore
from lugtally.admin.server import AdminServer
from lugtally.config.sidecar import SidecarConfig
from lugtally.daemon.errors import InvalidConfigurationError, ListenError, StartupError
from lugtally.daemon.maintenance import run_maintenance
from lugtally.daemon.memory_monitor import monitor_memory
from lugtally.daemon.operator_drains import OperatorDrains, poll_stored_drains
from lugtally.daemon.overload_protection import monitor_resources
from lugtally.daemon.reload import reload_configuration
from lugtally.daemon.shared_table import open_shared_table
from lugtally.daemon.signals import handle_signals
from lugtally.daemon.status_socket import StatusSocket
from lugtally.discovery import MAX_BACKOFF_NS, EndpointWatcher
from lugtally.dispatch import BalancingPolicyFactory, Dispatcher
from lugtally.downstream.recent_ids import TABLE_BYTES, RecentRequestIds
from lugtally.downstream.server import DownstreamServer, SharedResources
from lugtally.eventloop import EventLoop
from lugtally.memory import MemoryBudget, read_resident_bytes
from lugtally.memory.budget import BYTES_PER_MB
from lugtally.overload.admission import AdmissionController, OverloadLimits
from lugtally.overload.resource_monitor import ResourceLimits, ResourceMonitor
from lugtally.units import NS_PER_S
from lugtally.upstream import (
    ConnectionLimits,
    UpstreamPool,
    max_response_body_bytes,
    safe_idle_timeout_ns,
    split_descriptors,
)


def serve(
    config: SidecarConfig,
    log_level: str,
    log_format: logs.LogFormat = "text",
    *,
    overload: OverloadLimits | None = None,
    status_socket_path: str = "",
    policy_factory: BalancingPolicyFactory | None = None,
) -> int:
    """Run a sidecar until a signal stops it; return the exit status.

    Args:
        config: The configuration.
        log_level: The lowest level that is logged.
        log_format: The format of the log.
        overload: Limits above which the sidecar sheds load; ``None`` if only the balancer may reject requests.
        status_socket_path: The path of the Unix socket for ``lugtally status``; empty to disable it.
        policy_factory: Builds a balancing policy in place of the balancer, for the baselines of the testbed.
    """
    logs.configure(log_level, log_format)
    try:
        sidecar = build_sidecar(config, overload, policy_factory)
        sidecar.start(status_socket_path)
    except StartupError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return error.exit_status
    sidecar.run()
    sidecar.stop()
    return 0


class Sidecar:
    """The components of one sidecar, which it starts and stops in order."""

    def __init__(
        self,
        config: SidecarConfig,
        loop: EventLoop,
        dispatcher: Dispatcher,
        upstream: UpstreamPool,
        endpoint_watcher: EndpointWatcher,
        downstream: DownstreamServer,
        admission: AdmissionController | None,
    ) -> None:
        self.config = config
        self.loop = loop
        self.dispatcher = dispatcher
        self.upstream = upstream
        self.endpoint_watcher = endpoint_watcher
        self.downstream = downstream
        self.admission = admission
        self._started_ns = 0
        self._status_socket: StatusSocket | None = None
        self._admin_server: AdminServer | None = None
        self._drains: OperatorDrains | None = None

    def start(self, status_socket_path: str = "") -> None:
        """Open the sockets and spawn the tasks, which do not run before :meth:`run`.

        Raises:
            StartupError: An address, a path or a descriptor of the configuration cannot be used.
        """
        self._started_ns = self.loop.now()
        if self.admission is not None:
            self.loop.spawn(monitor_resources, self.loop, self.admission, self._resource_monitor())
        store = DrainStore(tempfile.gettempdir(), self.config.name)
        store.remove_expired()
        drains = OperatorDrains(self.loop, self.dispatcher, self.downstream, store)
        drains.reload()
        if status_socket_path:
            self._status_socket = StatusSocket(self.loop, status_socket_path, self.snapshot)
        self._drains = drains
        self._admin_server = self._open_admin_server(drains)
        self._listen_downstream()
        self._handle_signals()
        self._spawn_tasks(drains)

    def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        # The objects built so far live as long as the process.  Excluding them keeps garbage collections short.
        gc.collect()
        gc.freeze()
        self.downstream.memory.record_idle(read_resident_bytes())
        self.loop.spawn(monitor_memory, self.loop, self.downstream.memory)
        config = self.config
        logger.info(
            "{sidecar} serves at {host}:{port}",
            event="sidecar.serving",
            sidecar=config.name,
            host=config.listen.host,
            port=config.listen.port,
        )
        self.loop.run(self.dispatcher.run_due_timers)

    def stop(self) -> None:
        """Close the sockets that remain open during a graceful shutdown."""
        if self._status_socket is not None:
            self._status_socket.close()
        if self._admin_server is not None:
            self._admin_server.close()
        if self._drains is not None:
            self._drains.reload()  # write what could not be written before
        logger.info("{sidecar} has stopped", event="sidecar.stopped", sidecar=self.config.name)

    def snapshot(self) -> dict[str, Any]:
        """Return the JSON object that the status socket sends, with its documented keys."""
        return {
            "sidecar": self.config.name,
            "version": __version__,
            "ready": self.downstream.ready,
            "draining": self.downstream.draining,
            "up_s": (self.loop.now() - self._started_ns) / NS_PER_S,
            "front_sockets": self.downstream.open_connections,
            "connections": self.upstream.open_connections,
            "destinations": self.endpoint_watcher.ready_count,
            "memory": self._memory_snapshot(),
            "requests": self.dispatcher.request_counts(),
            "overload": self.admission and self.admission.snapshot(),
        }

    def _memory_snapshot(self) -> dict[str, int]:
        memory = self.downstream.memory
        return {"used": memory.used_bytes, "capacity": memory.capacity_bytes, **memory.used_by_name()}

    def _resource_monitor(self) -> ResourceMonitor:
        config = self.config
        return ResourceMonitor(
            ResourceLimits(
                cores=config.cores,
                memory_bytes=config.memory_limit_mb * BYTES_PER_MB,
                descriptors=config.descriptor_limit,
            ),
            lambda: self.downstream.open_connections + self.upstream.open_connections,
        )

    def _open_admin_server(self, drains: OperatorDrains) -> AdminServer | None:
        address = self.config.admin_address
        if address is None:
            return None
        try:
            return AdminServer(self.loop, address, drains)
        except OSError as error:
            raise ListenError(f"operator: {address}: {error.strerror}") from error

    def _listen_downstream(self) -> None:
        """Listen at the configured address, or on the inherited socket."""
        config = self.config
        try:
            if config.inherited_socket_fd is None:
                self.downstream.listen(config.listen)
            else:
                self.downstream.adopt(config.inherited_socket_fd)
        except ValueError as error:
            raise InvalidConfigurationError(str(error)) from error
        except OSError as error:
            raise ListenError(f"listen: {config.listen}: {error.strerror}") from error

    def _handle_signals(self) -> None:
        handlers = {
            signal.SIGTERM: self.downstream.drain,
            signal.SIGINT: self.downstream.drain,
            signal.SIGHUP: lambda: reload_configuration(self.endpoint_watcher),
        }
        handle_signals(self.loop, handlers)

    def _spawn_tasks(self, drains: OperatorDrains) -> None:
        loop = self.loop
        loop.spawn(self.endpoint_watcher.start, self.config.cached_endpoints)
        loop.spawn(run_maintenance, loop, self.upstream, self.endpoint_watcher, self.downstream)
        loop.spawn(poll_stored_drains, loop, drains)


def build_sidecar(
    config: SidecarConfig,
    overload: OverloadLimits | None = None,
    policy_factory: BalancingPolicyFactory | None = None,
) -> Sidecar:
    """Build a sidecar; see :func:`serve` for the arguments.

    Raises:
        InvalidConfigurationError: ``overload`` names a class that is not in the settings.
    """
    loop = EventLoop()
    settings = config.settings
    dispatcher = Dispatcher(_limit_poll_interval(settings), config.seed, loop, policy_factory)
    max_downstream, max_upstream = split_descriptors(config.descriptor_limit)
    memory = MemoryBudget(config.memory_limit_mb * BYTES_PER_MB)
    upstream = UpstreamPool(loop, _connection_limits(config, max_upstream), _load_report_fields(config), memory)
    endpoint_watcher = EndpointWatcher(loop, dispatcher, upstream, config.discovery, config.zones)
    dispatcher.set_handlers(upstream.close_idle_connections, endpoint_watcher.watch)
    table = open_shared_table(tempfile.gettempdir(), config.name, TABLE_BYTES)
    recent_ids = RecentRequestIds(loop.now, table)
    resources = SharedResources(memory, recent_ids)
    downstream = DownstreamServer(
        loop, dispatcher, upstream, settings.classes, max_downstream, settings.tenants, resources
    )
    admission = None
    if overload is not None:
        admission = _build_admission_controller(config, overload, loop.now())
        dispatcher.set_admission_controller(admission)
    return Sidecar(config, loop, dispatcher, upstream, endpoint_watcher, downstream, admission)


def _limit_poll_interval(settings: balancing.Settings) -> balancing.Settings:
    """Return the settings with the interval between polls of discovery limited to ``MAX_BACKOFF_NS``.

    After a failed call, a longer backoff could delay an endpoint update beyond the time in which it must take effect.
    """
    interval_ns = min(settings.max_poll_interval_ns or MAX_BACKOFF_NS, MAX_BACKOFF_NS)
    return replace(settings, max_poll_interval_ns=interval_ns)


def _connection_limits(config: SidecarConfig, max_connections: int) -> ConnectionLimits:
    return ConnectionLimits(
        connect_timeout_ns=config.connect_timeout_ns,
        idle_timeout_ns=safe_idle_timeout_ns(config.idle_timeout_ns),
        max_connections=max_connections,
        max_response_body_bytes=max_response_body_bytes(config.memory_limit_mb),
    )


def _load_report_fields(config: SidecarConfig) -> tuple[str, ...]:
    return config.settings.load_report_fields if config.load_reports_in_responses else ()


def _build_admission_controller(config: SidecarConfig, limits: OverloadLimits, now_ns: int) -> AdmissionController:
    try:
        return AdmissionController(config.settings.classes, limits, config.seed, now_ns)
    except ValueError as error:
        raise InvalidConfigurationError(f"operator file: overload.refuse_first: {error}") from error
