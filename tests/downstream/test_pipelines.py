"""Pipelined requests: each of them is answered, in order, before the connection is closed."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

import pytest

from lugtally.eventloop import WRITABLE, WakeReason
from lugtally.http1 import MessageParser
from lugtally.units import NS_PER_MS
from tests.fakes import PeerConnection, Sidecar, request


def statuses(received: bytes) -> list[str]:
    """Return the status of each response, in order.  No body in these tests contains a status line."""
    return [line.split(b" ", 2)[1].decode() for line in received.split(b"HTTP/1.1")[1:] if line.startswith(b" ")]


def respond_to(sidecar: Sidecar, connection: PeerConnection | None, count: int) -> PeerConnection:
    """Let the endpoint respond to this many requests, to each with its target as the body."""
    for _ in range(count):
        if connection is None or not connection.read_more():
            connection = sidecar.server.accept()
        target = connection.read_head().split(" ")[1]
        connection.respond(target.encode())
    assert connection is not None
    return connection


@pytest.mark.parametrize("reason", ["draining", "many connections"])
@pytest.mark.parametrize("count", [2, 5])
def test_pipelined_requests_are_answered_before_close(reason: str, count: int) -> None:
    """Only the last response announces ``Connection: close``."""
    sidecar = Sidecar(max_clients=3 if reason == "many connections" else 64)
    sidecar.keep_running_after_shutdown()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        client = sidecar.client(address)
        if reason == "draining":
            sidecar.wait_until(lambda: sidecar.downstream.open_connections == 1)
            sidecar.downstream.drain()
        else:
            other = sidecar.client(address)
            sidecar.wait_until(lambda: sidecar.downstream.open_connections == 2 and other.sock.fileno() >= 0)
        client.send(b"".join(request(f"read/{number}", f"r{number}") for number in range(count)))
        respond_to(sidecar, None, count)
        received = client.read_to_end()
        assert statuses(received) == ["200"] * count
        assert received.endswith(f"/read/{count - 1}".encode())
        assert received.count(b"Connection: close") == 1

    sidecar.run(script)


def test_partly_read_pipelined_request_is_completed_in_drain(sidecar: Sidecar) -> None:
    """The close may leave a request unanswered only if no byte of it was read."""
    sidecar.keep_running_after_shutdown()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 1)
        sidecar.downstream.drain()
        second = request("read/2", "r2")
        client.send(request("read/1", "r1") + second[:20])
        connection = respond_to(sidecar, None, 1)
        received = client.read()
        assert b"Connection: close" not in received
        client.send(second[20:])
        respond_to(sidecar, connection, 1)
        received += client.read_to_end()
        assert statuses(received) == ["200", "200"]
        assert received.endswith(b"Connection: close\r\n\r\n/read/2")

    sidecar.run(script)


def test_requests_around_one_of_unknown_class_are_answered(sidecar: Sidecar) -> None:
    """The end of a request of unknown class is known, so that the next request can be parsed."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read/1", "r1") + request("nothing", "r2") + request("read/3", "r3"))
        respond_to(sidecar, None, 2)
        received = client.read_to_end()
        assert statuses(received) == ["200", "400", "200"]
        assert received.endswith(b"Connection: close\r\n\r\n/read/3")

    sidecar.run(script)


def test_request_before_a_malformed_one_is_answered(sidecar: Sidecar) -> None:
    """Nothing after a malformed request can be parsed, so that the connection ends with its 400."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read/1", "r1") + b"what is this\r\n\r\n" + request("read/3", "r3"))
        respond_to(sidecar, None, 1)
        received = client.read_to_end()
        assert statuses(received) == ["200", "400"]
        assert received.count(b"Connection: close") == 1
        assert sidecar.server.is_idle()

    sidecar.run(script)


LONG_BODY = b"x" * 100_000
LONG_RESPONSES = {
    "length": b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(LONG_BODY) + LONG_BODY + b"\r\n0\r\n\r\n",
    "until close": b"\r\n" + LONG_BODY,
}


def read_responses(client: PeerConnection, count: int) -> list[tuple[int, bytes]]:
    """Read this many responses; return the status and body of each."""
    parser = MessageParser(responses=True, max_body_bytes=10 * len(LONG_BODY))
    responses: list[tuple[int, bytes]] = []
    message = None
    while len(responses) < count:
        if message is None:
            data = client.read()
            assert data, f"the connection ended after {responses}"
            message = parser.feed(data)
        if message is not None:
            responses.append((message.status, message.body))
            message = parser.feed(b"")
    assert parser.is_idle, "bytes after the last response"
    return responses


def send_long_response(connection: PeerConnection, framing: str) -> None:
    """Send a response that is too long to be buffered by the sidecar, and close the connection."""
    connection.read_head()
    data = memoryview(b"HTTP/1.1 200 OK\r\n" + LONG_RESPONSES[framing])
    while data:
        try:
            data = data[connection.sock.send(data) :]
        except BlockingIOError:
            connection.loop.sleep(NS_PER_MS)
    connection.sock.close()


@pytest.mark.parametrize("framing", LONG_RESPONSES)
@pytest.mark.parametrize("pipelined", [True, False], ids=["pipelined", "sent later"])
def test_connection_is_reused_after_streamed_response(framing: str, pipelined: bool, sidecar: Sidecar) -> None:
    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        second = request("read/2", "r2")
        client.send(request("read/1", "r1") + (second if pipelined else b""))
        send_long_response(sidecar.server.accept(), framing)
        if not pipelined:
            assert read_responses(client, 1) == [(200, LONG_BODY)]
            client.send(second)
        respond_to(sidecar, None, 1)
        expected = [(200, LONG_BODY), (200, b"/read/2")]
        assert read_responses(client, 2 if pipelined else 1) == expected[0 if pipelined else 1 :]

    sidecar.run(script)


def test_truncated_response_fails_alone_with_request_behind_it(sidecar: Sidecar) -> None:
    """The response is buffered while another request waits, so that the connection need not be reset."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read/1", "r1") + request("read/2", "r2"))
        connection = sidecar.server.accept_request()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(70_000))
        sidecar.wait_until(lambda: sidecar.dispatcher.in_progress == 1)
        connection.sock.close()
        respond_to(sidecar, None, 1)
        assert read_responses(client, 2) == [(502, b"failed\n"), (200, b"/read/2")]

    sidecar.run(script)


