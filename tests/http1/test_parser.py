"""The parser: compared with an oracle that parses one header line at a time, and fed with input split at any byte."""

from __future__ import annotations

import re

import pytest
from hypothesis import example, given, settings
from hypothesis import seed as hypothesis_seed
from hypothesis import strategies as st

from lugtally.http1 import Message, MessageParser, ProtocolError
from lugtally.http1.message import Headers

HYPOTHESIS_SEED = 1  # fixed: by default the examples change whenever the source of a test does

HEADER_LINE = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*", re.S)
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
REQUEST_LINE = b"GET /campaign-read HTTP/1.1"


def parse_line_by_line(lines: list[bytes]) -> Headers | None:
    """Return the names and values of the header lines, or ``None`` if one is malformed: the oracle."""
    headers = []
    for line in lines:
        match = HEADER_LINE.fullmatch(line.decode("latin-1"))
        if match is None or CONTROL_CHARACTER.search(match[2]):
            return None
        headers.append((match[1], match[2]))
    return headers


LINE_PIECES = st.sampled_from(
    [b"X-A", b"x-b", b":", b": ", b" ", b"\t", b"v", b"\xe9", b"\x00", b"\r", b"\n", b"\x7f", b"=,;", b"(", b""]
)
HEADER_LINES = st.lists(st.lists(LINE_PIECES, max_size=6).map(b"".join), max_size=5)


@hypothesis_seed(HYPOTHESIS_SEED)
@settings(max_examples=400, deadline=None, derandomize=True)
@given(HEADER_LINES)
@example([b"X-A: v", b" folded: v"])
@example([b"X-A:\tv \t", b"X-B:"])
@example([b"X-A: a\nX-B: b"])
@example([b"X A: v"])
@example([b""])
def test_header_lines_match_the_line_by_line_oracle(lines: list[bytes]) -> None:
    """The parser matches all lines with one expression; it must accept the same lines as the oracle."""
    data = b"\r\n".join([REQUEST_LINE, *lines]) + b"\r\n\r\n"
    if data.index(b"\r\n\r\n") < len(data) - 4 or b"\r\n" in b"|".join(lines) or b"\n\n" in data:
        return  # the generated lines contain a line end: the head would end early, or have other lines
    expected = parse_line_by_line(lines)
    if expected is None:
        with pytest.raises(ProtocolError) as caught:
            MessageParser(responses=False).feed(data)
        assert caught.value.status == 400
    else:
        message = MessageParser(responses=False).feed(data)
        assert message is not None
        assert expected == message.headers


@pytest.mark.parametrize(
    "data",
    [
        b"POST /pledge-record HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 5\r\n\r\nhelloGET /x HTTP/1.1\r\n\r\n",
        b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: v\r\n\r\n"
        b"GET /y HTTP/1.0\r\n\r\n",
    ],
    ids=["content length", "chunked"],
)
def test_split_at_any_byte_gives_the_same_messages(data: bytes) -> None:
    def parse(*pieces: bytes) -> list[Message]:
        parser = MessageParser(responses=False)
        parsed: list[Message] = []
        for piece in pieces:
            message = parser.feed(piece)
            while message is not None:
                parsed.append(message)
                message = parser.feed(b"")
        assert parser.is_idle
        return parsed

    expected = parse(data)
    assert len(expected) == 2
    assert expected[0].body in (b"hello", b"abcde")
    assert all(parse(data[:index], data[index:]) == expected for index in range(len(data) + 1))


def test_cached_head_is_checked_against_the_limit_of_each_parser() -> None:
    head = b"HTTP/1.1 200 OK\r\nX-Marked: 1\r\nContent-Length: 100\r\n\r\n"
    message = None
    for _ in range(3):
        message = MessageParser(responses=True).feed(head + b"x" * 100)
        assert message is not None
        assert message.header_map["x-marked"] == "1"
        assert len(message.body) == 100
        with pytest.raises(ProtocolError):
            MessageParser(responses=True, max_body_bytes=99).feed(head)
        interim = MessageParser(responses=True).feed(b"HTTP/1.1 100 Continue\r\n\r\n" + head + b"y" * 100)
        assert interim is not None
        assert interim.status == 200
        assert interim.body[:1] == b"y"
    assert message is not None
    message.keep_alive = False
    later_message = MessageParser(responses=True).feed(head + b"x" * 100)
    assert later_message is not None
    assert later_message.keep_alive, "a change of one message changed the cached head"
