"""Start line and headers of one message, and the length of the body that they declare.

It is strict where two readings are possible: a body that two sides delimit differently lets one request hide inside
another.
"""

from __future__ import annotations

import re

from lugtally.http1.errors import ProtocolError
from lugtally.http1.message import Message, split_connection_options

CHUNKED = -2
"""In the place of a body's length: the body is chunked."""
UNTIL_CLOSE = -1
"""In the place of a body's length: none is declared, so in a response the end of the connection ends the body."""

_REQUEST_LINE = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?")
# All header lines of a head in one match: cheaper than a match for each line.
_HEADER_LINES = re.compile(rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*)*")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,10}")
# Headers of which each line counts: the first of a repeated one must not hide the rest.
_FRAMING_HEADERS = frozenset({"connection", "transfer-encoding", "content-length"})


def parse_head(buffer: bytearray, end: int, responses: bool) -> Message:
    """Parse the head that ends at ``end``, and remove it and its empty line from the buffer.

    Raises:
        ProtocolError: the head is malformed.
    """
    headers_valid = _HEADER_LINES.fullmatch(buffer, buffer.find(b"\r\n"), end) is not None
    lines = buffer[:end].decode("latin-1").split("\r\n")
    del buffer[: end + 4]
    message = _parse_status_line(lines[0]) if responses else _parse_request_line(lines[0])
    if not headers_valid:
        raise ProtocolError(400, "a header is malformed")
    header_map = message.header_map
    _add_headers(message.headers, header_map, lines)
    if (connection := header_map.get("connection")) is not None:
        options = split_connection_options(connection)
        # Until here, keep_alive is the default of the message's version.
        message.keep_alive = "close" not in options if message.keep_alive else "keep-alive" in options
    message.expects_continue = header_map.get("expect", "").lower() == "100-continue"
    return message


def declared_body_length(header_map: dict[str, str]) -> int:
    """Return the body's length in bytes by its headers, or ``CHUNKED`` or ``UNTIL_CLOSE``.

    Raises:
        ProtocolError: the headers contradict each other or cannot be read.
    """
    length, encoding = header_map.get("content-length"), header_map.get("transfer-encoding")
    if encoding is not None:
        if length is not None:
            raise ProtocolError(400, "both Content-Length and Transfer-Encoding")
        if encoding.lower() != "chunked":
            raise ProtocolError(400, "an unknown Transfer-Encoding")
        return CHUNKED
    if length is None:
        return UNTIL_CLOSE
    if _CONTENT_LENGTH.fullmatch(length) is None:
        raise ProtocolError(400, "Content-Length is no number")
    return int(length)


def _parse_request_line(line: str) -> Message:
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise ProtocolError(400, "the first line is malformed")
    return Message(method=match[1], target=match[2], minor_version=int(match[3]), keep_alive=match[3] != "0")


def _parse_status_line(line: str) -> Message:
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise ProtocolError(400, "the first line is malformed")
    return Message(status=int(match[2]), keep_alive=match[1] != "0")


def _add_headers(headers: list[tuple[str, str]], header_map: dict[str, str], lines: list[str]) -> None:
    """Add the header lines, all after the first line, which have been checked."""
    for line in lines[1:]:
        name, _, value = line.partition(":")
        value = value.strip(" \t")
        headers.append((name, value))
        lower_name = name.lower()
        if lower_name not in header_map:
            header_map[lower_name] = value
        elif lower_name in _FRAMING_HEADERS:
            if lower_name == "content-length":
                raise ProtocolError(400, "Content-Length is repeated")
            header_map[lower_name] += "," + value
