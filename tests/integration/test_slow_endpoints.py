"""Large requests that an endpoint reads slowly, through a real sidecar process."""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

import pytest

from tests.running_sidecar import RunningSidecar
from tests.threaded_endpoint import EndpointRequest, ThreadedEndpoint

BODY = b"b" * 65536
DEADLINE_S = 0.6
ALLOWED_DELAY_S = 0.5
READ_BYTES, READ_PAUSE_S = 800, 0.1


def read_slowly(sock: socket.socket) -> EndpointRequest | None:
    """Read 8 kB per second and never respond."""
    while sock.recv(READ_BYTES):
        time.sleep(READ_PAUSE_S)
    return None


def serialize_request(request_id: str, chunked: bool) -> bytes:
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(BODY)}"
    head = (
        f"POST /receipt-issue HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {request_id}\r\n"
        f"X-Service-Class: receipt-issue\r\nX-Time-Left: {DEADLINE_S}\r\n{framing}\r\n\r\n"
    ).encode()
    return head + (b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY) if chunked else BODY)


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("circumstance", ["alone", "pipelined", "shutdown"])
def test_request_read_slowly_is_answered_in_time(circumstance: str, chunked: bool, tmp_path: Path) -> None:
    """Guards against a final response that waits until a slow endpoint has read the rest of the request."""
    endpoint = ThreadedEndpoint(read=read_slowly, receive_buffer_bytes=4096)
    with RunningSidecar(tmp_path, [endpoint.address]) as sidecar:
        client = sidecar.connect()
        requests = 2 if circumstance == "pipelined" else 1
        sent_at = time.monotonic()
        client.sendall(b"".join(serialize_request(f"r{number}", chunked) for number in range(requests)))
        if circumstance == "shutdown":
            time.sleep(0.1)
            sidecar.process.send_signal(signal.SIGTERM)
        received = b""
        while received.count(b"HTTP/1.1 50") < requests:
            data = client.recv(65536)
            assert data, received
            received += data
        assert time.monotonic() - sent_at <= DEADLINE_S + ALLOWED_DELAY_S
    endpoint.close()
