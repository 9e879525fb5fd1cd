"""Parses the start line and the headers of one message, and the length of the body that they declare.

Ambiguous heads are rejected: if two parties disagree on where a body ends, one request can be hidden in another
(request smuggling).
"""

from __future__ import annotations

import re

from lugtally.http1.errors import ProtocolError
from lugtally.http1.limits import MAX_HEADER_FIELDS
from lugtally.http1.message import Headers, Message, split_connection_options

CHUNKED = -2
"""Special value in place of a body length: the body is chunked."""
UNTIL_CLOSE = -1
"""Special value in place of a body length: none is declared.  The body of a response then ends with the connection."""

_REQUEST_LINE = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?")
# One match covers all header lines of a head, which is faster than one match per line.
_HEADER_LINES = re.compile(rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*)*")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,10}")
# If one of these headers is repeated, all of its lines count: the first must not hide the others.
_FRAMING_HEADERS = frozenset({"connection", "transfer-encoding", "content-length"})


def parse_head(buffer: bytearray, end: int, responses: bool) -> Message:
    """Parse the head that ends at ``end``, and remove it and the empty line after it from the buffer.

    Raises:
        ProtocolError: The head is malformed or has too many fields.
    """
    if buffer.count(b"\r\n", 0, end) > MAX_HEADER_FIELDS:
        raise ProtocolError(431, "the head has too many fields")
    headers_valid = _HEADER_LINES.fullmatch(buffer, buffer.find(b"\r\n"), end) is not None
    lines = buffer[:end].decode("latin-1").split("\r\n")
    del buffer[: end + 4]
    message = _parse_status_line(lines[0]) if responses else _parse_request_line(lines[0])
    if not headers_valid:
        raise ProtocolError(400, "a header is malformed")
    message.head_bytes = end
    header_map = message.header_map
    _add_headers(message.headers, header_map, lines)
    if (connection := header_map.get("connection")) is not None:
        options = split_connection_options(connection)
        # Until here, keep_alive is the default of the HTTP version.
        message.keep_alive = "close" not in options if message.keep_alive else "keep-alive" in options
    message.expects_continue = header_map.get("expect", "").lower() == "100-continue"
    return message


def declared_body_length(header_map: dict[str, str]) -> int:
    """Return the body length in bytes that the headers declare, ``CHUNKED`` or ``UNTIL_CLOSE``.

    Raises:
        ProtocolError: The headers are contradictory or malformed.
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


def _add_headers(headers: Headers, header_map: dict[str, str], lines: list[str]) -> None:
    """Add the header lines, which follow the start line and have been validated."""
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
