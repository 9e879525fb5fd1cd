"""Races while a request is written in several parts because its endpoint reads slowly."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from lugtally.eventloop import WRITABLE, EventLoop
from lugtally.http1 import Message
from lugtally.units import NS_PER_S
from lugtally.upstream import FinishedAttempt, attempt
from lugtally.upstream.connection import UpstreamConnection
from tests.fakes import PeerConnection, Sidecar
from tests.upstream.pool_harness import ATTEMPT_TIMEOUT_NS, change_at_wait, patch_clock, start_attempt

LONG_HEAD = Message("GET", "/", headers=[("X-Pad", "x" * 200_000)])
LONG_BODY = Message("POST", "/", body=bytes(200_000))


@pytest.fixture
def started_writes(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> list[bool]:
    """Shrink the socket buffers; return a list that gets an element whenever a request starts to be written."""
    write_request = attempt.write_request
    written: list[bool] = []
    sidecar.server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def shrink_and_write(loop: EventLoop, connection: UpstreamConnection, *arguments: Any) -> None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        written.append(True)
        write_request(loop, connection, *arguments)

    monkeypatch.setattr(attempt, "write_request", shrink_and_write)
    return written


def read_available(peer: PeerConnection) -> bytes:
    """Read all bytes that have arrived, so that the sidecar can write more."""
    received = b""
    while True:
        try:
            received += peer.sock.recv(65536)
        except BlockingIOError:
            return received


def test_forwarded_time_left_is_that_at_the_write(
    sidecar: Sidecar, started_writes: list[bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The write waits for 3 s within the head, before the header with the time left is written."""
    advance_clock = patch_clock(sidecar, monkeypatch)
    results: list[FinishedAttempt] = []
    time_left_headers: list[str] = []

    def script() -> None:
        change_at_wait(
            sidecar,
            monkeypatch,
            lambda poll_events: bool(poll_events & WRITABLE and started_writes),
            lambda: advance_clock(3 * NS_PER_S),
        )
        start_attempt(sidecar, results, LONG_HEAD)
        peer = sidecar.server.accept()
        while b"\r\n\r\n" not in peer.received:
            assert peer.read_more()
        time_left_headers.extend(
            line for line in peer.received.decode().split("\r\n") if line.startswith("X-Time-Left")
        )
        peer.respond()
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert len(time_left_headers) == 1
    assert 0 < float(time_left_headers[0].split()[1]) <= (ATTEMPT_TIMEOUT_NS - 3 * NS_PER_S) / NS_PER_S


@pytest.mark.parametrize("message", [LONG_HEAD, LONG_BODY], ids=["in the head", "in the body"])
def test_write_stops_at_deadline(
    message: Message, sidecar: Sidecar, started_writes: list[bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process is suspended until after the deadline while it waits to write; the endpoint reads in this time."""
    advance_clock = patch_clock(sidecar, monkeypatch)
    results: list[FinishedAttempt] = []
    peers: list[PeerConnection] = []
    received_in_time: list[bytes] = []

    def read_and_pass_deadline() -> None:
        peers.append(PeerConnection(sidecar.loop, sidecar.server.sock.accept()[0]))
        received_in_time.append(read_available(peers[0]))
        advance_clock(ATTEMPT_TIMEOUT_NS)

    def script() -> None:
        change_at_wait(
            sidecar,
            monkeypatch,
            lambda poll_events: bool(poll_events & WRITABLE and started_writes),
            read_and_pass_deadline,
        )
        start_attempt(sidecar, results, message)
        sidecar.wait_until(lambda: bool(results))
        assert peers[0].read_to_end() == b""

    sidecar.run(script)
    assert received_in_time[0]
    assert results[0].outcome.name == "TIMEOUT_BEFORE_SENT"


@pytest.mark.parametrize("buffer_bytes", [4096, 4 * 1024 * 1024], ids=["partly written", "completely written"])
def test_cancelled_attempt_discards_its_send_buffer(
    buffer_bytes: int, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The kernel must not deliver the rest of the request to an endpoint that reads it later."""
    write_request = attempt.write_request
    connections: list[UpstreamConnection] = []
    written: list[bool] = []
    results: list[FinishedAttempt] = []
    sidecar.server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def set_buffer_and_write(loop: EventLoop, connection: UpstreamConnection, *arguments: Any) -> None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        connections.append(connection)
        write_request(loop, connection, *arguments)
        written.append(True)

    def script() -> None:
        monkeypatch.setattr(attempt, "write_request", set_buffer_and_write)
        task = start_attempt(sidecar, results, LONG_BODY)
        peer = sidecar.server.accept()
        sidecar.wait_until(lambda: bool(connections))
        sidecar.loop.sleep(0)
        assert bool(written) == (buffer_bytes > len(LONG_BODY.body))
        sidecar.loop.interrupt(task)
        sidecar.wait_until(lambda: bool(results))
        received = peer.read_to_end()
        assert len(received) < len(LONG_BODY.body) // 2

    sidecar.run(script)
    assert results[0].outcome.name == ("CANCELLED" if written else "CANCELLED_BEFORE_SENT")
