"""Endpoints that pause within the body of a response: the table of docs/streaming.md, row by row."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.memory import MemoryBudget
from lugtally.units import NS_PER_MS
from lugtally.upstream import streaming
from tests.dispatch.streaming import (
    BODY_BYTES,
    FRAMINGS,
    HEADS,
    ReceivedResponse,
    body_of,
    hedge_each_request,
    read_response,
    send_unless_closed,
)
from tests.fakes import Sidecar, disconnect, request

TIME_LEFT_S = 0.6
DEADLINE_NS = 600 * NS_PER_MS
ALLOWED_DELAY_NS = 50 * NS_PER_MS
PAUSE_NS = 500 * NS_PER_MS
"""How long an endpoint pauses after the client has received the first bytes; it ends after the deadline."""
IDLE_TIMEOUT_NS = 800 * NS_PER_MS
FIRST_BYTES = 2_000


def frame(framing: str, data: bytes) -> bytes:
    """Return a part of a body in its framing."""
    return b"%x\r\n%b\r\n" % (len(data), data) if framing == "chunked" and data else data


class PausingResponse:
    """A request whose endpoint has sent the first bytes of a long body and pauses."""

    def __init__(self, sidecar: Sidecar, framing: str, first_bytes: int = FIRST_BYTES) -> None:
        self.sidecar, self.framing = sidecar, framing
        self.client = sidecar.client(sidecar.listen_with_one_endpoint())
        self.client.send(request("read", time_left_s=TIME_LEFT_S))
        self.connection = sidecar.server.accept_request()
        self._first_bytes = first_bytes
        self._received = b""
        self._sent_ns = sidecar.loop.now()
        send_unless_closed(self.connection, HEADS[framing] + frame(framing, body_of(0, first_bytes)))

    def wait_for_start(self) -> None:
        """Check that the client receives the first bytes in time, and pause until after the deadline."""
        self._received = self.client.read()
        assert self._received.startswith(b"HTTP/1.1 200"), self._received
        assert self.sidecar.loop.now() - self._sent_ns <= DEADLINE_NS + ALLOWED_DELAY_NS
        self.sidecar.loop.sleep(PAUSE_NS)

    def finish(self) -> None:
        """Send the rest of the body."""
        send_unless_closed(self.connection, frame(self.framing, body_of(0, BODY_BYTES - self._first_bytes)))
        if self.framing == "chunked":
            send_unless_closed(self.connection, b"0\r\n\r\n")
        if self.framing == "until close":
            self.connection.sock.close()

    def body(self) -> bytes:
        """Read the rest of the response; return its body, and fail if it is truncated."""
        if self.framing == "length":
            while len(self._received.partition(b"\r\n\r\n")[2]) < BODY_BYTES:
                self._received += self.client.read()
        else:
            while not self._received.endswith(b"\r\n0\r\n\r\n"):
                assert self.client.read_more(), "the response is truncated"
                self._received += self.client.received
                self.client.received = b""
        return ReceivedResponse(self._received, was_reset=False).body()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("first_bytes", [0, 1, FIRST_BYTES])
def test_body_that_pauses_past_deadline_is_complete(first_bytes: int, framing: str, sidecar: Sidecar) -> None:
    """Guards against a response that is buffered until it fails with 502 because its endpoint pauses (review/9)."""

    def script() -> None:
        response = PausingResponse(sidecar, framing, first_bytes)
        response.wait_for_start()
        response.finish()
        assert response.body() == body_of(0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.OK]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_body_that_stalls_is_truncated_by_reset(
    framing: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stalled response that never ends, or that its client takes for a complete one."""
    monkeypatch.setattr(streaming, "STREAM_IDLE_TIMEOUT_NS", IDLE_TIMEOUT_NS)

    def script() -> None:
        response = PausingResponse(sidecar, framing)
        response.wait_for_start()
        assert read_response(response.client).was_reset
        assert response.connection.read_to_end() == b""

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.TIMEOUT]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_body_reset_after_pause_is_truncated_by_reset(framing: str, sidecar: Sidecar) -> None:
    """Guards against a truncated body that looks complete, or that is sent a second time."""

    def script() -> None:
        response = PausingResponse(sidecar, framing)
        response.wait_for_start()
        disconnect(response.connection.sock, "reset")
        assert read_response(response.client).was_reset
        assert sidecar.server.is_idle()

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.RESET]


@pytest.mark.parametrize("framing", ["chunked", "until close"])
def test_client_leaving_in_a_pause_ends_the_attempt(framing: str, sidecar: Sidecar) -> None:
    """Guards against an endpoint that works on for a client that disconnected."""

    def script() -> None:
        response = PausingResponse(sidecar, framing)
        response.wait_for_start()
        response.client.sock.close()
        left_ns = sidecar.loop.now()
        assert response.connection.read_to_end() == b""
        assert sidecar.loop.now() - left_ns <= 100 * NS_PER_MS

    sidecar.run(script)


@pytest.mark.parametrize("framing", ["chunked", "until close"])
def test_body_that_pauses_during_shutdown_is_complete(framing: str, sidecar: Sidecar) -> None:
    """Guards against a graceful shutdown that cuts off a response in its pause."""
    sidecar.keep_running_after_shutdown()

    def script() -> None:
        response = PausingResponse(sidecar, framing)
        sidecar.downstream.drain()
        response.wait_for_start()
        assert not sidecar.has_shut_down
        response.finish()
        assert response.body() == body_of(0)
        sidecar.wait_until(lambda: sidecar.has_shut_down)

    sidecar.run(script)


