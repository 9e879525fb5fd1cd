"""Races of the upstream pool: the pool changes while an attempt waits for one of its connections."""

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
from lugtally.upstream import FinishedAttempt, pool
from lugtally.upstream.connection import open_socket
from tests.fakes import MAX_WAIT_NS, PeerConnection, Sidecar
from tests.upstream.pool_harness import (
    ATTEMPT_TIMEOUT_NS,
    ENDPOINT,
    change_during_attempt,
    change_while_awaiting_reuse,
    open_idle_connections,
    patch_clock,
    start_attempt,
)

LONG_MIN_IDLE_NS = 5 * NS_PER_S


def pool_descriptor(peer: PeerConnection) -> int:
    """Return the descriptor of the pool's end of a connection, which is found by its local address."""
    for entry in list(Path("/proc/self/fd").iterdir()):
        try:
            with socket.socket(fileno=os.dup(int(entry.name))) as sock:
                if sock.getsockname() == peer.sock.getpeername():
                    return int(entry.name)
        except OSError:
            continue
    raise AssertionError("the pool's end is closed")


def move_endpoint(sidecar: Sidecar) -> None:
    """Move the endpoint to the address of another fake server."""
    sidecar.upstream.set_address(ENDPOINT, sidecar.second_discovery.address)


POOL_CHANGES: dict[str, Callable[[Sidecar], None]] = {
    "idle connections closed": lambda sidecar: sidecar.upstream.close_idle_connections(ENDPOINT),
    "endpoint removed": lambda sidecar: sidecar.upstream.remove(ENDPOINT),
    "endpoint moved": move_endpoint,
}


