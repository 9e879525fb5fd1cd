"""Two attempts of one request, one or both with a response that is passed on as it comes: one answer, whole, of one."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import pytest

from lugtally import balancing
from lugtally.dispatch import Dispatcher, Failed, PendingRequest
from lugtally.downstream.connection import DownstreamConnection
from lugtally.eventloop import READABLE, Event, EventLoop, WakeReason
from lugtally.units import NS_PER_MS
from lugtally.upstream.connection import UpstreamConnection
from tests.races.fakes import ENDPOINT_A, MAX_WAIT_NS, PeerConnection, Sidecar, request
from tests.races.test_attempts import leave

BODY_BYTES = 100_000
BEGINNING_BYTES = 70_000
"""Of a streamed body: more than is buffered before it is passed on."""
STREAMED = ("length", "chunked", "until close")
"""How the end of a streamed body is told."""
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\n\r\n",
}


def body_of(number: int, size: int = BODY_BYTES) -> bytes:
    """Return a body that no other attempt sends."""
    return b"ab"[number : number + 1] * size


@dataclass(slots=True)
class Answer:
    """What a client read on its connection until it ended."""

    data: bytes
    was_reset: bool

    def body(self) -> bytes:
        """Return the body of a whole answer; fails where it is cut, or more than one."""
        assert not self.was_reset, f"a reset after {len(self.data)} bytes"
        head, _, body = self.data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        if b"Transfer-Encoding: chunked" in head:
            assert body.endswith(b"\r\n0\r\n\r\n"), "the chunked body has no end"
            return re.sub(rb"[0-9a-f]+\r\n([ab]*)\r\n", rb"\1", body).removesuffix(b"\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        assert length is None or int(length[1]) == len(body)
        return body


def read_answer(client: PeerConnection, min_bytes: int = 0) -> Answer:
    """Read until the connection ends, or until that much has come."""
    data = b""
    while not min_bytes or len(data) < min_bytes:
        reason = client.loop.wait(client.sock.fileno(), READABLE, client.loop.now() + MAX_WAIT_NS)
        assert reason is WakeReason.READY, "nothing came"
        try:
            read = client.sock.recv(65536)
        except ConnectionResetError:
            return Answer(data, True)
        if not read:
            return Answer(data, False)
        data += read
    return Answer(data, False)


def send(connection: PeerConnection, data: bytes) -> None:
    """Write to the sidecar, which may have closed the connection."""
    with suppress(BrokenPipeError, ConnectionResetError):
        connection.send(data)


def begin_stream(connection: PeerConnection, number: int, framing: str) -> None:
    """Send the head and the beginning of a long body."""
    beginning = body_of(number, BEGINNING_BYTES)
    if framing == "chunked":
        beginning = b"%x\r\n%b\r\n" % (BEGINNING_BYTES, beginning)
    send(connection, HEADS[framing] + beginning)


def end_stream(connection: PeerConnection, number: int, framing: str) -> None:
    """Send the rest of a body that has begun."""
    rest = body_of(number, BODY_BYTES - BEGINNING_BYTES)
    if framing == "chunked":
        rest = b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest)
    send(connection, rest)
    if framing == "until close":
        with suppress(OSError):  # the sidecar may have closed the connection
            connection.sock.shutdown(socket.SHUT_WR)


def cut_stream(connection: PeerConnection, framing: str) -> None:
    """End the connection within the body; where its end alone would tell a whole body, by a reset."""
    leave(connection.sock, "reset" if framing == "until close" else "close")


def hedge_each_request(event: balancing.Event) -> list[balancing.Action]:
    """Start two attempts at once, and fail a request neither of whose attempts was served."""
    if isinstance(event, balancing.Request):
        return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)] * 2
    if isinstance(event, balancing.AttemptFinished) and event.attempt == 1 and not event.request_finished:
        return [balancing.FailRequest(event.request_id)]
    return []


def start_hedged(sidecar: Sidecar) -> tuple[PeerConnection, list[PeerConnection]]:
    """Send a request; return its client and the connections of its two attempts, which have been written."""
    address = sidecar.listen_with_one_endpoint()
    sidecar.balancer.decide = hedge_each_request
    client = sidecar.client(address)
    client.send(request("read"))
    connections = [sidecar.server.accept(), sidecar.server.accept()]
    for connection in connections:
        connection.read_head()
    return client, connections


@dataclass(slots=True)
class Hedge:
    """The two attempts of one request in a row of the table."""

    sidecar: Sidecar
    client: PeerConnection
    connections: list[PeerConnection]
    framing: str
    received: bytes = b""

    def begin(self, number: int) -> None:
        """Begin a stream and wait until the client has had its beginning."""
        begin_stream(self.connections[number], number, self.framing)
        self.received = read_answer(self.client, BEGINNING_BYTES).data

    def begin_unseen(self, number: int) -> None:
        """Begin a stream that must not reach the client, or need not."""
        begin_stream(self.connections[number], number, self.framing)

    def end(self, number: int) -> None:
        end_stream(self.connections[number], number, self.framing)

    def cut(self, number: int) -> None:
        cut_stream(self.connections[number], self.framing)

    def answer(self, number: int, status: str = "200 OK") -> None:
        """Send a short answer, which is buffered."""
        body = body_of(number, 10)
        send(self.connections[number], b"HTTP/1.1 %b\r\nContent-Length: 10\r\n\r\n%b" % (status.encode(), body))

    def finished(self) -> None:
        """Wait until an attempt has ended."""
        self.sidecar.wait_until(lambda: bool(self.sidecar.balancer.attempt_results()))


Steps = Callable[[Hedge], None]


def other_answers_within_stream(hedge: Hedge) -> None:
    hedge.begin(0)
    hedge.answer(1)
    hedge.finished()
    hedge.end(0)


def first_answers_within_stream_of_second(hedge: Hedge) -> None:
    hedge.begin(1)
    hedge.answer(0)
    hedge.finished()
    hedge.end(1)


def other_answers_at_the_end_of_the_stream(hedge: Hedge) -> None:
    hedge.begin(0)
    hedge.end(0)
    hedge.answer(1)


def other_is_refused_within_stream(hedge: Hedge) -> None:
    hedge.begin(0)
    hedge.answer(1, "404 Not Found")
    hedge.finished()
    hedge.end(0)


def other_breaks_within_stream(hedge: Hedge) -> None:
    hedge.begin(0)
    leave(hedge.connections[1].sock, "reset")
    hedge.finished()
    hedge.end(0)


def both_stream(hedge: Hedge) -> None:
    hedge.begin(1)
    hedge.begin_unseen(0)
    hedge.finished()
    hedge.end(1)
    hedge.end(0)


def answer_then_stream(hedge: Hedge) -> None:
    hedge.answer(1)
    hedge.finished()
    hedge.begin_unseen(0)


def stream_cut_with_answer_there(hedge: Hedge) -> None:
    hedge.begin(0)
    hedge.answer(1)
    hedge.cut(0)


def second_stream_cut_after_answer_of_first(hedge: Hedge) -> None:
    hedge.begin(1)
    hedge.answer(0)
    hedge.finished()
    hedge.cut(1)


def stream_cut_before_it_reached_the_client(hedge: Hedge) -> None:
    send(hedge.connections[0], HEADS[hedge.framing][:-2])
    leave(hedge.connections[0].sock, "reset")
    hedge.finished()
    hedge.answer(1)


RESET = None
"""In the place of the attempt that must answer: the client is told that its answer is not whole."""


@pytest.mark.parametrize("framing", STREAMED)
@pytest.mark.parametrize(
    ("steps", "answered_by"),
    [
        (other_answers_within_stream, 0),
        (first_answers_within_stream_of_second, 1),
        (other_answers_at_the_end_of_the_stream, 0),
        (other_is_refused_within_stream, 0),
        (other_breaks_within_stream, 0),
        (both_stream, 1),
        (answer_then_stream, 1),
        (stream_cut_with_answer_there, RESET),
        (second_stream_cut_after_answer_of_first, RESET),
        (stream_cut_before_it_reached_the_client, 1),
    ],
)
def test_one_whole_answer_of_one_of_two_attempts(steps: Steps, answered_by: int | None, framing: str) -> None:
    """A whole stream ended in a reset, where the other attempt had been answered meanwhile."""
    sidecar = Sidecar()

    def script() -> None:
        client, connections = start_hedged(sidecar)
        hedge = Hedge(sidecar, client, connections, framing)
        steps(hedge)
        if not hedge.received:
            hedge.received = read_answer(client, 1).data
        if b"Content-Length: 10\r\n" in hedge.received:
            client.sock.shutdown(socket.SHUT_WR)  # a short answer leaves the connection open
        rest = read_answer(client)
        answer = Answer(hedge.received + rest.data, rest.was_reset)
        if answered_by is RESET:
            assert answer.was_reset, "a cut body looks whole"
            assert len(set(answer.data.partition(b"\r\n\r\n")[2]) & set(b"ab")) == 1, "bytes of two attempts"
        else:
            assert set(answer.body()) == set(body_of(answered_by))
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)
        assert not sidecar.dispatcher.in_progress

    sidecar.run(script)
    counts = sidecar.dispatcher.request_counts()
    assert (counts["served"], counts["failed"]) == ((0, 1) if answered_by is RESET else (1, 0))


@pytest.mark.parametrize("framing", STREAMED)
def test_an_answer_and_a_stream_that_come_together_make_one_answer(framing: str) -> None:
    """Both lie in the kernel when the loop looks: either may win, the other leaves no byte."""
    sidecar = Sidecar()

    def script() -> None:
        client, connections = start_hedged(sidecar)
        hedge = Hedge(sidecar, client, connections, framing)
        hedge.answer(1)
        begin_stream(connections[0], 0, framing)
        end_stream(connections[0], 0, framing)
        first = read_answer(client, 1)
        if b"Content-Length: 10\r\n" in first.data:
            client.sock.shutdown(socket.SHUT_WR)
        rest = read_answer(client)
        body = Answer(first.data + rest.data, rest.was_reset).body()
        assert body in (body_of(1, 10), body_of(0))
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)

    sidecar.run(script)
    assert sidecar.dispatcher.request_counts()["served"] == 1


def test_the_other_attempt_is_cancelled_when_a_stream_is_claimed() -> None:
    """Its endpoint worked on for a response that could go nowhere."""
    sidecar = Sidecar()

    def script() -> None:
        client, connections = start_hedged(sidecar)
        begin_stream(connections[0], 0, "length")
        assert connections[1].read_to_end() == b""
        end_stream(connections[0], 0, "length")
        assert read_answer(client).body() == body_of(0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.CANCELLED, balancing.AttemptResult.OK]


def test_an_attempt_that_is_dialling_as_a_stream_is_claimed_is_never_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """A hedge whose connection came up later was written after the response had begun."""
    sidecar = Sidecar()
    connect = UpstreamConnection.connect
    may_go_on = Event(sidecar.loop)
    dials: list[UpstreamConnection] = []

    def connect_held(self: UpstreamConnection, loop: EventLoop, timeout_ns: int, deadline_ns: int) -> None:
        dials.append(self)
        if len(dials) == 2:
            may_go_on.wait(loop.now() + MAX_WAIT_NS)
        connect(self, loop, timeout_ns, deadline_ns)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = hedge_each_request
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        begin_stream(connection, 0, "length")
        received = read_answer(client, BEGINNING_BYTES).data
        may_go_on.set()
        assert sidecar.server.accept().read_to_end() == b"", "written after the response had begun"
        end_stream(connection, 0, "length")
        rest = read_answer(client)
        assert Answer(received + rest.data, rest.was_reset).body() == body_of(0)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_held)
    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.NEVER_SENT, balancing.AttemptResult.OK]


def test_an_attempt_decided_on_as_a_stream_is_claimed_is_never_begun() -> None:
    """Not even a connection is opened for it."""
    sidecar = Sidecar()

    def hedge_the_stream(event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, (balancing.Request, balancing.ResponseStarted)):
            request_id = event.id if isinstance(event, balancing.Request) else event.request_id
            return [balancing.SendAttempt(request_id, ENDPOINT_A, 5_000 * NS_PER_MS)]
        return []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = hedge_the_stream
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        begin_stream(connection, 0, "length")
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()))
        assert sidecar.server.is_idle(), "a connection was opened for it"
        end_stream(connection, 0, "length")
        assert read_answer(client).body() == body_of(0)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.NEVER_SENT, balancing.AttemptResult.OK]


def test_a_stream_whose_head_cannot_be_written_is_reset_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """The other attempt's answer must not come in its place: part of the head may have gone out."""
    sidecar = Sidecar()
    write = DownstreamConnection.write

    def write_half(self: DownstreamConnection, data: bytes | memoryview) -> bool:
        write(self, memoryview(data)[:20])
        return False

    def script() -> None:
        client, connections = start_hedged(sidecar)
        monkeypatch.setattr(DownstreamConnection, "write", write_half)
        begin_stream(connections[0], 0, "length")
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()))
        send(connections[1], b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        answer = read_answer(client)
        assert answer.was_reset
        assert answer.data in (b"", b"HTTP/1.1 200 OK\r\nCon")  # the reset may take along what was not read
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)

    sidecar.run(script)
    assert sidecar.dispatcher.request_counts()["failed"] == 1


