"""One real sidecar process: its configuration, its start, the signals sent to it, and its exit."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from lugtally.units import NS_PER_S
from tests.fault_injection.clock import now_ns
from tests.fault_injection.discovery import EndpointCatalog
from tests.fault_injection.wire import ResponseReader, serialize_head
from tests.sidecar_program import ROOT, serve_command, serve_environment, sidecar_settings

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
HEALTH_TIMEOUT_S = 1.0
EXIT_POLL_S = 0.01
MAX_SHOWN_LOG_BYTES = 2000
PORT = 7077
BYTES_PER_MB = 1024 * 1024
SETTINGS = sidecar_settings(latency_objective_s=1.0, deadline_s=4.0, keepalive_s=5.0, slow_start_s=1.5)


@dataclass(slots=True, frozen=True)
class SidecarConditions:
    """The limits of a sidecar, and further variables of its environment."""

    max_descriptors: int
    memory_mb: int = 192
    environment: Mapping[str, str] = field(default_factory=dict)


class SidecarStartError(RuntimeError):
    """A sidecar did not become ready in time."""


class SidecarProcess:
    """One sidecar process, at an address that no other process of the run uses."""

    def __init__(
        self,
        number: int,
        folder: Path,
        catalog: EndpointCatalog,
        fleet_size: int,
        conditions: SidecarConditions,
    ) -> None:
        self.number = number
        self.max_descriptors = conditions.max_descriptors
        self.memory_mb = conditions.memory_mb
        self.exit_expected = False
        """Whether the process has been told to end, so that its exit is no failure."""
        self._environment = conditions.environment
        # A separate loopback address, so that no outgoing connection takes the port while the sidecar restarts.
        process_id = os.getpid()
        self.address = (f"127.{64 + process_id % 64}.{process_id // 64 % 250}.{number + 1}", PORT)
        self.discovery = ""
        self._folder = folder / f"sidecar{number}"
        self._folder.mkdir()
        self._catalog = catalog
        self._fleet_size = fleet_size
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def was_started(self) -> bool:
        """Whether a process was started."""
        return self._process is not None

    @property
    def log(self) -> str:
        """The standard error so far, including that of the processes before a restart."""
        return (self._folder / "log").read_text(errors="replace")

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            SidecarStartError: the process did not become ready in time.
        """
        self._write_configuration()
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                serve_command(self.max_descriptors),
                cwd=ROOT,
                stderr=log,
                env={**serve_environment(self._folder, self.discovery), **self._environment},
            )
        self.exit_expected = False
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        timeout_end_ns = now_ns() + int(READY_TIMEOUT_S * NS_PER_S)
        while now_ns() < timeout_end_ns:
            if await self._is_ready():
                return
            await asyncio.sleep(READY_POLL_S)
        raise SidecarStartError(self.log[-MAX_SHOWN_LOG_BYTES:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; do nothing if the process was never started."""
        if self._process is not None:
            self.exit_expected = self.exit_expected or number in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)
            self._process.send_signal(number)

    def reload(self, discovery: str) -> None:
        """Write a configuration with another discovery service, and send SIGHUP."""
        self.discovery = discovery
        self._write_configuration()
        self.send_signal(signal.SIGHUP)

    def resident_mb(self) -> float:
        """Return the resident memory in units of 1024 * 1024 bytes, 0 if the process does not run."""
        if self._process is None or not self.is_running:
            return 0.0
        try:
            _, pages, *_ = Path(f"/proc/{self._process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait until the process has exited; return whether it has."""
        timeout_end_ns = now_ns() + int(timeout_s * NS_PER_S)
        while self.is_running and now_ns() < timeout_end_ns:
            await asyncio.sleep(EXIT_POLL_S)
        return not self.is_running

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self.exit_expected = True
            self._process.kill()
            self._process.wait()

    def _write_configuration(self) -> None:
        host, port = self.address
        configuration = {
            "name": f"n{self.number}",
            "listen": f"{host}:{port}",
            "discovery": self.discovery,
            "seed": f"{self.number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.max_descriptors},
            "settings": {**SETTINGS, "instances": self._fleet_size},
            "known": self._catalog.list_since(None),
        }
        (self._folder / "config.json").write_text(json.dumps(configuration))

    async def _is_ready(self) -> bool:
        try:
            return await asyncio.wait_for(self._check_health(), HEALTH_TIMEOUT_S)
        except (OSError, TimeoutError):
            return False

    async def _check_health(self) -> bool:
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(serialize_head("GET /_health HTTP/1.1", {"Host": "x"}))
            responses = ResponseReader().feed(await reader.read(4096))
            return bool(responses) and responses[0].status == 200
        finally:
            writer.close()