def test_body_without_length_is_forwarded_in_chunks(sidecar: Sidecar) -> None:
    """The last chunk is sent when the endpoint closes; without it the client would take the body for truncated."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        connection.send(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(70_000))
        received = client.read_until(lambda data: len(data) >= 70_000)
        assert b"\r\nTransfer-Encoding: chunked\r\n" in received
        assert not received.endswith(b"0\r\n\r\n")
        connection.sock.close()
        assert client.read_to_end().endswith(b"0\r\n\r\n")

    sidecar.run(script)


def test_deadline_is_shortened_by_request_read_with_it(sidecar: Sidecar) -> None:
    """The second request has 0.3 s left and cannot be answered before the first."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        second = request("read/2", "r2", time_left_s=0.3)
        started_ns = sidecar.loop.now()
        client.send(request("read/1", "r1") + second)
        connection = sidecar.server.accept_request()
        assert [status for status, _ in read_responses(client, 2)] == [502, 503]
        assert sidecar.loop.now() - started_ns < 800 * NS_PER_MS
        assert connection.read_to_end() == b""

    sidecar.run(script)


@pytest.mark.parametrize("max_clients", [64, 1], ids=["few connections", "many connections"])
def test_deadline_is_shortened_by_request_arriving_later(max_clients: int) -> None:
    sidecar = Sidecar(max_clients=max_clients)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read/1", "r1"))
        connection = sidecar.server.accept_request()
        started_ns = sidecar.loop.now()
        for number in (2, 3):
            client.send(request(f"read/{number}", f"r{number}", time_left_s=0.3))
            sidecar.loop.sleep(20 * NS_PER_MS)
        assert [status for status, _ in read_responses(client, 3)] == [502, 503, 503]
        assert sidecar.loop.now() - started_ns < 800 * NS_PER_MS
        assert connection.read_to_end() == b""

    sidecar.run(script)


def test_endless_response_fails_alone_with_request_behind_it(sidecar: Sidecar) -> None:
    """The response is buffered up to the limit and never streamed."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read/1", "r1") + request("read/2", "r2"))
        connection = sidecar.server.accept_request()
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError):  # the sidecar closes the connection in the end
            while sidecar.loop.wait(connection.sock.fileno(), WRITABLE) is WakeReason.READY:
                connection.sock.send(b"2000\r\n" + bytes(0x2000) + b"\r\n")
        respond_to(sidecar, None, 1)
        assert read_responses(client, 2) == [(502, b"failed\n"), (200, b"/read/2")]

    sidecar.run(script)


class CountingSocket:
    """A socket that counts the bytes that are read from it."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.received_bytes = 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        data = self._sock.recv(size, flags)
        if not flags & socket.MSG_PEEK:
            self.received_bytes += len(data)
        return data

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


@pytest.mark.parametrize("reason", ["draining", "unknown class"])
def test_request_after_last_response_is_not_read(reason: str, sidecar: Sidecar) -> None:
    """Unread bytes show the client that its request was not processed."""
    sidecar.keep_running_after_shutdown()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 1)
        (connection,) = sidecar.downstream._connections
        counting = CountingSocket(connection.sock)
        connection.sock = counting  # type: ignore[assignment]
        first = request("read" if reason == "draining" else "nothing")
        if reason == "draining":
            sidecar.downstream.drain()
        client.send(first)
        if reason == "draining":
            respond_to(sidecar, None, 1)
        received = client.read_to_end()
        assert received.count(b"Connection: close") == 1
        client.send(request("read", "r2"))
        sidecar.loop.sleep(20 * NS_PER_MS)
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)
        assert counting.received_bytes == len(first)

    sidecar.run(script)
