"""Crossings where a connection to a client is closed: a request that comes just then, an answer not yet read."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.downstream import acceptor, closing, request_reader
from lugtally.downstream import connection as downstream_connection
from lugtally.eventloop import Event, WakeReason
from lugtally.units import NS_PER_MS
from lugtally.upstream import attempt, split_descriptors
from tests.integration.player import Player
from tests.races.fakes import PeerConnection, Sidecar, request
from tests.sidecar_program import ROOT


def open_descriptors() -> int:
    """Return how many descriptors this process has open."""
    return len(list(Path("/proc/self/fd").iterdir()))


def slow_reader(sidecar: Sidecar, address: Address) -> PeerConnection:
    """A client that takes in little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(address)
    return PeerConnection(sidecar.loop, sock)


@pytest.mark.parametrize("body", [60_000, 100_004])
@pytest.mark.parametrize("draining", [False, True], ids=["connection close", "draining"])
def test_client_sending_after_last_response_receives_all_of_it(body: int, draining: bool, sidecar: Sidecar) -> None:
    """Closing a socket with unread bytes sends a reset, which discards what the client has not read."""

    def script() -> None:
        client = slow_reader(sidecar, sidecar.listen_with_one_endpoint())
        client.send(request("read", headers="" if draining else "Connection: close\r\n"))
        connection = sidecar.server.accept_request()
        if draining:
            sidecar.downstream.drain()
        connection.respond(b"x" * body)
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()) and not sidecar.dispatcher.in_progress)
        for _ in range(3):
            sidecar.loop.sleep(0)  # the downstream task has written its answer, as far as it is taken
        client.send(b"GET /more HTTP/1.1\r\n")
        got = client.read_to_end()
        assert got.partition(b"\r\n\r\n")[2] == b"x" * body
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open == 0)

    def stop_when_finished() -> None:
        sidecar.loop._stopped = sidecar.loop._stopped or sidecar.stopped

    sidecar.loop.stop = stop_when_finished  # type: ignore[method-assign]
    sidecar.run(script)


def test_request_arriving_at_idle_timeout_is_answered(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """It arrives between the poll that times out and the close."""
    monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", 20 * NS_PER_MS)
    waited = Event.wait
    sent: list[int] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()

        def wait(self: Event, deadline_ns: int | None = None) -> WakeReason:
            reason = waited(self, deadline_ns)
            if (
                reason is WakeReason.TIMEOUT
                and not sent
                and any(self is one.wake_up for one in sidecar.downstream._open)
            ):
                sent.append(1)
                monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", 5_000 * NS_PER_MS)
                client.send(request("read"))
            return reason

        monkeypatch.setattr(Event, "wait", wait)
        client = sidecar.client(address)
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.send(request("read", "r2"))  # it is kept, as any other that has just been answered
        connection.read_head()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

    sidecar.run(script)
    assert sent


def test_shutdown_ends_at_connection_limit() -> None:
    """The accepting task waits for a free place, and must not use up the wake-up of the shutdown."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        sidecar.downstream.drain()
        sidecar.wait_until(sidecar.has_closed_listener)
        # past the last time at which the accepting task looks for room
        sidecar.loop.sleep(2 * acceptor.EVICTION_INTERVAL_NS)
        connection.respond()
        assert client.read_to_end().startswith(b"HTTP/1.1 200")
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.has_shut_down)

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)


def test_connection_accepted_last_in_shutdown_may_send_request() -> None:
    """It is accepted as the listener closes, and its request arrives afterwards."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        first = sidecar.client(address)
        first.send(request("read"))
        connection = sidecar.server.accept_request()
        second = sidecar.client(address)  # waits in the backlog: the one place is taken
        sidecar.downstream.drain()
        sidecar.wait_until(lambda: sidecar.downstream._shutdown.state.closing)
        connection.respond()
        assert first.read_to_end().startswith(b"HTTP/1.1 200")
        first.sock.close()
        sidecar.wait_until(sidecar.has_closed_listener)
        second.send(request("read", "r2"))
        if connection.read_more():
            connection.read_head()
        else:
            connection = sidecar.server.accept_request()
        connection.respond()
        assert second.read_to_end().startswith(b"HTTP/1.1 200")

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)


