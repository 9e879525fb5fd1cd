"""Clients that half-close after a request, or disconnect between two requests: what is forwarded and what they receive.

The sidecar cannot distinguish a half-close from a close, so that no attempt starts after either of them.  The client
may still read, and receives a final response.
"""

from __future__ import annotations

import socket

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.downstream.connection import DownstreamConnection
from lugtally.eventloop import PEER_CLOSED, READABLE, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fakes import ENDPOINT_A, MAX_WAIT_NS, PeerConnection, Sidecar, disconnect, request

REUSE_DELAY_NS = 20 * NS_PER_MS
"""How long after its response an idle upstream connection can be reused without a wait."""
OBSERVATION_NS = 100 * NS_PER_MS
"""How long to wait for a request that must not be forwarded."""


def read_to_close(client: PeerConnection) -> bytes:
    """Read until the connection is closed; raise ``ConnectionResetError`` if it is reset."""
    received = b""
    while True:
        reason = client.loop.wait(client.sock.fileno(), READABLE, client.loop.now() + MAX_WAIT_NS)
        assert reason is WakeReason.READY, f"the connection was not closed after {received!r}"
        data = client.sock.recv(65536)
        if not data:
            return received
        received += data


def assert_is_last_response(received: bytes, status: int) -> None:
    """Fail unless ``received`` is one complete response that closes its connection."""
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), received
    assert b"Connection: close" in head, received
    assert b"Content-Length: %d" % len(body) in head, received


def open_idle_connections(sidecar: Sidecar, address: Address, count: int) -> list[PeerConnection]:
    """Create this many idle upstream connections that can be reused without a wait; return their endpoint's side."""
    clients = [sidecar.client(address) for _ in range(count)]
    connections = []
    for number, client in enumerate(clients):
        client.send(request("read/first", f"first{number}"))
        connections.append(sidecar.server.accept())
    for client, connection in zip(clients, connections, strict=True):
        connection.read_head()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.sock.close()
    sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)
    sidecar.loop.sleep(REUSE_DELAY_NS)
    return connections


def forwarded_paths(sidecar: Sidecar, connections: list[PeerConnection]) -> list[str]:
    """Wait for ``OBSERVATION_NS``; return the paths of all requests on these upstream connections and on new ones."""
    sidecar.loop.sleep(OBSERVATION_NS)
    while sidecar.loop.is_ready(sidecar.server.sock.fileno(), READABLE):
        connections = [*connections, sidecar.server.accept()]
    paths = []
    for connection in connections:
        while sidecar.loop.is_ready(connection.sock.fileno(), READABLE) and connection.read_more():
            pass
        paths += [line.split()[1] for line in connection.received.decode().split("\r\n") if line.endswith(" HTTP/1.1")]
    return paths


def wait_until_peer_closed(sidecar: Sidecar, accepted: DownstreamConnection) -> None:
    """Block the event loop until the kernel reports that the client's side is closed."""
    test_deadline_ns = sidecar.loop.now() + NS_PER_S
    while not sidecar.loop.is_ready(accepted.fd, PEER_CLOSED):
        assert sidecar.loop.now() < test_deadline_ns


@pytest.mark.parametrize("idle_count", [0, 1], ids=["new connection", "idle connection"])
def test_half_close_read_with_request_answers_503(idle_count: int, sidecar: Sidecar) -> None:
    """The request is not forwarded."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = open_idle_connections(sidecar, address, idle_count)
        client = sidecar.client(address)
        client.send(request("read"))
        client.sock.shutdown(socket.SHUT_WR)  # both have arrived when the connection is accepted
        assert_is_last_response(read_to_close(client), 503)
        assert forwarded_paths(sidecar, connections) == []
        client.sock.close()

    sidecar.run(script)


def test_half_close_during_decision_answers_503(sidecar: Sidecar) -> None:
    """The half-close arrives in the turn of the event loop in which the request would be written to the endpoint."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = open_idle_connections(sidecar, address, 1)
        client = sidecar.client(address)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 1)
        accepted = next(iter(sidecar.downstream._connections))

        def half_close_and_send(event: balancing.Event) -> list[balancing.Action]:
            if not isinstance(event, balancing.Request):
                return []
            client.sock.shutdown(socket.SHUT_WR)
            wait_until_peer_closed(sidecar, accepted)
            return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)]

        sidecar.balancer.decide = half_close_and_send
        client.send(request("read"))
        assert_is_last_response(read_to_close(client), 503)
        assert forwarded_paths(sidecar, connections) == []
        client.sock.close()

    sidecar.run(script)


def test_half_close_before_first_attempt_answers_503(sidecar: Sidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = lambda _: []
        client = sidecar.client(address)
        client.send(request("read"))
        sidecar.wait_until(lambda: sidecar.dispatcher.in_progress == 1)
        client.sock.shutdown(socket.SHUT_WR)
        assert_is_last_response(read_to_close(client), 503)
        assert forwarded_paths(sidecar, []) == []
        assert sidecar.dispatcher.in_progress == 0
        client.sock.close()

    sidecar.run(script)


@pytest.mark.parametrize("idle_count", [0, 1], ids=["new connection", "idle connection"])
def test_half_close_during_attempt_cancels_it_and_answers_502(idle_count: int, sidecar: Sidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = open_idle_connections(sidecar, address, idle_count)
        client = sidecar.client(address)
        client.send(request("read"))
        connection = connections[0] if connections else sidecar.server.accept()
        connection.read_head()
        client.sock.shutdown(socket.SHUT_WR)
        assert connection.read_to_end() == b"", "the attempt was not cancelled"
        assert_is_last_response(read_to_close(client), 502)
        assert forwarded_paths(sidecar, []) == []
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results()[idle_count:] == [balancing.AttemptResult.CANCELLED]


@pytest.mark.parametrize("how", ["close", "reset"])
def test_disconnect_after_response_drops_the_second_request(
    how: str, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    """Both requests were read together, and the client disconnects when the first response has been written."""
    original_write = DownstreamConnection.write
    received: list[bytes] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        # Two connections, so that the second request could be written without a wait.
        connections = open_idle_connections(sidecar, address, 2)
        client = sidecar.client(address)
        client.send(request("read/one", "r1") + request("read/two", "r2"))
        connection = connections[1]  # the most recently used one is reused first
        assert connection.read_head().startswith("GET /read/one ")

        def write_and_disconnect(accepted: DownstreamConnection, data: bytes) -> bool:
            written = original_write(accepted, data)
            if not received:
                received.append(client.sock.recv(65536))
                disconnect(client.sock, how)
                wait_until_peer_closed(sidecar, accepted)
            return written

        monkeypatch.setattr(DownstreamConnection, "write", write_and_disconnect)
        connection.respond()
        sidecar.wait_until(lambda: bool(received) and sidecar.downstream.open_connections == 0)
        assert forwarded_paths(sidecar, connections) == []

    sidecar.run(script)
    assert received[0].startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("how", ["close", "reset"])
def test_disconnect_before_response_drops_the_second_request(how: str, sidecar: Sidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = open_idle_connections(sidecar, address, 2)
        client = sidecar.client(address)
        client.send(request("read/one", "r1") + request("read/two", "r2"))
        connection = connections[1]
        assert connection.read_head().startswith("GET /read/one ")
        disconnect(client.sock, how)
        assert connection.read_to_end() == b"", "the first attempt was not cancelled"
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)
        assert forwarded_paths(sidecar, [connections[0]]) == []

    sidecar.run(script)
