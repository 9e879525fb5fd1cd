"""Fake clients, endpoints and discovery servers that share the event loop of the sidecar under test.

A test runs as one task, its ``script``.  The script sends and receives in a fixed order, waits for each expected event,
and fails if one does not arrive within ``MAX_WAIT_NS``.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
import ujson

from lugtally import balancing
from lugtally.address import Address
from lugtally.config.endpoint_list import endpoint_id_of, parse_endpoint_list
from lugtally.discovery.watcher import EndpointWatcher
from lugtally.dispatch import Dispatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import READABLE, EventLoop, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import ConnectionLimits, UpstreamPool
from tests.sockets import listener

MAX_WAIT_NS = 10_000 * NS_PER_MS
ENDPOINT_A, ENDPOINT_B = endpoint_id_of("s-a"), endpoint_id_of("s-b")
CLASSES = (
    balancing.RequestClass(
        "read", balancing.Idempotency.IDEMPOTENT, balancing.DeduplicationScope.ALL, 0, 2 * NS_PER_S, 8 * NS_PER_S
    ),
    balancing.RequestClass(
        "write",
        balancing.Idempotency.IDEMPOTENCY_KEY,
        balancing.DeduplicationScope.ALL,
        4 * NS_PER_S,
        2 * NS_PER_S,
        8 * NS_PER_S,
    ),
    balancing.RequestClass(
        "once", balancing.Idempotency.NON_IDEMPOTENT, balancing.DeduplicationScope.ALL, 0, 2 * NS_PER_S, 8 * NS_PER_S
    ),
)

Decide = Callable[[balancing.Event], list[balancing.Action]]


def send_each_request_to(endpoint_id: int) -> Decide:
    """Return a function that sends each request to one endpoint, and fails it if its attempt ends without an answer."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [balancing.SendAttempt(event.id, endpoint_id, event.time_left_ns)]
        if isinstance(event, balancing.AttemptFinished) and not event.request_finished:
            return [balancing.FailRequest(event.request_id)]
        return []

    return decide


class ScriptedBalancer:
    """A balancer that records each event and answers with the actions that ``decide`` returns for it."""

    def __init__(self) -> None:
        self.events: list[balancing.Event] = []
        self.decide: Decide = lambda _: []
        self.may_start_attempts = True

    def handle(self, now: int, event: balancing.Event) -> list[balancing.Action]:
        self.events.append(event)
        return self.decide(event)

    def may_start(self, now: int, request_id: str, attempt: int) -> bool:
        """Whether an attempt may start; the dispatcher asks right before it writes the bytes of the attempt."""
        return self.may_start_attempts

    def endpoint_updates(self) -> list[tuple[str, dict[int, str]]]:
        """The kind of each endpoint update, with the states that it sets by endpoint id."""
        return [
            (event.kind.value, {endpoint.id: endpoint.state.value for endpoint in event.endpoints})
            for event in self.events
            if isinstance(event, balancing.EndpointUpdate)
        ]

    def attempt_results(self) -> list[balancing.AttemptResult]:
        """Results of the finished attempts, in order."""
        return [event.result for event in self.events if isinstance(event, balancing.AttemptFinished)]

    def client_disconnects(self) -> list[str]:
        """Ids of the requests whose clients disconnected."""
        return [event.request_id for event in self.events if isinstance(event, balancing.ClientDisconnected)]


class PeerConnection:
    """The end of a connection that a client, an endpoint or discovery holds."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock
        sock.setblocking(False)
        self.received = b""

    def read(self) -> bytes:
        """Wait for bytes; return ``b""`` if the connection was closed or reset."""
        assert self.loop.wait(self.sock.fileno(), READABLE, self.loop.now() + MAX_WAIT_NS) is WakeReason.READY, (
            "no bytes arrived"
        )
        try:
            return self.sock.recv(65536)
        except ConnectionResetError:
            return b""

    def read_more(self) -> bool:
        """Wait for more bytes; return false if the connection has ended instead."""
        data = self.read()
        self.received += data
        return bool(data)

    def read_head(self) -> str:
        """Read the next message, which must have no body; return its first line."""
        while b"\r\n\r\n" not in self.received:
            assert self.read_more(), "the connection ended"
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        return head.partition(b"\r\n")[0].decode()

    def read_until(self, is_enough: Callable[[bytes], bool]) -> bytes:
        """Read until ``is_enough(received)`` is true; fail if the connection ends before that."""
        received = self.received
        while not is_enough(received):
            data = self.read()
            assert data, f"the connection ended after {received!r}"
            received += data
        return received

    def read_to_end(self) -> bytes:
        """Read until the connection ends."""
        received = self.received
        while data := self.read():
            received += data
        return received

    def send(self, data: bytes) -> None:
        """Write all of the bytes."""
        self.sock.sendall(data)

    def respond(self, body: bytes = b"ok", status: str = "200 OK") -> None:
        """Write a complete response."""
        self.send(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status.encode(), len(body)) + body)

    def send_endpoint_list(self, version: int, full: bool, *rows: dict[str, Any]) -> None:
        """Respond with an endpoint list, indented as discovery sends it."""
        self.respond(ujson.dumps({"version": version, "full": full, "servers": rows}, indent=2).encode())


class FakeServer:
    """A listening server that stands for an endpoint or for discovery."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.sock = listener()
        self.sock.setblocking(False)

    @property
    def address(self) -> Address:
        host, port = self.sock.getsockname()
        return Address(host, port)

    def accept(self) -> PeerConnection:
        """Wait for the next connection."""
        assert self.loop.wait(self.sock.fileno(), READABLE, self.loop.now() + MAX_WAIT_NS) is WakeReason.READY, (
            "no connection arrived"
        )
        return PeerConnection(self.loop, self.sock.accept()[0])

    def accept_request(self) -> PeerConnection:
        """Wait for the next connection and read one request, which must have no body."""
        connection = self.accept()
        connection.read_head()
        return connection

    def is_idle(self) -> bool:
        """Whether no connection waits to be accepted; closes the one that does."""
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return True
        return False


