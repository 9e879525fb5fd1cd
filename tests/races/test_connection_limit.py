"""As many clients as may be are connected: who waits in the backlog is accepted in time, and nobody pays for it unduly.

What holds is said by what clients see; no limit on time of the code is named here.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import pytest

from lugtally.address import Address
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.races.fakes import PeerConnection, Sidecar, request

HALF_A_REQUEST = b"GET /read HTTP/1.1\r\nHost: s\r\n"
MAX_EVICTION_DELAY_NS = NS_PER_S
"""How long a whole crowd of new clients may wait where idle connections hold all places."""
FRESH_NS = 100 * NS_PER_MS
"""How long a connection that has just been accepted is given for its first byte."""


def respond_to_each(connection: PeerConnection) -> None:
    """Answer the requests of one of the endpoint's connections until it ends."""
    while b"\r\n\r\n" in connection.received or connection.read_more():
        connection.read_head()
        connection.respond()


def respond_to_all(sidecar: Sidecar) -> None:
    """Let the one endpoint answer every request on every connection that it accepts from now on."""

    def accept() -> None:
        while not sidecar.stopped:
            sidecar.loop.spawn(respond_to_each, sidecar.server.accept())

    sidecar.loop.spawn(accept)


def connect(sidecar: Sidecar, address: Address, count: int) -> list[PeerConnection]:
    """Connect clients that say nothing yet."""
    return [sidecar.client(address) for _ in range(count)]


def hold_requests(sidecar: Sidecar, clients: list[PeerConnection], prefix: str) -> list[PeerConnection]:
    """Have each client's request reach the endpoint, which does not answer; return its connections in that order."""
    held = []
    for number, client in enumerate(clients):
        client.send(request("read", f"{prefix}{number}"))
        connection = sidecar.server.accept_request()
        held.append(connection)
    return held


def has_news(sidecar: Sidecar, client: PeerConnection) -> bool:
    """Whether the client has got bytes, an end or a reset."""
    return sidecar.loop.is_ready(client.sock.fileno(), 1)


@pytest.mark.parametrize("kind", ["silent", "kept"])
def test_idle_connections_are_evicted_for_waiting_clients(kind: str) -> None:
    """All waiting clients are served within ``MAX_EVICTION_DELAY_NS``."""
    sidecar = Sidecar(max_clients=24)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        kept = connect(sidecar, address, 12 if kind == "kept" else 0)  # more would not be kept after their answers
        for number, client in enumerate(kept):
            client.send(request("read", f"kept{number}"))
            assert client.read().startswith(b"HTTP/1.1 200")
        silent = connect(sidecar, address, 24 - len(kept))
        sidecar.wait_until(lambda: sidecar.downstream.open >= 23)
        sidecar.loop.sleep(2 * FRESH_NS)
        began_ns = sidecar.loop.now()
        crowd = connect(sidecar, address, 20)
        for number, client in enumerate(crowd):
            client.send(request("read", f"new{number}"))
        for client in crowd:
            assert client.read().startswith(b"HTTP/1.1 200")
        waited_ns = sidecar.loop.now() - began_ns
        assert waited_ns < MAX_EVICTION_DELAY_NS, f"the crowd waited for {waited_ns / NS_PER_MS:.0f} ms"
        for client in [*kept, *silent]:
            client.sock.close()

    sidecar.run(script)


def test_idle_connections_stay_open_with_empty_backlog() -> None:
    """The limit on connections is reached, but no client waits."""
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        idle = connect(sidecar, sidecar.listen_with_one_endpoint(), 4)
        sidecar.wait_until(lambda: sidecar.downstream.open == 4)
        sidecar.loop.sleep(5 * FRESH_NS)
        evicted = sum(has_news(sidecar, client) for client in idle)
        assert evicted == 0, f"{evicted} of 4 were evicted"

    sidecar.run(script)


def test_request_in_progress_is_not_evicted() -> None:
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = connect(sidecar, address, 4)
        held = hold_requests(sidecar, busy, "busy")
        crowd = connect(sidecar, address, 8)
        for number, client in enumerate(crowd):
            client.send(request("read", f"new{number}"))
        sidecar.loop.sleep(5 * FRESH_NS)
        respond_to_all(sidecar)
        for client, connection in zip(busy, held, strict=True):
            assert not has_news(sidecar, client), "a connection with a request in progress was closed"
            connection.respond(b"held")
            assert client.read().endswith(b"\r\n\r\nheld")
            client.sock.close()
            sidecar.loop.spawn(respond_to_each, connection)
        for client in crowd:
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()

    sidecar.run(script)


@pytest.mark.parametrize(("max_clients", "half_count"), [(4, 4), (8, 16)], ids=["one row", "two rows"])
def test_incomplete_request_is_evicted_at_connection_limit(max_clients: int, half_count: int) -> None:
    """It gets a 408 in time for a request in the backlog that has 2 s left."""
    sidecar = Sidecar(max_clients=max_clients)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        halves = connect(sidecar, address, half_count)
        for client in halves:
            client.send(HALF_A_REQUEST)
        sidecar.wait_until(lambda: sidecar.downstream.open == max_clients)
        began_ns = sidecar.loop.now()
        late = sidecar.client(address)
        late.send(request("read", time_left_s=2.0))
        assert late.read().startswith(b"HTTP/1.1 200")
        waited_ns = sidecar.loop.now() - began_ns
        assert waited_ns < 2 * NS_PER_S, f"it was answered after {waited_ns / NS_PER_MS:.0f} ms"
        closed = [client for client in halves if has_news(sidecar, client)]
        assert closed, "its place was nobody's"
        for client in closed:
            assert client.read_to_end().startswith(b"HTTP/1.1 408")

    sidecar.run(script)


