"""From SIGTERM to the end of the process: what was taken is answered, and the end comes all the same.

What holds is said by what clients see and when the event loop stops; no limit on time of the code is named here.
"""

from __future__ import annotations

import contextlib
import socket

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.eventloop import READABLE, Event, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.races.fakes import PeerConnection, Sidecar, request

ACCEPTING_NS = 500 * NS_PER_MS
"""How long connections are accepted from SIGTERM on, as docs/shutdown.md says."""
MAX_SHUTDOWN_NS = 3_600 * NS_PER_MS
"""How long the end may take, from SIGTERM on, whatever clients do."""
IDLE_END_NS = NS_PER_S
"""How long the end may take after the accepting time, where clients only keep connections open."""


class DrainingSidecar(Sidecar):
    """A sidecar whose event loop outlives its shutdown, so that the script can look at what clients got."""

    def __init__(self, *, max_clients: int = 64) -> None:
        super().__init__(max_clients=max_clients)
        self.drained_ns = 0
        self.ended_ns: int | None = None
        self._stop_loop = self.loop.stop
        self.loop.stop = self._note_end  # type: ignore[method-assign]

    def _note_end(self) -> None:
        if self.stopped:
            self._stop_loop()
        elif self.ended_ns is None:
            self.ended_ns = self.loop.now()

    def drain(self) -> None:
        """Do what SIGTERM does."""
        self.drained_ns = self.loop.now()
        self.downstream.drain()

    def since_drain_ns(self) -> int:
        """How long ago the shutdown began."""
        return self.loop.now() - self.drained_ns

    def accepting_is_over(self) -> bool:
        """Whether the time is over for which connections are accepted."""
        return self.downstream.draining and self.since_drain_ns() >= ACCEPTING_NS

    def sleep_until(self, since_drain_ns: int) -> None:
        """Sleep until the shutdown is that old."""
        self.loop.sleep(max(0, self.drained_ns + since_drain_ns - self.loop.now()))

    def wait_for_end(self) -> int:
        """Wait until the sidecar ends itself; return how long after the begin of the shutdown."""
        self.wait_until(lambda: self.ended_ns is not None)
        assert self.ended_ns is not None
        return self.ended_ns - self.drained_ns

    def respond_to_all(self, delay_ns: int = 0) -> None:
        """Let the endpoint answer each request with its path, on connections that it has not accepted yet."""

        def serve(connection: PeerConnection) -> None:
            while b"\r\n\r\n" in connection.received or connection.read_more():
                path = connection.read_head().split()[1]
                self.loop.sleep(delay_ns)
                connection.respond(path.encode())

        def accept() -> None:
            while not self.stopped:
                self.loop.spawn(serve, self.server.accept())

        self.loop.spawn(accept)

    def kept_client(self, address: Address, request_id: str = "kept") -> PeerConnection:
        """Connect a client whose first request has been answered, by ``respond_to_all``."""
        client = self.client(address)
        client.send(request("read", request_id))
        assert client.read().startswith(b"HTTP/1.1 200")
        return client


# ---------------------------------------------------------------- all that was taken is answered


def test_long_backlog_is_answered_during_shutdown() -> None:
    """The backlog is five times the connection limit."""
    sidecar = DrainingSidecar(max_clients=8)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        busy = [sidecar.client(address) for _ in range(8)]
        held = []
        for number, client in enumerate(busy):
            client.send(request("read", f"busy{number}"))
            connection = sidecar.server.accept_request()
            held.append(connection)
        sidecar.drain()
        sidecar.respond_to_all(30 * NS_PER_MS)
        crowd = [sidecar.client(address) for _ in range(40)]
        for number, client in enumerate(crowd):
            client.send(request("read", f"new{number}"))
        sidecar.sleep_until(ACCEPTING_NS + 200 * NS_PER_MS)
        for client, connection in zip(busy, held, strict=True):
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
            assert client.read().startswith(b"HTTP/1.1 200")
            client.sock.close()
        answers = []
        for client in crowd:
            answers.append(client.read()[:12])
            client.sock.close()
        answered = answers.count(b"HTTP/1.1 200")
        assert answered == 40, f"{answered} of 40 were answered"
        assert sidecar.wait_for_end() < MAX_SHUTDOWN_NS

    sidecar.run(script)


def test_late_first_byte_on_new_connection_is_answered() -> None:
    """Its request arrives 0.4 s after the listener has closed."""
    sidecar = DrainingSidecar()

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


def test_late_rest_of_request_is_answered() -> None:
    """Its rest arrives 1 s after the listener has closed."""
    sidecar = DrainingSidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        client = sidecar.client(address)
        sidecar.drain()
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        whole = request("read")
        client.send(whole[:20])
        sidecar.wait_until(sidecar.has_closed_listener)
        sidecar.loop.sleep(NS_PER_S)
        client.send(whole[20:])
        assert client.read().startswith(b"HTTP/1.1 200")
        client.sock.close()
        assert sidecar.wait_for_end() < MAX_SHUTDOWN_NS

    sidecar.run(script)


def test_pipelined_requests_are_answered_in_order_when_draining() -> None:
    sidecar = DrainingSidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        client = sidecar.kept_client(address)
        sidecar.drain()
        client.send(request("read/one", "r1") + request("read/two", "r2"))
        answers = client.read_to_end()
        first, end_of_first, second = answers.partition(b"\r\n\r\n/read/one")
        assert first.startswith(b"HTTP/1.1 200"), answers
        assert b"Connection: close" not in first, answers
        assert end_of_first, answers
        assert second.startswith(b"HTTP/1.1 200"), answers
        assert b"Connection: close" in second, answers
        assert second.endswith(b"\r\n\r\n/read/two"), answers
        client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_END_NS

    sidecar.run(script)


