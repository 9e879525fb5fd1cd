"""Long responses that are truncated before they are streamed, or that are followed by further bytes."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.units import NS_PER_MS
from tests.dispatch.streaming import (
    BODY_BYTES,
    HEADS,
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
