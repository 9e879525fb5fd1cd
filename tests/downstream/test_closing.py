"""Races at the close of a client connection: a request arrives, or the client has not read its response."""

from __future__ import annotations

from typing import Any

import pytest

from lugtally import balancing
from lugtally.downstream import acceptor, closing, request_reader
from lugtally.downstream import connection as downstream_connection
from lugtally.eventloop import READABLE, WRITABLE, Event, WakeReason
from lugtally.units import NS_PER_MS
from lugtally.upstream import attempt
from tests.fakes import PeerConnection, Sidecar, request


@pytest.mark.parametrize("body_bytes", [60_000, 100_004])
@pytest.mark.parametrize("draining", [False, True], ids=["connection close", "draining"])
def test_client_sending_after_last_response_receives_all_of_it(
    body_bytes: int, draining: bool, sidecar: Sidecar
) -> None:
    """Closing a socket with unread bytes resets the connection, which discards what the client has not read."""

    def script() -> None:
        client = sidecar.slow_client(sidecar.listen_with_one_endpoint())
        client.send(request("read", headers="" if draining else "Connection: close\r\n"))
        connection = sidecar.server.accept_request()
        if draining:
            sidecar.downstream.drain()
        connection.respond(b"x" * body_bytes)
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()) and not sidecar.dispatcher.in_progress)
        for _ in range(3):
            sidecar.loop.sleep(0)  # the downstream task writes as much of the response as the socket accepts
        client.send(b"GET /more HTTP/1.1\r\n")
        received = client.read_to_end()
        assert received.partition(b"\r\n\r\n")[2] == b"x" * body_bytes
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)

    def stop_when_finished() -> None:
        sidecar.loop._stopped = sidecar.loop._stopped or sidecar.script_ended

    sidecar.loop.stop = stop_when_finished  # type: ignore[method-assign]
    sidecar.run(script)


def test_request_arriving_at_idle_timeout_is_answered(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """The request arrives after the poll that times out and before the close."""
    monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", 20 * NS_PER_MS)
    original_wait = Event.wait
    late_requests: list[int] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()

        def wait(self: Event, deadline_ns: int | None = None) -> WakeReason:
            reason = original_wait(self, deadline_ns)
            if (
                reason is WakeReason.TIMEOUT
                and not late_requests
                and any(self is connection.wake_up for connection in sidecar.downstream._connections)
            ):
                late_requests.append(1)
                monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", 5_000 * NS_PER_MS)
                client.send(request("read"))
            return reason

        monkeypatch.setattr(Event, "wait", wait)
        client = sidecar.client(address)
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.send(request("read", "r2"))  # the connection stays open, as after any other response
        connection.read_head()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

    sidecar.run(script)
    assert late_requests


def test_shutdown_ends_at_connection_limit() -> None:
    """The accepting task waits for a connection to close, and must not consume the event that wakes the shutdown."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        sidecar.downstream.drain()
        sidecar.wait_until(sidecar.has_closed_listener)
        # Longer than the accepting task waits before it checks the connection limit again.
        sidecar.loop.sleep(2 * acceptor.EVICTION_INTERVAL_NS)
        connection.respond()
        assert client.read_to_end().startswith(b"HTTP/1.1 200")
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.has_shut_down)

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)


def test_connection_accepted_last_in_shutdown_may_send_request() -> None:
    """The connection is accepted just before the listener closes, and its request arrives afterwards."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        first = sidecar.client(address)
        first.send(request("read"))
        connection = sidecar.server.accept_request()
        second = sidecar.client(address)  # waits in the backlog, because the limit is one connection
        sidecar.downstream.drain()
        sidecar.wait_until(lambda: sidecar.downstream._shutdown.state.closing)
        connection.respond()
        assert first.read_to_end().startswith(b"HTTP/1.1 200")
        first.sock.close()
        sidecar.wait_until(sidecar.has_closed_listener)
        second.send(request("read", "r2"))
        if connection.read_more():
            connection.read_head()
        else:
            connection = sidecar.server.accept_request()
        connection.respond()
        assert second.read_to_end().startswith(b"HTTP/1.1 200")

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)


