"""Limits of input that completes no message: empty lines, trailers and chunk extensions."""

from __future__ import annotations

import pytest

from lugtally.http1 import BodyFraming, Message, MessageParser, ProtocolError
from lugtally.http1.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_TRAILER_BYTES

HEAD = b"POST /read HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 1000
ENDLESS_INPUT = 10_000_000
"""How many bytes the tests send of input that must fail before its end."""


def feed_all(parser: MessageParser, data: bytes) -> Message | None:
    """Feed the bytes in pieces, and return the message that they complete."""
    message = None
    for start in range(0, len(data), READ_BYTES):
        message = parser.feed(data[start : start + READ_BYTES])
    return message


@pytest.mark.parametrize(
    ("start", "repeated", "status"),
    [(b"", b"\r\n", 431), (HEAD + b"0\r\n", b"X-More: 1\r\n", 431), (HEAD, b"1;%b\r\nx\r\n" % (b"e" * 200), 400)],
    ids=["empty lines", "trailers", "chunk extensions"],
)
def test_endless_input_without_request_fails(start: bytes, repeated: bytes, status: int) -> None:
    """Regression: these bytes were parsed without limit, and completed no request."""
    with pytest.raises(ProtocolError) as caught:
        feed_all(MessageParser(responses=False), start + repeated * (ENDLESS_INPUT // len(repeated)))
    assert caught.value.status == status


@pytest.mark.parametrize(
    ("start", "repeated"),
    [(b"0\r\n", b"X-More: 1\r\n"), (b"", b"1;%b\r\nx\r\n" % (b"e" * 200))],
    ids=["trailers", "chunk extensions"],
)
def test_endless_framing_of_streamed_body_fails(start: bytes, repeated: bytes) -> None:
    framing = BodyFraming(chunked=True)
    framing.feed(start)

    def feed_repeated() -> None:
        for _ in range(ENDLESS_INPUT // len(repeated)):
            framing.feed(repeated)

    with pytest.raises(ProtocolError):
        feed_repeated()


@pytest.mark.parametrize("line_count", [0, 1, MAX_HEAD_BYTES // 4])
def test_request_after_empty_lines_is_read(line_count: int) -> None:
    parser = MessageParser(responses=False)
    for _ in range(3):  # the lines before each request count separately
        message = feed_all(parser, b"\r\n" * line_count + b"GET /read HTTP/1.1\r\n\r\n")
        assert message is not None
        assert message.target == "/read"


def test_trailers_up_to_the_limit_are_accepted() -> None:
    trailers = b"X-More: 1234\r\n" * (MAX_TRAILER_BYTES // len(b"X-More: 1234\r\n"))
    message = feed_all(MessageParser(responses=False), HEAD + b"2\r\nok\r\n0\r\n" + trailers + b"\r\n")
    assert message is not None
    assert message.body == b"ok"


@pytest.mark.parametrize("size_line", [b"1", b"01", b"1;name=value"])
def test_longest_body_in_smallest_chunks_is_accepted(size_line: bytes) -> None:
    chunks = b"".join(b"%b\r\n%c\r\n" % (size_line, byte % 256) for byte in range(MAX_BODY_BYTES))
    message = feed_all(MessageParser(responses=False), HEAD + chunks + b"0\r\n\r\n")
    assert message is not None
    assert message.body == bytes(byte % 256 for byte in range(MAX_BODY_BYTES))


@pytest.mark.parametrize(
    ("chunks", "status"),
    [(b"1\r\nxy\r\n", 400), (b"x\r\n", 400), (b"1;a\nb\r\nx\r\n", 400), (b"fffff\r\n", 413), (b"1" + b";" * 300, 400)],
)
@pytest.mark.parametrize("complete_chunks", [0, 1, 5000])
def test_malformed_chunk_after_complete_ones_fails(complete_chunks: int, chunks: bytes, status: int) -> None:
    with pytest.raises(ProtocolError) as caught:
        feed_all(MessageParser(responses=False), HEAD + b"1\r\nx\r\n" * complete_chunks + chunks)
    assert caught.value.status == status
