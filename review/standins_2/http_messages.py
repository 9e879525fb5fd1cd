"""Reads HTTP/1.1 messages from an asyncio stream, with each form of body that the protocol page allows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class TruncatedMessageError(Exception):
    """The connection ended inside a message; ``received`` are the bytes of the body until then."""

    def __init__(self, reason: str, received: bytes = b"") -> None:
        super().__init__(reason)
        self.received = received


@dataclass(slots=True)
class HttpMessage:
    """One complete request or response.

    Attributes:
        start_line: The request line or the status line.
        headers: The values by lower-case name.
        body: The body without its framing.
    """

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]

    @property
    def closes_connection(self) -> bool:
        """Whether the sender closes the connection after this message."""
        return "close" in self.headers.get("connection", "").lower()


async def read_message(reader: asyncio.StreamReader, *, is_response: bool) -> HttpMessage | None:
    """Read one message; return ``None`` if the connection ended, or was reset, before its first byte.

    Raises:
        TruncatedMessageError: The connection ended inside the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise TruncatedMessageError("the head is incomplete") from error
        return None
    except ConnectionError:
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    message = HttpMessage(lines[0])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    message.body = await _read_body(reader, message, is_response)
    return message


async def _read_body(reader: asyncio.StreamReader, message: HttpMessage, is_response: bool) -> bytes:
    body = bytearray()
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, body)
        elif "content-length" in message.headers:
            await _read_exactly(reader, body, int(message.headers["content-length"]))
        elif is_response:
            while data := await reader.read(65536):
                body += data
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        raise TruncatedMessageError(f"the body is incomplete: {error}", bytes(body)) from error
    return bytes(body)


async def _read_exactly(reader: asyncio.StreamReader, body: bytearray, count: int) -> None:
    end = len(body) + count
    while len(body) < end:
        data = await reader.read(end - len(body))
        if not data:
            raise asyncio.IncompleteReadError(b"", end - len(body))
        body += data


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        await _read_exactly(reader, body, size)
        await reader.readexactly(2)
