"""Discovery: the list of pledge servers, asked for whole or as a watch."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.messages import abort, read_head
from standins.record import Record


class Discovery:
    """Answers calls for the list; a watch waits until something newer exists or its time is over."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = asyncio.Event()
        self._changes: list[tuple[int, str]] = []
        self._entries: dict[str, dict[str, Any]] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.version = 40
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry."""
        self.version += 1
        self._entries[entry["id"]] = entry
        self._changes.append((self.version, entry["id"]))
        self._record.note("listed", id=entry["id"], state=entry["state"], version=self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self._entries.values())}

    def close(self) -> None:
        """Stop listening and end all calls."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            abort(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                query = parse_qs(urlsplit(head.first_line.split()[1]).query)
                answer = await self._answer(query)
                body = json.dumps(answer).encode()
                self._record.note(
                    "told", version=answer["version"], full=answer["full"], entries=len(answer["servers"])
                )
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the sidecar has closed the connection
        except asyncio.CancelledError:
            pass  # the run has ended
        finally:
            self._writers.discard(writer)
            abort(writer)

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "from" not in query:
            return self.whole()
        since = int(query["from"][0])
        if since >= self.version:
            try:
                await asyncio.wait_for(self._changed.wait(), int(query["hold_ms"][0]) / 1000)
            except TimeoutError:
                pass  # nothing has changed in the time of the watch
        changed = {name for version, name in self._changes if version > since}
        servers = [self._entries[name] for name in sorted(changed)]
        return {"version": self.version, "full": False, "servers": servers}
