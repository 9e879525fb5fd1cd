"""A stand-in discovery service: the whole list, and watches that wait until something newer exists."""

from __future__ import annotations

import asyncio
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from standins_2.http_messages import TruncatedMessageError, read_message
from standins_2.pledge_server import PledgeServer, ok_response
from standins_2.record import Record

MAX_HOLD_S = 60.0
"""A watch waits no longer than this."""
FIRST_VERSION = 41


class Discovery:
    """Tells the state of the pledge servers; each change of one has a version of its own.

    Attributes:
        address: Its address as ``host:port``, once it has started.
    """

    def __init__(self, servers: list[PledgeServer], record: Record) -> None:
        self.address = ""
        self._record = record
        self._servers = servers
        self._version = FIRST_VERSION
        self._changed_in = {server.id: FIRST_VERSION for server in servers}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    def whole_list(self) -> dict[str, object]:
        """Return the whole list, also for the field ``known`` of a configuration."""
        return {"version": self._version, "full": True, "servers": [server.entry() for server in self._servers]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, TruncatedMessageError, asyncio.CancelledError):
            while (call := await read_message(reader, is_response=False)) is not None:
                answer = await self._answer(call.target)
                writer.write(ok_response(json.dumps(answer).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, object]:
        query = parse_qs(urlsplit(target).query)
        if "from" not in query:
            return self.whole_list()
        known = int(query["from"][0])
        hold_s = min(MAX_HOLD_S, int(query.get("hold_ms", ["0"])[0]) / 1000)
        async with self._changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: self._version > known), hold_s)
        changed = [server.entry() for server in self._servers if self._changed_in[server.id] > known]
        return {"version": self._version, "full": False, "servers": changed}