def test_request_after_connection_close_is_not_forwarded(sidecar: Sidecar) -> None:
    """Its client retries it on another connection, so that it must not be processed here as well."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("once", method="POST", headers="Connection: close\r\nContent-Length: 0\r\n"))
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read_to_end().startswith(b"HTTP/1.1 200")
        client.send(request("once", "r2", method="POST", headers="Content-Length: 0\r\n"))
        client.sock.close()
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)
        assert sidecar.server.is_idle()
        assert not sidecar.loop.is_ready(connection.sock.fileno(), READABLE)

    sidecar.run(script)
    assert sum(isinstance(event, balancing.Request) for event in sidecar.balancer.events) == 1


def test_linger_and_request_timeouts_sum_to_less_than_3s() -> None:
    margin = 100 * NS_PER_MS
    assert closing.MAX_LINGER_NS + margin < 3_000 * NS_PER_MS
    assert request_reader.REQUEST_TIMEOUT_NS + closing.SHORT_LINGER_NS + margin < 3_000 * NS_PER_MS


@pytest.mark.parametrize("data", [b"what\r\n\r\n", b"GET /read HTTP/1.1\r\n"], ids=["malformed", "slow"])
def test_connection_closes_while_client_sends_after_its_4xx(
    data: bytes, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    """The client receives a 400 or a 408, and keeps sending."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 10 * NS_PER_MS)
    monkeypatch.setattr(closing, "MAX_LINGER_NS", 50 * NS_PER_MS)
    monkeypatch.setattr(closing, "SHORT_LINGER_NS", 50 * NS_PER_MS)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(data)
        assert client.read().startswith(b"HTTP/1.1 4")
        while sidecar.downstream.open_connections:
            try:
                client.send(b"x")
            except OSError:
                break
            sidecar.loop.sleep(NS_PER_MS)
        sidecar.wait_until(lambda: not sidecar.downstream.open_connections)

    sidecar.run(script)


@pytest.mark.parametrize("partial_response", [b"", b"HTTP/1.1 20"], ids=["close", "bytes and close"])
def test_close_before_write_fails_request_without_retry(
    partial_response: bytes, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    """The request may have been processed: it gets a 502 and is not retried."""
    write_request = attempt.write_request

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("once", "r0", method="POST", headers="Content-Length: 0\r\n"))
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

        def close_and_write(*arguments: Any) -> None:
            connection.send(partial_response)
            connection.sock.close()
            write_request(*arguments)

        monkeypatch.setattr(attempt, "write_request", close_and_write)
        client.send(request("once", "r1", method="POST", headers="Content-Length: 0\r\n"))
        assert client.read().startswith(b"HTTP/1.1 502")
        assert sidecar.server.is_idle(), "the request was retried"

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.OK, balancing.AttemptResult.RESET]


def test_shutdown_ends_while_client_reads_no_response(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """A stalled write fails after its timeout, because otherwise a graceful shutdown would not end."""
    monkeypatch.setattr(downstream_connection, "WRITE_STALL_TIMEOUT_NS", 50 * NS_PER_MS)

    def script() -> None:
        client = sidecar.slow_client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        sidecar.downstream.drain()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n")
        sidecar.loop.spawn(lambda: send_body(connection))
        sidecar.wait_until(lambda: sidecar.has_shut_down)

    def send_body(connection: PeerConnection) -> None:
        while (
            sidecar.loop.wait(connection.sock.fileno(), WRITABLE, sidecar.loop.now() + 5_000 * NS_PER_MS)
            is WakeReason.READY
        ):
            try:
                connection.sock.send(bytes(65536))
            except OSError:
                return

    sidecar.keep_running_after_shutdown()
    sidecar.run(script)
