"""Tests of the upstream pool: attempts that must not be sent, connections that must not be reused, load reports."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import EventLoop
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_MS
from lugtally.upstream import MIN_IDLE_BEFORE_REUSE_NS, ConnectionLimits, UpstreamPool, safe_idle_timeout_ns
from tests.sockets import listener


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def server() -> Iterator[socket.socket]:
    """Return the listening socket of endpoint 1."""
    with listener() as sock:
        yield sock


def get_request() -> ForwardedRequest:
    """Return a request without a body."""
    return ForwardedRequest(Message("GET", "/"))


def pool_with_endpoint(loop: EventLoop, server: socket.socket, limits: ConnectionLimits) -> UpstreamPool:
    """Return a pool in which ``server`` is endpoint 1."""
    upstream = UpstreamPool(loop, limits, ())
    upstream.set_address(1, server.getsockname())
    return upstream


def test_attempt_is_not_written_after_its_deadline(loop: EventLoop, server: socket.socket) -> None:
    upstream = pool_with_endpoint(loop, server, ConnectionLimits(1000 * NS_PER_MS, 1000 * NS_PER_MS, 9))
    outcomes: list[AttemptOutcome] = []

    def attempt() -> None:
        outcomes.append(upstream.execute_attempt(1, get_request(), loop.now())[0])
        loop.stop()

    loop.spawn(attempt)
    loop.run(lambda: None)
    assert outcomes == [AttemptOutcome.TIMEOUT_BEFORE_SENT]
    assert upstream.open_connections == 0


@pytest.mark.parametrize(
    ("event", "outcome"),
    [
        ("reset", AttemptOutcome.RESET_BEFORE_SENT),
        ("interrupt", AttemptOutcome.CANCELLED_BEFORE_SENT),
        ("time", AttemptOutcome.TIMEOUT_BEFORE_SENT),
    ],
    ids=["reset", "interrupt", "timeout"],
)
def test_truncated_request_is_not_sent(
    event: str, outcome: AttemptOutcome, loop: EventLoop, server: socket.socket
) -> None:
    """The request exceeds all socket buffers and the endpoint does not read, so the write waits until the event."""
    upstream = pool_with_endpoint(loop, server, ConnectionLimits(60_000 * NS_PER_MS, 60_000 * NS_PER_MS, 1))
    large_request = ForwardedRequest(Message("POST", "/", body=bytes(64 * 1024 * 1024)))
    outcomes: list[AttemptOutcome] = []

    def attempt() -> None:
        deadline_ns = loop.now() + (200 if event == "time" else 60_000) * NS_PER_MS
        outcomes.append(upstream.execute_attempt(1, large_request, deadline_ns)[0])
        loop.stop()

    def end_write_by_event() -> None:
        peer, _ = server.accept()
        loop.sleep(50 * NS_PER_MS)
        outcomes.append(upstream.execute_attempt(1, large_request, loop.now() + NS_PER_MS)[0])
        if event == "interrupt":
            loop.interrupt(task)
        elif event == "reset":
            peer.close()  # resets the connection, because there are unread bytes
        loop.sleep(60_000 * NS_PER_MS)
        peer.close()

    task = loop.spawn(attempt)
    loop.spawn(end_write_by_event)
    loop.run(lambda: None)
    assert outcomes == [AttemptOutcome.NO_DESCRIPTOR, outcome]
    assert upstream.open_connections == 0


@pytest.mark.parametrize("pause_s", [0.0, 0.01], ids=["no pause", "pause of 10 ms"])
def test_surplus_bytes_are_not_read_as_the_next_response(
    pause_s: float, loop: EventLoop, server: socket.socket
) -> None:
    """Regression: a duplicate response that arrived just after the first was sent to the next client."""
    upstream = pool_with_endpoint(loop, server, ConnectionLimits(1000 * NS_PER_MS, 60_000 * NS_PER_MS, 9))
    bodies: list[bytes] = []

    def serve_twice() -> None:
        for body in (b"1", b"2"):
            loop.wait(server.fileno(), 1)
            connection, _ = server.accept()
            loop.wait(connection.fileno(), 1)
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)
            loop.sleep(int(MIN_IDLE_BEFORE_REUSE_NS / 5))
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)

    def attempt_twice() -> None:
        for _ in range(2):
            response = upstream.execute_attempt(1, get_request(), loop.now() + 5000 * NS_PER_MS)[1]
            bodies.append(response.body if response is not None else b"")
            loop.sleep(int(pause_s * 1e9))
        loop.stop()

    loop.spawn(serve_twice)
    loop.spawn(attempt_twice)
    loop.run(lambda: None)
    assert bodies == [b"1", b"2"]


def test_connection_is_not_reused_after_its_idle_timeout(loop: EventLoop, server: socket.socket) -> None:
    """Regression: expired connections were closed only once per second, so that an endpoint could close them first.

    A request that was sent at that moment was reset.
    """
    limits = ConnectionLimits(1000 * NS_PER_MS, safe_idle_timeout_ns(50 * NS_PER_MS), 9)
    upstream = pool_with_endpoint(loop, server, limits)
    accepted: list[socket.socket] = []
    outcomes: list[AttemptOutcome] = []

    def serve_twice() -> None:
        for _ in range(2):
            loop.wait(server.fileno(), 1)
            accepted.append(server.accept()[0])
            loop.wait(accepted[-1].fileno(), 1)
            accepted[-1].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def attempt_twice() -> None:
        for _ in range(2):
            outcomes.append(upstream.execute_attempt(1, get_request(), loop.now() + 5000 * NS_PER_MS)[0])
            loop.sleep(60 * NS_PER_MS)
        loop.stop()

    loop.spawn(serve_twice)
    loop.spawn(attempt_twice)
    loop.run(lambda: None)
    assert len(accepted) == 2
    assert outcomes == [AttemptOutcome.SERVED] * 2


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{}", '{"queue":"x"}', '{"queue":1e999}', '{"queue":-1}', '{"queue":' + "9" * 400 + "}", "[" * 5000],
    ids=["empty", "list", "no field", "text", "infinite", "negative", "400 digits", "deeply nested"],
)
def test_malformed_load_report_is_ignored(text: str, loop: EventLoop) -> None:
    upstream = UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ("queue",))
    assert upstream.load_report(Message(header_map={"x-backend-load": text})) is None
    assert upstream.load_report(Message(header_map={"x-backend-load": '{"queue":2}'})) == (2.0,)
