"""Where a response ends, ambiguous and truncated responses, and the cache of heads that all parsers share."""

from __future__ import annotations

import pytest

from lugtally.http1 import MAX_BODY_BYTES, Message, MessageParser, ProtocolError


def upstream_parser() -> MessageParser:
    """Return a parser with the options that upstream connections use."""
    return MessageParser(responses=True, max_body_bytes=1024 * 1024, streams=True)


def buffering_parser(max_body_bytes: int = 4 * 1024 * 1024) -> MessageParser:
    """Return a parser with the options that the discovery client uses."""
    return MessageParser(responses=True, max_body_bytes=max_body_bytes)


STREAMABLE_HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nX-Case: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "long": b"HTTP/1.1 200 OK\r\nX-Case: %%s\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
}


@pytest.mark.parametrize("head", STREAMABLE_HEADS.values(), ids=STREAMABLE_HEADS)
def test_head_first_parsed_by_buffering_parser_is_still_streamed(head: bytes) -> None:
    """Regression: with the head of a chunked endpoint list in the shared cache, parsers buffered the long responses of
    endpoints instead of streaming them, and rejected them as too large.
    """
    head %= b"buffered first"
    for _ in range(2):
        assert buffering_parser().feed(head) is None
        message = upstream_parser().feed(head)
        assert message is not None
        assert message.streamed


@pytest.mark.parametrize("head", STREAMABLE_HEADS.values(), ids=STREAMABLE_HEADS)
def test_head_first_streamed_is_still_buffered(head: bytes) -> None:
    head %= b"streamed first"
    for _ in range(2):
        message = upstream_parser().feed(head)
        assert message is not None
        assert message.streamed
        assert buffering_parser().feed(head) is None


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("framing", [b"Content-Length: 5", b"Transfer-Encoding: chunked"])
def test_bodiless_response_with_declared_body_closes_connection(status: bytes, framing: bytes) -> None:
    """Otherwise a body that follows nevertheless would be parsed as the next response."""
    for _ in range(2):
        parser = upstream_parser()
        message = parser.feed(b"HTTP/1.1 " + status + b"\r\n" + framing + b"\r\n\r\n")
        assert message is not None
        assert message.body == b""
        assert not message.keep_alive


def test_204_with_length_0_keeps_connection_alive() -> None:
    message = upstream_parser().feed(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
    assert message is not None
    assert message.keep_alive


AMBIGUOUS_FRAMINGS = {
    "both framings": b"Content-Length: 2\r\nTransfer-Encoding: chunked",
    "two lengths": b"Content-Length: 2\r\nContent-Length: 3",
    "one length twice": b"Content-Length: 2\r\nContent-Length: 2",
    "list of lengths": b"Content-Length: 2, 2",
    "signed length": b"Content-Length: +2",
    "hexadecimal length": b"Content-Length: 0x2",
    "no length": b"Content-Length: ",
    "space before the colon": b"Content-Length : 2",
    "folded line": b"X-A: b\r\n Content-Length: 2",
    "unknown encoding": b"Transfer-Encoding: gzip, chunked",
    "chunked twice": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "identity": b"Transfer-Encoding: identity",
}


@pytest.mark.parametrize("lines", AMBIGUOUS_FRAMINGS.values(), ids=AMBIGUOUS_FRAMINGS)
def test_ambiguous_head_is_rejected(lines: bytes) -> None:
    for create_parser in (upstream_parser, buffering_parser):
        with pytest.raises(ProtocolError):
            create_parser().feed(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n\r\n2\r\nok\r\n0\r\n\r\n")


COMPLETE_RESPONSES = {
    "length": b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
    "chunks": b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nbu\r\n2\r\nsy\r\n0\r\nT: v\r\n\r\n",
    "interim before": b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
}


@pytest.mark.parametrize("data", COMPLETE_RESPONSES.values(), ids=COMPLETE_RESPONSES)
def test_truncated_response_is_not_returned(data: bytes) -> None:
    for end in range(len(data)):
        parser = upstream_parser()
        assert parser.feed(data[:end]) is None
        assert parser.end_of_input() is None, f"the response was truncated after {end} bytes and accepted"
    message = upstream_parser().feed(data)
    assert message is not None
    assert message.body == b"busy"


@pytest.mark.parametrize("data", COMPLETE_RESPONSES.values(), ids=COMPLETE_RESPONSES)
@pytest.mark.parametrize("following", [b"x", b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n", COMPLETE_RESPONSES["length"]])
def test_parser_is_not_idle_with_bytes_after_a_response(data: bytes, following: bytes) -> None:
    parser = upstream_parser()
    message = parser.feed(data + following)
    assert message is not None
    assert message.body == b"busy"
    assert not parser.is_idle


def test_interim_responses_are_skipped_up_to_a_limit() -> None:
    interim, final = b"HTTP/1.1 100 Continue\r\n\r\n", COMPLETE_RESPONSES["length"]
    message = upstream_parser().feed(interim * 16 + final)
    assert isinstance(message, Message)
    assert message.status == 503
    for data in (interim * 17, b"HTTP/1.1 101 Switching Protocols\r\n\r\n"):
        with pytest.raises(ProtocolError):
            upstream_parser().feed(data + final)


def test_body_without_length_is_complete_at_end_of_input() -> None:
    parser = upstream_parser()
    assert parser.feed(b"HTTP/1.1 503 Busy\r\n\r\nbu") is None
    assert parser.feed(b"sy") is None
    message = parser.end_of_input()
    assert message is not None
    assert message.body == b"busy"
    assert not message.keep_alive