@pytest.mark.parametrize("framing", STREAMED)
def test_a_client_that_ends_its_sending_within_a_stream_is_not_shown_a_cut_body_as_whole(framing: str) -> None:
    """Taken for gone, its connection was closed in the ordinary way: without a length, the body looked whole."""
    sidecar = Sidecar()

    def script() -> None:
        client, connections = start_hedged(sidecar)
        begin_stream(connections[0], 0, framing)
        received = read_answer(client, BEGINNING_BYTES)
        client.sock.shutdown(socket.SHUT_WR)
        rest = read_answer(client)
        assert rest.was_reset, f"an ordinary end after {len(received.data) + len(rest.data)} bytes"
        sidecar.wait_until(lambda: len(sidecar.balancer.attempt_results()) == 2)

    sidecar.run(script)


def test_an_answer_too_late_to_win_is_not_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """The counters said failed, and the client was served."""
    sidecar = Sidecar()
    attempt_finished = Dispatcher.attempt_finished

    def fail_first(self: Dispatcher, pending: PendingRequest, number: int, *arguments: Any) -> bool:
        self._finish(pending, Failed())
        return attempt_finished(self, pending, number, *arguments)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        monkeypatch.setattr(Dispatcher, "attempt_finished", fail_first)
        connection.respond()
        assert client.read().startswith(b"HTTP/1.1 502")

    sidecar.run(script)
    assert sidecar.dispatcher.request_counts()["failed"] == 1


