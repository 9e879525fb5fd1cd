"""Crossings round discovery: a watch that dies in any way, a move, lists that are not what they should be.

A change counts as told 6 s after discovery had it and could be reached.  Where the next call must come at once, the
module in these tests never asks again; where a pause is due, the module's own pauses are measured without a socket.
"""

from __future__ import annotations

import socket
from typing import Any

import pytest

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config.endpoint_list import endpoint_id_of, parse_endpoint_list
from lugtally.discovery import timing
from lugtally.eventloop import Event, WakeReason
from lugtally.units import NS_PER_MS
from tests.races.parties import Link, Sidecar

A, B = endpoint_id_of("s-a"), endpoint_id_of("s-b")


def begun(sidecar: Sidecar) -> None:
    """Start with the kept list of version 1 and let the module ask once, never again."""
    kept = {"version": 1, "full": True, "servers": [sidecar.row("s-a"), sidecar.row("s-b")]}
    sidecar.watch.start(parse_endpoint_list(kept, "known"))
    sidecar.watch.watch()


def test_the_time_to_a_fresh_list_is_one_sum_with_margin() -> None:
    """11.5 s to notice a silence, then a pause of up to 8 s, gave drains 12 s and more after they were told."""
    margin = timing.UPDATE_DELIVERY_LIMIT_NS // 12
    assert timing.SILENT_WATCH_TO_UPDATE_NS <= timing.UPDATE_DELIVERY_LIMIT_NS - margin
    assert timing.DISCOVERY_RETURN_TO_UPDATE_NS <= timing.UPDATE_DELIVERY_LIMIT_NS - margin


