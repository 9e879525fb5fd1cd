"""Crossings where a connection to a client is closed: a request that comes just then, an answer not yet read."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.config.endpoint_list import endpoint_id_of, parse_endpoint_list
from lugtally.downstream import connection, graceful_shutdown, server
from lugtally.eventloop import Event, WakeReason
from lugtally.units import NS_PER_MS
from lugtally.upstream import attempt, split_descriptors
from tests.integration.player import ROOT, Player
from tests.races.parties import Link, Sidecar, request

A = endpoint_id_of("s-a")


def ready(sidecar: Sidecar) -> Address:
    """Listening, with every request sent to the one server."""

    def orders(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.AttemptFinished) and not event.request_finished:
            return [balancing.FailRequest(event.request_id)]
        return [balancing.SendAttempt(event.id, A, event.time_left_ns)] if isinstance(event, balancing.Request) else []

    sidecar.module.orders = orders
    sidecar.watch.start(parse_endpoint_list({"version": 1, "full": True, "servers": [sidecar.row("s-a")]}, "known"))
    return sidecar.listen()


def slow_reader(sidecar: Sidecar, where: Address) -> Link:
    """A client that takes in little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(where)
    return Link(sidecar.loop, sock)


@pytest.mark.parametrize("body", [60_000, 100_004])
@pytest.mark.parametrize("draining", [False, True])
def test_a_client_that_sends_on_still_gets_all_of_the_answer_that_closes(body: int, draining: bool) -> None:
    """Closing over unread bytes resets the connection, and the reset takes along what is still on its way."""
    sidecar = Sidecar()

    def script() -> None:
        client = slow_reader(sidecar, ready(sidecar))
        client.send(request("read", more="" if draining else "Connection: close\r\n"))
        link = sidecar.server.link()
        link.head()
        if draining:
            sidecar.downstream.drain()
        link.answer(b"x" * body)
        sidecar.until(lambda: bool(sidecar.module.results()) and not sidecar.dispatcher.in_progress)
        for _ in range(3):
            sidecar.loop.sleep(0)  # the front task has written its answer, as far as it is taken
        client.send(b"GET /more HTTP/1.1\r\n")
        got = client.all()
        assert got.partition(b"\r\n\r\n")[2] == b"x" * body
        client.sock.close()
        sidecar.until(lambda: sidecar.downstream.open == 0)

    def stop_once_told() -> None:
        sidecar.loop._stopped = sidecar.loop._stopped or sidecar.stopped

    sidecar.loop.stop = stop_once_told  # type: ignore[method-assign]
    sidecar.play(script)


def test_a_request_that_comes_as_its_resting_connection_is_closed_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """It came between the poll that saw nothing and the closing: the client got a reset."""
    monkeypatch.setattr(connection, "CLIENT_IDLE_TIMEOUT_NS", 20 * NS_PER_MS)
    sidecar = Sidecar()
    waited = Event.wait
    sent: list[int] = []

    def script() -> None:
        where = ready(sidecar)

        def wait(self: Event, until: int | None = None) -> WakeReason:
            why = waited(self, until)
            if why is WakeReason.TIMEOUT and not sent and any(self is one.wake_up for one in sidecar.downstream._open):
                sent.append(1)
                monkeypatch.setattr(connection, "CLIENT_IDLE_TIMEOUT_NS", 5_000 * NS_PER_MS)
                client.send(request("read"))
            return why

        monkeypatch.setattr(Event, "wait", wait)
        client = sidecar.client(where)
        link = sidecar.server.link()
        link.head()
        link.answer()
        assert client.read().startswith(b"HTTP/1.1 200")
        client.send(request("read", "r2"))  # it is kept, as any other that has just been answered
        link.head()
        link.answer()
        assert client.read().startswith(b"HTTP/1.1 200")

    sidecar.play(script)
    assert sent


def test_a_planned_restart_ends_with_every_place_taken() -> None:
    """The task that accepts, waiting for room, made the one that ends the process miss its last wake-up."""
    sidecar = Sidecar(most=1)

    def script() -> None:
        client = sidecar.client(ready(sidecar))
        client.send(request("read"))
        link = sidecar.server.link()
        link.head()
        sidecar.downstream.drain()
        sidecar.until(lambda: sidecar.downstream._listener is not None and sidecar.downstream._listener.fileno() < 0)
        # past the last time at which the accepting task looks for room
        sidecar.loop.sleep(2 * server.EVICTION_INTERVAL_NS)
        link.answer()
        assert client.all().startswith(b"HTTP/1.1 200")
        client.sock.close()
        sidecar.until(lambda: ended == [True])

    ended: list[bool] = []
    stop = sidecar.loop.stop
    sidecar.loop.stop = lambda: stop() if sidecar.stopped else ended.append(True)  # type: ignore[method-assign]
    sidecar.play(script)


