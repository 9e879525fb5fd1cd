"""Discovery services, which serve endpoint lists and changes and whose connections can be reset or left unanswered."""

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
"""The states of an endpoint, as endpoint lists contain them."""
_CALL_PATTERN = re.compile(rb"GET /catalog/members(?:\?from=(\d+)&hold_ms=(\d+))? HTTP/1\.1")


@dataclass(slots=True)
class _Entry:
    """An endpoint in the list, with the list's version at its latest change."""

    endpoint: Endpoint
    state: str
    started_ms: int
    version: int


class EndpointCatalog:
    """A versioned endpoint list, which several discovery services may serve."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._changed = asyncio.Event()
        self.version = 1

    def set_state(self, endpoint: Endpoint, state: str, *, started_now: bool = False) -> None:
        """Add an endpoint to the list, or change its state."""
        self.version += 1
        entry = self._entries.get(endpoint.name)
        started_ms = int(time.time() * 1000) if started_now else (entry.started_ms if entry is not None else 0)
        self._entries[endpoint.name] = _Entry(endpoint, state, started_ms, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def list_since(self, version: int | None) -> dict[str, Any]:
        """Return the changes since a version, or the full list for ``None``, in wire form."""
        entries = [entry for entry in self._entries.values() if version is None or entry.version > version]
        if version is None:
            entries = [entry for entry in entries if entry.state != REMOVED]
        return {"version": self.version, "full": version is None, "servers": [_serialize(entry) for entry in entries]}

    async def wait_for_change(self, version: int, hold_s: float) -> None:
        """Wait until the list has a later version, but at most for ``hold_s``."""
        hold_end_ns = now_ns() + int(hold_s * NS_PER_S)
        while version >= self.version and (remaining_ns := hold_end_ns - now_ns()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_ns / NS_PER_S)
            except TimeoutError:
                return


def _serialize(entry: _Entry) -> dict[str, Any]:
    """Return the wire form of an endpoint."""
    host, port = entry.endpoint.address
    return endpoint_record(
        entry.endpoint.name,
        f"{host}:{port}",
        zone=entry.endpoint.zone,
        cell=entry.endpoint.cell,
        state=entry.state,
        started_ms=entry.started_ms,
    )


class DiscoveryService:
    """Serves the endpoint list at one address."""

    def __init__(self, catalog: EndpointCatalog) -> None:
        self._catalog = catalog
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._answers_paused_until_ns = 0

    async def start(self) -> str:
        """Start to listen; return the address as ``host:port``."""
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
                call = _CALL_PATTERN.match(await reader.readuntil(HEAD_END))
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
