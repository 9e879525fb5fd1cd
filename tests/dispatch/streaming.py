"""Helpers for tests of streamed responses: endpoints that send them, clients that read them, hedged requests."""

from __future__ import annotations

import re
import socket
from contextlib import suppress
from dataclasses import dataclass

from lugtally import balancing
from lugtally.eventloop import READABLE, WakeReason
from tests.fakes import ENDPOINT_A, MAX_WAIT_NS, PeerConnection, Sidecar, disconnect, request

BODY_BYTES = 100_000
STREAMED_PREFIX_BYTES = 70_000
"""The size of the part of a body that is sent first: more than the sidecar buffers before it streams a response."""
FRAMINGS = ("length", "chunked", "until close")
"""The ways in which the end of a body is marked."""
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\n\r\n",
}
BUFFERED_LENGTH_HEADER = b"Content-Length: 10\r\n"
"""The header that distinguishes a buffered response from a streamed one."""


def body_of(attempt: int, size: int = BODY_BYTES) -> bytes:
    """Return the body that an attempt's endpoint sends.  The two attempts of a request have no byte in common."""
    return b"ab"[attempt : attempt + 1] * size


@dataclass(slots=True)
class ReceivedResponse:
    """What a client has read from its connection, and whether the connection was reset."""

    data: bytes
    was_reset: bool

    def body(self) -> bytes:
        """Return the body; fail if the response is truncated or is followed by another one."""
        assert not self.was_reset, f"a reset after {len(self.data)} bytes"
        head, _, body = self.data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        if b"Transfer-Encoding: chunked" in head:
            assert body.endswith(b"\r\n0\r\n\r\n"), "the chunked body has no end"
            return re.sub(rb"[0-9a-f]+\r\n([ab]*)\r\n", rb"\1", body).removesuffix(b"\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        assert length is None or int(length[1]) == len(body)
        return body


def read_response(client: PeerConnection, min_bytes: int = 0) -> ReceivedResponse:
    """Read until the connection ends or, if ``min_bytes`` is not 0, until that many bytes were received."""
    data = b""
    while not min_bytes or len(data) < min_bytes:
        reason = client.loop.wait(client.sock.fileno(), READABLE, client.loop.now() + MAX_WAIT_NS)
        assert reason is WakeReason.READY, "no bytes arrived"
        try:
            chunk = client.sock.recv(65536)
        except ConnectionResetError:
            return ReceivedResponse(data, True)
        if not chunk:
            return ReceivedResponse(data, False)
        data += chunk
    return ReceivedResponse(data, False)


def read_remaining(client: PeerConnection, received: bytes) -> ReceivedResponse:
    """Read until the connection ends; return the complete response, which begins with ``received``."""
    if BUFFERED_LENGTH_HEADER in received:
        client.sock.shutdown(socket.SHUT_WR)  # a buffered response leaves the connection open
    rest = read_response(client)
    return ReceivedResponse(received + rest.data, rest.was_reset)


def send_unless_closed(connection: PeerConnection, data: bytes) -> None:
    """Write to the sidecar, and ignore the error if it has closed the connection."""
    with suppress(BrokenPipeError, ConnectionResetError):
        connection.send(data)


def start_stream(connection: PeerConnection, attempt: int, framing: str) -> None:
    """Send the head and the first part of a long body."""
    prefix = body_of(attempt, STREAMED_PREFIX_BYTES)
    if framing == "chunked":
        prefix = b"%x\r\n%b\r\n" % (STREAMED_PREFIX_BYTES, prefix)
    send_unless_closed(connection, HEADS[framing] + prefix)


def finish_stream(connection: PeerConnection, attempt: int, framing: str) -> None:
    """Send the rest of a body that ``start_stream`` has begun."""
    rest = body_of(attempt, BODY_BYTES - STREAMED_PREFIX_BYTES)
    if framing == "chunked":
        rest = b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest)
    send_unless_closed(connection, rest)
    if framing == "until close":
        with suppress(OSError):  # the sidecar may have closed the connection
            connection.sock.shutdown(socket.SHUT_WR)


def truncate_stream(connection: PeerConnection, framing: str) -> None:
    """End the connection within the body: with a reset if a close would mark the end of the body, else with a close."""
    disconnect(connection.sock, "reset" if framing == "until close" else "close")


def hedge_each_request(event: balancing.Event) -> list[balancing.Action]:
    """Start two attempts of each request together; fail the request if the second one ends and neither was served."""
    if isinstance(event, balancing.Request):
        return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)] * 2
    if isinstance(event, balancing.AttemptFinished) and event.attempt == 1 and not event.request_finished:
        return [balancing.FailRequest(event.request_id)]
    return []


@dataclass(slots=True)
class HedgedRequest:
    """A client's request with two attempts in flight, both of which have been written to their connections."""

    sidecar: Sidecar
    client: PeerConnection
    connections: list[PeerConnection]
    framing: str
    received: bytes = b""

    def start_stream(self, attempt: int) -> None:
        """Start the attempt's stream and wait until the client has received its first part."""
        self.send_stream_start(attempt)
        self.received = read_response(self.client, STREAMED_PREFIX_BYTES).data

    def send_stream_start(self, attempt: int) -> None:
        """Start the attempt's stream without waiting for the client to receive any of it."""
        start_stream(self.connections[attempt], attempt, self.framing)

    def finish_stream(self, attempt: int) -> None:
        """Send the rest of a stream."""
        finish_stream(self.connections[attempt], attempt, self.framing)

    def truncate_stream(self, attempt: int) -> None:
        """End the connection of a stream within the body."""
        truncate_stream(self.connections[attempt], self.framing)

    def respond(self, attempt: int, status: str = "200 OK") -> None:
        """Send a short response, which the sidecar buffers."""
        head = b"HTTP/1.1 %b\r\n%b\r\n" % (status.encode(), BUFFERED_LENGTH_HEADER)
        send_unless_closed(self.connections[attempt], head + body_of(attempt, 10))

    def wait_for_finished_attempts(self, count: int = 1) -> None:
        """Wait until that many attempts have finished."""
        self.sidecar.wait_until(lambda: len(self.sidecar.balancer.attempt_results()) >= count)

    def response(self) -> ReceivedResponse:
        """Read the rest of the response from the client's connection; return the complete response."""
        received = self.received or read_response(self.client, 1).data
        return read_remaining(self.client, received)


def start_hedged_request(sidecar: Sidecar, framing: str = "length") -> HedgedRequest:
    """Send a request and wait until both of its attempts have been written."""
    address = sidecar.listen_with_one_endpoint()
    sidecar.balancer.decide = hedge_each_request
    client = sidecar.client(address)
    client.send(request("read"))
    connections = [sidecar.server.accept(), sidecar.server.accept()]
    for connection in connections:
        connection.read_head()
    return HedgedRequest(sidecar, client, connections, framing)
