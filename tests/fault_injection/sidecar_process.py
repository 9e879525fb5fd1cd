"""One real sidecar: its configuration, its process, and the signals it gets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.fault_injection.clock import NS_PER_S, now_ns
from tests.fault_injection.discovery import EndpointCatalog
from tests.fault_injection.wire import ResponseReader, serialize_head

ROOT = Path(__file__).parents[2]
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
HEALTH_TIMEOUT_S = 1.0
EXIT_POLL_S = 0.01
PORT = 7077
LIMIT = {"slo_ns": 1_000_000_000, "hard_limit_ns": 4_000_000_000}
SETTINGS: dict[str, Any] = {
    "grades": [
        {"name": "campaign-read", "effect": "idempotent", **LIMIT},
        {"name": "pledge-record", "effect": "deduplicated", "key_scope": "zone", "key_ttl_ns": 6_000_000_000, **LIMIT},
        {"name": "receipt-issue", "effect": "at_most_once", **LIMIT},
    ],
    "ceilings": {
        "most_tries": 4,
        "cancel": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ns": 2_000_000_000,
        "keepalive_ns": 5_000_000_000,
        "connect_timeout_ns": 150_000_000,
    },
    "contract": {"cold_from": 0.31, "warm_within_ns": 1_500_000_000, "fall_multiple": 2.5},
    "zones": ["a", "b"],
    "membership_mode": "subscribe",
    "report": {"how": "probe"},
}


class SidecarStartError(RuntimeError):
    """A sidecar did not become ready."""


class SidecarProcess:
    """One sidecar at an address that no other process of the run uses."""

    def __init__(self, number: int, folder: Path, catalog: EndpointCatalog, max_descriptors: int, count: int) -> None:
        self.number = number
        # An address of its own: no outgoing connection of another process can take its port while it restarts.
        process_id = os.getpid()
        self.address = (f"127.{64 + process_id % 64}.{process_id // 64 % 250}.{number + 1}", PORT)
        self.discovery = ""
        self._folder = folder / f"sidecar{number}"
        self._folder.mkdir()
        self._catalog = catalog
        self._max_descriptors = max_descriptors
        self._count = count
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """What it has written to standard error."""
        return (self._folder / "log").read_text(errors="replace")

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            SidecarStartError: it did not become ready.
        """
        self._write_configuration()
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": str(self._folder),
            "PROXY_DISCOVERY": self.discovery,
        }
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["sh", "-c", f'ulimit -n {self._max_descriptors}; exec "$0" -B -m lugtally serve', sys.executable],
                cwd=ROOT,
                stderr=log,
                env=environment,
            )
        until_ns = now_ns() + int(READY_TIMEOUT_S * NS_PER_S)
        while now_ns() < until_ns:
            if await self._is_ready():
                return
            await asyncio.sleep(READY_POLL_S)
        raise SidecarStartError(self.log[-2000:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, where the process is there."""
        if self._process is not None:
            self._process.send_signal(number)

    def reload(self, discovery: str) -> None:
        """Name another discovery service in the configuration, and say so by SIGHUP."""
        self.discovery = discovery
        self._write_configuration()
        self.send_signal(signal.SIGHUP)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait until the process has ended; return whether it has."""
        until_ns = now_ns() + int(timeout_s * NS_PER_S)
        while self.is_running and now_ns() < until_ns:
            await asyncio.sleep(EXIT_POLL_S)
        return not self.is_running

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _write_configuration(self) -> None:
        host, port = self.address
        configuration = {
            "name": f"n{self.number}",
            "listen": f"{host}:{port}",
            "discovery": self.discovery,
            "seed": f"{self.number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self._max_descriptors},
            "settings": {**SETTINGS, "instances": self._count},
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
