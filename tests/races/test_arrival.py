"""When a request's time begins: with its last byte, however late the process gets to read it."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from lugtally import balancing
from lugtally.eventloop import loop as event_loop
from lugtally.units import NS_PER_MS
from tests.races.fakes import PeerConnection, Sidecar, request
from tests.races.processes import SidecarProcess

SHORT_TIME_LEFT_S = 0.3
STALL_S = 0.5
STALL_NS = 500 * NS_PER_MS
"""Longer than a short request has."""


def short_request(request_id: str) -> bytes:
    """Serialize a request whose client waits for 0.3 s."""
    return request("read", request_id, time_left_s=SHORT_TIME_LEFT_S)


def requests_submitted(sidecar: Sidecar) -> list[balancing.Request]:
    """Return the requests that the balancer was told of."""
    return [event for event in sidecar.balancer.events if isinstance(event, balancing.Request)]


def assert_late_one_was_not_submitted(sidecar: Sidecar) -> None:
    """Fail where the balancer was told of a request whose time was over, or sent one."""
    assert all(event.time_left_ns > 400 * NS_PER_MS for event in requests_submitted(sidecar))
    assert balancing.AttemptResult.NEVER_SENT not in sidecar.balancer.attempt_results()


def serve_first_request(sidecar: Sidecar, client: PeerConnection) -> PeerConnection:
    """Serve one request of a client; return the endpoint's connection."""
    client.send(request("read", "first"))
    connection = sidecar.server.accept_request()
    connection.respond()
    assert client.read().startswith(b"HTTP/1.1 200")
    return connection


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
def test_a_request_that_waited_for_a_busy_process_keeps_its_deadline(kept: bool, sidecar: Sidecar) -> None:
    """Its whole time began anew when it was read: forwarded 0.5 s after its last byte, with 0.3 s to go."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        client = sidecar.client(address)
        if kept:
            serve_first_request(sidecar, client)
        sidecar.loop.sleep(2 * NS_PER_MS)
        client.send(short_request("late"))
        time.sleep(STALL_S)  # nothing of the process runs meanwhile
        assert client.read().startswith(b"HTTP/1.1 503")
        assert sidecar.server.is_idle()

    sidecar.run(script)
    assert_late_one_was_not_submitted(sidecar)


def test_a_pipelined_request_keeps_its_deadline_while_it_waits_for_the_one_before(sidecar: Sidecar) -> None:
    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", "slow"))
        connection = sidecar.server.accept_request()
        client.send(short_request("late"))
        sidecar.loop.sleep(STALL_NS)
        connection.respond()
        received = client.read_until(lambda data: data.count(b"HTTP/1.1 ") == 2)
        assert received.startswith(b"HTTP/1.1 200")
        assert b"HTTP/1.1 503" in received

    sidecar.run(script)
    assert_late_one_was_not_submitted(sidecar)


def test_requests_pipelined_at_once_share_the_moment_of_their_arrival(sidecar: Sidecar) -> None:
    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", "slow") + short_request("late"))
        connection = sidecar.server.accept_request()
        sidecar.loop.sleep(STALL_NS)
        connection.respond()
        received = client.read_until(lambda data: data.count(b"HTTP/1.1 ") == 2)
        assert b"HTTP/1.1 503" in received

    sidecar.run(script)
    assert_late_one_was_not_submitted(sidecar)


def test_a_request_that_waited_in_the_backlog_keeps_its_deadline() -> None:
    """The one place for a client is taken for longer than the second one waits."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        first = sidecar.client(address)
        first.send(request("read", "slow"))
        connection = sidecar.server.accept_request()
        second = sidecar.client(address)
        second.send(short_request("late"))
        sidecar.loop.sleep(STALL_NS)
        connection.respond()
        assert first.read().startswith(b"HTTP/1.1 200")
        first.sock.close()
        assert second.read().startswith(b"HTTP/1.1 503")

    sidecar.run(script)
    assert_late_one_was_not_submitted(sidecar)


def test_the_time_told_to_an_endpoint_is_what_the_client_has_left(sidecar: Sidecar) -> None:
    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.loop.sleep(2 * NS_PER_MS)
        client.send(request("read"))
        time.sleep(STALL_S)
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

    sidecar.run(script)
    assert requests_submitted(sidecar)[0].time_left_ns <= (5_000 - 490) * NS_PER_MS


def test_a_request_that_is_read_at_once_has_its_whole_time(sidecar: Sidecar) -> None:
    """The bound must not cost a request its time where nothing held it up, however long the loop has been idle."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        serve_first_request(sidecar, client)
        sidecar.loop.sleep(700 * NS_PER_MS)
        client.send(request("read", "second"))
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

    sidecar.limits.idle_timeout_ns = 1  # each attempt over a new connection
    sidecar.run(script)
    margin_ns = event_loop.MAX_POLL_NS + 40 * NS_PER_MS
    assert [event.time_left_ns >= 5_000 * NS_PER_MS - margin_ns for event in requests_submitted(sidecar)] == [
        True,
        True,
    ]


def test_the_time_of_a_slow_response_is_not_taken_from_the_next_request(sidecar: Sidecar) -> None:
    """The connection was not read from meanwhile, but the loop watched it."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", "slow"))
        connection = sidecar.server.accept_request()
        sidecar.loop.sleep(STALL_NS)
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.send(request("read", "second"))
        sidecar.wait_until(lambda: len(requests_submitted(sidecar)) == 2)

    sidecar.run(script)
    assert requests_submitted(sidecar)[1].time_left_ns >= 4_900 * NS_PER_MS


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
def test_a_stopped_process_forwards_nothing_whose_time_is_over(kept: bool, tmp_path: Path) -> None:
    """SIGSTOP while it waits for events: the kernel takes requests all the same, and none says when it came."""
    with SidecarProcess(tmp_path) as sidecar:
        client = sidecar.connect()
        if kept:
            client.sendall(request("campaign-read", "first"))
            sidecar.answer_next()
            assert client.recv(65536).startswith(b"HTTP/1.1 200")
        time.sleep(0.3)  # the process waits in its poll
        sidecar.process.send_signal(signal.SIGSTOP)
        client.sendall(request("campaign-read", "late", time_left_s=SHORT_TIME_LEFT_S))
        time.sleep(2 * STALL_S)
        sidecar.process.send_signal(signal.SIGCONT)
        assert client.recv(65536).startswith(b"HTTP/1.1 503")
        assert sidecar.requests_seen() == (["first"] if kept else [])


def test_a_backlog_that_is_not_empty_proves_nothing_of_when_its_connections_came() -> None:
    """One place becomes free each time; the poll that reports the next client took long on a busy machine."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        poll_once = sidecar.loop._poll_descriptors

        def poll_slowly(due_ns: int | None) -> None:
            poll_once(due_ns)
            sidecar.loop._poll_blocked = True  # as where it was preempted

        clients = [sidecar.client(address) for _ in range(3)]
        clients[0].send(request("read", "slow"))
        connection = sidecar.server.accept_request()
        for number, client in enumerate(clients[1:]):
            client.send(short_request(f"late{number}"))
        sidecar.loop.sleep(STALL_NS)
        sidecar.loop._poll_descriptors = poll_slowly  # type: ignore[method-assign]
        connection.respond()
        assert clients[0].read().startswith(b"HTTP/1.1 200")
        for client in clients[1:]:
            assert client.read().startswith(b"HTTP/1.1 503")
            client.sock.close()

    sidecar.run(script)
    assert_late_one_was_not_submitted(sidecar)
