"""Graceful shutdown, from SIGTERM to the end: received requests are answered, and the shutdown ends in time.

The tests check what clients observe and when the event loop stops, with time limits of their own instead of those in
the code.
"""

from __future__ import annotations

import contextlib
import socket

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.eventloop import READABLE, Event, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fakes import PeerConnection, Sidecar, request

ACCEPTING_NS = 500 * NS_PER_MS
"""How long connections are accepted after SIGTERM, as docs/shutdown.md specifies."""
MAX_SHUTDOWN_NS = 3_600 * NS_PER_MS
"""How long the shutdown may take, whatever clients do."""
IDLE_SHUTDOWN_NS = NS_PER_S
"""How long the shutdown may take after accepting ends, if clients only keep idle connections open."""


class DrainingSidecar(Sidecar):
    """A sidecar whose event loop runs on after its shutdown, so that the script can read what clients received."""

    def __init__(self, *, max_clients: int = 64) -> None:
        super().__init__(max_clients=max_clients)
        self.drain_started_ns = 0
        self.ended_ns: int | None = None
        self._stop_loop = self.loop.stop
        self.loop.stop = self._record_end  # type: ignore[method-assign]

    def _record_end(self) -> None:
        if self.script_ended:
            self._stop_loop()
        elif self.ended_ns is None:
            self.ended_ns = self.loop.now()

    def drain(self) -> None:
        """Start the graceful shutdown, as SIGTERM does."""
        self.drain_started_ns = self.loop.now()
        self.downstream.drain()

    def since_drain_ns(self) -> int:
        """Return the time since the shutdown started."""
        return self.loop.now() - self.drain_started_ns

    def has_stopped_accepting(self) -> bool:
        """Return whether the time for accepting connections has expired."""
        return self.downstream.draining and self.since_drain_ns() >= ACCEPTING_NS

    def sleep_until(self, since_drain_ns: int) -> None:
        """Sleep until that time after the start of the shutdown."""
        self.loop.sleep(max(0, self.drain_started_ns + since_drain_ns - self.loop.now()))

    def wait_for_end(self) -> int:
        """Wait until the shutdown ends; return how long it took."""
        self.wait_until(lambda: self.ended_ns is not None)
        assert self.ended_ns is not None
        return self.ended_ns - self.drain_started_ns

    def respond_to_all(self, delay_ns: int = 0) -> None:
        """Let the endpoint answer each request with its path, on the connections that it accepts from now on."""

        def serve(connection: PeerConnection) -> None:
            while b"\r\n\r\n" in connection.received or connection.read_more():
                path = connection.read_head().split()[1]
                self.loop.sleep(delay_ns)
                connection.respond(path.encode())

        def accept() -> None:
            while not self.script_ended:
                self.loop.spawn(serve, self.server.accept())

        self.loop.spawn(accept)

    def idle_client(self, address: Address, request_id: str = "first") -> PeerConnection:
        """Connect a client and let ``respond_to_all`` serve its first request."""
        client = self.client(address)
        client.send(request("read", request_id))
        assert client.read().startswith(b"HTTP/1.1 200")
        return client


@pytest.fixture
def sidecar() -> DrainingSidecar:
    """A sidecar whose event loop runs on after its shutdown."""
    return DrainingSidecar()


def test_long_backlog_is_answered_during_shutdown() -> None:
    """The backlog is five times the connection limit."""
    sidecar = DrainingSidecar(max_clients=8)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = [sidecar.client(address) for _ in range(8)]
        upstream_connections = []
        for number, client in enumerate(busy):
            client.send(request("read", f"busy{number}"))
            upstream_connections.append(sidecar.server.accept_request())
        sidecar.drain()
        sidecar.respond_to_all(30 * NS_PER_MS)
        waiting = [sidecar.client(address) for _ in range(40)]
        for number, client in enumerate(waiting):
            client.send(request("read", f"new{number}"))
        sidecar.sleep_until(ACCEPTING_NS + 200 * NS_PER_MS)
        for client, connection in zip(busy, upstream_connections, strict=True):
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()
        statuses = []
        for client in waiting:
            statuses.append(client.read()[:12])
            client.sock.close()
        answered = statuses.count(b"HTTP/1.1 200")
        assert answered == 40, f"{answered} of 40 were answered"
        assert sidecar.wait_for_end() < MAX_SHUTDOWN_NS

    sidecar.run(script)


