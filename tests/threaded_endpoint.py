"""An endpoint with one thread for each connection, for tests of real sidecar processes."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.sockets import address, listener

_CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
_CORRELATION_ID = re.compile(rb"x-correlation-id: *(\S+)", re.IGNORECASE)
READ_BYTES = 64 * 1024


@dataclass(slots=True)
class EndpointRequest:
    """A request that an endpoint has received completely, and the connection to respond on."""

    head: bytes
    body: bytes
    sock: socket.socket

    @property
    def correlation_id(self) -> str:
        """The value of ``X-Correlation-Id``; empty if there is none."""
        match = _CORRELATION_ID.search(self.head)
        return match[1].decode() if match else ""


Respond = Callable[[EndpointRequest], None]
ReadRequest = Callable[[socket.socket], EndpointRequest | None]


def read_request(sock: socket.socket) -> EndpointRequest | None:
    """Read the next request of a connection that carries one request at a time; ``None`` if the connection ended."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(READ_BYTES)
        if not data:
            return None
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = _CONTENT_LENGTH.search(head)
    while length is not None and len(body) < int(length[1]):
        data = sock.recv(READ_BYTES)
        if not data:
            return None
        body += data
    return EndpointRequest(head, body, sock)


def respond_ok(request: EndpointRequest, body: bytes = b"ok") -> None:
    """Write a complete response with status 200."""
    request.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


@dataclass(slots=True)
class ThreadedEndpoint:
    """Accepts connections and responds to each request with ``respond``; records the ids of all requests.

    ``receive_buffer_bytes`` is the size of the kernel's receive buffer; 0 leaves the default.
    """

    respond: Respond = respond_ok
    read: ReadRequest = read_request
    receive_buffer_bytes: int = 0
    request_ids: list[str] = field(default_factory=list)
    _listener: socket.socket = field(default_factory=listener)
    _connections: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        if self.receive_buffer_bytes:  # accepted connections inherit it
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return address(self._listener)

    def close(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        for sock in (self._listener, *self._connections):
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # the listener was closed
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._connections.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while (request := self.read(sock)) is not None:
                self.request_ids.append(request.correlation_id)
                self.respond(request)
            sock.close()
