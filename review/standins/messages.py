"""Reading of whole HTTP/1.1 messages from asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Head(NamedTuple):
    """The first line of a message, and its headers by lower-case name."""

    first_line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head.  Raises IncompleteReadError or ConnectionError when the connection ends before."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Head(lines[0], {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body that follows a head, with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, with a reset if there are unread bytes."""
    transport = writer.transport
    if transport is not None:
        transport.abort()
