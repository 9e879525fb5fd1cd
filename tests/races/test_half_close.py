"""Clients that end their sending behind a request, or leave between two: what begins for them, and what they read.

A client that ended its sending cannot be told from one that has left, so that nothing begins for it any more; but it
may still read, so that it gets its final answer.
"""

from __future__ import annotations

import socket

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.downstream.connection import DownstreamConnection
from lugtally.eventloop import PEER_CLOSED, READABLE, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.races.fakes import ENDPOINT_A, MAX_WAIT_NS, PeerConnection, Sidecar, disconnect, request

SETTLED_NS = 20 * NS_PER_MS
"""After which a kept connection is used again without a wait."""
AFTERWARDS_NS = 100 * NS_PER_MS
"""How long to look on for an attempt that must not begin."""


def read_whole(client: PeerConnection) -> bytes:
    """Read to the end of the connection, which must be orderly: a reset is raised."""
    received = b""
    while True:
        reason = client.loop.wait(client.sock.fileno(), READABLE, client.loop.now() + MAX_WAIT_NS)
        assert reason is WakeReason.READY, f"it does not end after {received!r}"
        data = client.sock.recv(65536)
        if not data:
            return received
        received += data


def assert_one_answer(received: bytes, status: int) -> None:
    """Fail unless just this is there: one whole answer, which says that it is the last."""
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), received
    assert b"Connection: close" in head, received
    assert b"Content-Length: %d" % len(body) in head, received


def keep_connections(sidecar: Sidecar, address: Address, count: int) -> list[PeerConnection]:
    """Have that many upstream connections kept, settled, from requests of clients that have gone."""
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
    sidecar.wait_until(lambda: sidecar.downstream.open == 0)
    sidecar.loop.sleep(SETTLED_NS)
    return connections


def paths_sent(sidecar: Sidecar, connections: list[PeerConnection]) -> list[str]:
    """Look on for a while; return the paths of requests on these upstream connections and on new ones."""
    sidecar.loop.sleep(AFTERWARDS_NS)
    while sidecar.loop.is_ready(sidecar.server.sock.fileno(), READABLE):
        connections = [*connections, sidecar.server.accept()]
    paths = []
    for connection in connections:
        while sidecar.loop.is_ready(connection.sock.fileno(), READABLE) and connection.read_more():
            pass
        paths += [line.split()[1] for line in connection.received.decode().split("\r\n") if line.endswith(" HTTP/1.1")]
    return paths


# ---------------------------------------------------------------- half-closed


@pytest.mark.parametrize("kept", [0, 1], ids=["new connection", "kept connection"])
def test_half_close_read_with_request_answers_503(kept: int, sidecar: Sidecar) -> None:
    """The request is not forwarded."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = keep_connections(sidecar, address, kept)
        client = sidecar.client(address)
        client.send(request("read"))
        client.sock.shutdown(socket.SHUT_WR)  # both lie there as the connection is accepted
        assert_one_answer(read_whole(client), 503)
        assert paths_sent(sidecar, connections) == []
        client.sock.close()

    sidecar.run(script)


def test_half_close_during_decision_answers_503(sidecar: Sidecar) -> None:
    """It arrives in the turn of the event loop in which the attempt would be written."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = keep_connections(sidecar, address, 1)
        client = sidecar.client(address)
        sidecar.wait_until(lambda: sidecar.downstream.open == 1)
        accepted = next(iter(sidecar.downstream._open))

        def end_and_send(event: balancing.Event) -> list[balancing.Action]:
            if not isinstance(event, balancing.Request):
                return []
            client.sock.shutdown(socket.SHUT_WR)
            give_up_ns = sidecar.loop.now() + NS_PER_S
            while not sidecar.loop.is_ready(accepted.fd, PEER_CLOSED):  # the kernel hands the end over
                assert sidecar.loop.now() < give_up_ns
            return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)]

        sidecar.balancer.decide = end_and_send
        client.send(request("read"))
        assert_one_answer(read_whole(client), 503)
        assert paths_sent(sidecar, connections) == []
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
        assert_one_answer(read_whole(client), 503)
        assert paths_sent(sidecar, []) == []
        assert sidecar.dispatcher.in_progress == 0
        client.sock.close()

    sidecar.run(script)


@pytest.mark.parametrize("kept", [0, 1], ids=["new connection", "kept connection"])
def test_half_close_during_attempt_cancels_it_and_answers_502(kept: int, sidecar: Sidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = keep_connections(sidecar, address, kept)
        client = sidecar.client(address)
        client.send(request("read"))
        connection = connections[0] if connections else sidecar.server.accept()
        connection.read_head()
        client.sock.shutdown(socket.SHUT_WR)
        assert connection.read_to_end() == b"", "the attempt went on"
        assert_one_answer(read_whole(client), 502)
        assert paths_sent(sidecar, []) == []
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open == 0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results()[kept:] == [balancing.AttemptResult.CANCELLED]


# ---------------------------------------------------------------- between two requests


@pytest.mark.parametrize("how", ["close", "reset"])
def test_client_leaving_after_response_drops_second_request(
    how: str, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    """Both requests were read together; it leaves as the first response is written."""
    write = DownstreamConnection.write
    left: list[bytes] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = keep_connections(sidecar, address, 2)  # the second request need not wait for one
        client = sidecar.client(address)
        client.send(request("read/one", "r1") + request("read/two", "r2"))
        connection = connections[1]  # the one used last
        assert connection.read_head().startswith("GET /read/one ")

        def write_and_leave(accepted: DownstreamConnection, data: bytes) -> bool:
            written = write(accepted, data)
            if not left:
                left.append(client.sock.recv(65536))
                disconnect(client.sock, how)
                give_up_ns = sidecar.loop.now() + NS_PER_S
                while not sidecar.loop.is_ready(accepted.fd, PEER_CLOSED):  # the kernel hands the end over
                    assert sidecar.loop.now() < give_up_ns
            return written

        monkeypatch.setattr(DownstreamConnection, "write", write_and_leave)
        connection.respond()
        sidecar.wait_until(lambda: bool(left) and sidecar.downstream.open == 0)
        assert paths_sent(sidecar, connections) == []

    sidecar.run(script)
    assert left[0].startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("how", ["close", "reset"])
def test_client_leaving_before_response_drops_second_request(how: str, sidecar: Sidecar) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        connections = keep_connections(sidecar, address, 2)
        client = sidecar.client(address)
        client.send(request("read/one", "r1") + request("read/two", "r2"))
        connection = connections[1]
        assert connection.read_head().startswith("GET /read/one ")
        disconnect(client.sock, how)
        assert connection.read_to_end() == b"", "the first attempt went on"
        sidecar.wait_until(lambda: sidecar.downstream.open == 0)
        assert paths_sent(sidecar, [connections[0]]) == []

    sidecar.run(script)