class Sidecar:
    """The network code of a sidecar, with a given or scripted balancer, a fake endpoint and fake discovery servers."""

    def __init__(self, balancer: Any = None, *, max_clients: int = 64) -> None:
        self.loop = EventLoop()
        self.balancer = balancer or ScriptedBalancer()
        settings = balancing.Settings(CLASSES, max_attempts=4)
        self.dispatcher = Dispatcher(settings, 1, self.loop, lambda *_: self.balancer)
        self.limits = ConnectionLimits(2000 * NS_PER_MS, 60_000 * NS_PER_MS, 64)
        self.upstream = UpstreamPool(self.loop, self.limits, ())
        self.discovery, self.second_discovery = FakeServer(self.loop), FakeServer(self.loop)
        self.server = FakeServer(self.loop)
        self.endpoint_watcher = EndpointWatcher(
            self.loop, self.dispatcher, self.upstream, self.discovery.address, ("a",)
        )
        self.dispatcher.set_handlers(self.upstream.close_idle_connections, self.endpoint_watcher.watch)
        self.downstream = DownstreamServer(self.loop, self.dispatcher, self.upstream, CLASSES, max_clients)
        self.script_ended = self.has_shut_down = False

    def endpoint_row(self, name: str, state: str = "ready", **fields: Any) -> dict[str, Any]:
        """One row of an endpoint list, with the address of the fake endpoint."""
        host, port = self.server.address
        return {"id": name, "addr": f"{host}:{port}", "zone": "a", "cell": 1, "state": state, "started_ms": 0, **fields}

    def listen(self) -> Address:
        """Start to accept clients; return the address."""
        self.downstream.listen(Address("127.0.0.1", 0))
        assert self.downstream.listener is not None
        host, port = self.downstream.listener.getsockname()
        return Address(host, port)

    def has_closed_listener(self) -> bool:
        """Whether the listening socket was opened and is closed again."""
        return self.downstream.listener is not None and self.downstream.listener.fileno() < 0

    def keep_running_after_shutdown(self) -> None:
        """Let the script continue after the sidecar has shut down, which sets ``has_shut_down``."""
        stop_loop = self.loop.stop

        def stop_if_script_ended() -> None:
            if self.script_ended:
                stop_loop()
            else:
                self.has_shut_down = True

        self.loop.stop = stop_if_script_ended  # type: ignore[method-assign]

    def listen_with_one_endpoint(self) -> Address:
        """Start to accept clients, with one endpoint in the list to which each request is sent."""
        self.balancer.decide = send_each_request_to(ENDPOINT_A)
        endpoints = {"version": 1, "full": True, "servers": [self.endpoint_row("s-a")]}
        self.endpoint_watcher.start(parse_endpoint_list(endpoints, "known"))
        return self.listen()

    def client(self, address: Address) -> PeerConnection:
        """Open a new client connection."""
        return PeerConnection(self.loop, socket.create_connection(address))

    def serve(self, client: PeerConnection, request_id: str = "first") -> PeerConnection:
        """Send one request of a client and serve it; return its upstream connection, which is then in the pool."""
        client.send(request("read", request_id))
        connection = self.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200 OK")
        return connection

    def slow_client(self, address: Address) -> PeerConnection:
        """Open a client connection with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(address)
        return PeerConnection(self.loop, sock)

    def wait_until(self, is_done: Callable[[], bool]) -> None:
        """Let the other tasks run until ``is_done()`` is true."""
        deadline_ns = self.loop.now() + MAX_WAIT_NS
        while not is_done():
            assert self.loop.now() < deadline_ns, "the condition did not become true in time"
            self.loop.sleep(NS_PER_MS)

    def run(self, script: Callable[[], None]) -> None:
        """Run the script as a task until it ends; fail if a shutdown of the sidecar stops the loop before."""
        errors: list[BaseException] = []

        def run_script() -> None:
            try:
                script()
            except BaseException as error:
                errors.append(error)
            finally:
                self.script_ended = True
                self.loop.stop()

        self.loop.spawn(run_script)
        self.loop.run(self.dispatcher.run_due_timers)
        for server in (self.discovery, self.second_discovery, self.server):
            server.sock.close()
        if errors:
            raise errors[0]
        assert self.script_ended, "the loop stopped before the script ended"


def request(
    path: str, request_id: str = "r1", *, method: str = "GET", headers: str = "", time_left_s: float = 5.0
) -> bytes:
    """Serialize a valid request; ``headers`` are further header lines, each ending in CRLF."""
    return (
        f"{method} /{path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {request_id}\r\n"
        f"X-Time-Left: {time_left_s:.3f}\r\n{headers}\r\n"
    ).encode()


def disconnect(sock: socket.socket, how: str) -> None:
    """End a connection as ``how`` says: ``close`` it, ``reset`` it, or ``half``-close it."""
    if how == "half":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.fixture
def sidecar() -> Sidecar:
    """A sidecar with a scripted balancer, a fake endpoint and two fake discovery servers."""
    return Sidecar()
