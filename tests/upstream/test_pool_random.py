"""Invariants of the upstream pool under random attempts, cancellations, address changes, removals and faults.

A seed determines the random choices.  The order of events depends on the machine, but each check holds in any order.
"""

from __future__ import annotations

import random
import socket
import struct

import pytest

from lugtally.eventloop import READABLE, Task, WakeReason
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_MS
from lugtally.upstream import FinishedAttempt
from tests.fakes import MAX_WAIT_NS, FakeServer, Sidecar

ATTEMPT_COUNT = 300
ENDPOINT_IDS = range(4)
MAX_CONNECTIONS = 12


class EchoServer:
    """Responds to each request with the request's path, or misbehaves in one of several ways."""

    def __init__(self, sidecar: Sidecar, server: FakeServer, rng: random.Random) -> None:
        self.sidecar, self.server, self.rng = sidecar, server, rng
        self.paths: list[str] = []
        self.stopped = False
        sidecar.loop.spawn(self.accept)

    def accept(self) -> None:
        loop = self.sidecar.loop
        while not self.stopped:
            if loop.wait(self.server.sock.fileno(), READABLE, loop.now() + 20 * NS_PER_MS) is WakeReason.READY:
                connection, _ = self.server.sock.accept()
                connection.setblocking(False)
                loop.spawn(self.serve, connection)

    def serve(self, connection: socket.socket) -> None:
        loop = self.sidecar.loop
        received = b""
        with connection:
            while loop.wait(connection.fileno(), READABLE, loop.now() + MAX_WAIT_NS) is WakeReason.READY:
                try:
                    data = connection.recv(65536)
                except ConnectionResetError:
                    return
                if not data:
                    return
                received += data
                if b"\r\n\r\n" not in received:
                    continue
                path = received.split(b" ", 2)[1]
                received = b""
                self.paths.append(path.decode())
                try:
                    if not self.respond(connection, path):
                        return
                except OSError:
                    return  # the pool has closed the connection

    def respond(self, connection: socket.socket, path: bytes) -> bool:
        """Respond in a random way; return whether the connection stays open."""
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path) + path
        behaviour = self.rng.choice(
            ["complete"] * 6 + ["late byte"] * 6 + ["twice", "truncated", "reset", "end", "silent", "slow"]
        )
        if behaviour == "silent":
            return True
        if behaviour == "slow":
            self.sidecar.loop.sleep(self.rng.randrange(10) * NS_PER_MS)
        if behaviour == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        connection.sendall({"twice": response * 2, "truncated": response[:-1]}.get(behaviour, response))
        if behaviour == "late byte":  # arrives before the connection is reused, and is no valid response
            self.sidecar.loop.sleep(self.rng.randrange(4) * NS_PER_MS)
            return connection.send(b"x") == 1
        return behaviour not in ("truncated", "end")


class PoolUser:
    """Makes attempts, and changes the pool while they are in progress."""

    def __init__(self, sidecar: Sidecar, servers: list[FakeServer], rng: random.Random) -> None:
        self.sidecar, self.servers, self.rng = sidecar, servers, rng
        self.tasks: list[Task] = []
        self.results: dict[str, FinishedAttempt] = {}

    def attempt(self, path: str) -> None:
        loop = self.sidecar.loop
        deadline_ns = loop.now() + self.rng.randrange(5, 300) * NS_PER_MS
        request = ForwardedRequest(Message("GET", path))
        endpoint_id = self.rng.choice(ENDPOINT_IDS)
        self.results[path] = self.sidecar.upstream.execute_attempt(
            endpoint_id, request, deadline_ns, may_proceed=lambda: self.rng.random() < 0.95
        )

    def change(self) -> None:
        upstream, endpoint_id = self.sidecar.upstream, self.rng.choice(ENDPOINT_IDS)
        match self.rng.randrange(8):
            case 0:
                upstream.remove(endpoint_id)
            case 1:
                upstream.close_idle_connections(endpoint_id)
            case 2:
                upstream.close_expired()
            case 3:
                self.sidecar.loop.interrupt(self.rng.choice(self.tasks))
            case _:
                upstream.set_address(endpoint_id, self.rng.choice(self.servers).address)

    def run(self) -> None:
        for endpoint_id in ENDPOINT_IDS:
            self.sidecar.upstream.set_address(endpoint_id, self.servers[0].address)
        for number in range(ATTEMPT_COUNT):
            self.tasks.append(self.sidecar.loop.spawn(self.attempt, f"/{number}"))
            if self.rng.random() < 0.5:
                self.change()
            if self.rng.random() < 0.4:
                self.sidecar.loop.sleep(self.rng.randrange(3) * NS_PER_MS)
        self.sidecar.wait_until(lambda: len(self.results) == ATTEMPT_COUNT)


@pytest.mark.parametrize("seed", range(6))
def test_random_attempts_keep_responses_and_counts_consistent(seed: int) -> None:
    rng = random.Random(seed)
    sidecar = Sidecar()
    sidecar.limits.max_connections = MAX_CONNECTIONS
    servers = [sidecar.server, sidecar.discovery, sidecar.second_discovery]
    user = PoolUser(sidecar, servers, rng)
    echo_servers: list[EchoServer] = []

    def script() -> None:
        echo_servers.extend(EchoServer(sidecar, server, rng) for server in servers)
        user.run()
        for echo_server in echo_servers:
            echo_server.stopped = True
        assert 0 <= sidecar.upstream.open_connections <= MAX_CONNECTIONS
        assert not sidecar.upstream._awaiting_reuse
        for endpoint_id in ENDPOINT_IDS:
            sidecar.upstream.remove(endpoint_id)
        assert sidecar.upstream.open_connections == 0, "a closed connection is still counted"

    sidecar.run(script)
    served = {path: result.response for path, result in user.results.items() if result.outcome.name == "SERVED"}
    assert served
    for path, response in served.items():
        assert response is not None
        assert response.body == path.encode(), "it got the response of another request"
    received_paths = [path for echo_server in echo_servers for path in echo_server.paths]
    assert len(received_paths) == len(set(received_paths)), "an attempt was sent twice"
    unsent = {path for path, result in user.results.items() if result.outcome.name.endswith("_BEFORE_SENT")}
    assert not unsent & set(received_paths), "an attempt that counts as not sent was received"
