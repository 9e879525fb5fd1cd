"""Many clients that make a real sidecar buffer as much as they can, under a low memory limit."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from tests.running_sidecar import RunningSidecar
from tests.threaded_endpoint import EndpointRequest, ThreadedEndpoint, respond_ok

CLIENTS = 300
MAX_DESCRIPTORS = 1024
LOAD_S = 2.0
BACKGROUND_INTERVAL_S = 0.05
DEADLINE_S = 1.5
ALLOWED_DELAY_S = 0.5
LONG_BODY = b"b" * 900_000
SHORT_BODY = b"b" * 60_000
MANY_FIELDS = "".join(f"{number:x}: b\r\n" for number in range(95))
VERY_MANY_FIELDS = "".join(f"{number:x}: b\r\n" for number in range(1800))
ENDPOINTS = 6


def head(method: str, path: str, request_id: str, fields: str = "") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {request_id}\r\nX-Time-Left: 5.0\r\n{fields}\r\n"
    ).encode()


def post(number: int, fields: str, body: bytes, sent_bytes: int) -> bytes:
    """Return a request with a body of which only the first bytes are sent."""
    return head("POST", "/receipt-issue", f"c{number}", f"{fields}Content-Length: {len(body)}\r\n") + body[:sent_bytes]


def get(number: int, path: str, count: int = 1, fields: str = "") -> bytes:
    return b"".join(head("GET", f"/campaign-read/{path}", f"c{number}-{index}", fields) for index in range(count))


def respond(request: EndpointRequest) -> None:
    """Respond with a body as the path of the request says."""
    if b"/many-fields" in request.head:
        header = f"HTTP/1.1 200 OK\r\n{MANY_FIELDS}Content-Length: {len(LONG_BODY)}\r\n\r\n"
        request.sock.sendall(header.encode() + LONG_BODY)
    elif b"/long" in request.head:
        respond_ok(request, LONG_BODY)
    elif b"/short" in request.head:
        respond_ok(request, SHORT_BODY)
    elif b"/silent" in request.head:
        time.sleep(DEADLINE_S)
    else:
        respond_ok(request)


@dataclass(slots=True)
class BackgroundClient:
    """Sends a request on a new connection at intervals, and records what was not answered in time."""

    address: tuple[str, int]
    answered: int = 0
    served: int = 0
    lost: list[str] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        threads: list[threading.Thread] = []
        while not self._stopped.wait(BACKGROUND_INTERVAL_S):
            threads.append(threading.Thread(target=self._request, args=(f"u{len(threads)}",)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def stop(self) -> None:
        self._stopped.set()

    def _request(self, request_id: str) -> None:
        """Send a request; it is lost if the sidecar accepts it and does not answer in time."""
        data = head("GET", "/campaign-read", request_id).replace(b"5.0", str(DEADLINE_S).encode())
        sent_at = time.monotonic()
        try:
            with socket.create_connection(self.address, 10) as client:
                client.sendall(data)
                answer = client.recv(4096)
        except OSError as error:
            answer = str(error).encode()
        if answer.startswith(b"HTTP/1.1") and time.monotonic() - sent_at <= DEADLINE_S + ALLOWED_DELAY_S:
            self.answered += 1
            self.served += answer.startswith(b"HTTP/1.1 200")
        else:
            self.lost.append(f"{request_id}: {answer[:60]!r} after {time.monotonic() - sent_at:.2f} s")


ClientData = Callable[[int], bytes]
CLIENT_DATA: dict[str, ClientData] = {
    "body that stops half way": lambda number: post(number, "", SHORT_BODY, 55_000),
    "many fields, then half a body": lambda number: post(number, MANY_FIELDS, SHORT_BODY, 30_000),
    "very many fields": lambda number: post(number, VERY_MANY_FIELDS, SHORT_BODY, 30_000),
    "head without end": lambda number: head("GET", "/campaign-read", f"c{number}", "X: " + "x" * 15_000)[:-4],
    "pipelined requests with many fields": lambda number: get(number, "silent", 32, MANY_FIELDS),
    "hundreds of small pipelined requests": lambda number: get(number, "silent", 300),
    "two pipelined long responses": lambda number: get(number, "long", 2),
    "long responses that are not read": lambda number: get(number, "long"),
    "long responses of many fields that are not read": lambda number: get(number, "many-fields"),
    "short responses that are not read": lambda number: get(number, "short", 20),
}


@pytest.mark.parametrize(
    ("kind", "memory_mb"), [*((kind, 32) for kind in CLIENT_DATA), ("two pipelined long responses", 96)]
)
def test_many_clients_do_not_exceed_memory_limit(kind: str, memory_mb: int, tmp_path: Path) -> None:
    """Guards against buffers of many connections that together exceed the memory limit of the process."""
    endpoints = [ThreadedEndpoint(respond) for _ in range(ENDPOINTS)]
    addresses = [endpoint.address for endpoint in endpoints]
    with RunningSidecar(tmp_path, addresses, memory_mb=memory_mb, max_descriptors=MAX_DESCRIPTORS) as sidecar:
        background = BackgroundClient(sidecar.listen_address)
        background_thread = threading.Thread(target=background.run)
        background_thread.start()
        connect_clients(sidecar, CLIENT_DATA[kind])
        time.sleep(LOAD_S)
        background.stop()
        background_thread.join()
        peak_mb = sidecar.peak_memory_mb()
        report = f"peak {peak_mb:.1f} MB, {background.served} of {background.answered} served\n{sidecar.log[-3000:]}"
        assert peak_mb <= memory_mb, report
        assert not background.lost, f"{background.lost}\n{report}"
        assert background.answered >= LOAD_S / BACKGROUND_INTERVAL_S / 2, report
    for endpoint in endpoints:
        endpoint.close()


def connect_clients(sidecar: RunningSidecar, data_of: ClientData) -> None:
    """Connect the clients; each sends its data and never reads."""
    for number in range(CLIENTS):
        client = sidecar.connect(receive_buffer_bytes=4096)
        client.setblocking(False)
        with contextlib.suppress(OSError):  # the rest of the data stays unsent if the buffers are full
            client.send(data_of(number))
