"""A real sidecar process with one fake endpoint, for tests that send signals."""

from __future__ import annotations

import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
from pathlib import Path
from types import TracebackType

from tests.sidecar_program import ROOT, SETTINGS
from tests.sockets import address, listener

MAX_WAIT_S = 10.0
START_TIMEOUT_S = 20.0
_CORRELATION_ID = re.compile(rb"X-Correlation-Id: (\S+)")


class SidecarProcess:
    """``lugtally serve`` with one endpoint; the test responds in its place, and discovery never responds."""

    def __init__(self, folder: Path) -> None:
        self._endpoint = listener()
        self._discovery = listener()
        self._endpoint_connections: list[socket.socket] = []
        self._clients: list[socket.socket] = []
        self._received = b""
        with listener() as free_port:
            self.listen_address = ("127.0.0.1", free_port.getsockname()[1])
        path = folder / "config.json"
        path.write_text(json.dumps(self._configuration()))
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "lugtally", "serve"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(folder)},
        )
        self._wait_until_serving()

    def __enter__(self) -> SidecarProcess:
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait(MAX_WAIT_S)
        assert self.process.stderr is not None
        self.process.stderr.close()
        for sock in (self._endpoint, self._discovery, *self._endpoint_connections, *self._clients):
            sock.close()

    def connect(self) -> socket.socket:
        """Open a client connection; reads from it fail after ``MAX_WAIT_S``."""
        client = socket.create_connection(self.listen_address, MAX_WAIT_S)
        self._clients.append(client)
        return client

    def respond_to_next(self, body: bytes = b"ok") -> None:
        """Wait until the endpoint has received the next request, and respond to it."""
        connection = self.next_request()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def next_request(self) -> socket.socket:
        """Wait until the endpoint has received the next request; return its connection."""
        while True:
            ready, _, _ = select.select([self._endpoint, *self._endpoint_connections], [], [], MAX_WAIT_S)
            assert ready, "no request arrived"
            if self._endpoint in ready:
                self._endpoint_connections.append(self._endpoint.accept()[0])
                continue
            data = ready[0].recv(65536)
            if not data:
                self._endpoint_connections.remove(ready[0])
                ready[0].close()
                continue
            self._received += data
            if data.endswith(b"\r\n\r\n"):
                connection: socket.socket = ready[0]
                return connection

    def received_request_ids(self) -> list[str]:
        """Return the correlation IDs of the requests that the endpoint has received so far, in order."""
        while True:
            ready, _, _ = select.select([self._endpoint, *self._endpoint_connections], [], [], 0)
            if not ready:
                return [match.decode() for match in _CORRELATION_ID.findall(self._received)]
            if self._endpoint in ready:
                self._endpoint_connections.append(self._endpoint.accept()[0])
                continue
            data = ready[0].recv(65536)
            self._received += data
            if not data:
                self._endpoint_connections.remove(ready[0])
                ready[0].close()

    def _configuration(self) -> dict[str, object]:
        endpoint = {
            "id": "s-a",
            "addr": address(self._endpoint),
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "weight": 1.0,
            "state": "ready",
            "started_ms": 0,
        }
        return {
            "name": "n1",
            "listen": f"127.0.0.1:{self.listen_address[1]}",
            "discovery": address(self._discovery),
            "seed": "5e",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"version": 1, "full": True, "servers": [endpoint]},
            "settings": SETTINGS,
        }

    def _wait_until_serving(self) -> None:
        assert self.process.stderr is not None
        line = self.process.stderr.readline()
        while line and b" serves at " not in line:
            line = self.process.stderr.readline()
        assert line, "the sidecar did not start"
