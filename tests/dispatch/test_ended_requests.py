"""No byte of an attempt is sent after its request has ended because its deadline passed or its client disconnected."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lugtally import balancing
from lugtally.dispatch import Dispatcher, Failed, PendingRequest
from lugtally.eventloop import READABLE, Event, EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import pool
from lugtally.upstream.connection import UpstreamConnection
from tests.fakes import ENDPOINT_A, MAX_WAIT_NS, PeerConnection, Sidecar, disconnect, request

EXCESSIVE_TIMEOUT_NS = 9 * NS_PER_S
"""The timeout that the balancer gives each attempt in these tests: much longer than its request's remaining time."""
NOT_STARTED = [balancing.AttemptResult.NEVER_SENT]


def expire_requests(sidecar: Sidecar, ago_ns: int = 0) -> None:
    """Move the deadline of each request to ``ago_ns`` before now, as if the process had stalled."""
    for pending in sidecar.dispatcher._pending.values():
        pending.deadline_ns = sidecar.loop.now() - ago_ns


def send_to_endpoint(event: balancing.Event) -> list[balancing.Action]:
    """Send each request to one endpoint with an excessive timeout; reject it if its attempt was not served."""
    if isinstance(event, balancing.Request):
        return [balancing.SendAttempt(event.id, ENDPOINT_A, EXCESSIVE_TIMEOUT_NS)]
    if isinstance(event, balancing.AttemptFinished) and not event.request_finished:
        return [balancing.RejectRequest(event.request_id, 0)]
    return []


def delay_connects(monkeypatch: pytest.MonkeyPatch, delay: Callable[[EventLoop], None]) -> None:
    """Call ``delay`` before each upstream connection is established."""
    connect = UpstreamConnection.connect

    def connect_late(self: UpstreamConnection, loop: EventLoop, timeout_ns: int, deadline_ns: int) -> None:
        delay(loop)
        connect(self, loop, timeout_ns, deadline_ns)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_late)


def test_request_is_not_sent_if_connect_ends_after_deadline(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """The deadline of the request applies, not the later one that the balancer gave the attempt."""
    delay_connects(monkeypatch, lambda _: expire_requests(sidecar))

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = send_to_endpoint
        client.send(request("read"))
        assert client.read().startswith(b"HTTP/1.1 50")
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()))
        connection = sidecar.server.accept()  # stays open, as nothing was written on it
        assert not sidecar.loop.is_ready(connection.sock.fileno(), READABLE), "bytes were sent after the deadline"

    sidecar.run(script)
    assert sidecar.balancer.attempt_results()[0] in balancing.NOT_PROCESSED