@pytest.mark.parametrize("close", POOL_CHANGES.values(), ids=POOL_CHANGES)
def test_reused_descriptor_keeps_its_new_owner(
    close: Callable[[Sidecar], None], sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The pool closes an idle connection while an attempt waits to reuse another one.

    The descriptor of the closed connection is reused immediately.  Its new owner must still be woken by its events.
    """
    monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE_NS", LONG_MIN_IDLE_NS)
    wake_reasons: list[WakeReason] = []
    results: list[FinishedAttempt] = []

    def script() -> None:
        awaited, other = open_idle_connections(sidecar, 2)
        descriptor = pool_descriptor(other)
        start_attempt(sidecar, results)
        sidecar.wait_until(lambda: ENDPOINT in sidecar.upstream._awaiting_reuse)
        new_owner, sender = socket.socketpair()
        close(sidecar)
        os.dup2(new_owner.fileno(), descriptor)  # as if the next socket had got this descriptor
        deadline_ns = sidecar.loop.now() + MAX_WAIT_NS
        sidecar.loop.spawn(lambda: wake_reasons.append(sidecar.loop.wait(descriptor, READABLE, deadline_ns)))
        sidecar.loop.sleep(0)
        awaited.send(b"late")  # makes the attempt use another connection
        assert awaited.read_to_end() == b""
        sender.send(b"for the new owner")
        sidecar.wait_until(lambda: bool(wake_reasons))
        assert wake_reasons == [WakeReason.READY]
        for sock in (new_owner, sender):
            sock.close()
        os.close(descriptor)

    sidecar.run(script)


@pytest.mark.parametrize("close", POOL_CHANGES.values(), ids=POOL_CHANGES)
def test_close_before_reuse_is_not_counted_twice(
    close: Callable[[Sidecar], None], sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE_NS", LONG_MIN_IDLE_NS)
    results: list[FinishedAttempt] = []

    def script() -> None:
        peers = open_idle_connections(sidecar, 3)
        awaited = peers[0]
        start_attempt(sidecar, results)
        sidecar.wait_until(lambda: ENDPOINT in sidecar.upstream._awaiting_reuse)
        close(sidecar)
        awaited.send(b"late")
        assert awaited.read_to_end() == b""
        if close is not POOL_CHANGES["endpoint removed"]:
            server = sidecar.second_discovery if close is move_endpoint else sidecar.server
            new = server.accept()
            new.read_head()
            new.respond()
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert sidecar.upstream.open_connections == (0 if close is POOL_CHANGES["endpoint removed"] else 1)


@pytest.mark.parametrize("waits_for", ["reuse", "connecting"])
def test_endpoint_moved_during_wait_gets_request_at_new_address(
    waits_for: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    results: list[FinishedAttempt] = []

    def script() -> None:
        old = change_during_attempt(sidecar, monkeypatch, waits_for, lambda: move_endpoint(sidecar), results)
        assert old.read_to_end() == b""
        new = sidecar.second_discovery.accept_request()
        new.respond(b"from the new address")
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    response = results[0].response
    assert response is not None
    assert response.body == b"from the new address"
    assert sidecar.upstream.open_connections == 1


@pytest.mark.parametrize("waits_for", ["reuse", "connecting"])
def test_endpoint_removed_during_wait_gets_no_request(
    waits_for: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    results: list[FinishedAttempt] = []

    def script() -> None:
        old = change_during_attempt(sidecar, monkeypatch, waits_for, lambda: sidecar.upstream.remove(ENDPOINT), results)
        assert old.read_to_end() == b""
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "CONNECTION_REFUSED"
    assert sidecar.upstream.open_connections == 0


def test_closing_idle_connections_closes_one_awaiting_reuse(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The balancer closes idle connections so that the next attempt uses a new connection."""
    results: list[FinishedAttempt] = []

    def script() -> None:
        old = change_during_attempt(
            sidecar, monkeypatch, "reuse", lambda: sidecar.upstream.close_idle_connections(ENDPOINT), results
        )
        assert old.read_to_end() == b""
        new = sidecar.server.accept_request()
        new.respond()
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert sidecar.upstream.open_connections == 1


@pytest.mark.parametrize("failing", ["may_proceed", "claim_stream"])
def test_exception_in_attempt_callback_leaks_no_connection(failing: str, sidecar: Sidecar) -> None:
    error_texts: list[str] = []
    results: list[FinishedAttempt] = []

    def fail(*_: object) -> Any:
        raise RuntimeError(failing)

    def run() -> None:
        try:
            start = sidecar.loop.now()
            sidecar.upstream.execute_attempt(
                ENDPOINT, ForwardedRequest(Message("GET", "/")), start + ATTEMPT_TIMEOUT_NS, **{failing: fail}
            )
        except RuntimeError as error:
            error_texts.append(str(error))

    def script() -> None:
        sidecar.loop.spawn(run)
        peer = sidecar.server.accept()
        if failing == "claim_stream":
            peer.read_head()
            peer.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(70_000)
            )  # long enough to be streamed
            assert peer.read_to_end() == b""
        sidecar.wait_until(lambda: bool(error_texts))
        assert sidecar.upstream.open_connections == (1 if failing == "may_proceed" else 0)
        start_attempt(sidecar, results)
        if failing == "claim_stream":
            peer = sidecar.server.accept()
        peer.read_head()  # a connection on which nothing was written is reused
        peer.respond()
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert error_texts == [failing]
    assert sidecar.upstream.open_connections == 1


