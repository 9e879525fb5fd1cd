"""Requests with the id of an earlier request, through real sidecar processes."""

from __future__ import annotations

import fcntl
import socket
import time
from pathlib import Path

import pytest

from tests.running_sidecar import RunningSidecar
from tests.threaded_endpoint import EndpointRequest, ThreadedEndpoint, respond_ok

REPEATS = 5
PAIR_COUNT = 500
WAIT_S = 0.1


def request(path: str, request_id: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {request_id}\r\nIdempotency-Key: {request_id}\r\n"
        "X-Time-Left: 2.0\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


def respond_late(request: EndpointRequest) -> None:
    time.sleep(3 * WAIT_S)
    respond_ok(request)


def send_and_leave(client: socket.socket, data: bytes) -> None:
    """Send a request, and close the connection after the endpoint has received it."""
    client.sendall(data)
    time.sleep(WAIT_S)
    client.close()


@pytest.mark.parametrize("path", ["/receipt-issue", "/pledge-record"])
@pytest.mark.parametrize("at_other_process", [False, True], ids=["same process", "other process of an upgrade"])
def test_id_whose_client_has_left_does_not_run_again(path: str, at_other_process: bool, tmp_path: Path) -> None:
    """Guards against a request that runs twice because its id is forgotten when its client leaves."""
    endpoint = ThreadedEndpoint(respond_late)
    with (
        RunningSidecar(tmp_path, [endpoint.address]) as first,
        RunningSidecar(tmp_path, [endpoint.address]) as second,
    ):
        for number in range(REPEATS):
            data = request(path, f"r{number}")
            send_and_leave(first.connect(), data)
            client = (second if at_other_process else first).connect()
            client.sendall(data)
            assert client.recv(4096).startswith(b"HTTP/1.1 409")
    assert endpoint.request_ids == [f"r{number}" for number in range(REPEATS)]
    endpoint.close()


def read_status(client: socket.socket) -> bytes:
    return client.recv(4096).split()[1]


def test_id_at_both_processes_in_one_moment_runs_once(tmp_path: Path) -> None:
    """Guards against an id that both processes of an upgrade look for before one of them has added it."""
    endpoint = ThreadedEndpoint()
    with (
        RunningSidecar(tmp_path, [endpoint.address]) as first,
        RunningSidecar(tmp_path, [endpoint.address]) as second,
    ):
        clients = [first.connect(), second.connect()]
        for number in range(PAIR_COUNT):
            data = request("/receipt-issue", f"r{number}")
            for client in clients:
                client.sendall(data)
            statuses = [read_status(client) for client in clients]
            assert statuses.count(b"200") == 1
            refused = 1 - statuses.index(b"200")
            assert statuses[refused] in (b"409", b"503")  # 503 if the other process was suspended as it added the id
            clients[refused].close()
            clients[refused] = (first, second)[refused].connect()
    assert endpoint.request_ids == [f"r{number}" for number in range(PAIR_COUNT)]
    endpoint.close()


def test_locked_table_rejects_only_non_idempotent_requests(tmp_path: Path) -> None:
    """Guards against a request that waits for, or runs despite, a process that is stopped as it adds an id."""
    endpoint = ThreadedEndpoint()
    with RunningSidecar(tmp_path, [endpoint.address]) as sidecar:
        with (tmp_path / "lugtally-n1-requests").open("r+b") as table:
            fcntl.lockf(table, fcntl.LOCK_EX)  # as a process that is stopped
            client = sidecar.connect()
            started_at = time.monotonic()
            client.sendall(request("/receipt-issue", "r1"))
            assert read_status(client) == b"503"
            assert time.monotonic() - started_at < WAIT_S
            client.sendall(request("/campaign-read", "r2").replace(b"POST", b"GET"))
            assert read_status(client) == b"200"
        client.sendall(request("/receipt-issue", "r1"))
        assert read_status(client) == b"200"
    assert endpoint.request_ids == ["r2", "r1"]
    endpoint.close()


def test_id_of_rejected_request_may_be_sent_again(tmp_path: Path) -> None:
    """Guards against a retry that is refused although the first request was not processed."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        refusing_address = f"127.0.0.1:{closed.getsockname()[1]}"
    with RunningSidecar(tmp_path, [refusing_address]) as sidecar:
        for _ in range(2):
            client = sidecar.connect()
            client.sendall(request("/receipt-issue", "r1"))
            assert client.recv(4096).startswith(b"HTTP/1.1 503")
