"""Bytes that an endpoint sends too early or too late, truncated or endless, must not count as a response."""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable

import pytest

from lugtally.eventloop import WRITABLE, WakeReason
from lugtally.http1 import Message
from lugtally.units import NS_PER_MS
from lugtally.upstream import FinishedAttempt
from tests.fakes import MAX_WAIT_NS, PeerConnection, Sidecar, disconnect
from tests.upstream.pool_harness import change_at_wait, open_idle_connections, start_attempt

STALE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
LONG_REQUEST = Message("POST", "/", body=bytes(64 * 1024 * 1024))
"""A request that exceeds the socket buffers, so that writing it waits until the endpoint reads."""


def test_bytes_before_first_write_are_not_the_response(sidecar: Sidecar) -> None:
    """The bytes arrive when ``may_proceed`` is called, immediately before the last check of the connection."""
    results: list[FinishedAttempt] = []

    def script() -> None:
        peer = open_idle_connections(sidecar, 1)[0]
        stale_responses = [STALE_RESPONSE]

        def may_proceed() -> bool:
            if stale_responses:
                peer.send(stale_responses.pop())
            return True

        def serve_second_connection() -> None:
            fresh = sidecar.server.accept_request()
            fresh.respond(b"fresh")

        sidecar.loop.spawn(serve_second_connection)
        start_attempt(sidecar, results, may_proceed=may_proceed)
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    response = results[0].response
    assert response is not None
    assert response.body == b"fresh"


EARLY_EVENTS: dict[str, Callable[[PeerConnection], None]] = {
    "response": lambda peer: peer.send(STALE_RESPONSE),
    "end": lambda peer: peer.sock.shutdown(socket.SHUT_WR),
    "reset": lambda peer: disconnect(peer.sock, "reset"),
}


@pytest.mark.parametrize("send_early", EARLY_EVENTS.values(), ids=EARLY_EVENTS)
def test_new_connection_with_bytes_or_end_is_not_used(
    send_early: Callable[[PeerConnection], None], sidecar: Sidecar
) -> None:
    """The attempt counts as not sent, so that even a request that must not be processed twice may be retried."""
    results: list[FinishedAttempt] = []
    peers: list[PeerConnection] = []

    def may_proceed() -> bool:
        if not peers:
            peers.append(PeerConnection(sidecar.loop, sidecar.server.sock.accept()[0]))
            send_early(peers[0])
        return True

    def script() -> None:
        start_attempt(sidecar, results, may_proceed=may_proceed)
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "RESET_BEFORE_SENT"
    assert sidecar.upstream.open_connections == 0


