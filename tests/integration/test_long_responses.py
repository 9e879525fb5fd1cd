"""Long responses of endpoints that write slowly, through a real sidecar process."""

from __future__ import annotations

import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.running_sidecar import RunningSidecar
from tests.threaded_endpoint import EndpointRequest, ThreadedEndpoint

BODY = bytes(range(256)) * 600  # 150 KiB: longer than the sidecar buffers
DEADLINE_S = 0.6
ALLOWED_DELAY_S = 0.05
FRAMINGS = ("length", "chunked", "until close")
STEADY, LUMPS, FAST = "steady", "lumps", "fast"
WRITE_COUNTS = {STEADY: 80, LUMPS: 3, FAST: 1}
PAUSES_S = {STEADY: 0.015, LUMPS: 0.7, FAST: 0.0}
"""The pause after each part of a body.  When the deadline passes, a slow endpoint has written less than 64 KiB."""


CASES = [f"{framing}, {rhythm}" for framing in FRAMINGS for rhythm in (STEADY, LUMPS, FAST)]
FAST_CASE = CASES.index(f"length, {FAST}")


def write_long_response(request: EndpointRequest) -> None:
    """Write ``BODY`` in equal parts, with a pause after each of them, as the request's id says."""
    framing, rhythm = CASES[int(request.correlation_id)].split(", ")
    header = {
        "length": b"Content-Length: %d" % len(BODY),
        "chunked": b"Transfer-Encoding: chunked",
        "until close": b"Connection: close",
    }[framing]
    request.sock.sendall(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % header)
    count = WRITE_COUNTS[rhythm]
    piece_bytes = -(-len(BODY) // count)
    for start in range(0, len(BODY), piece_bytes):
        part = BODY[start : start + piece_bytes]
        request.sock.sendall(b"%x\r\n%s\r\n" % (len(part), part) if framing == "chunked" else part)
        time.sleep(PAUSES_S[rhythm])
    if framing == "chunked":
        request.sock.sendall(b"0\r\n\r\n")
    if framing == "until close":
        request.sock.shutdown(socket.SHUT_WR)


def serialize_request(request_id: int, deadline_s: float = DEADLINE_S) -> bytes:
    return (
        f"GET /campaign-read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {request_id}\r\n"
        f"X-Service-Class: campaign-read\r\nX-Time-Left: {deadline_s}\r\n\r\n"
    ).encode()


def read_body(client: socket.socket, received: bytes) -> bytes:
    """Read the rest of a response with status 200; return its body, decoded if it is chunked."""
    while b"\r\n\r\n" not in received:
        received += _receive(client)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    if (length := re.search(rb"Content-Length: (\d+)", head)) is not None:
        while len(body) < int(length[1]):
            body += _receive(client)
        return body
    while b"\r\n0\r\n\r\n" not in body:
        body += _receive(client)
    return _decode_chunks(body.partition(b"\r\n0\r\n\r\n")[0] + b"\r\n")


def _receive(client: socket.socket) -> bytes:
    data = client.recv(65536)
    assert data, "the response is truncated"
    return data


def _decode_chunks(body: bytes) -> bytes:
    decoded = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        decoded += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return decoded


def request_long_response(client: socket.socket, case: int, pipelined: bool) -> float:
    """Read the response of one case; return the time until its first byte, in seconds."""
    sent_at = time.monotonic()
    client.sendall(serialize_request(case) + (serialize_request(FAST_CASE, 5.0) if pipelined else b""))
    received = _receive(client)
    first_byte_s = time.monotonic() - sent_at
    assert read_body(client, received).startswith(BODY)
    return first_byte_s


@pytest.mark.parametrize("pipelined", [False, True], ids=["alone", "before a pipelined request"])
def test_long_response_outlasts_deadline(pipelined: bool, tmp_path: Path) -> None:
    """Guards against a response that is written past the deadline of its request and is cut off there.

    In front of a pipelined request this holds for a declared length: other responses may never end.
    """
    cases = [case for case, name in enumerate(CASES) if name.startswith("length") or not pipelined]
    endpoints = [ThreadedEndpoint(write_long_response) for _ in CASES]
    with (
        RunningSidecar(tmp_path, [endpoint.address for endpoint in endpoints]) as sidecar,
        ThreadPoolExecutor(len(CASES)) as pool,
    ):
        calls = [pool.submit(request_long_response, sidecar.connect(), case, pipelined) for case in cases]
        failures = {CASES[case]: call.exception() for case, call in zip(cases, calls, strict=True) if call.exception()}
        assert not failures
        assert max(call.result() for call in calls) <= DEADLINE_S + ALLOWED_DELAY_S
    for endpoint in endpoints:
        endpoint.close()
