"""Crossings between the choice of a server and the last byte of an attempt: drains, windows, clients that leave."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from lugtally import balancing
from lugtally.address import Address
from lugtally.balancing.balancer import Balancer
from lugtally.config.endpoint_list import endpoint_id_of, parse_endpoint_list
from lugtally.eventloop import READABLE, EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import attempt, pool
from lugtally.upstream.connection import UpstreamConnection
from tests.races.parties import CLASSES, Link, Sidecar, request

A, B = endpoint_id_of("s-a"), endpoint_id_of("s-b")


def sending(sidecar: Sidecar) -> Callable[[balancing.Event], list[balancing.Action]]:
    """Orders: send each request to A, and fail it when its attempt has ended."""

    def orders(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.Request):
            return [balancing.SendAttempt(event.id, A, event.time_left_ns)]
        if isinstance(event, balancing.AttemptFinished) and not event.request_finished:
            return [balancing.FailRequest(event.request_id)]
        return []

    return orders


def ready(sidecar: Sidecar) -> Address:
    """Listening, with one server listed and every request sent there."""
    sidecar.module.orders = sending(sidecar)
    sidecar.watch.start(parse_endpoint_list({"version": 1, "full": True, "servers": [sidecar.row("s-a")]}, "known"))
    return sidecar.listen()


@pytest.mark.parametrize("what", ["a fresh connection", "a kept connection"])
def test_an_attempt_that_may_no_longer_begin_is_not_written(what: str) -> None:
    """While its connection came up the server drained, or the window closed: the request went out all the same."""
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(ready(sidecar))
        if what == "a kept connection":
            client.send(request("read", "r0"))
            link = sidecar.server.link()
            link.head()
            link.answer()
            assert b"200 OK" in client.read()
        sidecar.module.allowed = False
        client.send(request("read"))
        assert client.read().startswith(b"HTTP/1.1 502")
        if what == "a fresh connection":
            link = sidecar.server.link()
        sidecar.module.allowed = True
        client.send(request("read", "r2"))
        assert link.head().startswith("GET /read")  # the connection itself is as good as before
        assert b"r1" not in link.got
        link.answer()
        assert b"200 OK" in client.read()
        assert sidecar.server.idle(), "a sound connection was thrown away"

    sidecar.play(script)
    assert balancing.AttemptResult.NEVER_SENT in sidecar.module.results()


def test_a_long_request_is_broken_off_where_it_may_not_go_on() -> None:
    """A keyed repeat whose last byte waits for a slow reader would come after its window."""
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(ready(sidecar))
        sidecar.server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        write_request = attempt.write_request
        shrunk: list[int] = []

        def small(loop: EventLoop, connection: UpstreamConnection, *more: Any) -> None:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            shrunk.append(1)
            write_request(loop, connection, *more)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(attempt, "write_request", small)
            client.send(request("write", method="POST", more="Idempotency-Key: k\r\nContent-Length: 65536\r\n"))
            client.send(bytes(65536))
            link = sidecar.server.link()
            link.read()  # it has begun, and what is not read yet holds the rest back
            sidecar.until(lambda: bool(shrunk))
            sidecar.module.allowed = False
            got = len(link.all())
        assert got < 65536
        assert client.read().startswith(b"HTTP/1.1 502")

    sidecar.play(script)
    assert sidecar.module.results() == [balancing.AttemptResult.NEVER_SENT]


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("kept", [True, False])
def test_nothing_is_begun_for_a_client_that_left_before_its_request_was_read(how: str, kept: bool) -> None:
    """Its end was looked for at the next poll only: over a kept connection the request had gone out by then."""
    sidecar = Sidecar()

    def script() -> None:
        where = ready(sidecar)
        link: Link | None = None
        if kept:
            first = sidecar.client(where)
            first.send(request("read", "r0"))
            link = sidecar.server.link()
            link.head()
            link.answer()
            assert b"200 OK" in first.read()
        leaver = socket.create_connection(where)  # request and end lie in the backlog together
        leaver.sendall(request("read"))
        if how == "half":
            leaver.shutdown(socket.SHUT_WR)
        elif how == "reset":
            leaver.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            leaver.close()
        else:
            leaver.close()
        sidecar.loop.sleep(NS_PER_MS)  # its connection lies in the backlog, which the poll of this turn sees
        sidecar.until(lambda: sidecar.downstream.open == (1 if kept else 0))
        assert how == "reset" or any(isinstance(e, balancing.ClientDisconnected) for e in sidecar.module.told)
        after = sidecar.client(where)
        after.send(request("read", "r2"))
        if link is None:
            link = sidecar.server.link()
            if not link.read_on():  # the connection begun for the leaver, given up before it was used
                link = sidecar.server.link()
        assert link.head().startswith("GET /read")
        link.answer()
        assert b"200 OK" in after.read()
        assert sidecar.server.idle()

    sidecar.play(script)
    ids = [e for e in sidecar.module.told if isinstance(e, balancing.AttemptFinished)]
    assert sum(e.result is balancing.AttemptResult.OK for e in ids) == (2 if kept else 1)
    assert not sidecar.module.results().count(balancing.AttemptResult.CANCELLED), (
        "it was written before it was called off"
    )


def test_a_client_that_leaves_while_its_request_waits_to_be_sent_again_is_sent_nothing_for() -> None:
    """Its backoff ends with it."""
    sidecar = Sidecar()

    def script() -> None:
        def orders(event: balancing.Event) -> list[balancing.Action]:
            if isinstance(event, balancing.Request):
                return [balancing.SendAttempt(event.id, A, event.time_left_ns)]
            if isinstance(event, balancing.AttemptFinished):
                return [balancing.SetTimer(1, "again " + event.request_id)]
            if isinstance(event, balancing.TimerFired):
                return [balancing.SendAttempt(event.token.split()[1], A, NS_PER_S)]
            return []

        client = sidecar.client(ready(sidecar))
        sidecar.module.orders = orders
        client.send(request("read"))
        link = sidecar.server.link()
        link.head()
        client.sock.close()  # in the same poll as the end of its attempt, whichever is handled first
        link.sock.close()
        sidecar.until(lambda: any(isinstance(e, balancing.ClientDisconnected) for e in sidecar.module.told))
        for _ in range(20):
            sidecar.loop.sleep(0)
        if sidecar.loop.is_ready(sidecar.server.sock.fileno(), READABLE):  # it may have begun to connect, no more
            assert sidecar.server.link().all() == b""

    sidecar.play(script)


def test_a_second_answer_some_milliseconds_late_is_nobodys() -> None:
    """Second answers came 0.9 to 3.8 ms after the first; connections were used again after 1 ms."""
    assert pool.SETTLE_NS >= 5 * NS_PER_MS
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(ready(sidecar))
        client.send(request("read", "r0"))
        link = sidecar.server.link()
        link.head()
        link.answer(b"first")
        assert client.read().endswith(b"first")
        client.send(request("read", "r1"))
        sidecar.until(lambda: A in sidecar.upstream._settling)  # its step waits for the connection to settle
        link.answer(b"again")
        fresh = sidecar.server.link()
        assert fresh.head().startswith("GET /read") and link.all() == b""
        fresh.answer(b"other")
        assert client.read().endswith(b"other")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pool, "SETTLE_NS", 2_000 * NS_PER_MS)
        sidecar.play(script)


def test_steps_do_not_queue_up_behind_a_connection_that_settles() -> None:
    """One step may wait for it; where requests come faster, the next takes a connection of its own."""
    sidecar = Sidecar()

    def script() -> None:
        where = ready(sidecar)
        first, second = sidecar.client(where), sidecar.client(where)
        first.send(request("read", "r0"))
        second.send(request("read", "r00"))
        links = [sidecar.server.link(), sidecar.server.link()]
        for link in links:
            link.head()
            link.answer()
        assert b"200 OK" in first.read() and b"200 OK" in second.read()
        first.send(request("read", "r1"))
        sidecar.until(lambda: A in sidecar.upstream._settling)
        second.send(request("read", "r2"))
        other = sidecar.server.link()
        other.head()
        other.answer()
        assert b"200 OK" in second.read()
        assert A in sidecar.upstream._settling

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pool, "SETTLE_NS", 2_000 * NS_PER_MS)
        sidecar.play(script)


def real(**more: object) -> Balancer:
    told = balancing.Settings(CLASSES, max_attempts=4, timer_resolution_ns=NS_PER_MS, **more)  # type: ignore[arg-type]
    module = Balancer(told, 1)
    module.handle(
        0, balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, [balancing.Endpoint(A), balancing.Endpoint(B)])
    )
    return module


def sent(actions: list[balancing.Action]) -> balancing.SendAttempt:
    return next(a for a in actions if isinstance(a, balancing.SendAttempt))


@pytest.mark.parametrize(
    "news, may",
    [
        ([], True),
        (
            [
                balancing.Endpoint(A, state=balancing.EndpointState.DRAINING),
                balancing.Endpoint(B, state=balancing.EndpointState.DRAINING),
            ],
            False,
        ),
        (
            [
                balancing.Endpoint(A, state=balancing.EndpointState.REMOVED),
                balancing.Endpoint(B, state=balancing.EndpointState.REMOVED),
            ],
            False,
        ),
        ([balancing.Endpoint(A, started_ns=5), balancing.Endpoint(B, started_ns=5)], False),
    ],
)
def test_the_module_says_at_the_last_moment_whether_an_attempt_may_begin(
    news: list[balancing.Endpoint], may: bool
) -> None:
    module = real()
    send = sent(module.handle(1, balancing.Request("q", 0, 0, NS_PER_S)))
    module.handle(2, balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, news))
    assert module.may_start(3, "q", 0) is may
    assert not module.may_start(3, "q", 1) and not module.may_start(3, "other", 0)
    module.handle(4, balancing.ClientDisconnected("q"))
    assert send.endpoint_id in (A, B) and not module.may_start(5, "q", 0)


def test_a_keyed_repeat_begins_only_within_its_window() -> None:
    module = real()
    window = CLASSES[1].deduplication_window_ns
    sent(module.handle(1, balancing.Request("q", 1, 0, 8 * NS_PER_S)))
    assert module.may_start(window + 2, "q", 0), "a first try has no window"
    server = module.state.attempts["q", 0].endpoint.id
    wake = next(
        a
        for a in module.handle(
            NS_PER_S, balancing.AttemptFinished("q", 0, server, balancing.AttemptResult.RESET, False, NS_PER_S)
        )
        if isinstance(a, balancing.SetTimer) and a.token == "rq"
    )
    sent(module.handle(NS_PER_S + wake.delay_ns, balancing.TimerFired(wake.token)))
    assert module.may_start(window + 1, "q", 1) and not module.may_start(window + 2, "q", 1)