def retry_once(event: balancing.Event) -> list[balancing.Action]:
    """Send each request, once more where that failed, and then fail it."""
    if isinstance(event, balancing.Request):
        return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)]
    if isinstance(event, balancing.AttemptFinished) and not event.request_finished:
        if event.attempt:
            return [balancing.FailRequest(event.request_id)]
        return [balancing.SendAttempt(event.request_id, ENDPOINT_A, 5_000 * NS_PER_MS)]
    return []


@pytest.mark.parametrize(
    ("framing", "how"),
    # Nothing tells the ordinary end of a body without length or chunks from that of a whole one.
    [("length", "close"), ("length", "reset"), ("chunked", "close"), ("chunked", "reset"), ("until close", "reset")],
)
@pytest.mark.parametrize("position", [0, 1, 60_000])
def test_a_body_cut_within_its_buffered_beginning_is_no_answer(position: int, framing: str, how: str) -> None:
    """Told by its length it was passed on at once: its client got a reset, where another server had the answer."""
    sidecar = Sidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = retry_once
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        begun = body_of(0, position)
        if framing == "chunked":
            begun = b"%x\r\n%b" % (BODY_BYTES, begun)
        send(connection, HEADS[framing] + begun)
        leave(connection.sock, how)
        other = sidecar.server.accept()
        other.read_head()
        begin_stream(other, 1, framing)
        end_stream(other, 1, framing)
        assert read_answer(client).body() == body_of(1)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.RESET, balancing.AttemptResult.OK]


@pytest.mark.parametrize("framing", STREAMED)
def test_a_body_that_falls_silent_within_its_beginning_fails_by_the_deadline(framing: str) -> None:
    """Passed on at once, it held its client for 5 s of silence, whatever its deadline, and then reset it."""
    sidecar = Sidecar()

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read").replace(b"5.000", b"1.000"))
        connection = sidecar.server.accept()
        connection.read_head()
        begun = b"%x\r\nab" % BODY_BYTES if framing == "chunked" else b"ab"
        send(connection, HEADS[framing] + begun)
        assert client.read().startswith(b"HTTP/1.1 502")

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.TIMEOUT]


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_bytes_behind_a_streamed_body_go_to_nobody(framing: str) -> None:
    """Neither to this client nor, on a connection that is used again, to the next one."""
    sidecar = Sidecar()

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept()
        connection.read_head()
        begin_stream(connection, 0, framing)
        end_stream(connection, 0, framing)
        send(connection, b"b" * 100)
        assert read_answer(client).body() == body_of(0)
        assert connection.read_to_end() == b""

    sidecar.run(script)
    assert sidecar.upstream.open_connections == 0