def test_attempt_delayed_by_stall_past_deadline_is_not_started(sidecar: Sidecar) -> None:
    """The process stalls after the decision and before the attempt starts."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            expire_requests(sidecar, NS_PER_S)
        return send_to_endpoint(event)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = decide
        client.send(request("read"))
        assert client.read().startswith(b"HTTP/1.1 503")
        assert sidecar.server.is_idle(), "a connection was opened for it"

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == NOT_STARTED


def test_retry_due_after_deadline_is_not_started(sidecar: Sidecar) -> None:
    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.AttemptFinished) and event.attempt == 0:
            return [balancing.SetTimer(NS_PER_MS, balancing.RetryTimer(event.request_id))]
        if isinstance(event, balancing.TimerFired) and isinstance(event.timer, balancing.RetryTimer):
            expire_requests(sidecar)
            return [balancing.SendAttempt(event.timer.request_id, ENDPOINT_A, EXCESSIVE_TIMEOUT_NS)]
        return send_to_endpoint(event)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = decide
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        connection.sock.close()
        assert client.read().startswith(b"HTTP/1.1 50")
        sidecar.wait_until(lambda: not sidecar.dispatcher.in_progress)
        assert sidecar.server.is_idle(), "a connection was opened for it"

    sidecar.run(script)


def test_attempt_in_flight_is_aborted_at_request_deadline(sidecar: Sidecar) -> None:
    """The upstream connection is closed, and the client receives a response with status 503."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = send_to_endpoint
        client.send(request("read", time_left_s=1.0))
        connection = sidecar.server.accept_request()
        assert connection.read_to_end() == b""
        assert client.read().startswith(b"HTTP/1.1 503")

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.TIMEOUT]


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_no_request_is_sent_after_disconnect_while_connecting(
    how: str, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    may_connect = Event(sidecar.loop)
    delay_connects(monkeypatch, lambda loop: may_connect.wait(loop.now() + MAX_WAIT_NS) and None)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        sidecar.wait_until(lambda: sidecar.upstream.open_connections == 1)
        disconnect(client.sock, how)
        may_connect.set()  # in the same turn of the event loop, before a poll reports the disconnect
        assert sidecar.server.accept().read_to_end() == b""
        sidecar.wait_until(lambda: not sidecar.dispatcher.in_progress)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == NOT_STARTED


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_request_is_not_sent_if_client_leaves_before_reuse(
    how: str, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        pooled = sidecar.serve(sidecar.client(address))
        monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE_NS", 1_000 * NS_PER_MS)
        client = sidecar.client(address)
        client.send(request("read"))
        sidecar.wait_until(lambda: ENDPOINT_A in sidecar.upstream._awaiting_reuse)
        disconnect(client.sock, how)
        sidecar.wait_until(lambda: not sidecar.dispatcher.in_progress)
        assert not sidecar.loop.is_ready(pooled.sock.fileno(), READABLE)
        assert sidecar.server.is_idle()

    sidecar.run(script)
    assert sidecar.balancer.attempt_results()[1:] == NOT_STARTED


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_retry_is_not_sent_if_client_disconnects_during_backoff(how: str, sidecar: Sidecar) -> None:
    """The retry is due at the moment at which the client disconnects, and the balancer decides to send it."""
    clients: list[PeerConnection] = []

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.AttemptFinished) and event.attempt == 0:
            return [balancing.SetTimer(NS_PER_MS, balancing.RetryTimer(event.request_id))]
        if isinstance(event, balancing.TimerFired) and isinstance(event.timer, balancing.RetryTimer):
            disconnect(clients[0].sock, how)  # after the last poll of the event loop
            return [balancing.SendAttempt(event.timer.request_id, ENDPOINT_A, EXCESSIVE_TIMEOUT_NS)]
        return send_to_endpoint(event)

    def script() -> None:
        clients.append(sidecar.client(sidecar.listen_with_one_endpoint()))
        sidecar.balancer.decide = decide
        clients[0].send(request("read"))
        connection = sidecar.server.accept_request()
        connection.sock.close()
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)
        while sidecar.loop.is_ready(sidecar.server.sock.fileno(), READABLE):
            # The retry may have connected, but must send nothing.
            assert sidecar.server.accept().read_to_end() == b""

    sidecar.run(script)
    assert sidecar.balancer.attempt_results()[1:] == NOT_STARTED


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("decided_on", [balancing.Request, balancing.ClientDisconnected])
def test_attempt_decided_as_client_disconnects_is_not_started(
    decided_on: type[balancing.Event], how: str, sidecar: Sidecar
) -> None:
    """The decision is queued before the client disconnects, so that the task of the attempt starts anyway."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if not isinstance(event, decided_on):
            return []
        if isinstance(event, balancing.ClientDisconnected):
            return [balancing.SendAttempt(event.request_id, ENDPOINT_A, EXCESSIVE_TIMEOUT_NS)]
        if isinstance(event, balancing.Request):
            pending = sidecar.dispatcher._pending[event.id]
            sidecar.dispatcher._start_attempt(pending, ENDPOINT_A, sidecar.loop.now(), EXCESSIVE_TIMEOUT_NS)
            sidecar.dispatcher.client_disconnected(pending)
        return []

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = decide
        client.send(request("read"))
        sidecar.wait_until(lambda: len(sidecar.balancer.events) > 1)
        disconnect(client.sock, how)
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()))
        assert sidecar.server.is_idle(), "a connection was opened for it"
        assert not sidecar.dispatcher.in_progress

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == NOT_STARTED


def test_balancer_exception_gives_503_and_serves_next_request(sidecar: Sidecar) -> None:
    """The request does not wait for its deadline, and gets no 502, which means that it may have been processed."""

    def decide(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request) and event.id == "1":
            raise RuntimeError
        return send_to_endpoint(event)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = decide
        started_ns = sidecar.loop.now()
        client.send(request("read", time_left_s=5.0))
        assert client.read().startswith(b"HTTP/1.1 503")
        assert sidecar.loop.now() - started_ns < 4 * NS_PER_S, "the request waited for its deadline"
        sidecar.serve(client, "r2")

    sidecar.run(script)


def test_response_after_request_failed_is_not_sent(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The client receives status 502, which the counters have recorded, although the attempt was served."""
    attempt_finished = Dispatcher.attempt_finished

    def fail_before_result(self: Dispatcher, pending: PendingRequest, number: int, *arguments: Any) -> bool:
        self._finish(pending, Failed())
        return attempt_finished(self, pending, number, *arguments)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        monkeypatch.setattr(Dispatcher, "attempt_finished", fail_before_result)
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 502")

    sidecar.run(script)
    assert sidecar.dispatcher.request_counts()["failed"] == 1