@pytest.fixture
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same links in a fraction of their time: a silence is silence however long one waits for it."""
    for name, value in (
        ("WATCH_HOLD_MS", 30),
        ("RESPONSE_TIMEOUT_NS", 30 * NS_PER_MS),
        ("CONNECT_TIMEOUT_NS", 200 * NS_PER_MS),
    ):
        monkeypatch.setattr(timing, name, value)


@pytest.mark.usefixtures("soon")
@pytest.mark.parametrize(
    "death", ["silent at once", "silent later", "half an answer", "reset at rest", "end in a call", "cut answer"]
)
def test_a_dead_watch_is_called_anew_at_once(death: str) -> None:
    sidecar = Sidecar()

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        assert link.head() == "GET /catalog/members?from=1&hold_ms=30 HTTP/1.1"
        if death != "silent at once":
            link.list(2, False)
            assert link.head() == "GET /catalog/members?from=2&hold_ms=30 HTTP/1.1"
        if death == "half an answer":
            link.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        elif death == "cut answer":
            link.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
            link.sock.close()
        elif death == "end in a call":
            link.sock.close()
        elif death == "reset at rest":
            link.list(2, False)
            link.sock.close()
        version = 1 if death == "silent at once" else 2
        fresh = sidecar.discovery.link()
        assert fresh.head() == f"GET /catalog/members?from={version}&hold_ms=30 HTTP/1.1"
        fresh.list(3, False, sidecar.row("s-b", "draining"))
        fresh.head()

    sidecar.play(script)
    assert sidecar.module.lists()[-1] == ("changes", {B: "draining"})
    assert not [kind for kind, _ in sidecar.module.lists() if kind == "failed"]


@pytest.mark.usefixtures("soon")
@pytest.mark.parametrize("death", ["503", "first answer cut", "no JSON", "silent twice", "refused", "never up"])
def test_a_call_that_fails_is_told_to_the_module_which_paces_the_next(death: str) -> None:
    sidecar = Sidecar()
    refused = sidecar.discovery.address

    def script() -> None:
        if death == "refused":
            sidecar.discovery.sock.close()
        elif death == "never up":
            # Who listens and never accepts lets a few in: fill these places.
            sidecar.discovery.sock.listen(0)
            fillers = [Link(sidecar.loop, socket.socket()) for _ in range(4)]
            for filler in fillers:
                filler.sock.connect_ex(refused)
        begun(sidecar)
        if death not in ("refused", "never up"):
            link = sidecar.discovery.link()
            link.head()
            if death == "503":
                link.answer(b"", "503 Busy")
            elif death == "first answer cut":
                link.sock.close()
            elif death == "no JSON":
                link.answer(b"<html>")
            else:
                sidecar.discovery.link().head()
        sidecar.until(lambda: sidecar.module.lists()[-1][0] == "failed")
        assert death in ("refused", "never up") or sidecar.discovery.idle(), "it did not wait for the module"
        sidecar.watch.watch()
        if death not in ("refused", "never up"):
            assert "from=1&" in sidecar.discovery.link().head(), "changes are asked for, not the whole list"

    sidecar.play(script)
    assert [kind for kind, _ in sidecar.module.lists()].count("failed") == 1


def test_the_modules_pauses_stay_within_their_part_of_the_sum() -> None:
    told = balancing.Settings(subscribe_to_endpoints=True, max_poll_interval_ns=timing.MAX_BACKOFF_NS)
    pauses = []
    for seed in range(40):
        module = Balancer(told, seed)
        for _ in range(12):
            wakes = [
                a
                for a in module.handle(1, balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
                if isinstance(a, balancing.SetTimer)
            ]
            pauses.append(wakes[0].delay_ns)
    assert max(pauses) <= timing.MAX_BACKOFF_NS
    # Hundreds that lost discovery at once must not come back in step.
    assert max(pauses) - min(pauses) > timing.MAX_BACKOFF_NS / 2


@pytest.mark.usefixtures("soon")
def test_a_move_in_the_pause_after_a_failure_asks_the_new_discovery_at_once() -> None:
    """The follower of the old one, waking last, took the wake-up meant for the new one's."""
    sidecar = Sidecar()

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        link.head()
        link.answer(b"", "503 Busy")
        sidecar.until(lambda: sidecar.module.lists()[-1][0] == "failed")
        sidecar.watch.move_to(sidecar.second.address)
        moved = sidecar.second.link()
        assert moved.head() == "GET /catalog/members HTTP/1.1"
        moved.list(1, True, sidecar.row("s-a"))
        moved.head()
        # A wake-up meant for the old pause finds the new watch at work.
        sidecar.watch.watch()
        moved.sock.close()
        again = sidecar.second.link()
        again.answer(b"", "503 Busy")
        sidecar.until(lambda: sidecar.module.lists()[-1][0] == "failed")
        for _ in range(5):
            sidecar.loop.sleep(0)
        assert sidecar.second.idle(), "a wake-up from before the failure let the next call go without a pause"

    sidecar.play(script)
    assert sidecar.module.lists()[-2] == ("whole", {A: "up"})


@pytest.mark.usefixtures("soon")
def test_a_list_that_comes_in_the_instant_of_a_move_counts_for_nothing() -> None:
    sidecar = Sidecar()

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        link.head()
        link.list(9, True, sidecar.row("s-b", "draining"))  # readable at the next poll, as the move is
        sidecar.watch.move_to(sidecar.second.address)
        moved = sidecar.second.link()
        assert moved.head() == "GET /catalog/members HTTP/1.1"
        moved.list(4, True, sidecar.row("s-a"))
        assert "from=4&" in moved.head()

    sidecar.play(script)
    assert [kind for kind, _ in sidecar.module.lists()] == ["kept", "whole"]


@pytest.mark.usefixtures("soon")
def test_lower_versions_show_that_discovery_has_begun_anew() -> None:
    """Its changes would not follow the list at hand: a drain among them has to come with the whole list."""
    sidecar = Sidecar()

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        link.head()
        link.list(41, False)
        assert "from=41&" in link.head()
        link.list(3, False)
        assert link.head() == "GET /catalog/members HTTP/1.1"
        link.list(4, True, sidecar.row("s-b", "draining"))
        assert "from=4&" in link.head()

    sidecar.play(script)
    assert sidecar.module.lists()[-1] == ("whole", {B: "draining"})


