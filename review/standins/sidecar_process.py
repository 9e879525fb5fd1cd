"""The platform: starts a sidecar by the deploy file, measures it, and ends it."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]


class CannotRunError(Exception):
    """The case could not run."""


class Sidecar:
    """One sidecar process, with a private $TMPDIR."""

    def __init__(self, record: Record, config: dict[str, Any]) -> None:
        self.record = record
        self.config = config
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        host, _, port = config["listen"].rpartition(":")
        self.address = (host, int(port))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the command `run` of the deploy file, and wait until the sidecar is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(self.config))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder),
            "PROXY_NAME": self.config["name"],
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(config_path),
        }
        sockets = self.config["limits"]["sockets"]
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self.record.note("started", pid=self.process.pid, command=f"[{command}]")
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
            except OSError:
                line = b""
            if b" 200 " in line:
                self.record.note("ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the sidecar was not ready within 30 s:\n" + (self.folder / "log").read_text()[-2000:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        if self.process is not None and self.process.returncode is None:
            self.record.note("signal", name=number.name)
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text() if self.process else ""
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmRSS")), 0.0)

    async def end(self) -> None:
        """Kill the process, if it has not ended, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_address() -> str:
    """Return a loopback address with a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
