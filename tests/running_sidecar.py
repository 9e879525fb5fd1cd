"""A sidecar that runs as a process on loopback, with chosen limits, endpoints and settings."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

from tests.sidecar_program import ROOT, SETTINGS, endpoint_record, serve_command, serve_environment
from tests.sockets import address, listener

START_TIMEOUT_S = 20.0
MAX_WAIT_S = 10.0
DEFAULT_MEMORY_MB = 192
DEFAULT_DESCRIPTORS = 256
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")
_EXIT_TIMEOUT_S = 10.0


class RunningSidecar:
    """``lugtally serve`` with a cached endpoint list; its discovery service accepts calls and never responds.

    Attributes:
        process: The process.
        listen_address: The address for clients.
        admin_address: The address for operators.
    """

    def __init__(
        self,
        folder: Path,
        endpoints: Sequence[str],
        *,
        memory_mb: int = DEFAULT_MEMORY_MB,
        max_descriptors: int = DEFAULT_DESCRIPTORS,
        settings: dict[str, Any] = SETTINGS,
        arguments: Sequence[str] = (),
    ) -> None:
        """Start the process and wait until it listens.

        Args:
            folder: The folder for the configuration, the log and temporary files.
            endpoints: The addresses of the endpoints, as ``host:port``.
            memory_mb: The memory limit in the configuration; nothing enforces it.
            max_descriptors: The limit of open descriptors, in the configuration and of the process.
            settings: The ``settings`` of the configuration.
            arguments: Further arguments of ``serve``.
        """
        self._discovery = listener()
        with listener() as free_port, listener() as free_admin_port:
            self.listen_address = ("127.0.0.1", free_port.getsockname()[1])
            self.admin_address = ("127.0.0.1", free_admin_port.getsockname()[1])
        self._clients: list[socket.socket] = []
        self._log_path = folder / f"log-{self.listen_address[1]}"
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": max_descriptors}
        (folder / "config.json").write_text(json.dumps(self._configuration(endpoints, limits, settings)))
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*serve_command(max_descriptors), *arguments],
                cwd=ROOT,
                stderr=log,
                env=serve_environment(folder, address(self._discovery)),
            )
        self._wait_until_serving()

    def __enter__(self) -> RunningSidecar:
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait(_EXIT_TIMEOUT_S)
        for sock in (self._discovery, *self._clients):
            sock.close()

    @property
    def log(self) -> str:
        """The log so far."""
        return self._log_path.read_text(errors="replace")

    def connect(self, receive_buffer_bytes: int = 0) -> socket.socket:
        """Open a client connection that is closed with the sidecar; its operations fail after ``MAX_WAIT_S``.

        ``receive_buffer_bytes`` is the size of the kernel's receive buffer; 0 leaves the default.
        """
        client = socket.socket()
        if receive_buffer_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        client.settimeout(MAX_WAIT_S)
        client.connect(self.listen_address)
        self._clients.append(client)
        return client

    def admin_call(self, method: str, path: str) -> tuple[int, bytes]:
        """Make one call at the admin address; return the status and the body of the response."""
        with socket.create_connection(self.admin_address, timeout=MAX_WAIT_S) as caller:
            caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n".encode())
            received = b""
            while data := caller.recv(65536):
                received += data
        head, _, body = received.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory so far, in units of 1024 * 1024 bytes.

        Fails if the process has ended.
        """
        assert self.process.poll() is None, f"the sidecar has ended with {self.process.returncode}: {self.log[-2000:]}"
        match = _PEAK_MEMORY.search(Path(f"/proc/{self.process.pid}/status").read_text())
        assert match is not None
        return int(match[1]) / 1024

    def _wait_until_serving(self) -> None:
        timeout_end = time.monotonic() + START_TIMEOUT_S
        while " serves at " not in self.log:
            assert self.process.poll() is None, self.log[-2000:]
            assert time.monotonic() < timeout_end, self.log[-2000:]
            time.sleep(0.02)

    def _configuration(
        self, endpoints: Sequence[str], limits: dict[str, Any], settings: dict[str, Any]
    ) -> dict[str, Any]:
        host, port = self.listen_address
        records = [endpoint_record(f"s-{number}", endpoint) for number, endpoint in enumerate(endpoints)]
        return {
            "name": "n1",
            "listen": f"{host}:{port}",
            "discovery": address(self._discovery),
            "operator": f"{host}:{self.admin_address[1]}",
            "seed": "5e",
            "limits": limits,
            "known": {"version": 1, "full": True, "servers": records},
            "settings": settings,
        }