@pytest.mark.usefixtures("soon")
@pytest.mark.parametrize("bad", [{"cell": "x"}, {"addr": "nowhere"}, {"started_ms": 1e999}, {"state": 4}, {"id": 7}])
@pytest.mark.parametrize("full", [True, False])
def test_one_bad_row_does_not_hide_the_drains_of_others(bad: dict[str, Any], full: bool) -> None:
    """A whole list was dropped for one row: its drains were never heard of."""
    sidecar = Sidecar()

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        link.head()
        link.list(2, full, sidecar.row("s-b", "draining"), sidecar.row("s-a", **bad))
        assert "from=2&" in link.head()

    sidecar.play(script)
    kind, states = sidecar.module.lists()[-1]
    kept = {} if "id" in bad else {A: "up"}  # a row without its id is nobody's
    assert kind == ("whole" if full else "changes") and states == {B: "draining", **kept}
    assert sidecar.watch.ready_count == (0 if full and "id" in bad else 1)


@pytest.mark.usefixtures("soon")
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
)
def test_a_list_without_one_sound_row_leaves_the_list_at_hand(body: bytes) -> None:
    sidecar = Sidecar()

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        link.head()
        link.answer(body)
        sidecar.until(lambda: sidecar.module.lists()[-1][0] == "failed")
        sidecar.watch.watch()
        assert "from=1&" in sidecar.discovery.link().head()

    sidecar.play(script)
    assert [kind for kind, _ in sidecar.module.lists()] == ["kept", "failed"] and sidecar.watch.ready_count == 2


@pytest.mark.usefixtures("soon")
def test_an_answer_that_could_not_be_taken_is_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The version counts as held only once the list has been."""
    sidecar = Sidecar()
    take = PoolTake(sidecar)

    def script() -> None:
        begun(sidecar)
        link = sidecar.discovery.link()
        link.head()
        monkeypatch.setattr(sidecar.watch, "_apply_update", take.fail_once)
        link.list(2, False, sidecar.row("s-b", "draining"))
        sidecar.until(lambda: sidecar.module.lists()[-1][0] == "failed")
        sidecar.watch.watch()
        link = sidecar.discovery.link()
        assert "from=1&" in link.head()
        link.list(2, False, sidecar.row("s-b", "draining"))
        assert "from=2&" in link.head()

    sidecar.play(script)
    assert sidecar.module.lists()[-1] == ("changes", {B: "draining"})


class PoolTake:
    """Fails the first time that a list is taken."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.take = sidecar.watch._apply_update
        self.failed = False

    def fail_once(self, pool: object, kind: str) -> None:
        if not self.failed:
            self.failed = True
            raise KeyError("a fault of ours")
        self.take(pool, kind)  # type: ignore[arg-type]


def test_servers_whose_cell_or_zone_is_not_told_share_no_group() -> None:
    """Unknown cells all read 0: a keyed repeat could go where its first try is not known."""
    rows = [{"id": name, "addr": "127.0.0.1:1", "state": "ready"} for name in ("s-a", "s-b")]
    cells = [row.cell for row in parse_endpoint_list({"version": 1, "servers": rows}, "known").records]
    assert len(set(cells)) == 2
    sidecar = Sidecar()
    sidecar.play(lambda: sidecar.watch.start(parse_endpoint_list({"version": 1, "servers": rows}, "known")))
    lines = next(e.endpoints for e in sidecar.module.told if isinstance(e, balancing.EndpointUpdate))
    assert len({line.zone for line in lines}) == 2


def test_two_tasks_may_wait_for_one_signal() -> None:
    """Whoever woke first forgot the other, which then slept for good."""
    sidecar = Sidecar()
    signal = Event(sidecar.loop)
    woken: list[WakeReason] = []

    def script() -> None:
        sidecar.loop.spawn(lambda: woken.append(signal.wait(sidecar.loop.now() + NS_PER_MS)))
        sidecar.loop.spawn(lambda: woken.append(signal.wait()))
        sidecar.until(lambda: len(woken) == 1)
        signal.set()
        sidecar.until(lambda: len(woken) == 2)

    sidecar.play(script)
    assert woken == [WakeReason.TIMEOUT, WakeReason.READY]
