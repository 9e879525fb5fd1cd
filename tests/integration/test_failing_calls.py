"""Requests through a real sidecar whose system calls fail now and again."""

from __future__ import annotations

import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.running_sidecar import RunningSidecar
from tests.sidecar_program import ROOT
from tests.threaded_endpoint import ThreadedEndpoint

FAILING_CALLS = ROOT / "tests" / "fault_injection" / "failing_calls"
DEADLINE_S = 2.0
ALLOWED_DELAY_S = 0.5
CLIENTS = 8
RUN_S = 3.0
MIN_REQUESTS = 100


def send_requests(sidecar: RunningSidecar, client_number: int) -> list[str]:
    """Send requests of all classes one after the other; return a line for each that was lost."""
    lost: list[str] = []
    end = time.monotonic() + RUN_S
    for number in itertools.count():
        if time.monotonic() > end:
            return lost
        request_id = f"r{client_number}-{number}"
        path = ("campaign-read", "pledge-record", "receipt-issue")[number % 3]
        data = (
            f"POST /{path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {request_id}\r\nIdempotency-Key: {request_id}\r\n"
            f"X-Time-Left: {DEADLINE_S}\r\nContent-Length: 5000\r\n\r\n"
        ).encode() + b"b" * 5000
        client = sidecar.connect()
        sent_at = time.monotonic()
        client.sendall(data)
        answer = client.recv(4096)
        if not answer.startswith(b"HTTP/1.1 ") or time.monotonic() - sent_at > DEADLINE_S + ALLOWED_DELAY_S:
            lost.append(f"{request_id}: {answer[:40]!r} after {time.monotonic() - sent_at:.2f} s")
        client.close()
    return lost


def test_failing_system_calls_lose_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a call that fails for a moment and ends a connection, a request or the process."""
    monkeypatch.setenv("PYTHONPATH", str(FAILING_CALLS))
    monkeypatch.setenv("FAILING_CALLS", "7:0.03")
    monkeypatch.setenv("STEPPED_CLOCK", "7")
    endpoints = [ThreadedEndpoint() for _ in range(4)]
    with (
        RunningSidecar(tmp_path, [endpoint.address for endpoint in endpoints]) as sidecar,
        ThreadPoolExecutor(CLIENTS) as pool,
    ):
        results = list(pool.map(lambda number: send_requests(sidecar, number), range(CLIENTS)))
        assert not [line for lost in results for line in lost]
        assert sidecar.process.poll() is None, sidecar.log[-2000:]
        assert "Traceback" not in sidecar.log, sidecar.log[-4000:]
    non_idempotent = [
        request_id
        for endpoint in endpoints
        for request_id in endpoint.request_ids
        if int(request_id.partition("-")[2]) % 3 == 2
    ]
    assert len(non_idempotent) == len(set(non_idempotent)) >= MIN_REQUESTS / 3
    for endpoint in endpoints:
        endpoint.close()
