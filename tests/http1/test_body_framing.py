"""Where a streamed body ends, whatever pieces it comes in."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugtally.http1 import BodyFraming, ProtocolError
from lugtally.units import NS_PER_MS, NS_PER_S


def chunked(parts: list[bytes], trailer: bytes = b"") -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts if p) + b"0\r\n" + trailer + b"\r\n"


def fed(frame: BodyFraming, data: bytes, cuts: list[int]) -> int:
    """Feed the bytes in pieces; how many were the body's."""
    taken, at = 0, 0
    for cut in sorted({min(c, len(data)) for c in cuts}) + [len(data)]:
        if frame.done:
            break
        piece = data[at:cut]
        got = frame.feed(piece)
        assert got == len(piece) or frame.done
        taken += got
        at = cut
    return taken


@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=8),
    st.lists(st.integers(0, 3000), max_size=10),
    st.binary(max_size=40),
)
def test_a_chunked_body_ends_where_its_last_chunk_does_in_any_pieces(
    parts: list[bytes], cuts: list[int], behind: bytes
) -> None:
    body = chunked(parts, b"X-Sum: 1\r\n")
    frame = BodyFraming(chunked=True)
    assert fed(frame, body + behind, cuts) == len(body) and frame.done


@given(st.integers(0, 5000), st.lists(st.integers(0, 6000), max_size=10))
def test_a_body_of_told_length_ends_there(length: int, cuts: list[int]) -> None:
    frame = BodyFraming(length=length)
    assert fed(frame, b"x" * length + b"next", cuts) == length and frame.done


def test_a_body_without_length_ends_with_the_connection() -> None:
    frame = BodyFraming()
    assert frame.until_close and frame.feed(b"abc") == 3 and not frame.done


@pytest.mark.parametrize("data", [b"zz\r\n", b"3\r\nabcd\r\n", b"1" * 300, b"3\nabc\r\n"])
def test_malformed_chunks_are_refused(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        BodyFraming(chunked=True).feed(data)


def test_a_streamed_attempt_no_longer_weighs_on_its_server_after_its_first_byte() -> None:
    """Seen on long answers to slow clients: streams held the servers' slots and 40% were refused."""
    from lugtally import balancing
    from lugtally.balancing.balancer import Balancer
    from lugtally.config.balancing_settings import read_settings
    from tests.integration.player import SETTINGS

    module = Balancer(read_settings(SETTINGS), 1)
    module.handle(0, balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, [balancing.Endpoint(7)]))
    sends = [
        a for a in module.handle(1, balancing.Request("r", 0, 0, 2 * NS_PER_S)) if isinstance(a, balancing.SendAttempt)
    ]
    assert [s.endpoint_id for s in sends] == [7]
    peer = module.state.endpoints[7]
    assert len(peer.in_flight) == 1
    module.handle(5 * NS_PER_MS, balancing.ResponseStarted("r", 0, 7))
    assert not peer.in_flight and not module.state.attempts and "r" in module.state.requests
    later = module.handle(
        9 * NS_PER_S, balancing.AttemptFinished("r", 0, 7, balancing.AttemptResult.OK, True, 9 * NS_PER_S, None)
    )
    assert "r" not in module.state.requests and not any(isinstance(a, balancing.SendAttempt) for a in later)
