"""A stand-in pledge server: runs each complete request and answers with a body made for that request alone."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from standins_2.http_messages import HttpMessage, TruncatedMessageError, read_message
from standins_2.record import Record

DEFAULT_WORK_S = 0.02
"""How long a request is worked on."""


def answer_body(correlation_id: str) -> bytes:
    """Return the body that every pledge server makes for a request."""
    return f"receipt of {correlation_id}\n".encode()


def ok_response(body: bytes) -> bytes:
    """Return a whole answer 200 with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


Respond = Callable[["PledgeServer", HttpMessage, asyncio.StreamWriter], Awaitable[None]]
"""Writes the answer to a request."""


async def respond_soundly(_: PledgeServer, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Work on the request and answer it with 200."""
    await asyncio.sleep(DEFAULT_WORK_S)
    writer.write(ok_response(answer_body(request.headers.get("x-correlation-id", ""))))
    await writer.drain()


class PledgeServer:
    """One pledge server at a free port of the loopback address.

    Attributes:
        runs: The correlation ids of the requests that came whole, and when, in order.
        address: Its address as ``host:port``, once it has started.
    """

    def __init__(self, server_id: str, record: Record, respond: Respond = respond_soundly, zone: str = "a") -> None:
        self.id = server_id
        self.zone = zone
        self.state = "ready"
        self.address = ""
        self.runs: list[tuple[float, str]] = []
        self._record = record
        self._respond = respond
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def entry(self) -> dict[str, object]:
        """Return its entry in discovery's list."""
        return {
            "id": self.id,
            "addr": self.address,
            "zone": self.zone,
            "kind": "std-2core",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, TruncatedMessageError, asyncio.CancelledError):
            while (request := await read_message(reader, is_response=False)) is not None:
                correlation_id = request.headers.get("x-correlation-id", "")
                self.runs.append((self._record.now_s(), correlation_id))
                self._record.write(f"run     {self.id} {request.start_line} id={correlation_id}")
                await self._respond(self, request, writer)
        self._writers.discard(writer)
        writer.close()
