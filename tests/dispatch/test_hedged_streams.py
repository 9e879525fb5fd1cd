"""Hedged requests with streamed responses: the client receives exactly one response, from one of the attempts."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from lugtally import balancing
from lugtally.downstream.connection import DownstreamConnection
from lugtally.eventloop import Event, EventLoop
from lugtally.units import NS_PER_MS
from lugtally.upstream.connection import UpstreamConnection
from tests.dispatch.streaming import (
    FRAMINGS,
    HEADS,
    STREAMED_PREFIX_BYTES,
    HedgedRequest,
    body_of,
    finish_stream,
    hedge_each_request,
    read_remaining,
    read_response,
    send_unless_closed,
    start_hedged_request,
    start_stream,
)
from tests.fakes import ENDPOINT_A, MAX_WAIT_NS, Sidecar, disconnect, request

TRUNCATED_BY_RESET = None
"""Stands for the serving attempt if there is none: the response is truncated, and the client sees a reset."""

Scenario = Callable[[HedgedRequest], None]


def second_responds_during_stream(hedged: HedgedRequest) -> None:
    hedged.start_stream(0)
    hedged.respond(1)
    hedged.wait_for_finished_attempts()
    hedged.finish_stream(0)


def first_responds_during_stream(hedged: HedgedRequest) -> None:
    hedged.start_stream(1)
    hedged.respond(0)
    hedged.wait_for_finished_attempts()
    hedged.finish_stream(1)


def second_responds_at_end_of_stream(hedged: HedgedRequest) -> None:
    hedged.start_stream(0)
    hedged.finish_stream(0)
    hedged.respond(1)


def second_gets_404_during_stream(hedged: HedgedRequest) -> None:
    hedged.start_stream(0)
    hedged.respond(1, "404 Not Found")
    hedged.wait_for_finished_attempts()
    hedged.finish_stream(0)


def second_is_reset_during_stream(hedged: HedgedRequest) -> None:
    hedged.start_stream(0)
    disconnect(hedged.connections[1].sock, "reset")
    hedged.wait_for_finished_attempts()
    hedged.finish_stream(0)


def both_stream(hedged: HedgedRequest) -> None:
    hedged.start_stream(1)
    hedged.send_stream_start(0)
    hedged.wait_for_finished_attempts()
    hedged.finish_stream(1)
    hedged.finish_stream(0)


def stream_starts_after_response(hedged: HedgedRequest) -> None:
    hedged.respond(1)
    hedged.wait_for_finished_attempts()
    hedged.send_stream_start(0)


def stream_truncated_as_second_responds(hedged: HedgedRequest) -> None:
    hedged.start_stream(0)
    hedged.respond(1)
    hedged.truncate_stream(0)


def stream_truncated_after_first_responded(hedged: HedgedRequest) -> None:
    hedged.start_stream(1)
    hedged.respond(0)
    hedged.wait_for_finished_attempts()
    hedged.truncate_stream(1)


def stream_reset_within_its_head(hedged: HedgedRequest) -> None:
    send_unless_closed(hedged.connections[0], HEADS[hedged.framing][:-2])
    disconnect(hedged.connections[0].sock, "reset")
    hedged.wait_for_finished_attempts()
    hedged.respond(1)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    ("scenario", "served_by"),
    [
        (second_responds_during_stream, 0),
        (first_responds_during_stream, 1),
        (second_responds_at_end_of_stream, 0),
        (second_gets_404_during_stream, 0),
        (second_is_reset_during_stream, 0),
        (both_stream, 1),
        (stream_starts_after_response, 1),
        (stream_truncated_as_second_responds, TRUNCATED_BY_RESET),
        (stream_truncated_after_first_responded, TRUNCATED_BY_RESET),
        (stream_reset_within_its_head, 1),
    ],
)
def test_hedged_request_gets_one_complete_response(
    scenario: Scenario, served_by: int | None, framing: str, sidecar: Sidecar
) -> None:
    """The response comes from one attempt, and it is either complete or truncated by a reset."""

    def script() -> None:
        hedged = start_hedged_request(sidecar, framing)
        scenario(hedged)
        response = hedged.response()
        if served_by is TRUNCATED_BY_RESET:
            assert response.was_reset, "the truncated body looks complete"
            assert len(set(response.data.partition(b"\r\n\r\n")[2]) & set(b"ab")) == 1, (
                "the response has bytes of two attempts"
            )
        else:
            assert set(response.body()) == set(body_of(served_by))
        hedged.wait_for_finished_attempts(2)
        assert not sidecar.dispatcher.in_progress

    sidecar.run(script)
    counts = sidecar.dispatcher.request_counts()
    assert (counts["served"], counts["failed"]) == ((0, 1) if served_by is TRUNCATED_BY_RESET else (1, 0))


@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_and_stream_in_one_poll_give_one_response(framing: str, sidecar: Sidecar) -> None:
    """Either attempt may serve the request; the client receives no byte of the other one."""

    def script() -> None:
        hedged = start_hedged_request(sidecar, framing)
        hedged.respond(1)
        hedged.send_stream_start(0)
        hedged.finish_stream(0)
        assert hedged.response().body() in (body_of(1, 10), body_of(0))
        hedged.wait_for_finished_attempts(2)

    sidecar.run(script)
    assert sidecar.dispatcher.request_counts()["served"] == 1


def test_claimed_stream_cancels_other_attempt(sidecar: Sidecar) -> None:
    """Otherwise the endpoint of the other attempt would work on a response that no client can receive."""

    def script() -> None:
        hedged = start_hedged_request(sidecar)
        hedged.send_stream_start(0)
        assert hedged.connections[1].read_to_end() == b""
        hedged.finish_stream(0)
        assert read_response(hedged.client).body() == body_of(0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.CANCELLED, balancing.AttemptResult.OK]


def test_attempt_connecting_as_stream_is_claimed_is_not_sent(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """A hedge whose connection is established after the response has started does not write the request."""
    connect = UpstreamConnection.connect
    may_connect = Event(sidecar.loop)
    connecting: list[UpstreamConnection] = []

    def connect_second_late(self: UpstreamConnection, loop: EventLoop, timeout_ns: int, deadline_ns: int) -> None:
        connecting.append(self)
        if len(connecting) == 2:
            may_connect.wait(loop.now() + MAX_WAIT_NS)
        connect(self, loop, timeout_ns, deadline_ns)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = hedge_each_request
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        start_stream(connection, 0, "length")
        received = read_response(client, STREAMED_PREFIX_BYTES).data
        may_connect.set()
        assert sidecar.server.accept().read_to_end() == b"", "the hedge was written after the response had started"
        finish_stream(connection, 0, "length")
        assert read_remaining(client, received).body() == body_of(0)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_second_late)
    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.NEVER_SENT, balancing.AttemptResult.OK]


def test_attempt_decided_as_stream_is_claimed_is_not_started(sidecar: Sidecar) -> None:
    """No connection is opened for an attempt that the balancer decides on after the response has started."""

    def hedge_after_response_start(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, (balancing.Request, balancing.ResponseStarted)):
            request_id = event.id if isinstance(event, balancing.Request) else event.request_id
            return [balancing.SendAttempt(request_id, ENDPOINT_A, 5_000 * NS_PER_MS)]
        return []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = hedge_after_response_start
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        start_stream(connection, 0, "length")
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()))
        assert sidecar.server.is_idle(), "a connection was opened for it"
        finish_stream(connection, 0, "length")
        assert read_response(client).body() == body_of(0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.NEVER_SENT, balancing.AttemptResult.OK]


def test_partly_written_stream_head_resets_the_client(sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch) -> None:
    """The other attempt's response must not follow, because some bytes of the first head may have been sent."""
    write = DownstreamConnection.write

    def write_partly_and_fail(self: DownstreamConnection, data: bytes | memoryview) -> bool:
        write(self, memoryview(data)[:20])
        return False

    def script() -> None:
        hedged = start_hedged_request(sidecar)
        monkeypatch.setattr(DownstreamConnection, "write", write_partly_and_fail)
        hedged.send_stream_start(0)
        hedged.wait_for_finished_attempts()
        hedged.respond(1)
        response = read_response(hedged.client)
        assert response.was_reset
        assert response.data in (b"", b"HTTP/1.1 200 OK\r\nCon")  # a reset may discard bytes that were not read
        hedged.wait_for_finished_attempts(2)

    sidecar.run(script)
    assert sidecar.dispatcher.request_counts()["failed"] == 1


@pytest.mark.parametrize("framing", FRAMINGS)
def test_half_close_during_stream_truncates_by_reset(framing: str, sidecar: Sidecar) -> None:
    """After an orderly close, a truncated body without a length would look complete."""

    def script() -> None:
        hedged = start_hedged_request(sidecar, framing)
        hedged.start_stream(0)
        hedged.client.sock.shutdown(socket.SHUT_WR)
        rest = read_response(hedged.client)
        assert rest.was_reset, f"the connection was closed after {len(hedged.received) + len(rest.data)} bytes"
        hedged.wait_for_finished_attempts(2)

    sidecar.run(script)
