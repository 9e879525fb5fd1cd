"""A real sidecar process with one fake endpoint, for tests that send signals."""

from __future__ import annotations

import re
import select
import socket
from pathlib import Path
from types import TracebackType

from tests.running_sidecar import RunningSidecar
from tests.sockets import address, listener

MAX_WAIT_S = 10.0
_CORRELATION_ID = re.compile(rb"X-Correlation-Id: (\S+)")


class SidecarProcess:
    """``lugtally serve`` with one endpoint; the test responds in its place, and discovery never responds."""

    def __init__(self, folder: Path) -> None:
        self._endpoint = listener()
        self._endpoint_connections: list[socket.socket] = []
        self._received = b""
        self._sidecar = RunningSidecar(folder, [address(self._endpoint)])
        self.process = self._sidecar.process
        self.connect = self._sidecar.connect

    def __enter__(self) -> SidecarProcess:
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self._sidecar.__exit__(error_type, error, traceback)
        for sock in (self._endpoint, *self._endpoint_connections):
            sock.close()

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
