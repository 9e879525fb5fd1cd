"""HTTP/1.1 for the endpoints and clients of a sidecar: heads, chunks, and a parser of responses."""

from __future__ import annotations

from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"


class MalformedResponseError(ValueError):
    """A client read bytes that are not an HTTP response."""


@dataclass(slots=True)
class Head:
    """A start line and the headers after it, by lower-case name."""

    start_line: str
    headers: dict[str, str]


def parse_head(data: bytes) -> Head:
    """Return the parsed head; ``data`` excludes the empty line that ends it."""
    start_line, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(start_line, headers)


@dataclass(slots=True)
class ParsedResponse:
    """A response that a client received, complete or truncated."""

    status: int
    body: bytes
    is_complete: bool
    closes: bool
    """Whether it has ``Connection: close``."""


class ResponseReader:
    """Parses the responses on one connection and skips interim (1xx) responses."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head: Head | None = None
        self._status = 0
        self._body = bytearray()

    def feed(self, data: bytes) -> list[ParsedResponse]:
        """Add received bytes; return the responses that they complete.

        Raises:
            MalformedResponseError: the bytes are not a response.
        """
        self._buffer += data
        responses = []
        while (response := self._next()) is not None:
            if response.status >= 200:
                responses.append(response)
        return responses

    def end(self, was_reset: bool) -> ParsedResponse | None:
        """Handle the end of the connection; return the response that it ended or truncated, if any."""
        if self._head is None:
            return ParsedResponse(0, bytes(self._buffer), False, True) if self._buffer else None
        until_close = not {"content-length", "transfer-encoding"} & self._head.headers.keys()
        is_chunked = "transfer-encoding" in self._head.headers
        self._body += self._buffer.partition(b"\r\n")[2] if is_chunked else self._buffer
        return ParsedResponse(self._status, bytes(self._body), until_close and not was_reset, True)

    def _next(self) -> ParsedResponse | None:
        if self._head is None and not self._read_head():
            return None
        assert self._head is not None
        if not self._read_body(self._head):
            return None
        closes = self._head.headers.get("connection", "").lower() == "close"
        response = ParsedResponse(self._status, bytes(self._body), True, closes)
        self._head = None
        self._body.clear()
        return response

    def _read_head(self) -> bool:
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return False
        head = parse_head(bytes(self._buffer[:end]))
        fields = head.start_line.split(" ")
        if fields[0] != "HTTP/1.1" or len(fields) < 2 or not fields[1].isdecimal():
            raise MalformedResponseError(head.start_line[:80])
        del self._buffer[: end + len(HEAD_END)]
        self._head, self._status = head, int(fields[1])
        return True

    def _read_body(self, head: Head) -> bool:
        if self._status < 200:
            return True
        if "transfer-encoding" in head.headers:
            return self._read_chunks()
        if (length := head.headers.get("content-length")) is None:
            return False  # the body ends with the connection
        missing = int(length) - len(self._body)
        self._body += self._buffer[:missing]
        del self._buffer[:missing]
        return len(self._body) == int(length)

    def _read_chunks(self) -> bool:
        while (line_end := self._buffer.find(b"\r\n")) >= 0:
            size = int(bytes(self._buffer[:line_end]), 16)
            chunk_end = line_end + 2 + size + 2
            if len(self._buffer) < chunk_end:
                return False
            self._body += self._buffer[line_end + 2 : chunk_end - 2]
            del self._buffer[:chunk_end]
            if size == 0:
                return True
        return False


def serialize_head(start_line: str, headers: dict[str, str]) -> bytes:
    """Return a head, including the empty line that ends it."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + HEAD_END


def serialize_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; the empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
