"""The limit on client connections: waiting clients are accepted in time, and no request in progress is evicted.

The tests check what clients observe, with time limits of their own instead of those in the code.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import pytest

from lugtally.address import Address
from lugtally.eventloop import READABLE
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fakes import PeerConnection, Sidecar, request

INCOMPLETE_REQUEST = b"GET /read HTTP/1.1\r\nHost: s\r\n"
MAX_EVICTION_DELAY_NS = NS_PER_S
"""How long clients may wait in the backlog while only idle connections use up the limit."""
NEW_CONNECTION_GRACE_NS = 100 * NS_PER_MS
"""How long the client of a new connection has to send its first byte, before the connection may be evicted."""


def respond_to_each(connection: PeerConnection) -> None:
    """Respond to each request on one upstream connection, until the connection ends."""
    while b"\r\n\r\n" in connection.received or connection.read_more():
        connection.read_head()
        connection.respond()


def respond_to_all(sidecar: Sidecar) -> None:
    """Let the endpoint respond to all requests on the connections that it accepts from now on."""

    def accept() -> None:
        while not sidecar.script_ended:
            sidecar.loop.spawn(respond_to_each, sidecar.server.accept())

    sidecar.loop.spawn(accept)


def connect(sidecar: Sidecar, address: Address, count: int) -> list[PeerConnection]:
    """Connect this many clients, which send nothing."""
    return [sidecar.client(address) for _ in range(count)]


def send_requests(clients: list[PeerConnection], id_prefix: str) -> None:
    """Send one request from each client."""
    for number, client in enumerate(clients):
        client.send(request("read", f"{id_prefix}{number}"))


def start_requests(sidecar: Sidecar, clients: list[PeerConnection]) -> list[PeerConnection]:
    """Send one request from each client to the endpoint, which does not respond; return the upstream connections."""
    upstream_connections = []
    for number, client in enumerate(clients):
        client.send(request("read", f"busy{number}"))
        upstream_connections.append(sidecar.server.accept_request())
    return upstream_connections


def assert_new_clients_are_served(
    sidecar: Sidecar, address: Address, count: int, *, within_ns: int, time_left_s: float = 5.0
) -> None:
    """Connect this many clients that send one request each; fail unless all of them receive a 200 in time."""
    started_ns = sidecar.loop.now()
    clients = connect(sidecar, address, count)
    for number, client in enumerate(clients):
        client.send(request("read", f"new{number}", time_left_s=time_left_s))
    for client in clients:
        assert client.read().startswith(b"HTTP/1.1 200")
    waited_ns = sidecar.loop.now() - started_ns
    assert waited_ns < within_ns, f"the new clients waited for {waited_ns / NS_PER_MS:.0f} ms"
    for client in clients:
        client.sock.close()


def has_input(sidecar: Sidecar, client: PeerConnection) -> bool:
    """Whether the client has received bytes, the end of the connection or a reset."""
    return sidecar.loop.is_ready(client.sock.fileno(), READABLE)


@pytest.mark.parametrize("kind", ["unused", "reused"])
def test_idle_connections_are_evicted_for_waiting_clients(kind: str) -> None:
    """All waiting clients are served within ``MAX_EVICTION_DELAY_NS``."""
    sidecar = Sidecar(max_clients=24)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        # If more than half of the allowed connections were open, each response would close its connection.
        served = connect(sidecar, address, 12 if kind == "reused" else 0)
        send_requests(served, "first")
        for client in served:
            assert client.read().startswith(b"HTTP/1.1 200")
        unused = connect(sidecar, address, 24 - len(served))
        sidecar.wait_until(lambda: sidecar.downstream.open_connections >= 23)
        sidecar.loop.sleep(2 * NEW_CONNECTION_GRACE_NS)
        assert_new_clients_are_served(sidecar, address, 20, within_ns=MAX_EVICTION_DELAY_NS)
        for client in [*served, *unused]:
            client.sock.close()

    sidecar.run(script)


def test_idle_connections_stay_open_with_empty_backlog() -> None:
    """The connection limit is reached, but no client waits."""
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        idle = connect(sidecar, sidecar.listen_with_one_endpoint(), 4)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 4)
        sidecar.loop.sleep(5 * NEW_CONNECTION_GRACE_NS)
        evicted = sum(has_input(sidecar, client) for client in idle)
        assert evicted == 0, f"{evicted} of 4 idle connections were evicted"

    sidecar.run(script)


def test_request_in_progress_is_not_evicted() -> None:
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = connect(sidecar, address, 4)
        upstream_connections = start_requests(sidecar, busy)
        waiting = connect(sidecar, address, 8)
        send_requests(waiting, "new")
        sidecar.loop.sleep(5 * NEW_CONNECTION_GRACE_NS)
        respond_to_all(sidecar)
        for client, connection in zip(busy, upstream_connections, strict=True):
            assert not has_input(sidecar, client), "a connection with a request in progress was closed"
            connection.respond(b"busy")
            assert client.read().endswith(b"\r\n\r\nbusy")
            client.sock.close()
            sidecar.loop.spawn(respond_to_each, connection)
        for client in waiting:
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()

    sidecar.run(script)


@pytest.mark.parametrize(
    ("max_clients", "incomplete_count"), [(4, 4), (8, 16)], ids=["all accepted", "half in backlog"]
)
def test_incomplete_request_is_evicted_at_connection_limit(max_clients: int, incomplete_count: int) -> None:
    """It gets a 408 early enough for a request in the backlog that has 2 s left."""
    sidecar = Sidecar(max_clients=max_clients)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        incomplete = connect(sidecar, address, incomplete_count)
        for client in incomplete:
            client.send(INCOMPLETE_REQUEST)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == max_clients)
        assert_new_clients_are_served(sidecar, address, 1, within_ns=2 * NS_PER_S, time_left_s=2.0)
        evicted = [client for client in incomplete if has_input(sidecar, client)]
        assert evicted, "no incomplete request was evicted"
        for client in evicted:
            assert client.read_to_end().startswith(b"HTTP/1.1 408")

    sidecar.run(script)


def test_new_connection_is_not_evicted_before_its_first_request() -> None:
    """It stays open for most of ``NEW_CONNECTION_GRACE_NS``; after that it may be evicted."""
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = connect(sidecar, address, 2)
        upstream_connections = start_requests(sidecar, busy)
        first_request_ns = sidecar.loop.now() + NEW_CONNECTION_GRACE_NS * 8 // 10
        new = sidecar.client(address)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 3)
        sidecar.loop.sleep(NS_PER_MS)  # until the connection's task has found nothing to read
        last = sidecar.client(address)  # reaches the limit
        waiting = connect(sidecar, address, 8)
        send_requests(waiting, "waiting")
        sidecar.loop.sleep(first_request_ns - sidecar.loop.now())
        assert not has_input(sidecar, new), "the new connection was evicted"
        respond_to_all(sidecar)
        new.send(request("read", "new"))
        assert new.read().startswith(b"HTTP/1.1 200")
        for connection in [*busy, last, *waiting, *upstream_connections]:
            connection.sock.close()

    sidecar.run(script)


def inject_accept_failures(
    monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar, should_fail: Callable[[], bool]
) -> list[int]:
    """Fail each accept on the sidecar's listener with EMFILE while ``should_fail()``; return the list of failures."""
    original_accept = socket.socket.accept
    failures: list[int] = []

    def accept_or_fail(sock: socket.socket) -> tuple[socket.socket, object]:
        if sock is sidecar.downstream.listener and should_fail():
            failures.append(errno.EMFILE)
            raise OSError(errno.EMFILE, "Too many open files")
        return original_accept(sock)

    monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
    return failures


