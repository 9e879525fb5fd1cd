"""Failures of discovery: lost watches, failed calls, and a move to another discovery during a backoff.

A change must arrive within 6 s after discovery has it and is reachable.  The scripted balancer never requests another
call, so that a call that follows immediately is a retry of the watcher.  The backoff of the real balancer is tested
without sockets.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.discovery import timing
from lugtally.eventloop import Event, WakeReason
from lugtally.units import NS_PER_MS
from tests.discovery.discovery_harness import start_first_call, start_watch, update_kinds, wait_for_failed_call
from tests.fakes import ENDPOINT_A, ENDPOINT_B, PeerConnection, Sidecar


def test_worst_cases_stay_below_the_delivery_limit_by_a_margin() -> None:
    margin_ns = timing.UPDATE_DELIVERY_LIMIT_NS // 12
    assert timing.UPDATE_DELIVERY_LIMIT_NS - margin_ns >= timing.SILENT_DISCOVERY_WORST_CASE_NS
    assert timing.UPDATE_DELIVERY_LIMIT_NS - margin_ns >= timing.RETURNING_DISCOVERY_WORST_CASE_NS


PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"
Failure = Callable[[PeerConnection], object]


def do_not_respond(connection: PeerConnection) -> None:
    pass


def close(connection: PeerConnection) -> None:
    connection.sock.close()


def respond_partly(connection: PeerConnection) -> None:
    connection.send(PARTIAL_RESPONSE)


def respond_partly_and_close(connection: PeerConnection) -> None:
    connection.send(PARTIAL_RESPONSE)
    connection.sock.close()


def respond_and_close(connection: PeerConnection) -> None:
    connection.send_endpoint_list(2, False)
    connection.sock.close()


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    ("version", "fail"),
    [
        pytest.param(1, do_not_respond, id="no response to first call"),
        pytest.param(2, do_not_respond, id="no response to second call"),
        pytest.param(2, respond_partly, id="partial response"),
        pytest.param(2, respond_and_close, id="closed between calls"),
        pytest.param(2, close, id="closed during call"),
        pytest.param(2, respond_partly_and_close, id="truncated response"),
    ],
)
def test_lost_watch_is_retried_immediately(version: int, fail: Failure, sidecar: Sidecar) -> None:
    """The balancer receives no failure, and the retry requests the changes since the same version."""

    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept()
        assert connection.read_head() == "GET /catalog/members?from=1&hold_ms=30 HTTP/1.1"
        if version == 2:
            connection.send_endpoint_list(2, False)
            assert connection.read_head() == "GET /catalog/members?from=2&hold_ms=30 HTTP/1.1"
        fail(connection)
        second = sidecar.discovery.accept()
        assert second.read_head() == f"GET /catalog/members?from={version}&hold_ms=30 HTTP/1.1"
        second.send_endpoint_list(3, False, sidecar.endpoint_row("s-b", "draining"))
        second.read_head()

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-1] == ("delta", {ENDPOINT_B: "draining"})
    assert "failed" not in update_kinds(sidecar)


def respond_503(connection: PeerConnection) -> None:
    connection.respond(b"", "503 Busy")


def respond_html(connection: PeerConnection) -> None:
    connection.respond(b"<html>")


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    ("fail", "calls"),
    [
        pytest.param(respond_503, 1, id="503"),
        pytest.param(close, 1, id="closed before first response"),
        pytest.param(respond_html, 1, id="no JSON"),
        pytest.param(do_not_respond, 2, id="no response twice"),
    ],
)
def test_failed_call_waits_for_the_balancers_backoff(fail: Failure, calls: int, sidecar: Sidecar) -> None:
    """The failure is reported once, and the next call requests changes, not the full list."""

    def script() -> None:
        start_watch(sidecar)
        connections = []  # the references keep the connections open
        for _ in range(calls):
            connections.append(sidecar.discovery.accept_request())
            fail(connections[-1])
        wait_for_failed_call(sidecar)
        assert sidecar.discovery.is_idle(), "the watcher did not wait for the balancer"
        sidecar.endpoint_watcher.watch()
        assert "from=1&" in sidecar.discovery.accept().read_head(), "the watcher requested the full list"

    sidecar.run(script)
    assert update_kinds(sidecar).count("failed") == 1


def refuse_connections(sidecar: Sidecar) -> list[PeerConnection]:
    sidecar.discovery.sock.close()
    return []


def fill_backlog(sidecar: Sidecar) -> list[PeerConnection]:
    """Let further connects time out; return the clients that fill the backlog."""
    address = sidecar.discovery.address
    sidecar.discovery.sock.listen(0)
    clients = [PeerConnection(sidecar.loop, socket.socket()) for _ in range(4)]
    for client in clients:
        client.sock.connect_ex(address)
    return clients


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("make_unreachable", [refuse_connections, fill_backlog])
def test_unreachable_discovery_causes_one_failed_update(
    make_unreachable: Callable[[Sidecar], list[PeerConnection]], sidecar: Sidecar
) -> None:
    def script() -> None:
        clients = make_unreachable(sidecar)
        start_watch(sidecar)
        wait_for_failed_call(sidecar)
        sidecar.endpoint_watcher.watch()
        for client in clients:
            client.sock.close()

    sidecar.run(script)
    assert update_kinds(sidecar).count("failed") == 1


def test_balancer_backoff_is_within_its_limit_and_jittered() -> None:
    settings = balancing.Settings(subscribe_to_endpoints=True, max_poll_interval_ns=timing.MAX_BACKOFF_NS)
    delays_ns = []
    for seed in range(40):
        balancer = Balancer(settings, seed)
        for _ in range(12):
            timers = [
                action
                for action in balancer.handle(1, balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
                if isinstance(action, balancing.SetTimer)
            ]
            delays_ns.append(timers[0].delay_ns)
    assert max(delays_ns) <= timing.MAX_BACKOFF_NS
    # Sidecars that lose discovery together must not reconnect together.
    assert max(delays_ns) - min(delays_ns) > timing.MAX_BACKOFF_NS / 2


@pytest.mark.usefixtures("short_timeouts")
def test_move_during_backoff_polls_new_discovery_immediately(sidecar: Sidecar) -> None:
    """A timer of the old backoff must not shorten a later backoff of the new discovery."""

    def script() -> None:
        connection = start_first_call(sidecar)
        connection.respond(b"", "503 Busy")
        wait_for_failed_call(sidecar)
        sidecar.endpoint_watcher.move_to(sidecar.second_discovery.address)
        moved = sidecar.second_discovery.accept()
        assert moved.read_head() == "GET /catalog/members HTTP/1.1"
        moved.send_endpoint_list(1, True, sidecar.endpoint_row("s-a"))
        moved.read_head()
        # The timer of the old backoff fires while the new watch is in progress.
        sidecar.endpoint_watcher.watch()
        moved.sock.close()
        reconnected = sidecar.second_discovery.accept()
        reconnected.respond(b"", "503 Busy")
        wait_for_failed_call(sidecar)
        for _ in range(5):
            sidecar.loop.sleep(0)
        assert sidecar.second_discovery.is_idle(), "a timer of the old backoff shortened the next one"

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-2] == ("full", {ENDPOINT_A: "ready"})


def test_event_wakes_second_waiter_after_first_timed_out(sidecar: Sidecar) -> None:
    event = Event(sidecar.loop)
    reasons: list[WakeReason] = []

    def script() -> None:
        sidecar.loop.spawn(lambda: reasons.append(event.wait(sidecar.loop.now() + NS_PER_MS)))
        sidecar.loop.spawn(lambda: reasons.append(event.wait()))
        sidecar.wait_until(lambda: len(reasons) == 1)
        event.set()
        sidecar.wait_until(lambda: len(reasons) == 2)

    sidecar.run(script)
    assert reasons == [WakeReason.TIMEOUT, WakeReason.READY]
