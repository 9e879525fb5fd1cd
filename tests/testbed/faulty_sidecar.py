"""Small sidecar with one fault, to test that the verifier reports each violation.

    python -m tests.testbed.faulty_sidecar FAULT        with PROXY_CONFIG set, as for the daemon

With the argument ``honest`` it violates no rule: it sends each request once, to a random ready server.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple


class Fault(StrEnum):
    """Fault of a sidecar.  The value is the command-line argument."""

    NONE = "honest"
    DROP = "drop"
    LATE = "late"
    DUPLICATE_RESPONSE = "twice"
    REPEAT_NON_IDEMPOTENT = "receipt-twice"
    REPEAT_AFTER_WINDOW = "pledge-late"
    REPEAT_OUT_OF_SCOPE = "pledge-elsewhere"
    REJECT_AFTER_RUN = "refuse-ran"
    IGNORE_DRAINS = "drained"
    OVERLOAD_COLD_SERVER = "push-over"
    FORGE_RESPONSE = "forge"


class HttpMessage(NamedTuple):
    """A request or a response.  The names of the header fields are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes


class ServerResponse(NamedTuple):
    """Status and body of the response to an attempt; the status is 0 if no response came."""

    status: int
    body: bytes


class FaultySidecar:
    """A sidecar with one fault."""

    def __init__(self, fault: Fault, configuration: dict[str, Any]) -> None:
        self.fault = fault
        self.configuration = configuration
        self.servers: dict[str, dict[str, Any]] = {row["id"]: row for row in configuration["known"]["servers"]}
        self.version = configuration["known"]["version"]
        self.request_count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def watch(self) -> None:
        """Follow the endpoint list with long polls, as the platform's protocol requires."""
        host, port = self.configuration["discovery"].split(":")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(host, int(port))
                while True:
                    writer.write(
                        f"GET /catalog/members?from={self.version}&hold_ms=2000 HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                    )
                    response = await read_message(reader)
                    self._apply_update(json.loads(response.body))
            await asyncio.sleep(0.05)

    def _apply_update(self, update: dict[str, Any]) -> None:
        self.version = update["version"]
        for row in update["servers"]:
            if row["state"] == "gone" and self.fault is not Fault.IGNORE_DRAINS:
                self.servers.pop(row["id"], None)
            elif self.fault is not Fault.IGNORE_DRAINS or row["state"] == "ready":
                self.servers[row["id"]] = row

    def choose(self, zone: str | None = None, excluded_id: str = "") -> dict[str, Any] | None:
        """Return a server that the endpoint list says is ready; None if there is none."""
        ready = [
            server
            for server in self.servers.values()
            if server["state"] == "ready" and server["id"] != excluded_id and zone in (None, server["zone"])
        ]
        if not ready:
            return None
        if self.fault is Fault.OVERLOAD_COLD_SERVER:
            return max(ready, key=lambda server: server["started_ms"])
        return random.choice(ready)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection of a client."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                if " /_health" in request.first_line:
                    writer.write(build_response(200, b"ok"))
                    continue
                self.request_count += 1
                response = await self.respond(request)
                if response is None:
                    break
                writer.write(response)
                if self.fault is Fault.DUPLICATE_RESPONSE and self.request_count % 20 == 0:
                    writer.write(response)
        writer.close()

    async def respond(self, request: HttpMessage) -> bytes | None:
        """Return the final response, or None to drop the connection.  Most faults affect one in 20 requests."""
        is_faulty = self.request_count % 20 == 0
        time_left_s = float(request.headers["x-time-left"])
        if self.fault is Fault.FORGE_RESPONSE and is_faulty:
            request_id = request.headers["x-correlation-id"].encode()
            return build_response(200, b'{"id":"%s","server":"s-000","made":"0000"}\n' % request_id)
        server = self.choose()
        if server is None:
            return build_response(503, b"")
        if self.fault is Fault.DROP and is_faulty:
            return None
        deadline = asyncio.get_running_loop().time() + time_left_s
        response = await self.send(server, request, time_left_s)
        if self.fault is Fault.LATE and is_faulty:
            await asyncio.sleep(deadline + 0.25 - asyncio.get_running_loop().time())
        response = await self._repeat(request, server, response, deadline, is_faulty)
        if self.fault is Fault.REJECT_AFTER_RUN and is_non_idempotent(request) and self.request_count % 5 == 0:
            return build_response(503, b"")
        if response.status in (503, 504):
            return build_response(503, b"")
        return build_response(200, response.body) if response.status == 200 else build_response(502, b"")

    async def _repeat(
        self, request: HttpMessage, server: dict[str, Any], response: ServerResponse, deadline: float, is_faulty: bool
    ) -> ServerResponse:
        """Repeat a served request if that is the fault of this sidecar; return the final response."""
        if response.status != 200:
            return response
        is_faulty_keyed = is_faulty and request.headers["x-service-class"] == "pledge-record"
        if self.fault is Fault.REPEAT_AFTER_WINDOW and is_faulty_keyed:
            self.tasks.add(asyncio.create_task(self._repeat_after_window(request, server)))
        elif self.fault is Fault.REPEAT_OUT_OF_SCOPE and is_faulty_keyed:
            zones = self.configuration["settings"]["zones"]
            other_server = self.choose(next(zone for zone in zones if zone != server["zone"]))
            if other_server is not None:
                await self.send(other_server, request, remaining_s(deadline))
        elif self.fault is Fault.REPEAT_NON_IDEMPOTENT and is_non_idempotent(request) and self.request_count % 5 == 0:
            other_server = self.choose(excluded_id=server["id"])
            if other_server is not None:
                # Both attempts end at the client's deadline.
                return await self.send(other_server, request, remaining_s(deadline))
        return response

    async def _repeat_after_window(self, request: HttpMessage, server: dict[str, Any]) -> None:
        await asyncio.sleep(0.8)  # longer than the deduplication window of the class
        await self.send(server, request, 1.0)

    async def send(self, server: dict[str, Any], request: HttpMessage, time_left_s: float) -> ServerResponse:
        """Make one attempt over a new connection."""
        host, port = server["addr"].split(":")
        writer = None
        try:
            async with asyncio.timeout(time_left_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = [request.first_line, *(f"{name}: {value}" for name, value in request.headers.items())]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + request.body)
                response = await read_message(reader)
                return ServerResponse(int(response.first_line.split()[1]), response.body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return ServerResponse(0, b"")
        finally:
            if writer is not None:
                writer.close()


def is_non_idempotent(request: HttpMessage) -> bool:
    """Return whether the request is of the class whose requests are not idempotent."""
    return request.headers["x-service-class"] == "receipt-issue"


def remaining_s(deadline: float) -> float:
    """Return the seconds until ``deadline`` on the clock of the running event loop, at least 0."""
    return max(0.0, deadline - asyncio.get_running_loop().time())


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one message.  Without a Content-Length its body is empty."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    return HttpMessage(head[0], headers, await reader.readexactly(int(headers.get("content-length", 0))))


def build_response(status: int, body: bytes) -> bytes:
    """Encode a response."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def main(fault: Fault) -> None:
    """Serve until SIGTERM."""
    configuration = json.loads(Path(os.environ["PROXY_CONFIG"]).read_text(encoding="utf-8"))
    sidecar = FaultySidecar(fault, configuration)
    random.seed(configuration["seed"])
    host, port = configuration["listen"].split(":")
    server = await asyncio.start_server(sidecar.serve, host, int(port))
    watch_task = asyncio.create_task(sidecar.watch())
    stop_event = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_event.set)
    await stop_event.wait()
    server.close()
    watch_task.cancel()
    await asyncio.sleep(1.0)  # for the requests in flight


if __name__ == "__main__":
    asyncio.run(main(Fault(sys.argv[1])))
