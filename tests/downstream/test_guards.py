"""Checks and limits of client connections that no other test covers: each test fails if its check is removed."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.downstream import closing, request_reader
from lugtally.eventloop import PEER_CLOSED
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fakes import ENDPOINT_A, Sidecar, request

NEVER_NS = 60 * NS_PER_S
"""Replaces a time limit that the test must not reach."""


def test_disconnect_after_last_poll_is_noticed_before_write() -> None:
    """The client disconnects while the balancer decides, in the turn of the event loop that would write the request."""
    sidecar = Sidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        first_client = sidecar.client(address)
        first_client.send(request("read", "r0"))
        connection = sidecar.server.accept()
        connection.read_head()
        connection.respond()
        assert b"200 OK" in first_client.read()
        sidecar.loop.sleep(20 * NS_PER_MS)  # then the upstream connection may be reused without a wait
        disconnecting = sidecar.client(address)
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 2)
        accepted = next(
            candidate
            for candidate in sidecar.downstream._connections
            if candidate.sock.getpeername() == disconnecting.sock.getsockname()
        )

        def disconnect_and_send(event: balancing.Event) -> list[balancing.Action]:
            if not isinstance(event, balancing.Request):
                return []
            disconnecting.sock.close()
            test_deadline_ns = sidecar.loop.now() + NS_PER_S
            while not sidecar.loop.is_ready(accepted.fd, PEER_CLOSED):  # until the kernel has delivered the close
                assert sidecar.loop.now() < test_deadline_ns
            return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)]

        sidecar.balancer.decide = disconnect_and_send
        disconnecting.send(request("read", "r1"))
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)
        assert not sidecar.loop.is_ready(connection.sock.fileno(), 1), (
            "the request of a disconnected client was written"
        )

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.OK, balancing.AttemptResult.NEVER_SENT]
    assert len(sidecar.balancer.client_disconnects()) == 1


def test_idle_connection_is_evicted_at_connection_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", NEVER_NS)
    sidecar = Sidecar(max_clients=2)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        idle = [sidecar.client(address) for _ in range(2)]
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 2)
        waiting = sidecar.client(address)
        waiting.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        connection.respond()
        assert waiting.read().startswith(b"HTTP/1.1 200")
        for client in idle:
            client.sock.close()

    sidecar.run(script)


def test_new_connection_may_send_first_request_during_shutdown() -> None:
    """A connection that was accepted before the shutdown and has not carried a request is new instead of idle."""
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 1)
        sidecar.downstream.drain()
        sidecar.wait_until(sidecar.has_closed_listener)
        sidecar.loop.sleep(NS_PER_MS)  # until the task of each connection has been woken and has run
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        connection.respond()
        assert client.read_to_end().startswith(b"HTTP/1.1 200")

    stop = sidecar.loop.stop
    sidecar.loop.stop = lambda: stop() if sidecar.script_ended else None  # type: ignore[method-assign]
    sidecar.run(script)


def test_close_after_408_does_not_wait_for_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client whose request timed out has used its connection for long enough."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 20 * NS_PER_MS)
    monkeypatch.setattr(closing, "LINGER_SILENCE_TIMEOUT_NS", NEVER_NS)
    monkeypatch.setattr(closing, "MAX_LINGER_NS", NEVER_NS)
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(b"GET /read HTTP/1.1\r\n")
        assert client.read_to_end().startswith(b"HTTP/1.1 408")
        sidecar.wait_until(lambda: sidecar.downstream.open_connections == 0)  # the client itself does not close

    sidecar.run(script)


def test_slow_bytes_do_not_extend_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """A byte is available at each poll, so that no single wait for input reaches the request timeout."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 20 * NS_PER_MS)
    sidecar = Sidecar()
    responses: list[bytes] = []

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(b"GET /read HTTP/1.1\r\nX-Fill: ")
        sidecar.loop.spawn(lambda: responses.append(client.read()))
        test_deadline_ns = sidecar.loop.now() + 10 * NS_PER_S
        while not responses:
            assert sidecar.loop.now() < test_deadline_ns, "the request never timed out"
            client.send(b"x")
            sidecar.loop.sleep(0)

    sidecar.run(script)
    assert responses[0].startswith(b"HTTP/1.1 408"), responses