def test_a_connection_of_the_last_sweep_is_given_time_for_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Taken from the backlog at the end, its bytes still on the way, it was closed without a word."""
    monkeypatch.setattr(connection, "SHUTDOWN_FIRST_BYTE_TIMEOUT_NS", 5_000 * NS_PER_MS)
    monkeypatch.setattr(graceful_shutdown, "BACKLOG_DRAIN_TIMEOUT_NS", 5_000 * NS_PER_MS)
    sidecar = Sidecar(most=1)

    def script() -> None:
        where = ready(sidecar)
        first = sidecar.client(where)
        first.send(request("read"))
        link = sidecar.server.link()
        link.head()
        second = sidecar.client(where)  # waits in the backlog: the one place is taken
        sidecar.downstream.drain()
        sidecar.until(lambda: sidecar.downstream._shutdown.state.closing)
        link.answer()
        assert first.all().startswith(b"HTTP/1.1 200")
        first.sock.close()
        sidecar.until(lambda: sidecar.downstream._listener is not None and sidecar.downstream._listener.fileno() < 0)
        second.send(request("read", "r2"))
        if link.read_on():
            link.head()
        else:
            link = sidecar.server.link()
            link.head()
        link.answer()
        assert second.all().startswith(b"HTTP/1.1 200")

    stop = sidecar.loop.stop
    sidecar.loop.stop = lambda: stop() if sidecar.stopped else None  # type: ignore[method-assign]
    sidecar.play(script)


def test_a_request_sent_on_a_connection_that_is_being_closed_goes_nowhere() -> None:
    """It came after our end of the connection: its client sends it anew, so it must not run here as well."""
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(ready(sidecar))
        client.send(request("once", method="POST", more="Connection: close\r\nContent-Length: 0\r\n"))
        link = sidecar.server.link()
        link.head()
        link.answer()
        assert client.all().startswith(b"HTTP/1.1 200")
        client.send(request("once", "r2", method="POST", more="Content-Length: 0\r\n"))
        client.sock.close()
        sidecar.until(lambda: sidecar.downstream.open == 0)
        assert sidecar.server.idle() and not sidecar.loop.is_ready(link.sock.fileno(), 1)

    sidecar.play(script)
    assert sum(isinstance(e, balancing.Request) for e in sidecar.module.told) == 1


def test_a_client_at_fault_has_its_answer_and_its_end_within_three_seconds() -> None:
    """One that sent on for good was held for 4 s; one too slow for 2.5 s, and then as long as any other."""
    margin = 100 * NS_PER_MS
    assert (
        connection.MAX_LINGER_NS + margin < 3_000 * NS_PER_MS
        and connection.REQUEST_TIMEOUT_NS + connection.SHORT_LINGER_NS + margin < 3_000 * NS_PER_MS
    )
    for slow in (True, False):
        sidecar = Sidecar()

        def script(slow: bool = slow, sidecar: Sidecar = sidecar) -> None:
            client = sidecar.client(ready(sidecar))
            client.send(b"GET /read HTTP/1.1\r\n" if slow else b"what\r\n\r\n")
            assert client.read().startswith(b"HTTP/1.1 4")
            while sidecar.downstream.open:  # it sends on for as long as it can
                try:
                    client.send(b"x")
                except OSError:
                    break
                sidecar.loop.sleep(NS_PER_MS)
            sidecar.until(lambda: not sidecar.downstream.open)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connection, "REQUEST_TIMEOUT_NS", 10 * NS_PER_MS)
            patch.setattr(connection, "MAX_LINGER_NS", 50 * NS_PER_MS)
            patch.setattr(connection, "SHORT_LINGER_NS", 50 * NS_PER_MS)
            sidecar.play(script)


def test_a_planned_restart_before_the_first_list_answers_and_ends(tmp_path: Path) -> None:
    """Told of no server, with a silent discovery: what it takes is refused, and SIGTERM ends it all the same."""
    player = Player(tmp_path)
    player.known = []
    (tmp_path / "config.json").write_text(json.dumps(player.config()))
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)},
    )
    try:
        assert process.stderr is not None and b" serves at " in process.stderr.readline()
        player.on_send("c1", request("campaign-read").decode().replace("\r\n", "|"))
        player.on_want("c1", "HTTP/1.1 503 Service Unavailable|Retry-After: *|Content-Length: 5||busy~")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        player.end()


@pytest.mark.parametrize("sockets", [64, 100, 256, 1024, 65536])
def test_descriptors_are_left_for_discovery_whatever_clients_and_servers_take(sockets: int) -> None:
    """Of 64, 8 were left: the standard three, signals, the listeners, discovery and the file of drains need 9."""
    fronts, links = split_descriptors(sockets)
    assert fronts + fronts // 8 + links <= sockets - 10, "also with what the end of a planned restart takes"
    assert fronts >= 16 and links >= 16


def test_discovery_is_reached_while_idle_clients_hold_every_front_socket() -> None:
    """Idle clients fill their share while discovery is down; its descriptor is not theirs."""
    fronts, _ = split_descriptors(64)
    sidecar = Sidecar(most=fronts)

    def script() -> None:
        where = ready(sidecar)
        sidecar.watch.watch()
        link = sidecar.discovery.link()
        link.head()
        link.list(1, False)
        link.head()
        crowd = [sidecar.client(where) for _ in range(fronts + 20)]
        sidecar.until(lambda: sidecar.downstream.open >= fronts - 1)
        before = len(os.listdir("/proc/self/fd"))
        link.sock.close()
        fresh = sidecar.discovery.link()
        assert "from=1&" in fresh.head()
        assert sidecar.downstream.open <= fronts and len(os.listdir("/proc/self/fd")) <= before + 2
        late = sidecar.client(where)  # work is served all the same: one that rests gives way
        late.send(request("read"))
        server = sidecar.server.link()
        server.head()
        server.answer()
        assert late.read().startswith(b"HTTP/1.1 200")
        for client in crowd:
            client.sock.close()

    sidecar.play(script)


@pytest.mark.parametrize("how", ["end", "half a line"])
def test_a_pledge_connection_that_ends_as_it_is_taken_is_no_reason_to_send_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other side ends it between the look at it and the write: the request may have run, so it fails, once."""
    sidecar = Sidecar()
    write_request = attempt.write_request

    def script() -> None:
        client = sidecar.client(ready(sidecar))
        client.send(request("once", "r0", method="POST", more="Content-Length: 0\r\n"))
        link = sidecar.server.link()
        link.head()
        link.answer()
        assert client.read().startswith(b"HTTP/1.1 200")

        def write(*more: Any) -> None:
            if how == "half a line":
                link.send(b"HTTP/1.1 20")
            link.sock.close()
            write_request(*more)

        monkeypatch.setattr(attempt, "write_request", write)
        client.send(request("once", "r1", method="POST", more="Content-Length: 0\r\n"))
        assert client.read().startswith(b"HTTP/1.1 502")
        assert sidecar.server.idle(), "it was sent again"

    sidecar.play(script)
    assert sidecar.module.results() == [balancing.AttemptResult.OK, balancing.AttemptResult.RESET]


def test_a_client_that_never_reads_its_answer_does_not_hold_up_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """An answer that is not taken for a while is given up, at a planned restart too."""
    monkeypatch.setattr(connection, "WRITE_STALL_TIMEOUT_NS", 50 * NS_PER_MS)
    sidecar = Sidecar()

    def script() -> None:
        client = slow_reader(sidecar, ready(sidecar))
        client.send(request("read"))
        link = sidecar.server.link()
        link.head()
        sidecar.downstream.drain()
        link.send(b"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n")
        sidecar.loop.spawn(lambda: pour(link))
        sidecar.until(lambda: ended == [True])

    def pour(link: Link) -> None:
        while sidecar.loop.wait(link.sock.fileno(), 4, sidecar.loop.now() + 5_000 * NS_PER_MS) is WakeReason.READY:
            try:
                link.sock.send(bytes(65536))
            except OSError:
                return

    ended: list[bool] = []
    stop = sidecar.loop.stop
    sidecar.loop.stop = lambda: stop() if sidecar.stopped else ended.append(True)  # type: ignore[method-assign]
    sidecar.play(script)
