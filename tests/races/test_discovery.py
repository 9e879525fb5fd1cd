"""Crossings round discovery: a watch that dies in any way, a move, lists that are not what they should be.

A change is due 6 s after discovery had it and could be reached.  Where the next call must come at once, the balancer
in these tests never requests another; where a backoff is due, the real balancer's is measured without a socket.
"""

from __future__ import annotations

import socket
from typing import Any

import pytest

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config.endpoint_list import parse_endpoint_list
from lugtally.discovery import timing
from lugtally.eventloop import Event, WakeReason
from lugtally.units import NS_PER_MS
from tests.races.fakes import ENDPOINT_A, ENDPOINT_B, PeerConnection, Sidecar


def start_watch(sidecar: Sidecar) -> None:
    """Start with the cached list of version 1 and let the balancer request one watch, never another."""
    cached = {"version": 1, "full": True, "servers": [sidecar.endpoint_row("s-a"), sidecar.endpoint_row("s-b")]}
    sidecar.endpoint_watcher.start(parse_endpoint_list(cached, "known"))
    sidecar.endpoint_watcher.watch()


def test_update_delivery_times_sum_to_the_limit_with_margin() -> None:
    margin = timing.UPDATE_DELIVERY_LIMIT_NS // 12
    assert timing.UPDATE_DELIVERY_LIMIT_NS - margin >= timing.SILENT_WATCH_TO_UPDATE_NS
    assert timing.UPDATE_DELIVERY_LIMIT_NS - margin >= timing.DISCOVERY_RETURN_TO_UPDATE_NS


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same waits in a fraction of their time: a silence is silence however long one waits for it."""
    for name, value in (
        ("WATCH_HOLD_MS", 30),
        ("RESPONSE_TIMEOUT_NS", 30 * NS_PER_MS),
        ("CONNECT_TIMEOUT_NS", 200 * NS_PER_MS),
    ):
        monkeypatch.setattr(timing, name, value)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    "death", ["silent at once", "silent later", "half an answer", "reset at rest", "end in a call", "cut answer"]
)
def test_failed_watch_is_reconnected_at_once(death: str, sidecar: Sidecar) -> None:
    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept()
        assert connection.read_head() == "GET /catalog/members?from=1&hold_ms=30 HTTP/1.1"
        if death != "silent at once":
            connection.send_endpoint_list(2, False)
            assert connection.read_head() == "GET /catalog/members?from=2&hold_ms=30 HTTP/1.1"
        if death == "half an answer":
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        elif death == "cut answer":
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
            connection.sock.close()
        elif death == "end in a call":
            connection.sock.close()
        elif death == "reset at rest":
            connection.send_endpoint_list(2, False)
            connection.sock.close()
        version = 1 if death == "silent at once" else 2
        fresh = sidecar.discovery.accept()
        assert fresh.read_head() == f"GET /catalog/members?from={version}&hold_ms=30 HTTP/1.1"
        fresh.send_endpoint_list(3, False, sidecar.endpoint_row("s-b", "draining"))
        fresh.read_head()

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-1] == ("changes", {ENDPOINT_B: "draining"})
    assert not [kind for kind, _ in sidecar.balancer.endpoint_updates() if kind == "failed"]


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("death", ["503", "first answer cut", "no JSON", "silent twice", "refused", "never up"])
def test_failed_call_waits_for_the_balancers_backoff(death: str, sidecar: Sidecar) -> None:
    """The failure is reported once, and the next call requests changes only."""
    refused = sidecar.discovery.address

    def script() -> None:
        if death == "refused":
            sidecar.discovery.sock.close()
        elif death == "never up":
            # Who listens and never accepts lets a few in: fill these places.
            sidecar.discovery.sock.listen(0)
            fillers = [PeerConnection(sidecar.loop, socket.socket()) for _ in range(4)]
            for filler in fillers:
                filler.sock.connect_ex(refused)
        start_watch(sidecar)
        if death not in ("refused", "never up"):
            connection = sidecar.discovery.accept_request()
            if death == "503":
                connection.respond(b"", "503 Busy")
            elif death == "first answer cut":
                connection.sock.close()
            elif death == "no JSON":
                connection.respond(b"<html>")
            else:
                sidecar.discovery.accept().read_head()
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1][0] == "failed")
        assert death in ("refused", "never up") or sidecar.discovery.is_idle(), "it did not wait for the balancer"
        sidecar.endpoint_watcher.watch()
        if death not in ("refused", "never up"):
            assert "from=1&" in sidecar.discovery.accept().read_head(), "changes are requested, not the whole list"

    sidecar.run(script)
    assert [kind for kind, _ in sidecar.balancer.endpoint_updates()].count("failed") == 1


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
    # Hundreds that lost discovery at once must not come back in step.
    assert max(delays_ns) - min(delays_ns) > timing.MAX_BACKOFF_NS / 2


@pytest.mark.usefixtures("short_timeouts")
def test_move_during_backoff_polls_the_new_discovery_at_once(sidecar: Sidecar) -> None:
    """A wake-up of the old backoff must not shorten a later one."""

    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept_request()
        connection.respond(b"", "503 Busy")
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1][0] == "failed")
        sidecar.endpoint_watcher.move_to(sidecar.second_discovery.address)
        moved = sidecar.second_discovery.accept()
        assert moved.read_head() == "GET /catalog/members HTTP/1.1"
        moved.send_endpoint_list(1, True, sidecar.endpoint_row("s-a"))
        moved.read_head()
        # A wake-up meant for the old pause finds the new watch at work.
        sidecar.endpoint_watcher.watch()
        moved.sock.close()
        again = sidecar.second_discovery.accept()
        again.respond(b"", "503 Busy")
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1][0] == "failed")
        for _ in range(5):
            sidecar.loop.sleep(0)
        assert sidecar.second_discovery.is_idle(), (
            "a wake-up from before the failure let the next call go without a pause"
        )

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-2] == ("whole", {ENDPOINT_A: "up"})


@pytest.mark.usefixtures("short_timeouts")
def test_list_received_during_move_is_discarded(sidecar: Sidecar) -> None:
    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept_request()
        connection.send_endpoint_list(
            9, True, sidecar.endpoint_row("s-b", "draining")
        )  # readable at the next poll, as the move is
        sidecar.endpoint_watcher.move_to(sidecar.second_discovery.address)
        moved = sidecar.second_discovery.accept()
        assert moved.read_head() == "GET /catalog/members HTTP/1.1"
        moved.send_endpoint_list(4, True, sidecar.endpoint_row("s-a"))
        assert "from=4&" in moved.read_head()

    sidecar.run(script)
    assert [kind for kind, _ in sidecar.balancer.endpoint_updates()] == ["kept", "whole"]


@pytest.mark.usefixtures("short_timeouts")
def test_lower_version_requests_the_full_list(sidecar: Sidecar) -> None:
    """Discovery has restarted: its changes do not apply to the current list."""

    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept_request()
        connection.send_endpoint_list(41, False)
        assert "from=41&" in connection.read_head()
        connection.send_endpoint_list(3, False)
        assert connection.read_head() == "GET /catalog/members HTTP/1.1"
        connection.send_endpoint_list(4, True, sidecar.endpoint_row("s-b", "draining"))
        assert "from=4&" in connection.read_head()

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-1] == ("whole", {ENDPOINT_B: "draining"})


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    "bad",
    [{"cell": "x"}, {"addr": "nowhere"}, {"started_ms": 1e999}, {"state": 4}, {"id": 7}],
    ids=["cell", "addr", "started_ms", "state", "id"],
)
@pytest.mark.parametrize("full", [True, False], ids=["full list", "changes"])
def test_malformed_row_does_not_hide_drains_of_other_rows(bad: dict[str, Any], full: bool, sidecar: Sidecar) -> None:
    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept_request()
        connection.send_endpoint_list(
            2, full, sidecar.endpoint_row("s-b", "draining"), sidecar.endpoint_row("s-a", **bad)
        )
        assert "from=2&" in connection.read_head()

    sidecar.run(script)
    kind, states = sidecar.balancer.endpoint_updates()[-1]
    sound = {} if "id" in bad else {ENDPOINT_A: "up"}  # a row without its id is nobody's
    assert kind == ("whole" if full else "changes")
    assert states == {ENDPOINT_B: "draining", **sound}
    assert sidecar.endpoint_watcher.ready_count == (0 if full and "id" in bad else 1)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b'{"version":"2","servers":[]}',
        b'{"version":2,"servers":4}',
        b"\xff{",
        b'{"version":2,"full":true,"servers":[{"id":"s-a"}]}',
        b'{"version":true,"servers":[]}',
    ],
    ids=["no object", "version as text", "servers as number", "no JSON", "no sound row", "version as boolean"],
)
def test_list_without_valid_rows_keeps_the_current_list(body: bytes, sidecar: Sidecar) -> None:
    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept_request()
        connection.respond(body)
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1][0] == "failed")
        sidecar.endpoint_watcher.watch()
        assert "from=1&" in sidecar.discovery.accept().read_head()

    sidecar.run(script)
    assert [kind for kind, _ in sidecar.balancer.endpoint_updates()] == [
        "kept",
        "failed",
    ]
    assert sidecar.endpoint_watcher.ready_count == 2


@pytest.mark.usefixtures("short_timeouts")
def test_update_that_fails_to_apply_is_requested_again(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """The version counts as applied only once its list is."""
    failing_apply = FailingApply(sidecar)

    def script() -> None:
        start_watch(sidecar)
        connection = sidecar.discovery.accept_request()
        monkeypatch.setattr(sidecar.endpoint_watcher, "_apply_update", failing_apply.apply)
        connection.send_endpoint_list(2, False, sidecar.endpoint_row("s-b", "draining"))
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1][0] == "failed")
        sidecar.endpoint_watcher.watch()
        connection = sidecar.discovery.accept()
        assert "from=1&" in connection.read_head()
        connection.send_endpoint_list(2, False, sidecar.endpoint_row("s-b", "draining"))
        assert "from=2&" in connection.read_head()

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-1] == ("changes", {ENDPOINT_B: "draining"})


class FailingApply:
    """Fails the first time that a list is applied."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.apply_update = sidecar.endpoint_watcher._apply_update
        self.failed = False

    def apply(self, endpoint_list: object, kind: str) -> None:
        if not self.failed:
            self.failed = True
            raise KeyError("a fault of the watcher")
        self.apply_update(endpoint_list, kind)  # type: ignore[arg-type]


def test_endpoints_of_unknown_cell_or_zone_share_no_group() -> None:
    """A keyed retry must not go to an endpoint that may not know its first attempt."""
    rows = [{"id": name, "addr": "127.0.0.1:1", "state": "ready"} for name in ("s-a", "s-b")]
    cells = [row.cell for row in parse_endpoint_list({"version": 1, "servers": rows}, "known").records]
    assert len(set(cells)) == 2
    sidecar = Sidecar()
    sidecar.run(lambda: sidecar.endpoint_watcher.start(parse_endpoint_list({"version": 1, "servers": rows}, "known")))
    endpoints = next(
        event.endpoints for event in sidecar.balancer.events if isinstance(event, balancing.EndpointUpdate)
    )
    assert len({endpoint.zone for endpoint in endpoints}) == 2


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