@pytest.mark.parametrize("close_mode", ["stays open", "closes", "half-closes"])
def test_response_before_end_of_request_is_malformed(
    close_mode: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt counts as possibly processed, and it does not wait for its deadline."""
    results: list[FinishedAttempt] = []
    peers: list[PeerConnection] = []

    def respond() -> None:
        peers.append(PeerConnection(sidecar.loop, sidecar.server.sock.accept()[0]))
        peers[0].send(STALE_RESPONSE)
        if close_mode == "closes":
            peers[0].sock.close()  # there are unread bytes, so that the kernel sends a reset
        elif close_mode == "half-closes":
            peers[0].sock.shutdown(socket.SHUT_WR)

    def script() -> None:
        connecting = [True]

        def is_writing(poll_events: int) -> bool:
            return bool(poll_events & WRITABLE) and not (connecting and connecting.pop())

        change_at_wait(sidecar, monkeypatch, is_writing, respond)
        start_attempt(sidecar, results, LONG_REQUEST)
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "MALFORMED_RESPONSE"
    assert results[0].response is None
    assert sidecar.upstream.open_connections == 0


def test_endless_response_is_aborted_at_deadline(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The socket is always readable, so that no wait times out."""
    monkeypatch.setattr("lugtally.http1.chunked_body.MAX_TRAILER_BYTES", sys.maxsize)  # else the response is malformed
    monkeypatch.setattr("tests.upstream.pool_harness.ATTEMPT_TIMEOUT_NS", 200 * NS_PER_MS)
    results: list[FinishedAttempt] = []

    def script() -> None:
        start_attempt(sidecar, results)
        peer = sidecar.server.accept_request()
        peer.send(b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
        give_up_ns = sidecar.loop.now() + MAX_WAIT_NS // 4
        while not results and sidecar.loop.now() < give_up_ns:
            assert sidecar.loop.wait(peer.sock.fileno(), WRITABLE, give_up_ns) is WakeReason.READY
            try:
                peer.sock.send(b"T: v\r\n" * 10_000)
            except OSError:
                break
        assert results, "the attempt exceeded its deadline"

    sidecar.run(script)
    assert results[0].outcome.name == "TIMEOUT"


RESPONSES = {
    "length": b"HTTP/1.1 %s X\r\nContent-Length: 4\r\n\r\nbody",
    "chunks": b"HTTP/1.1 %s X\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nT: v\r\n\r\n",
}


@pytest.mark.parametrize("status", [b"200", b"503"], ids=["200", "503"])
@pytest.mark.parametrize("response", RESPONSES.values(), ids=RESPONSES)
@pytest.mark.parametrize("how", ["close", "reset"])
def test_response_truncated_at_any_byte_is_reset(how: str, response: bytes, status: bytes, sidecar: Sidecar) -> None:
    response %= status
    results: list[FinishedAttempt] = []

    def script() -> None:
        for count in range(len(response)):
            start_attempt(sidecar, results)
            peer = sidecar.server.accept_request()
            peer.send(response[:count])
            disconnect(peer.sock, how)
            sidecar.wait_until(lambda: len(results) == count + 1)  # noqa: B023

    sidecar.run(script)
    assert {result.outcome.name for result in results} == {"RESET"}
    assert sidecar.upstream.open_connections == 0


@pytest.mark.parametrize("status", [b"200", b"503"], ids=["200", "503"])
def test_body_until_close_is_complete_at_close_but_not_at_reset(status: bytes, sidecar: Sidecar) -> None:
    results: list[FinishedAttempt] = []

    def script() -> None:
        for number, how in enumerate(("reset", "close"), 1):
            start_attempt(sidecar, results)
            peer = sidecar.server.accept_request()
            peer.send(b"HTTP/1.1 %s X\r\n\r\nbody" % status)
            disconnect(peer.sock, how)
            sidecar.wait_until(lambda: len(results) == number)  # noqa: B023

    sidecar.run(script)
    assert results[0].outcome.name == "RESET"
    assert results[1].response is not None
    assert results[1].response.body == b"body"
    assert sidecar.upstream.open_connections == 0


def test_connection_of_cancelled_attempt_is_not_pooled(sidecar: Sidecar) -> None:
    """The response of the attempt has arrived and would be read as the response to the next request."""
    results: list[FinishedAttempt] = []

    def script() -> None:
        task = start_attempt(sidecar, results)
        peer = sidecar.server.accept_request()
        peer.send(STALE_RESPONSE)  # readable in the same turn of the loop as the cancellation
        sidecar.loop.interrupt(task)
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "CANCELLED"
    assert sidecar.upstream.open_connections == 0


@pytest.mark.parametrize(
    "extra", [STALE_RESPONSE, b"x", b"HTTP/1.1 100 Continue\r\n\r\n"], ids=["response", "byte", "interim"]
)
def test_connection_with_bytes_after_response_is_not_pooled(extra: bytes, sidecar: Sidecar) -> None:
    results: list[FinishedAttempt] = []

    def script() -> None:
        start_attempt(sidecar, results)
        peer = sidecar.server.accept_request()
        peer.send(STALE_RESPONSE + extra)
        assert peer.read_to_end() == b""
        sidecar.wait_until(lambda: bool(results))

    sidecar.run(script)
    assert results[0].outcome.name == "SERVED"
    assert sidecar.upstream.open_connections == 0
