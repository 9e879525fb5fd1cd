"""Guards of client connections that no other test would miss: each test fails where its guard is taken out."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.downstream import closing, request_reader
from lugtally.eventloop import PEER_CLOSED
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.races.fakes import ENDPOINT_A, Sidecar, request

NEVER_NS = 60 * NS_PER_S
"""As a time limit: longer than any test waits."""


def test_a_client_that_left_since_the_last_poll_is_seen_right_before_the_write() -> None:
    """It leaves while the balancer decides, in the turn of the event loop in which the attempt writes."""
    sidecar = Sidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        first = sidecar.client(address)
        first.send(request("read", "r0"))
        connection = sidecar.server.accept()
        connection.read_head()
        connection.respond()
        assert b"200 OK" in first.read()
        sidecar.loop.sleep(20 * NS_PER_MS)  # its connection has settled: the next attempt need not wait for it
        leaver = sidecar.client(address)
        sidecar.wait_until(lambda: sidecar.downstream.open == 2)
        accepted = next(one for one in sidecar.downstream._open if one.sock.getpeername() == leaver.sock.getsockname())

        def leave_and_send(event: balancing.Event) -> list[balancing.Action]:
            if not isinstance(event, balancing.Request):
                return []
            leaver.sock.close()
            give_up_ns = sidecar.loop.now() + NS_PER_S
            while not sidecar.loop.is_ready(accepted.fd, PEER_CLOSED):  # the kernel hands the end over
                assert sidecar.loop.now() < give_up_ns
            return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)]

        sidecar.balancer.decide = leave_and_send
        leaver.send(request("read", "r1"))
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)
        assert not sidecar.loop.is_ready(connection.sock.fileno(), 1), "the request of a client that left was written"

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.OK, balancing.AttemptResult.NEVER_SENT]
    assert len(sidecar.balancer.client_disconnects()) == 1


def test_idle_connections_are_evicted_where_they_keep_a_request_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "CLIENT_IDLE_TIMEOUT_NS", NEVER_NS)
    sidecar = Sidecar(max_clients=2)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        idle = [sidecar.client(address) for _ in range(2)]
        sidecar.wait_until(lambda: sidecar.downstream.open == 2)
        late = sidecar.client(address)
        late.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        connection.respond()
        assert late.read().startswith(b"HTTP/1.1 200")
        for client in idle:
            client.sock.close()

    sidecar.run(script)


def test_a_fresh_connection_is_given_time_for_its_first_request_at_shutdown() -> None:
    """Accepted before the end, its first bytes still on their way, it was not idle but new."""
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.wait_until(lambda: sidecar.downstream.open == 1)
        sidecar.downstream.drain()
        sidecar.wait_until(sidecar.has_closed_listener)
        sidecar.loop.sleep(NS_PER_MS)  # the task of each connection has been told, and has run
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        connection.respond()
        assert client.read_to_end().startswith(b"HTTP/1.1 200")

    stop = sidecar.loop.stop
    sidecar.loop.stop = lambda: stop() if sidecar.stopped else None  # type: ignore[method-assign]
    sidecar.run(script)


def test_the_close_after_a_408_does_not_wait_for_the_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that took so long to be given up has held its connection long enough."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 20 * NS_PER_MS)
    monkeypatch.setattr(closing, "LINGER_SILENCE_TIMEOUT_NS", NEVER_NS)
    monkeypatch.setattr(closing, "MAX_LINGER_NS", NEVER_NS)
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(b"GET /read HTTP/1.1\r\n")
        assert client.read_to_end().startswith(b"HTTP/1.1 408")
        sidecar.wait_until(lambda: sidecar.downstream.open == 0)  # the client itself does not close

    sidecar.run(script)


def test_a_request_whose_bytes_trickle_in_has_no_more_time_than_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """A byte is there at each poll, so that no wait for one ever lasts until the time is over."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 20 * NS_PER_MS)
    sidecar = Sidecar()
    answered: list[bytes] = []

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(b"GET /read HTTP/1.1\r\nX-Fill: ")
        sidecar.loop.spawn(lambda: answered.append(client.read()))
        give_up_ns = sidecar.loop.now() + 10 * NS_PER_S
        while not answered:
            assert sidecar.loop.now() < give_up_ns, "it goes on for good"
            client.send(b"x")
            sidecar.loop.sleep(0)

    sidecar.run(script)
    assert answered[0].startswith(b"HTTP/1.1 408"), answered
