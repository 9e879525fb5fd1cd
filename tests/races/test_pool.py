"""Crossings in the pool of connections to endpoints: it changes while an attempt waits for one of its connections."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from lugtally.address import Address
from lugtally.eventloop import READABLE, WakeReason
from lugtally.http1 import ForwardedRequest, Message
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import AttemptResponse, pool
from lugtally.upstream.connection import open_socket
from tests.races.fakes import MAX_WAIT_NS, PeerConnection, Sidecar
from tests.races.pool_harness import (
    ATTEMPT_TIMEOUT_NS,
    ENDPOINT,
    change_as_it_settles,
    change_at_wait,
    idle_peers,
    sidecar_with_endpoint,
    start_attempt,
    stoppable_clock,
)

LONG_SETTLE_NS = 5 * NS_PER_S


@pytest.fixture
def sidecar() -> Sidecar:
    """A sidecar whose pool knows the fake server as its one endpoint."""
    return sidecar_with_endpoint()


def descriptor_of(peer: PeerConnection) -> int:
    """Return the descriptor of our end of a connection, by the address that its peer sees."""
    for entry in list(Path("/proc/self/fd").iterdir()):
        try:
            with socket.socket(fileno=os.dup(int(entry.name))) as sock:
                if sock.getsockname() == peer.sock.getpeername():
                    return int(entry.name)
        except OSError:
            continue
    raise AssertionError("our end is closed")


def move(sidecar: Sidecar) -> None:
    """Move the endpoint to the address of another fake server."""
    sidecar.upstream.set_address(ENDPOINT, sidecar.second_discovery.address)


CLOSES: dict[str, Callable[[Sidecar], None]] = {
    "idle connections closed": lambda sidecar: sidecar.upstream.close_idle_connections(ENDPOINT),
    "endpoint removed": lambda sidecar: sidecar.upstream.remove(ENDPOINT),
    "endpoint moved": move,
}


@pytest.mark.parametrize("close", CLOSES.values(), ids=CLOSES)
def test_reused_descriptor_keeps_its_new_owner(
    close: Callable[[Sidecar], None], sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The pool closes a settling connection, and its neighbour's descriptor number is reused at once."""
    monkeypatch.setattr(pool, "SETTLE_NS", LONG_SETTLE_NS)
    woken: list[WakeReason] = []
    ends: list[AttemptResponse] = []

    def script() -> None:
        settling, other = idle_peers(sidecar, 2)
        number = descriptor_of(other)
        start_attempt(sidecar, ends)
        sidecar.wait_until(lambda: ENDPOINT in sidecar.upstream._settling)
        ours, theirs = socket.socketpair()
        close(sidecar)
        os.dup2(ours.fileno(), number)  # as the next socket that is opened would have it
        deadline_ns = sidecar.loop.now() + MAX_WAIT_NS
        sidecar.loop.spawn(lambda: woken.append(sidecar.loop.wait(number, READABLE, deadline_ns)))
        sidecar.loop.sleep(0)
        settling.send(b"late")  # so that the attempt looks for another connection
        assert settling.read_to_end() == b""
        theirs.send(b"for the new owner")
        sidecar.wait_until(lambda: bool(woken))
        assert woken == [WakeReason.READY]
        for sock in (ours, theirs):
            sock.close()
        os.close(number)

    sidecar.run(script)