def test_late_first_byte_on_new_connection_is_answered(sidecar: DrainingSidecar) -> None:
    """The first request of the connection arrives 0.4 s after the listener has closed."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        sidecar.drain()
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        client = sidecar.client(address)
        sidecar.wait_until(sidecar.has_closed_listener)
        sidecar.loop.sleep(400 * NS_PER_MS)
        client.send(request("read"))
        assert client.read().startswith(b"HTTP/1.1 200")
        client.sock.close()
        assert sidecar.wait_for_end() < MAX_SHUTDOWN_NS

    sidecar.run(script)


def test_late_rest_of_request_is_answered(sidecar: DrainingSidecar) -> None:
    """The rest of the request arrives 1 s after the listener has closed."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        client = sidecar.client(address)
        sidecar.drain()
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        data = request("read")
        client.send(data[:20])
        sidecar.wait_until(sidecar.has_closed_listener)
        sidecar.loop.sleep(NS_PER_S)
        client.send(data[20:])
        assert client.read().startswith(b"HTTP/1.1 200")
        client.sock.close()
        assert sidecar.wait_for_end() < MAX_SHUTDOWN_NS

    sidecar.run(script)


def test_pipelined_requests_are_answered_in_order_when_draining(sidecar: DrainingSidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        client = sidecar.idle_client(address)
        sidecar.drain()
        client.send(request("read/one", "r1") + request("read/two", "r2"))
        responses = client.read_to_end()
        first, first_body, second = responses.partition(b"\r\n\r\n/read/one")
        assert first.startswith(b"HTTP/1.1 200"), responses
        assert b"Connection: close" not in first, responses
        assert first_body, responses
        assert second.startswith(b"HTTP/1.1 200"), responses
        assert b"Connection: close" in second, responses
        assert second.endswith(b"\r\n\r\n/read/two"), responses
        client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_SHUTDOWN_NS

    sidecar.run(script)


def test_idle_connections_are_closed_when_accepting_ends(sidecar: DrainingSidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        clients = [sidecar.idle_client(address, f"idle{number}") for number in range(5)]
        sidecar.drain()
        for client in clients:
            assert client.read_to_end() == b""
        assert sidecar.since_drain_ns() < ACCEPTING_NS + IDLE_SHUTDOWN_NS // 2
        for client in clients:
            client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_SHUTDOWN_NS

    sidecar.run(script)


def test_request_before_last_read_of_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch, sidecar: DrainingSidecar
) -> None:
    """The request arrives after the close was requested, and before the connection's task reads for the last time."""
    original_wait = Event.wait
    late_requests: list[int] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()

        def wait(event: Event, deadline_ns: int | None = None) -> WakeReason:
            reason = original_wait(event, deadline_ns)
            if (
                not late_requests
                and sidecar.has_stopped_accepting()
                and event in [connection.wake_up for connection in sidecar.downstream._connections]
            ):
                late_requests.append(1)
                client.send(request("read", "late"))
            return reason

        monkeypatch.setattr(Event, "wait", wait)
        client = sidecar.idle_client(address)
        sidecar.drain()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_SHUTDOWN_NS

    sidecar.run(script)
    assert late_requests


def test_request_after_last_read_of_connection_is_not_read(
    monkeypatch: pytest.MonkeyPatch, sidecar: DrainingSidecar
) -> None:
    """The client of an unread request gets a reset, and can retry; a request that was read must be answered."""
    original_recv = socket.socket.recv
    late_requests: list[int] = []
    read_after: list[bytes] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        client = sidecar.idle_client(address)
        accepted = next(iter(sidecar.downstream._connections)).sock

        def recv(sock: socket.socket, *arguments: int) -> bytes:
            try:
                data = original_recv(sock, *arguments)
            except BlockingIOError:
                if sock is accepted and not late_requests and sidecar.has_stopped_accepting():
                    late_requests.append(1)
                    client.send(request("read", "late"))
                raise
            if sock is accepted and late_requests:
                read_after.append(data)
            return data

        sidecar.drain()
        monkeypatch.setattr(socket.socket, "recv", recv)
        received = client.read_to_end()
        client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_SHUTDOWN_NS
        assert received.startswith(b"HTTP/1.1 200") or not any(read_after), "the request was read and not answered"

    sidecar.run(script)
    assert late_requests


CLIENT_DATA = {
    "sends nothing": b"",
    "sends part of a request": request("read", "partial")[:20],
    "sends a request slowly": b"GET /read HTTP/1.1\r\nX-Fill: ",
    "sends after a malformed request": b"what\r\n\r\n",
}
"""The first bytes of clients that prevent the shutdown from ending immediately."""


def send_if_possible(connection: PeerConnection, data: bytes) -> None:
    """Send as much as the connection accepts, or nothing if it has ended."""
    with contextlib.suppress(OSError):
        connection.sock.send(data)


def open_clients(sidecar: Sidecar, clients: dict[str, PeerConnection]) -> list[str]:
    """Return the names of the clients whose connections the sidecar still has open."""
    open_addresses = {connection.sock.getpeername() for connection in sidecar.downstream._connections}
    return [name for name, client in clients.items() if client.sock.getsockname() in open_addresses]


def test_shutdown_ends_in_time_whatever_clients_do(sidecar: DrainingSidecar) -> None:
    clients: dict[str, PeerConnection] = {}

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        clients["reads no response"] = sidecar.slow_client(address)
        clients["reads no response"].send(request("read"))
        upstream_connection = sidecar.server.accept_request()
        sidecar.drain()
        upstream_connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n")
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        for name, data in CLIENT_DATA.items():
            clients[name] = sidecar.slow_client(address)
            clients[name].send(data)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 5)
        while sidecar.ended_ns is None and sidecar.since_drain_ns() < MAX_SHUTDOWN_NS:
            send_if_possible(upstream_connection, bytes(65536))
            send_if_possible(clients["sends a request slowly"], b"x")
            send_if_possible(clients["sends after a malformed request"], b"x")
            sidecar.loop.sleep(NS_PER_MS)
        waited_ms = sidecar.since_drain_ns() / NS_PER_MS
        assert sidecar.ended_ns is not None, (
            f"the shutdown has not ended after {waited_ms:.0f} ms: {open_clients(sidecar, clients)}"
        )
        for client in clients.values():
            client.sock.close()

    sidecar.run(script)


def test_request_completed_late_is_answered_in_shutdown(sidecar: DrainingSidecar) -> None:
    """The endpoint never responds, and the request has more time left than the shutdown takes."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.drain()
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        client = sidecar.client(address)
        data = request("read", time_left_s=10.0)
        client.send(data[:20])
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 1)
        sidecar.sleep_until(ACCEPTING_NS + 450 * NS_PER_MS)
        client.send(data[20:])
        upstream_connection = sidecar.server.accept_request()
        wake_reason = sidecar.loop.wait(client.sock.fileno(), READABLE, sidecar.drain_started_ns + MAX_SHUTDOWN_NS)
        assert wake_reason is WakeReason.READY, f"no response after {sidecar.since_drain_ns() / NS_PER_MS:.0f} ms"
        assert client.read().startswith(b"HTTP/1.1 5")
        client.sock.close()
        assert sidecar.wait_for_end() <= MAX_SHUTDOWN_NS
        upstream_connection.sock.close()

    sidecar.run(script)
    assert sum(isinstance(event, balancing.Request) for event in sidecar.balancer.events) == 1