def test_new_connection_is_not_evicted_before_its_first_request() -> None:
    """It has most of ``NEW_CONNECTION_GRACE_NS`` before it may be evicted as idle."""
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = connect(sidecar, address, 2)
        hold_requests(sidecar, busy, "busy")
        fresh_until_ns = sidecar.loop.now() + FRESH_NS * 8 // 10
        fresh = sidecar.client(address)
        sidecar.wait_until(lambda: sidecar.downstream.open == 3)
        sidecar.loop.sleep(NS_PER_MS)  # its task has found nothing to read
        second = sidecar.client(address)  # the last place is taken
        crowd = connect(sidecar, address, 8)
        for number, client in enumerate(crowd):
            client.send(request("read", f"new{number}"))
        sidecar.loop.sleep(fresh_until_ns - sidecar.loop.now())
        assert not has_news(sidecar, fresh), "it was evicted"
        respond_to_all(sidecar)
        fresh.send(request("read", "fresh"))
        assert fresh.read().startswith(b"HTTP/1.1 200")
        for client in [*busy, second, *crowd]:
            client.sock.close()

    sidecar.run(script)


def fail_accepts(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar, fails: Callable[[], bool]) -> list[int]:
    """Let accepting on the sidecar's listener find no free descriptor where ``fails`` says so; return its errors."""
    accept = socket.socket.accept
    failures: list[int] = []

    def accept_or_fail(sock: socket.socket) -> tuple[socket.socket, object]:
        if sock is sidecar.downstream.listener and fails():
            failures.append(errno.EMFILE)
            raise OSError(errno.EMFILE, "Too many open files")
        return accept(sock)

    monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
    return failures


@pytest.mark.parametrize("draining", [False, True], ids=["serving", "draining"])
def test_accepting_resumes_after_descriptor_exhaustion(
    draining: bool, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        failures = fail_accepts(monkeypatch, sidecar, lambda: len(failures) < 5)
        if draining:
            sidecar.downstream.drain()
        clients = connect(sidecar, address, 3)
        for number, client in enumerate(clients):
            client.send(request("read", f"new{number}"))
        for client in clients:
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()
        assert len(failures) == 5

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)


def test_idle_connection_is_evicted_without_free_descriptor(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """Applies below the limit on connections, too."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        idle = connect(sidecar, address, 4)
        sidecar.wait_until(lambda: sidecar.downstream.open == 4)
        sidecar.loop.sleep(2 * FRESH_NS)
        failures = fail_accepts(monkeypatch, sidecar, lambda: sidecar.downstream.open >= 4)
        began_ns = sidecar.loop.now()
        late = sidecar.client(address)
        late.send(request("read"))
        assert late.read().startswith(b"HTTP/1.1 200")
        waited_ns = sidecar.loop.now() - began_ns
        assert failures
        assert waited_ns < MAX_EVICTION_DELAY_NS, f"it waited for {waited_ns / NS_PER_MS:.0f} ms"
        for client in idle:
            client.sock.close()

    sidecar.run(script)


def test_waiting_clients_are_served_among_slow_connections() -> None:
    """Idle, incomplete and busy connections occupy all places; busy ones are not closed."""
    sidecar = Sidecar(max_clients=12)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = connect(sidecar, address, 4)
        held = hold_requests(sidecar, busy, "busy")
        halves = connect(sidecar, address, 4)
        for client in halves:
            client.send(HALF_A_REQUEST)
        silent = connect(sidecar, address, 4)
        sidecar.wait_until(lambda: sidecar.downstream.open == 12)
        sidecar.loop.sleep(2 * FRESH_NS)
        respond_to_all(sidecar)
        began_ns = sidecar.loop.now()
        crowd = connect(sidecar, address, 20)
        for number, client in enumerate(crowd):
            client.send(request("read", f"new{number}", time_left_s=2.0))
        for client in crowd:
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()
        waited_ns = sidecar.loop.now() - began_ns
        assert waited_ns < 2 * NS_PER_S, f"the crowd waited for {waited_ns / NS_PER_MS:.0f} ms"
        for client, connection in zip(busy, held, strict=True):
            assert not has_news(sidecar, client), "a connection with a request in progress was closed"
            connection.respond(b"held")
            assert client.read().endswith(b"\r\n\r\nheld")
        for client in halves:
            if has_news(sidecar, client):
                assert client.read().startswith(b"HTTP/1.1 408")
        for client in silent:
            client.sock.close()

    sidecar.run(script)


def test_lingering_connections_are_evicted_for_waiting_clients() -> None:
    """Clients that do not close after their last response do not delay those in the backlog."""
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        began_ns = sidecar.loop.now()
        crowd = connect(sidecar, address, 40)
        for number, client in enumerate(crowd):
            client.send(request("read", f"new{number}"))
        for client in crowd:
            assert client.read().startswith(b"HTTP/1.1 200")
        waited_ns = sidecar.loop.now() - began_ns
        assert waited_ns < MAX_EVICTION_DELAY_NS, f"the crowd waited for {waited_ns / NS_PER_MS:.0f} ms"
        for client in crowd:
            client.sock.close()

    sidecar.run(script)