@pytest.mark.parametrize("close", CLOSES.values(), ids=CLOSES)
def test_connection_closed_while_settling_is_counted_once(
    close: Callable[[Sidecar], None], sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(pool, "SETTLE_NS", LONG_SETTLE_NS)
    ends: list[AttemptResponse] = []

    def script() -> None:
        peers = idle_peers(sidecar, 3)
        settling = peers[0]
        start_attempt(sidecar, ends)
        sidecar.wait_until(lambda: ENDPOINT in sidecar.upstream._settling)
        close(sidecar)
        settling.send(b"late")
        assert settling.read_to_end() == b""
        if close is not CLOSES["endpoint removed"]:
            server = sidecar.second_discovery if close is move else sidecar.server
            new = server.accept()
            new.read_head()
            new.respond()
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert sidecar.upstream.open_connections == (0 if close is CLOSES["endpoint removed"] else 1)


@pytest.mark.parametrize("wait", ["settling", "connecting"])
def test_endpoint_moved_during_wait_gets_request_at_new_address(
    wait: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    ends: list[AttemptResponse] = []

    def script() -> None:
        if wait == "settling":
            old = idle_peers(sidecar, 1)[0]
            change_as_it_settles(sidecar, monkeypatch, lambda: move(sidecar))
        else:
            change_at_wait(sidecar, monkeypatch, lambda events: events != READABLE, lambda: move(sidecar))
        start_attempt(sidecar, ends)
        if wait == "connecting":
            old = sidecar.server.accept()
        assert old.read_to_end() == b""
        new = sidecar.second_discovery.accept_request()
        new.respond(b"from the new address")
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    response = ends[0].response
    assert response is not None
    assert response.body == b"from the new address"
    assert sidecar.upstream.open_connections == 1


@pytest.mark.parametrize("wait", ["settling", "connecting"])
def test_endpoint_removed_during_wait_gets_no_request(
    wait: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    ends: list[AttemptResponse] = []

    def script() -> None:
        if wait == "settling":
            old = idle_peers(sidecar, 1)[0]
            change_as_it_settles(sidecar, monkeypatch, lambda: sidecar.upstream.remove(ENDPOINT))
        else:
            change_at_wait(
                sidecar, monkeypatch, lambda events: events != READABLE, lambda: sidecar.upstream.remove(ENDPOINT)
            )
        start_attempt(sidecar, ends)
        if wait == "connecting":
            old = sidecar.server.accept()
        assert old.read_to_end() == b""
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert ends[0].outcome.name == "CONNECTION_REFUSED"
    assert sidecar.upstream.open_connections == 0


def test_closing_idle_connections_closes_a_settling_one(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The balancer closes idle connections so that the next attempt uses a new one."""
    ends: list[AttemptResponse] = []

    def script() -> None:
        old = idle_peers(sidecar, 1)[0]
        change_as_it_settles(sidecar, monkeypatch, lambda: sidecar.upstream.close_idle_connections(ENDPOINT))
        start_attempt(sidecar, ends)
        assert old.read_to_end() == b""
        new = sidecar.server.accept_request()
        new.respond()
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert sidecar.upstream.open_connections == 1


@pytest.mark.parametrize("failing", ["may_proceed", "claim_stream"])
def test_exception_in_attempt_callback_leaks_no_connection(failing: str, sidecar: Sidecar) -> None:
    failed: list[str] = []
    ends: list[AttemptResponse] = []

    def fail(*_: object) -> Any:
        raise RuntimeError(failing)

    def run() -> None:
        try:
            start = sidecar.loop.now()
            sidecar.upstream.execute_attempt(
                ENDPOINT, ForwardedRequest(Message("GET", "/")), start + ATTEMPT_TIMEOUT_NS, **{failing: fail}
            )
        except RuntimeError as error:
            failed.append(str(error))

    def script() -> None:
        sidecar.loop.spawn(run)
        peer = sidecar.server.accept()
        if failing == "claim_stream":
            peer.read_head()
            peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(70_000))  # it is claimed then
            assert peer.read_to_end() == b""
        sidecar.wait_until(lambda: bool(failed))
        assert sidecar.upstream.open_connections == (1 if failing == "may_proceed" else 0)
        start_attempt(sidecar, ends)
        if failing == "claim_stream":
            peer = sidecar.server.accept()
        peer.read_head()  # nothing had been written: the connection is as good as before
        peer.respond()
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert failed == [failing]
    assert sidecar.upstream.open_connections == 1


def test_connection_expired_while_settling_is_not_used(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process is stopped while it waits for the connection, and the endpoint closes it meanwhile."""
    sidecar.limits.idle_timeout_ns = 2 * NS_PER_S
    stop_for = stoppable_clock(sidecar, monkeypatch)
    ends: list[AttemptResponse] = []

    def script() -> None:
        old = idle_peers(sidecar, 1)[0]
        change_as_it_settles(sidecar, monkeypatch, lambda: stop_for(3 * NS_PER_S))
        start_attempt(sidecar, ends)
        assert old.read_to_end() == b""
        new = sidecar.server.accept_request()
        new.respond()
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)


def test_bytes_during_interrupted_settling_close_the_connection(
    sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(pool, "SETTLE_NS", LONG_SETTLE_NS)
    ends: list[AttemptResponse] = []
    open_connections: list[int] = []
    release = sidecar.upstream._release

    def script() -> None:
        peer = idle_peers(sidecar, 1)[0]

        def send_late_and_interrupt() -> None:
            peer.send(b"late")
            sidecar.loop.interrupt(task)

        def release_and_count(*arguments: Any) -> None:
            release(*arguments)
            open_connections.append(sidecar.upstream.open_connections)

        change_as_it_settles(sidecar, monkeypatch, send_late_and_interrupt)
        monkeypatch.setattr(sidecar.upstream, "_release", release_and_count)
        task = start_attempt(sidecar, ends)
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert ends[0].outcome.name == "CANCELLED_BEFORE_SENT"
    assert open_connections in ([], [0])
    assert sidecar.upstream.open_connections == 0


def test_idle_connection_ended_by_both_sides_is_closed_once(sidecar: Sidecar) -> None:
    """The peer's end and the pool's own close are handled in one poll, in either order."""

    def script() -> None:
        first, second = idle_peers(sidecar, 2)
        first.sock.close()
        second.sock.close()
        sidecar.upstream.close_idle_connections(ENDPOINT)
        sidecar.loop.sleep(NS_PER_MS)

    sidecar.run(script)
    assert sidecar.upstream.open_connections == 0


@pytest.mark.parametrize("change", [move, CLOSES["endpoint removed"]], ids=["moved", "removed"])
def test_response_from_old_address_counts_but_is_not_pooled(
    change: Callable[[Sidecar], None], sidecar: Sidecar
) -> None:
    ends: list[AttemptResponse] = []

    def script() -> None:
        start_attempt(sidecar, ends)
        peer = sidecar.server.accept_request()
        change(sidecar)
        peer.respond(b"from the old address")
        assert peer.read_to_end() == b""
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert ends[0].response is not None
    assert ends[0].response.body == b"from the old address"
    assert sidecar.upstream.open_connections == 0


def test_settling_connection_is_not_evicted_at_pool_limit(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The longest idle connection is evicted instead; without one the attempt gets no descriptor."""
    monkeypatch.setattr(pool, "SETTLE_NS", LONG_SETTLE_NS)
    sidecar.limits.max_connections = 2
    other_endpoint = ENDPOINT + 1
    sidecar.upstream.set_address(other_endpoint, sidecar.second_discovery.address)
    ends: list[AttemptResponse] = []
    other_ends: list[str] = []

    def attempt_at_other() -> None:
        deadline_ns = sidecar.loop.now() + ATTEMPT_TIMEOUT_NS
        request = ForwardedRequest(Message("GET", "/"))
        other_ends.append(sidecar.upstream.execute_attempt(other_endpoint, request, deadline_ns).outcome.name)

    def script() -> None:
        settling, idle = idle_peers(sidecar, 2)
        start_attempt(sidecar, ends)
        sidecar.wait_until(lambda: ENDPOINT in sidecar.upstream._settling)
        sidecar.loop.spawn(attempt_at_other)
        peer = sidecar.second_discovery.accept_request()
        assert idle.read_to_end() == b""
        sidecar.loop.spawn(attempt_at_other)
        sidecar.wait_until(lambda: other_ends == ["NO_DESCRIPTOR"])
        assert sidecar.upstream.open_connections == 2
        assert not sidecar.loop.is_ready(settling.sock.fileno(), READABLE)
        peer.respond()
        sidecar.wait_until(lambda: other_ends == ["NO_DESCRIPTOR", "SERVED"])

    sidecar.run(script)


def test_self_connection_counts_as_refused(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """With no listener and an equal local port, the kernel connects a socket to itself."""
    address = sidecar.server.address
    ends: list[AttemptResponse] = []

    def open_at_the_same_port(to: Address) -> socket.socket:
        sock = open_socket(to)
        sock.bind(address)
        return sock

    def script() -> None:
        sidecar.server.sock.close()
        monkeypatch.setattr("lugtally.upstream.pool.open_socket", open_at_the_same_port)
        start_attempt(sidecar, ends)
        sidecar.wait_until(lambda: bool(ends))

    sidecar.run(script)
    assert ends[0].outcome.name == "CONNECTION_REFUSED"
    assert sidecar.upstream.open_connections == 0
