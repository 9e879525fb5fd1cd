"""The discovery service: full endpoint lists and changes, with connections that can be reset or left unanswered."""

from __future__ import annotations

import asyncio
import json
import re
import time
from dataclasses import dataclass
from typing import Any

from lugtally.units import NS_PER_S
from tests.fault_injection.clock import now_ns
from tests.fault_injection.endpoint import Endpoint
from tests.fault_injection.wire import HEAD_END, serialize_head
from tests.sidecar_program import endpoint_record
from tests.sockets import reset_on_close

READY, DRAINING, REMOVED = "ready", "draining", "gone"
"""The states of an endpoint on the wire."""
_CALL = re.compile(rb"GET /catalog/members(?:\?from=(\d+)&hold_ms=(\d+))? HTTP/1\.1")


@dataclass(slots=True)
class _Row:
    """An endpoint in the list, and the version of its latest change."""

    endpoint: Endpoint
    state: str
    started_ms: int
    version: int


class EndpointCatalog:
    """The endpoint list with its versions; several discovery services may serve it."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._changed = asyncio.Event()
        self.version = 1

    def set_state(self, endpoint: Endpoint, state: str, *, started_now: bool = False) -> None:
        """Add an endpoint to the list, or change its state."""
        self.version += 1
        row = self._rows.get(endpoint.name)
        started_ms = int(time.time() * 1000) if started_now else (row.started_ms if row is not None else 0)
        self._rows[endpoint.name] = _Row(endpoint, state, started_ms, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def list_since(self, version: int | None) -> dict[str, Any]:
        """Return the changes since a version in wire form; the full list for ``None``."""
        rows = [row for row in self._rows.values() if version is None or row.version > version]
        if version is None:
            rows = [row for row in rows if row.state != REMOVED]
        return {"version": self.version, "full": version is None, "servers": [_serialize(row) for row in rows]}

    async def wait_for_change(self, version: int, hold_s: float) -> None:
        """Wait until the list has a later version, for ``hold_s`` at most."""
        until_ns = now_ns() + int(hold_s * NS_PER_S)
        while version >= self.version and (remaining_ns := until_ns - now_ns()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_ns / NS_PER_S)
            except TimeoutError:
                return


def _serialize(row: _Row) -> dict[str, Any]:
    """Return the wire form of an endpoint."""
    host, port = row.endpoint.address
    return endpoint_record(
        row.endpoint.name,
        f"{host}:{port}",
        zone=row.endpoint.zone,
        cell=row.endpoint.cell,
        state=row.state,
        started_ms=row.started_ms,
    )


class DiscoveryService:
    """One address at which the catalog is served."""

    def __init__(self, catalog: EndpointCatalog) -> None:
        self._catalog = catalog
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._answers_paused_until_ns = 0

    async def start(self) -> str:
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset every connection."""
        for writer in [writer for writer in self._writers if not writer.is_closing()]:
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()

    def pause_answers(self, duration_s: float) -> None:
        """Answer no call for the duration."""
        self._answers_paused_until_ns = now_ns() + int(duration_s * NS_PER_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                call = _CALL.match(await reader.readuntil(HEAD_END))
                if call is None:
                    break
                await self._answer(call, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # closed by the sidecar, reset by a fault, or cancelled at the end of the run
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call: re.Match[bytes], writer: asyncio.StreamWriter) -> None:
        version = None if call[1] is None else int(call[1])
        if version is not None:
            await self._catalog.wait_for_change(version, int(call[2]) / 1000)
        while (pause_ns := self._answers_paused_until_ns - now_ns()) > 0:
            await asyncio.sleep(pause_ns / NS_PER_S)
        body = json.dumps(self._catalog.list_since(version)).encode()
        writer.write(serialize_head("HTTP/1.1 200 OK", {"Content-Length": str(len(body))}) + body)
        await writer.drain()