def test_connection_expired_while_awaiting_reuse_is_not_used(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process is suspended while it waits for the connection, which the endpoint may close in the meantime."""
    sidecar.limits.idle_timeout_ns = 2 * NS_PER_S
    advance_clock = patch_clock(sidecar, monkeypatch)
    results: list[FinishedAttempt] = []

    def script() -> None:
        old = change_during_attempt(sidecar, monkeypatch, "reuse", lambda: advance_clock(3 * NS_PER_S), results)
        assert old.read_to_end() == b""
        new = sidecar.server.accept_request()
        new.respond()
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)


def test_bytes_during_interrupted_wait_close_the_connection(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE_NS", LONG_MIN_IDLE_NS)
    results: list[FinishedAttempt] = []
    open_connections: list[int] = []
    release = sidecar.upstream._release

    def script() -> None:
        peer = open_idle_connections(sidecar, 1)[0]

        def send_late_and_interrupt() -> None:
            peer.send(b"late")
            sidecar.loop.interrupt(task)

        def release_and_count(*arguments: Any) -> None:
            release(*arguments)
            open_connections.append(sidecar.upstream.open_connections)

        change_while_awaiting_reuse(sidecar, monkeypatch, send_late_and_interrupt)
        monkeypatch.setattr(sidecar.upstream, "_release", release_and_count)
        task = start_attempt(sidecar, results)
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "CANCELLED_BEFORE_SENT"
    assert open_connections in ([], [0])
    assert sidecar.upstream.open_connections == 0


def test_connection_ended_by_both_sides_is_not_closed_twice(sidecar: Sidecar) -> None:
    """The peer and the pool close the connection in the same poll of the event loop, in either order."""

    def script() -> None:
        first, second = open_idle_connections(sidecar, 2)
        first.sock.close()
        second.sock.close()
        sidecar.upstream.close_idle_connections(ENDPOINT)
        sidecar.loop.sleep(NS_PER_MS)

    sidecar.run(script)
    assert sidecar.upstream.open_connections == 0


@pytest.mark.parametrize("change", [move_endpoint, POOL_CHANGES["endpoint removed"]], ids=["moved", "removed"])
def test_response_from_old_address_counts_but_is_not_pooled(
    change: Callable[[Sidecar], None], sidecar: Sidecar
) -> None:
    results: list[FinishedAttempt] = []

    def script() -> None:
        start_attempt(sidecar, results)
        peer = sidecar.server.accept_request()
        change(sidecar)
        peer.respond(b"from the old address")
        assert peer.read_to_end() == b""
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].response is not None
    assert results[0].response.body == b"from the old address"
    assert sidecar.upstream.open_connections == 0


def test_connection_awaiting_reuse_is_not_evicted_at_limit(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The longest idle connection is closed instead; if there is none, the attempt gets no descriptor."""
    monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE_NS", LONG_MIN_IDLE_NS)
    sidecar.limits.max_connections = 2
    other_endpoint = ENDPOINT + 1
    sidecar.upstream.set_address(other_endpoint, sidecar.second_discovery.address)
    results: list[FinishedAttempt] = []
    outcomes_at_other: list[str] = []

    def attempt_at_other() -> None:
        deadline_ns = sidecar.loop.now() + ATTEMPT_TIMEOUT_NS
        request = ForwardedRequest(Message("GET", "/"))
        outcomes_at_other.append(sidecar.upstream.execute_attempt(other_endpoint, request, deadline_ns).outcome.name)

    def script() -> None:
        awaited, idle = open_idle_connections(sidecar, 2)
        start_attempt(sidecar, results)
        sidecar.wait_until(lambda: ENDPOINT in sidecar.upstream._awaiting_reuse)
        sidecar.loop.spawn(attempt_at_other)
        peer = sidecar.second_discovery.accept_request()
        assert idle.read_to_end() == b""
        sidecar.loop.spawn(attempt_at_other)
        sidecar.wait_until(lambda: outcomes_at_other == ["NO_DESCRIPTOR"])
        assert sidecar.upstream.open_connections == 2
        assert not sidecar.loop.is_ready(awaited.sock.fileno(), READABLE)
        peer.respond()
        sidecar.wait_until(lambda: outcomes_at_other == ["NO_DESCRIPTOR", "SERVED"])

    sidecar.run(script)


def test_self_connection_counts_as_refused(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """If no socket listens on the address and the local port is the same, the kernel connects the socket to itself."""
    address = sidecar.server.address
    results: list[FinishedAttempt] = []

    def open_at_the_same_port(target: Address) -> socket.socket:
        sock = open_socket(target)
        sock.bind(address)
        return sock

    def script() -> None:
        sidecar.server.sock.close()
        monkeypatch.setattr("lugtally.upstream.pool.open_socket", open_at_the_same_port)
        start_attempt(sidecar, results)
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "CONNECTION_REFUSED"
    assert sidecar.upstream.open_connections == 0