def test_request_after_connection_close_is_not_forwarded(sidecar: Sidecar) -> None:
    """Its client retries it on another connection, so that it must not run here as well."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("once", method="POST", headers="Connection: close\r\nContent-Length: 0\r\n"))
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read_to_end().startswith(b"HTTP/1.1 200")
        client.send(request("once", "r2", method="POST", headers="Content-Length: 0\r\n"))
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open == 0)
        assert sidecar.server.is_idle()
        assert not sidecar.loop.is_ready(connection.sock.fileno(), 1)

    sidecar.run(script)
    assert sum(isinstance(event, balancing.Request) for event in sidecar.balancer.events) == 1


def test_malformed_or_slow_request_is_closed_within_3s() -> None:
    """The client keeps sending after its 400 or 408."""
    margin = 100 * NS_PER_MS
    assert closing.MAX_LINGER_NS + margin < 3_000 * NS_PER_MS
    assert request_reader.REQUEST_TIMEOUT_NS + closing.SHORT_LINGER_NS + margin < 3_000 * NS_PER_MS
    for slow in (True, False):
        sidecar = Sidecar()

        def script(slow: bool = slow, sidecar: Sidecar = sidecar) -> None:
            client = sidecar.client(sidecar.listen_with_one_endpoint())
            client.send(b"GET /read HTTP/1.1\r\n" if slow else b"what\r\n\r\n")
            assert client.read().startswith(b"HTTP/1.1 4")
            while sidecar.downstream.open:  # it sends on for as long as it can
                try:
                    client.send(b"x")
                except OSError:
                    break
                sidecar.loop.sleep(NS_PER_MS)
            sidecar.wait_until(lambda: not sidecar.downstream.open)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 10 * NS_PER_MS)
            patch.setattr(closing, "MAX_LINGER_NS", 50 * NS_PER_MS)
            patch.setattr(closing, "SHORT_LINGER_NS", 50 * NS_PER_MS)
            sidecar.run(script)


def test_shutdown_before_first_endpoint_list_answers_503(tmp_path: Path) -> None:
    """Discovery never answers and no endpoint is cached; SIGTERM still ends the process."""
    player = Player(tmp_path)
    player.known_endpoints = []
    (tmp_path / "config.json").write_text(json.dumps(player.config()))
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)},
    )
    try:
        assert process.stderr is not None
        assert b" serves at " in process.stderr.readline()
        player.on_send("c1", request("campaign-read").decode().replace("\r\n", "|"))
        player.on_want("c1", "HTTP/1.1 503 Service Unavailable|Retry-After: *|Content-Length: 5||busy~")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        player.end()


@pytest.mark.parametrize("sockets", [64, 100, 256, 1024, 65536])
def test_descriptor_shares_leave_a_reserve(sockets: int) -> None:
    """The standard streams, signals, listeners, discovery and the drain file need 9 descriptors."""
    max_clients, max_upstream = split_descriptors(sockets)
    assert max_clients + max_clients // 8 + max_upstream <= sockets - 10, (
        "also with what the end of a planned restart takes"
    )
    assert max_clients >= 16
    assert max_upstream >= 16


def test_discovery_connects_at_client_connection_limit() -> None:
    """Idle clients use all of their share while discovery disconnects; its descriptor is reserved."""
    max_clients, _ = split_descriptors(64)
    sidecar = Sidecar(max_clients=max_clients)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.endpoint_watcher.watch()
        connection = sidecar.discovery.accept_request()
        connection.send_endpoint_list(1, False)
        connection.read_head()
        idle_clients = [sidecar.client(address) for _ in range(max_clients + 20)]
        sidecar.wait_until(lambda: sidecar.downstream.open >= max_clients - 1)
        before = open_descriptors()
        connection.sock.close()
        fresh = sidecar.discovery.accept()
        assert "from=1&" in fresh.read_head()
        assert sidecar.downstream.open <= max_clients
        assert open_descriptors() <= before + 2
        late_client = sidecar.client(address)  # work is served all the same: an idle one is evicted
        late_client.send(request("read"))
        server = sidecar.server.accept_request()
        server.respond()
        assert late_client.read().startswith(b"HTTP/1.1 200")
        for client in idle_clients:
            client.sock.close()

    sidecar.run(script)


@pytest.mark.parametrize("how", ["end", "half a line"])
def test_connection_closed_before_write_fails_request_once(
    how: str, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    """The request may have run: it gets a 502 and is not retried."""
    write_request = attempt.write_request

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("once", "r0", method="POST", headers="Content-Length: 0\r\n"))
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

        def close_and_write(*arguments: Any) -> None:
            if how == "half a line":
                connection.send(b"HTTP/1.1 20")
            connection.sock.close()
            write_request(*arguments)

        monkeypatch.setattr(attempt, "write_request", close_and_write)
        client.send(request("once", "r1", method="POST", headers="Content-Length: 0\r\n"))
        assert client.read().startswith(b"HTTP/1.1 502")
        assert sidecar.server.is_idle(), "it was sent again"

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.OK, balancing.AttemptResult.RESET]


def test_shutdown_ends_while_client_reads_no_response(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """A write that stalls is given up after its timeout, also during a graceful shutdown."""
    monkeypatch.setattr(downstream_connection, "WRITE_STALL_TIMEOUT_NS", 50 * NS_PER_MS)

    def script() -> None:
        client = slow_reader(sidecar, sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        sidecar.downstream.drain()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n")
        sidecar.loop.spawn(lambda: pour(connection))
        sidecar.wait_until(lambda: sidecar.has_shut_down)

    def pour(connection: PeerConnection) -> None:
        while (
            sidecar.loop.wait(connection.sock.fileno(), 4, sidecar.loop.now() + 5_000 * NS_PER_MS) is WakeReason.READY
        ):
            try:
                connection.sock.send(bytes(65536))
            except OSError:
                return

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)
