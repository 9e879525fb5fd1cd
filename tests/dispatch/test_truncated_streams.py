"""Long responses that are truncated or stall before they are streamed, or that are followed by further bytes."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.units import NS_PER_MS
from lugtally.upstream import streaming
from tests.dispatch.streaming import (
    BODY_BYTES,
    HEADS,
    ReceivedResponse,
    body_of,
    finish_stream,
    read_response,
    send_unless_closed,
    start_stream,
)
from tests.fakes import ENDPOINT_A, Sidecar, disconnect, request


def send_with_one_retry(event: balancing.Event) -> list[balancing.Action]:
    """Send each request; retry it once if its attempt was not served, and fail it if the retry was not served."""
    if isinstance(event, balancing.Request):
        return [balancing.SendAttempt(event.id, ENDPOINT_A, event.time_left_ns)]
    if isinstance(event, balancing.AttemptFinished) and not event.request_finished:
        if event.attempt:
            return [balancing.FailRequest(event.request_id)]
        return [balancing.SendAttempt(event.request_id, ENDPOINT_A, 5_000 * NS_PER_MS)]
    return []


@pytest.mark.parametrize(
    ("framing", "how"),
    # A body without a length or chunks that is truncated by a close would look complete.
    [("length", "close"), ("length", "reset"), ("chunked", "close"), ("chunked", "reset"), ("until close", "reset")],
)
@pytest.mark.parametrize("body_bytes", [0, 1, 60_000])
def test_body_truncated_while_buffered_is_retried(body_bytes: int, framing: str, how: str, sidecar: Sidecar) -> None:
    """No byte of the body has been sent to the client, so that another attempt can serve the request."""

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.balancer.decide = send_with_one_retry
        client = sidecar.client(address)
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        prefix = body_of(0, body_bytes)
        if framing == "chunked":
            prefix = b"%x\r\n%b" % (BODY_BYTES, prefix)
        send_unless_closed(connection, HEADS[framing] + prefix)
        disconnect(connection.sock, how)
        retry = sidecar.server.accept_request()
        start_stream(retry, 1, framing)
        finish_stream(retry, 1, framing)
        assert read_response(client).body() == body_of(1)

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.RESET, balancing.AttemptResult.OK]


@pytest.mark.parametrize("framing", ["chunked", "until close"])
def test_body_stalled_while_buffered_fails_at_deadline(framing: str, sidecar: Sidecar) -> None:
    """The deadline of the request ends the attempt, and the client receives a response with status 502."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", time_left_s=1.0))
        connection = sidecar.server.accept_request()
        prefix = b"%x\r\nab" % BODY_BYTES if framing == "chunked" else b"ab"
        send_unless_closed(connection, HEADS[framing] + prefix)
        assert client.read().startswith(b"HTTP/1.1 502")

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.TIMEOUT]


@pytest.mark.parametrize("continues", [True, False])
def test_stalled_body_with_length_starts_in_time(
    continues: bool, sidecar: Sidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a long response that is cut off at its deadline because its endpoint pauses.

    If the endpoint never continues, the client sees a reset and not the end of the response.
    """
    monkeypatch.setattr(streaming, "STREAM_IDLE_TIMEOUT_NS", 1_500 * NS_PER_MS)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read", time_left_s=1.0))
        connection = sidecar.server.accept_request()
        sent_ns = sidecar.loop.now()
        send_unless_closed(connection, HEADS["length"] + body_of(0, 2))
        prefix = client.read()
        assert prefix.startswith(b"HTTP/1.1 200")
        assert sidecar.loop.now() - sent_ns <= 1_050 * NS_PER_MS
        sidecar.loop.sleep(1_200 * NS_PER_MS)
        if continues:
            send_unless_closed(connection, body_of(0, BODY_BYTES - 2))
            while len(prefix.partition(b"\r\n\r\n")[2]) < BODY_BYTES:
                prefix += client.read()
            assert ReceivedResponse(prefix, was_reset=False).body() == body_of(0)
        else:
            assert read_response(client).was_reset

    sidecar.run(script)
    expected = balancing.AttemptResult.OK if continues else balancing.AttemptResult.TIMEOUT
    assert sidecar.balancer.attempt_results() == [expected]


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_bytes_after_streamed_body_are_discarded(framing: str, sidecar: Sidecar) -> None:
    """The client does not receive them, and the upstream connection is closed, so that no other request does."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        start_stream(connection, 0, framing)
        finish_stream(connection, 0, framing)
        send_unless_closed(connection, b"b" * 100)
        assert read_response(client).body() == body_of(0)
        assert connection.read_to_end() == b""

    sidecar.run(script)
    assert sidecar.upstream.open_connections == 0