@pytest.mark.parametrize("framing", ["chunked", "until close"])
def test_pausing_body_starts_immediately_without_memory(
    framing: str, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a response that fails or waits because the budget cannot grant its buffer."""

    def script() -> None:
        response = PausingResponse(sidecar, framing)
        sent_ns = sidecar.loop.now()
        monkeypatch.setattr(MemoryBudget, "reserve", lambda *_: False)
        response.wait_for_start()
        assert sidecar.loop.now() - PAUSE_NS - sent_ns <= 100 * NS_PER_MS
        response.finish()
        assert response.body() == body_of(0)

    sidecar.run(script)


@pytest.mark.parametrize("answers_in_time", [True, False], ids=["complete before the start", "after the start"])
def test_pausing_body_and_hedged_copy_give_one_response(answers_in_time: bool, sidecar: Sidecar) -> None:
    """Guards against a pausing response that wins over a complete one, and against two responses."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.balancer.decide = hedge_each_request
        client.send(request("read", time_left_s=TIME_LEFT_S))
        pausing, other = sidecar.server.accept_request(), sidecar.server.accept_request()
        send_unless_closed(pausing, HEADS["chunked"] + frame("chunked", body_of(0, FIRST_BYTES)))
        if answers_in_time:
            sidecar.loop.sleep(100 * NS_PER_MS)
            other.respond(body_of(1, 10))
            assert client.read().endswith(body_of(1, 10))
            assert pausing.read_to_end() == b""
            return
        received = client.read()
        assert other.read_to_end() == b""
        send_unless_closed(pausing, frame("chunked", body_of(0, BODY_BYTES - FIRST_BYTES)) + b"0\r\n\r\n")
        received = received + client.read_until(lambda data: data.endswith(b"\r\n0\r\n\r\n"))
        assert ReceivedResponse(received, was_reset=False).body() == body_of(0)

    sidecar.run(script)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_body_stalled_before_pipelined_request_fails_alone(framing: str, sidecar: Sidecar) -> None:
    """Guards against a request that gets no response in time because the one before it stalls."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        started_ns = sidecar.loop.now()
        client.send(request("read/1", "r1", time_left_s=1.0) + request("read/2", "r2", time_left_s=1.0))
        connection = sidecar.server.accept_request()
        send_unless_closed(connection, HEADS[framing] + frame(framing, body_of(0, FIRST_BYTES)))
        assert client.read().startswith(b"HTTP/1.1 502")
        assert sidecar.loop.now() - started_ns <= 1_050 * NS_PER_MS
        assert connection.read_to_end() == b""
        assert client.read_until(lambda data: b"\r\n\r\n" in data).startswith(b"HTTP/1.1 503")

    sidecar.run(script)


@pytest.mark.parametrize("before_deadline_ms", [150, 15])
def test_head_received_just_before_the_deadline_is_forwarded(before_deadline_ms: int, sidecar: Sidecar) -> None:
    """Guards against a response that begins in time and is answered with 502."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", time_left_s=TIME_LEFT_S))
        sent_ns = sidecar.loop.now()
        connection = sidecar.server.accept_request()
        sidecar.loop.sleep(sent_ns + DEADLINE_NS - before_deadline_ms * NS_PER_MS - sidecar.loop.now())
        send_unless_closed(connection, HEADS["chunked"])
        received = client.read()
        assert received.startswith(b"HTTP/1.1 200"), received
        assert sidecar.loop.now() - sent_ns <= DEADLINE_NS + ALLOWED_DELAY_NS
        sidecar.loop.sleep(PAUSE_NS)
        send_unless_closed(connection, frame("chunked", body_of(0)) + b"0\r\n\r\n")
        received += client.read_until(lambda data: data.endswith(b"\r\n0\r\n\r\n"))
        assert ReceivedResponse(received, was_reset=False).body() == body_of(0)

    sidecar.run(script)


def test_pause_before_body_or_trailers_loses_nothing(sidecar: Sidecar) -> None:
    """Guards against a pause that is harmless within the body but not around it."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", time_left_s=TIME_LEFT_S))
        connection = sidecar.server.accept_request()
        send_unless_closed(connection, b"HTTP/1.1 100 Continue\r\n\r\n")
        sidecar.loop.sleep(100 * NS_PER_MS)
        send_unless_closed(connection, HEADS["chunked"])
        received = client.read()
        sidecar.loop.sleep(PAUSE_NS)
        send_unless_closed(connection, frame("chunked", body_of(0)) + b"0\r\n")
        sidecar.loop.sleep(PAUSE_NS)
        send_unless_closed(connection, b"X-Checksum: 1\r\n\r\n")
        received += client.read_until(lambda data: data.endswith(b"\r\n\r\n"))
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(b"\r\n0\r\nX-Checksum: 1\r\n\r\n")
        assert received.count(b"a" * 1_000) == BODY_BYTES // 1_000

    sidecar.run(script)


@pytest.mark.parametrize("is_complete", [True, False])
def test_http_1_0_client_sees_whether_pausing_body_is_complete(is_complete: bool, sidecar: Sidecar) -> None:
    """Guards against a truncated body that a client which knows no chunks takes for a complete one."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", time_left_s=TIME_LEFT_S).replace(b"HTTP/1.1", b"HTTP/1.0"))
        connection = sidecar.server.accept_request()
        send_unless_closed(connection, HEADS["until close"] + body_of(0, FIRST_BYTES))
        received = client.read()
        sidecar.loop.sleep(PAUSE_NS)
        if is_complete:
            send_unless_closed(connection, body_of(0, BODY_BYTES - FIRST_BYTES))
        disconnect(connection.sock, "close" if is_complete else "reset")
        rest = read_response(client)
        assert rest.was_reset is not is_complete
        if is_complete:
            assert (received + rest.data).partition(b"\r\n\r\n")[2] == body_of(0)

    sidecar.run(script)
