"""The end of a streamed body, which must be found however the received bytes are split."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config.balancing_settings import read_settings
from lugtally.http1 import BodyFraming, ProtocolError
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.sidecar_program import SETTINGS


def encode_chunked(pieces: list[bytes], trailer: bytes = b"") -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces if piece) + b"0\r\n" + trailer + b"\r\n"


def feed_in_pieces(framing: BodyFraming, data: bytes, ends: list[int]) -> int:
    """Feed the bytes in pieces that end at the positions ``ends``; return how many of them belong to the body."""
    body_bytes, start = 0, 0
    for end in [*sorted({min(end, len(data)) for end in ends}), len(data)]:
        if framing.done:
            break
        piece = data[start:end]
        count = framing.feed(piece)
        assert count == len(piece) or framing.done
        body_bytes += count
        start = end
    return body_bytes


@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=8),
    st.lists(st.integers(0, 3000), max_size=10),
    st.binary(max_size=40),
)
def test_chunked_body_ends_after_last_chunk_for_any_split(
    pieces: list[bytes], ends: list[int], following: bytes
) -> None:
    body = encode_chunked(pieces, b"X-Sum: 1\r\n")
    framing = BodyFraming(chunked=True)
    assert feed_in_pieces(framing, body + following, ends) == len(body)
    assert framing.done


@given(st.integers(0, 5000), st.lists(st.integers(0, 6000), max_size=10))
def test_body_with_length_ends_after_its_last_byte(length: int, ends: list[int]) -> None:
    framing = BodyFraming(length=length)
    assert feed_in_pieces(framing, b"x" * length + b"next", ends) == length
    assert framing.done


def test_body_without_length_ends_with_the_connection() -> None:
    framing = BodyFraming()
    assert framing.until_close
    assert framing.feed(b"abc") == 3
    assert not framing.done


@pytest.mark.parametrize(
    "data",
    [b"zz\r\n", b"3\r\nabcd\r\n", b"1" * 300, b"3\nabc\r\n"],
    ids=["no size", "chunk beyond its size", "endless size", "bare line feed"],
)
def test_malformed_chunks_are_rejected(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        BodyFraming(chunked=True).feed(data)


def test_streamed_attempt_is_not_in_flight_after_its_first_byte() -> None:
    """Regression: long responses to slow clients used up the endpoints' capacity; 40% of requests were rejected."""
    balancer = Balancer(read_settings(SETTINGS), 1)
    balancer.handle(0, balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, [balancing.Endpoint(7)]))
    attempts = [
        action
        for action in balancer.handle(1, balancing.Request("r", 0, 0, 2 * NS_PER_S))
        if isinstance(action, balancing.SendAttempt)
    ]
    assert [attempt.endpoint_id for attempt in attempts] == [7]
    endpoint = balancer.endpoints.by_id[7]
    assert len(endpoint.in_flight) == 1
    balancer.handle(5 * NS_PER_MS, balancing.ResponseStarted("r", 0, 7))
    assert not endpoint.in_flight
    assert not balancer.attempts
    assert "r" in balancer.requests
    later = balancer.handle(
        9 * NS_PER_S, balancing.AttemptFinished("r", 0, 7, balancing.AttemptResult.OK, True, 9 * NS_PER_S, None)
    )
    assert "r" not in balancer.requests
    assert not any(isinstance(action, balancing.SendAttempt) for action in later)
