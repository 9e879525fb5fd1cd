"""Clients that read their responses steadily get all of them; only those that have stopped are disconnected."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lugtally.downstream import closing, request_reader, send_progress, shutdown_state
from lugtally.downstream import connection as downstream_connection
from lugtally.downstream.connection_state import ConnectionState
from lugtally.eventloop import WRITABLE, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.downstream.test_shutdown import DrainingSidecar
from tests.fakes import PeerConnection, Sidecar, request

BYTES_PER_S = 2_000_000
"""How fast the clients read: a full send buffer takes over 0.5 s to become writable."""
LONG_BODY_BYTES = 10_000_000
"""More than the buffers of both sockets."""
BUFFERED_BODY_BYTES = 3_000_000
"""The sidecar writes a body of this length without waiting, and the client reads it in 1.5 s."""
LAST_RESPONSE_NS = 1_050 * NS_PER_MS
"""When a shutdown stops to wait for clients that do not read, if the longest awaited deadline is 0."""


def send_body(connection: PeerConnection, size: int) -> None:
    """Send a long response as fast as the sidecar reads it."""
    unsent = memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))
    while unsent:
        try:
            unsent = unsent[connection.sock.send(unsent[:65536]) :]
        except BlockingIOError:
            connection.loop.wait(connection.sock.fileno(), WRITABLE)
        except OSError:
            return  # the sidecar has closed the connection


def read_steadily(client: PeerConnection, size: int) -> int:
    """Read a response at ``BYTES_PER_S``; return how many bytes of its body were received."""
    loop = client.loop
    received_bytes = -1
    started_ns = loop.now()
    while received_bytes < size and (data := client.read()):
        if received_bytes < 0:
            received_bytes = 0
            data = data.partition(b"\r\n\r\n")[2]
        received_bytes += len(data)
        loop.sleep(max(0, started_ns + received_bytes * NS_PER_S // BYTES_PER_S - loop.now()))
    return received_bytes


def start_response(sidecar: Sidecar, size: int, headers: str = "") -> PeerConnection:
    """Let a client request a body of this length, and the endpoint send it; return the client."""
    client = sidecar.client(sidecar.listen_with_one_endpoint())
    client.send(request("read", headers=headers))
    sidecar.loop.spawn(send_body, sidecar.server.accept_request(), size)
    return client


def is_in(sidecar: Sidecar, *states: ConnectionState) -> Callable[[], bool]:
    """Return a condition: the only client connection is in one of these states."""

    def check() -> bool:
        return [connection.state in states for connection in sidecar.downstream._connections] == [True]

    return check


@pytest.fixture
def draining_sidecar(monkeypatch: pytest.MonkeyPatch) -> DrainingSidecar:
    """A sidecar whose shutdown takes 1 s if all clients read."""
    monkeypatch.setattr(shutdown_state, "MAX_AWAITED_DEADLINE_NS", 0)
    return DrainingSidecar()


@pytest.mark.parametrize("knows_progress", [True, False], ids=["ioctl", "no ioctl"])
def test_steady_reader_gets_complete_response_in_shutdown(
    knows_progress: bool, monkeypatch: pytest.MonkeyPatch, draining_sidecar: DrainingSidecar
) -> None:
    """Regression: it was disconnected 50 ms after the last response was due, because its socket was not writable."""
    if not knows_progress:
        monkeypatch.setattr(send_progress, "unacknowledged_bytes", lambda _: None)

    def script() -> None:
        client = start_response(draining_sidecar, LONG_BODY_BYTES)
        draining_sidecar.drain()
        assert read_steadily(client, LONG_BODY_BYTES) == LONG_BODY_BYTES
        client.sock.close()
        assert draining_sidecar.wait_for_end() > LAST_RESPONSE_NS

    draining_sidecar.run(script)


def test_stopped_reader_is_disconnected_in_shutdown(draining_sidecar: DrainingSidecar) -> None:
    """It reads for 0.5 s after the start of the shutdown."""

    def script() -> None:
        client = start_response(draining_sidecar, LONG_BODY_BYTES)
        draining_sidecar.drain()
        read_steadily(client, BYTES_PER_S // 2)
        stopped_ns = draining_sidecar.since_drain_ns()
        timeout_ns = downstream_connection.SHUTDOWN_STALL_TIMEOUT_NS
        assert draining_sidecar.wait_for_end() < max(LAST_RESPONSE_NS, stopped_ns + timeout_ns) + NS_PER_S // 2

    draining_sidecar.run(script)


def test_steady_reader_is_not_disconnected(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """Regression: a client was disconnected if its send buffer took longer than the timeout to become writable."""
    monkeypatch.setattr(downstream_connection, "WRITE_STALL_TIMEOUT_NS", 300 * NS_PER_MS)

    def script() -> None:
        client = start_response(sidecar, LONG_BODY_BYTES)
        assert read_steadily(client, LONG_BODY_BYTES) == LONG_BODY_BYTES

    sidecar.run(script)


def test_stopped_reader_is_disconnected(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    monkeypatch.setattr(downstream_connection, "WRITE_STALL_TIMEOUT_NS", 300 * NS_PER_MS)

    def script() -> None:
        client = start_response(sidecar, LONG_BODY_BYTES)
        read_steadily(client, BYTES_PER_S // 10)
        stopped_ns = sidecar.loop.now()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)
        assert sidecar.loop.now() - stopped_ns < NS_PER_S

    sidecar.run(script)


@pytest.mark.parametrize("draining", [False, True], ids=["connection close", "shutdown"])
def test_input_after_last_response_does_not_truncate_it(
    draining: bool, monkeypatch: pytest.MonkeyPatch, draining_sidecar: DrainingSidecar
) -> None:
    """Regression: the close over unread input discarded what the client had not read after the lingering close."""
    monkeypatch.setattr(closing, "SHORT_LINGER_NS", 50 * NS_PER_MS)
    monkeypatch.setattr(closing, "MAX_LINGER_NS", 100 * NS_PER_MS)
    sidecar = draining_sidecar

    def script() -> None:
        client = start_response(sidecar, BUFFERED_BODY_BYTES, "" if draining else "Connection: close\r\n")
        if draining:
            sidecar.drain()
        sidecar.wait_until(is_in(sidecar, ConnectionState.LINGERING))
        client.send(b"GET /more HTTP/1.1\r\n")
        assert read_steadily(client, BUFFERED_BODY_BYTES) == BUFFERED_BODY_BYTES
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)

    sidecar.run(script)


def test_idle_close_does_not_truncate_last_response(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """Regression: the connection was closed while its client still read, and the next request reset it."""
    monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", 50 * NS_PER_MS)

    def script() -> None:
        client = start_response(sidecar, BUFFERED_BODY_BYTES)
        sidecar.wait_until(is_in(sidecar, ConnectionState.IDLE))
        sidecar.loop.sleep(200 * NS_PER_MS)
        client.send(request("read", "r2"))
        assert read_steadily(client, BUFFERED_BODY_BYTES) == BUFFERED_BODY_BYTES

    sidecar.run(script)


def test_client_that_disconnects_ends_wait_for_delivery(sidecar: Sidecar) -> None:
    def script() -> None:
        client = start_response(sidecar, BUFFERED_BODY_BYTES, "Connection: close\r\n")
        sidecar.wait_until(is_in(sidecar, ConnectionState.LINGERING))
        client.sock.close()
        closed_ns = sidecar.loop.now()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)
        assert sidecar.loop.now() - closed_ns < NS_PER_S

    sidecar.run(script)


def test_wait_for_client_that_reads_can_be_interrupted(sidecar: Sidecar) -> None:
    """An interrupted attempt must not write further bytes of its response."""
    results: list[bool] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        client = sidecar.client(address)
        sidecar.wait_until(lambda: bool(sidecar.downstream._connections))
        (connection,) = sidecar.downstream._connections
        task = sidecar.loop.spawn(lambda: results.append(connection.write(bytes(LONG_BODY_BYTES))))
        sidecar.loop.sleep(20 * NS_PER_MS)
        sidecar.loop.interrupt(task)
        sidecar.wait_until(lambda: bool(results))
        assert sidecar.loop.wait(client.sock.fileno(), WRITABLE) is WakeReason.READY

    sidecar.run(script)
    assert results == [False]