# ---------------------------------------------------------------- kept connections at the end


def test_idle_connections_are_closed_when_accepting_ends() -> None:
    sidecar = DrainingSidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        clients = [sidecar.kept_client(address, f"kept{number}") for number in range(5)]
        sidecar.drain()
        for client in clients:
            assert client.read_to_end() == b""
        assert sidecar.since_drain_ns() < ACCEPTING_NS + IDLE_END_NS // 2
        for client in clients:
            client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_END_NS

    sidecar.run(script)


def test_request_before_last_read_of_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is marked for closing, and its task has not read for the last time."""
    sidecar = DrainingSidecar()
    waited = Event.wait
    sent: list[int] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()

        def wait(event: Event, deadline_ns: int | None = None) -> WakeReason:
            reason = waited(event, deadline_ns)
            if not sent and sidecar.accepting_is_over() and event in [one.wake_up for one in sidecar.downstream._open]:
                sent.append(1)
                client.send(request("read", "late"))
            return reason

        monkeypatch.setattr(Event, "wait", wait)
        client = sidecar.kept_client(address)
        sidecar.drain()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_END_NS

    sidecar.run(script)
    assert sent


def test_request_after_last_read_of_connection_is_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Not read, it is no request that was taken: its client sees a reset, and sends it anew.  Answered is as good."""
    sidecar = DrainingSidecar()
    receive = socket.socket.recv
    sent: list[int] = []
    read_after: list[bytes] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.respond_to_all()
        client = sidecar.kept_client(address)
        accepted = next(iter(sidecar.downstream._open)).sock

        def recv(sock: socket.socket, *arguments: int) -> bytes:
            try:
                data = receive(sock, *arguments)
            except BlockingIOError:
                if sock is accepted and not sent and sidecar.accepting_is_over():
                    sent.append(1)
                    client.send(request("read", "late"))
                raise
            if sock is accepted and sent:
                read_after.append(data)
            return data

        sidecar.drain()
        monkeypatch.setattr(socket.socket, "recv", recv)
        answer = client.read_to_end()
        client.sock.close()
        assert sidecar.wait_for_end() < ACCEPTING_NS + IDLE_END_NS
        assert answer.startswith(b"HTTP/1.1 200") or not any(read_after), "it was read and not answered"

    sidecar.run(script)
    assert sent


# ---------------------------------------------------------------- the end comes


def test_shutdown_ends_in_time_whatever_clients_do() -> None:
    sidecar = DrainingSidecar()
    names: dict[tuple[str, int], str] = {}

    def connect(address: Address, name: str) -> PeerConnection:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(address)
        names[sock.getsockname()] = name
        return PeerConnection(sidecar.loop, sock)

    def send_some(connection: PeerConnection, data: bytes) -> None:
        with contextlib.suppress(OSError):  # it has ended, or its buffers are full
            connection.sock.send(data)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        deaf = connect(address, "one that does not read its answer")
        deaf.send(request("read"))
        answer = sidecar.server.accept_request()
        sidecar.drain()
        answer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n")
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        silent = connect(address, "one that says nothing")
        half = connect(address, "one with half a request")
        half.send(request("read", "half")[:20])
        trickle = connect(address, "one whose request trickles in")
        trickle.send(b"GET /read HTTP/1.1\r\nX-Fill: ")
        at_fault = connect(address, "one at fault that sends on")
        at_fault.send(b"what\r\n\r\n")
        sidecar.wait_until(lambda: sidecar.downstream.open == 5)
        while sidecar.ended_ns is None and sidecar.since_drain_ns() < MAX_SHUTDOWN_NS:
            send_some(answer, bytes(65536))
            send_some(trickle, b"x")
            send_some(at_fault, b"x")
            sidecar.loop.sleep(NS_PER_MS)
        left = [names[one.sock.getpeername()] for one in sidecar.downstream._open]
        assert sidecar.ended_ns is not None, f"not ended after {sidecar.since_drain_ns() / NS_PER_MS:.0f} ms: {left}"
        for client in (deaf, silent, half, trickle, at_fault):
            client.sock.close()

    sidecar.run(script)


def test_request_completed_late_is_answered_in_shutdown() -> None:
    """The endpoint never responds, and the request has more time left than the shutdown."""
    sidecar = DrainingSidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.drain()
        sidecar.sleep_until(ACCEPTING_NS * 9 // 10)
        client = sidecar.client(address)
        whole = request("read", time_left_s=10.0)
        client.send(whole[:20])
        sidecar.wait_until(lambda: sidecar.downstream.open == 1)
        sidecar.sleep_until(ACCEPTING_NS + 450 * NS_PER_MS)
        client.send(whole[20:])
        sidecar.server.accept_request()
        in_time = sidecar.loop.wait(client.sock.fileno(), READABLE, sidecar.drained_ns + MAX_SHUTDOWN_NS)
        assert in_time is WakeReason.READY, f"no answer after {sidecar.since_drain_ns() / NS_PER_MS:.0f} ms"
        assert client.read().startswith(b"HTTP/1.1 5")
        client.sock.close()
        assert sidecar.wait_for_end() <= MAX_SHUTDOWN_NS

    sidecar.run(script)
    assert sum(isinstance(event, balancing.Request) for event in sidecar.balancer.events) == 1