@pytest.mark.parametrize("draining", [False, True], ids=["serving", "draining"])
def test_accepting_resumes_after_descriptor_exhaustion(
    draining: bool, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        failures = inject_accept_failures(monkeypatch, sidecar, lambda: len(failures) < 5)
        if draining:
            sidecar.downstream.drain()
        clients = connect(sidecar, address, 3)
        send_requests(clients, "new")
        for client in clients:
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()
        assert len(failures) == 5

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)


def test_idle_connection_is_evicted_without_free_descriptor(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """Also applies below the connection limit."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        idle = connect(sidecar, address, 4)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 4)
        sidecar.loop.sleep(2 * NEW_CONNECTION_GRACE_NS)
        failures = inject_accept_failures(monkeypatch, sidecar, lambda: sidecar.downstream.open_connections >= 4)
        assert_new_clients_are_served(sidecar, address, 1, within_ns=MAX_EVICTION_DELAY_NS)
        assert failures
        for client in idle:
            client.sock.close()

    sidecar.run(script)


def test_waiting_clients_are_served_among_slow_connections() -> None:
    """Idle connections, incomplete requests and requests in progress use up the limit; the last are not evicted."""
    sidecar = Sidecar(max_clients=12)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = connect(sidecar, address, 4)
        upstream_connections = start_requests(sidecar, busy)
        incomplete = connect(sidecar, address, 4)
        for client in incomplete:
            client.send(INCOMPLETE_REQUEST)
        unused = connect(sidecar, address, 4)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 12)
        sidecar.loop.sleep(2 * NEW_CONNECTION_GRACE_NS)
        respond_to_all(sidecar)
        assert_new_clients_are_served(sidecar, address, 20, within_ns=2 * NS_PER_S, time_left_s=2.0)
        for client, connection in zip(busy, upstream_connections, strict=True):
            assert not has_input(sidecar, client), "a connection with a request in progress was closed"
            connection.respond(b"busy")
            assert client.read().endswith(b"\r\n\r\nbusy")
        for client in incomplete:
            if has_input(sidecar, client):
                assert client.read().startswith(b"HTTP/1.1 408")
        for client in unused:
            client.sock.close()

    sidecar.run(script)


def test_lingering_connections_are_evicted_for_waiting_clients() -> None:
    """Clients that do not close after their last response do not delay the clients in the backlog."""
    sidecar = Sidecar(max_clients=4)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        respond_to_all(sidecar)
        assert_new_clients_are_served(sidecar, address, 40, within_ns=MAX_EVICTION_DELAY_NS)

    sidecar.run(script)
