"""A request's deadline counts from the arrival of its last byte, however late the process reads it."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import cast

import pytest

from lugtally import balancing
from lugtally.downstream.arrival import ArrivalBound
from lugtally.eventloop import EventLoop
from lugtally.eventloop import loop as event_loop
from lugtally.units import NS_PER_MS
from tests.downstream.sidecar_process import SidecarProcess
from tests.fakes import Sidecar, request

SHORT_TIME_LEFT_S = 0.3
STALL_S = 0.5
STALL_NS = 500 * NS_PER_MS
"""Longer than the time left of a short request."""


def short_request(request_id: str) -> bytes:
    """Serialize a request whose time left is shorter than a stall."""
    return request("read", request_id, time_left_s=SHORT_TIME_LEFT_S)


def requests_submitted(sidecar: Sidecar) -> list[balancing.Request]:
    """Return the requests that the balancer received."""
    return [event for event in sidecar.balancer.events if isinstance(event, balancing.Request)]


def assert_no_expired_request_was_submitted(sidecar: Sidecar) -> None:
    """Fail if the balancer received an expired request, or if an attempt was started and never sent."""
    assert all(event.time_left_ns > 400 * NS_PER_MS for event in requests_submitted(sidecar))
    assert balancing.AttemptResult.NEVER_SENT not in sidecar.balancer.attempt_results()


@pytest.mark.parametrize("reused", [False, True], ids=["new connection", "reused connection"])
def test_deadline_counts_from_arrival_while_process_is_busy(reused: bool, sidecar: Sidecar) -> None:
    """The process reads the request 0.5 s after its last byte arrived, but the request had only 0.3 s left."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        client = sidecar.client(address)
        if reused:
            sidecar.serve(client)
        sidecar.loop.sleep(2 * NS_PER_MS)
        client.send(short_request("late"))
        time.sleep(STALL_S)  # blocks the process, including its event loop
        assert client.read().startswith(b"HTTP/1.1 503")
        assert sidecar.server.is_idle()

    sidecar.run(script)
    assert_no_expired_request_was_submitted(sidecar)


def test_deadline_of_pipelined_request_counts_from_its_arrival(sidecar: Sidecar) -> None:
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
    assert_no_expired_request_was_submitted(sidecar)


def test_requests_in_one_segment_share_one_arrival_time(sidecar: Sidecar) -> None:
    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", "slow") + short_request("late"))
        connection = sidecar.server.accept_request()
        sidecar.loop.sleep(STALL_NS)
        connection.respond()
        received = client.read_until(lambda data: data.count(b"HTTP/1.1 ") == 2)
        assert b"HTTP/1.1 503" in received

    sidecar.run(script)
    assert_no_expired_request_was_submitted(sidecar)


def test_deadline_counts_from_arrival_in_backlog() -> None:
    """The limit is one client connection; the first client uses it until after the second request's deadline."""
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
    assert_no_expired_request_was_submitted(sidecar)


def test_forwarded_time_left_excludes_wait_before_reading(sidecar: Sidecar) -> None:
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


def test_request_read_immediately_keeps_its_full_time_left(sidecar: Sidecar) -> None:
    """The lower bound of its arrival is exact if nothing delays it, however long the event loop was idle before."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.serve(client)
        sidecar.loop.sleep(700 * NS_PER_MS)
        client.send(request("read", "second"))
        connection = sidecar.server.accept_request()
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 200")

    sidecar.limits.idle_timeout_ns = 1  # so that each attempt opens a new connection
    sidecar.run(script)
    margin_ns = event_loop.MAX_POLL_NS + 40 * NS_PER_MS
    assert [event.time_left_ns >= 5_000 * NS_PER_MS - margin_ns for event in requests_submitted(sidecar)] == [
        True,
        True,
    ]


def test_slow_response_does_not_shorten_the_next_deadline(sidecar: Sidecar) -> None:
    """While the first request is in progress the connection is not read, but the event loop polls it."""

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


@pytest.mark.parametrize("reused", [False, True], ids=["new connection", "reused connection"])
def test_expired_request_is_not_forwarded_after_sigstop(reused: bool, tmp_path: Path) -> None:
    """The kernel accepts bytes for a stopped process, and does not report when they arrived."""
    with SidecarProcess(tmp_path) as sidecar:
        client = sidecar.connect()
        if reused:
            client.sendall(request("campaign-read", "first"))
            sidecar.respond_to_next()
            assert client.recv(65536).startswith(b"HTTP/1.1 200")
        time.sleep(0.3)  # long enough for the process to block in its poll
        sidecar.process.send_signal(signal.SIGSTOP)
        client.sendall(request("campaign-read", "late", time_left_s=SHORT_TIME_LEFT_S))
        time.sleep(2 * STALL_S)
        sidecar.process.send_signal(signal.SIGCONT)
        assert client.recv(65536).startswith(b"HTTP/1.1 503")
        assert sidecar.received_request_ids() == (["first"] if reused else [])


def test_non_empty_backlog_sets_no_arrival_time() -> None:
    """The limit is one client connection: others wait in the backlog when a poll that seems to have blocked reports it.

    The time of that poll must not be taken for the arrival of their requests.
    """
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        poll_descriptors = sidecar.loop._poll_descriptors

        def poll_slowly(due_ns: int | None) -> None:
            poll_descriptors(due_ns)
            sidecar.loop._poll_blocked = True  # as if the process had been preempted

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
    assert_no_expired_request_was_submitted(sidecar)


class PollTimes:
    """The part of the event loop that an arrival bound uses; each poll seems to have blocked."""

    def __init__(self) -> None:
        self.last_poll_ns = 0

    def not_ready_before_ns(self, watched_since_ns: int) -> int:
        return self.last_poll_ns


@pytest.mark.parametrize("is_read_partially", [False, True])
def test_poll_of_unread_input_sets_no_arrival_time(is_read_partially: bool) -> None:
    """Guards against a deadline that counts from a poll after the arrival, if input is left unread."""
    polls = PollTimes()
    arrival = ArrivalBound(cast(EventLoop, polls), 100)
    polls.last_poll_ns = 200
    arrival.note_readable(150)
    if is_read_partially:
        arrival.note_received(210, is_emptied=False)
    polls.last_poll_ns = 900
    arrival.note_readable(850)
    arrival.note_received(910, is_emptied=True)
    assert arrival.arrived_after_ns == 200
