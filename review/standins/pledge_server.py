"""A sound pledge server with two cores and a waiting room."""

from __future__ import annotations

import asyncio
from typing import Any

from standins.messages import Head, abort, read_body, read_head
from standins.record import Record
from standins.settings import BY_NAME

CORES = 2
MAX_HELD = 80
"""Requests in work and waiting; more are turned away."""


class Call:
    """One request at a pledge server."""

    def __init__(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        self.head = head
        self.body = body
        self.writer = writer
        self.id = head.headers.get("x-correlation-id", "")
        self.grade = head.headers.get("x-service-class", "")


class PledgeServer:
    """Runs each request for the mean work of its class, and stops when its connection ends."""

    def __init__(self, record: Record, name: str, zone: str) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.state = "ready"
        self.address = ""
        self._held = 0
        self._cores = asyncio.Semaphore(CORES)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, Any]:
        """Return the entry of this server in the list."""
        place = {"id": self.name, "addr": self.address, "zone": self.zone, "kind": "std-2core", "cell": 0}
        return {**place, "state": self.state, "weight": 1.0, "started_ms": 0}

    def close(self) -> None:
        """Stop, as a process that dies."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            abort(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        input_ = asyncio.StreamReader()
        pump = asyncio.create_task(_pump(reader, input_))
        try:
            while True:
                head = await read_head(input_)
                call = Call(head, await read_body(input_, head.headers), writer)
                if not call.id:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.record.note("begun", server=self.name, id=call.id, grade=call.grade)
                await self._run(call, pump)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the sidecar has closed the connection
        except asyncio.CancelledError:
            pass  # the run has ended
        finally:
            pump.cancel()
            self._writers.discard(writer)
            abort(writer)

    async def _run(self, call: Call, pump: asyncio.Task[None]) -> None:
        """Run one request; stop when the sidecar ends the connection, which ends the pump."""
        work = asyncio.create_task(self.work(call))
        try:
            await asyncio.wait({work, pump}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record.note("given-up", server=self.name, id=call.id)
                raise ConnectionResetError
            work.result()
        finally:
            work.cancel()

    async def work(self, call: Call) -> None:
        """Do the work of a request, and write its answer."""
        if self._held >= MAX_HELD or self.state != "ready":
            self.turn_away(call)
            return
        self._held += 1
        try:
            async with self._cores:
                await asyncio.sleep(BY_NAME[call.grade].work_s if call.grade in BY_NAME else 0.04)
        finally:
            self._held -= 1
        self.answer(call)

    def answer(self, call: Call) -> None:
        """Write the answer that is made for this request."""
        body = f"{call.id} done by {self.name}".encode()
        self.record.note("run", server=self.name, id=call.id, grade=call.grade)
        call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def turn_away(self, call: Call) -> None:
        """Refuse a request without looking at it."""
        self.record.note("turned-away", server=self.name, id=call.id)
        call.writer.write(b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")


async def _pump(source: asyncio.StreamReader, target: asyncio.StreamReader) -> None:
    """Pass on what the peer sends, until it closes or ends its sending."""
    try:
        while data := await source.read(64 * 1024):
            target.feed_data(data)
    except ConnectionError:
        pass  # a reset ends the connection as a close does
    target.feed_eof()
