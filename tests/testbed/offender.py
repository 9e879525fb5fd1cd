"""Small faulty sidecars: each breaks one rule on purpose, so that the judge can be seen to catch it.

    python -m tests.testbed.offender FAULT        with PROXY_CONFIG set, as the daemon is started

``honest`` breaks none: it sends each request once, to a ready server chosen at random.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from typing import Any

Address = tuple[str, int]
FAULTS = (
    "honest",
    "drop",
    "late",
    "twice",
    "receipt-twice",
    "pledge-late",
    "pledge-elsewhere",
    "refuse-ran",
    "drained",
    "push-over",
    "forge",
)


class Sidecar:
    """One of them."""

    def __init__(self, fault: str, configuration: dict[str, Any]) -> None:
        self.fault = fault
        self.configuration = configuration
        self.servers: dict[str, dict[str, Any]] = {row["id"]: row for row in configuration["known"]["servers"]}
        self.version = configuration["known"]["version"]
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    # ------------------------------------------------------------ the list

    async def watch(self) -> None:
        """Follow the server list, as the platform asks."""
        host, port = self.configuration["discovery"].split(":")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(host, int(port))
                while True:
                    writer.write(
                        f"GET /catalog/members?from={self.version}&hold_ms=2000 HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                    )
                    _, _, body = await _read(reader)
                    update = json.loads(body)
                    self.version = update["version"]
                    for row in update["servers"]:
                        if row["state"] == "gone" and self.fault != "drained":
                            self.servers.pop(row["id"], None)
                        elif self.fault != "drained" or row["state"] == "ready":
                            self.servers[row["id"]] = row
            await asyncio.sleep(0.05)

    def choose(self, zone: str | None = None, besides: str = "") -> dict[str, Any] | None:
        """A ready server, by this sidecar's lights."""
        able = [
            s
            for s in self.servers.values()
            if s["state"] == "ready" and s["id"] != besides and zone in (None, s["zone"])
        ]
        if not able:
            return None
        if self.fault == "push-over":
            return max(able, key=lambda s: s["started_ms"])
        return random.choice(able)

    # ------------------------------------------------------------ requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection of the application."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers, body = await _read(reader)
                if " /_health" in line:
                    writer.write(_answer(200, b"ok"))
                    continue
                self.count += 1
                answer = await self.answer(line, headers, body)
                if answer is None:
                    break
                writer.write(answer)
                if self.fault == "twice" and self.count % 20 == 0:
                    writer.write(answer)
        writer.close()

    async def answer(self, line: str, headers: dict[str, str], body: bytes) -> bytes | None:
        """The final answer, with the fault in every so many."""
        cls, fails_now = headers["x-service-class"], self.count % 20 == 0
        left = float(headers["x-time-left"])
        if self.fault == "forge" and fails_now:
            return _answer(200, b'{"id":"%s","server":"s-000","made":"0000"}\n' % headers["x-correlation-id"].encode())
        chosen = self.choose()
        if chosen is None:
            return _answer(503, b"")
        if self.fault == "drop" and fails_now:
            return None
        due = asyncio.get_running_loop().time() + left
        late = due + 0.25
        status, got = await self.send(chosen, line, headers, body, left)
        if self.fault == "late" and fails_now:
            await asyncio.sleep(late - asyncio.get_running_loop().time())
        again = cls == "pledge-record" and fails_now and status == 200
        if self.fault == "pledge-late" and again:

            async def repeat() -> None:
                await asyncio.sleep(0.8)
                await self.send(chosen, line, headers, body, 1.0)

            self.tasks.add(asyncio.create_task(repeat()))
        elif self.fault == "pledge-elsewhere" and again:
            other = self.choose(next(z for z in self.configuration["settings"]["zones"] if z != chosen["zone"]))
            if other is not None:
                await self.send(other, line, headers, body, max(0.0, due - asyncio.get_running_loop().time()))
        elif self.fault == "receipt-twice" and cls == "receipt-issue" and status == 200 and self.count % 5 == 0:
            other = self.choose(besides=chosen["id"])
            if other is not None:
                # Its client waits no longer for two attempts than for one.
                rest = max(0.0, due - asyncio.get_running_loop().time())
                status, got = await self.send(other, line, headers, body, rest)
        elif self.fault == "refuse-ran" and cls == "receipt-issue" and self.count % 5 == 0:
            return _answer(503, b"")
        if status in (503, 504):
            return _answer(503, b"")
        return _answer(200, got) if status == 200 else _answer(502, b"")

    async def send(
        self, server: dict[str, Any], line: str, headers: dict[str, str], body: bytes, left: float
    ) -> tuple[int, bytes]:
        """One attempt, over a connection of its own."""
        host, port = server["addr"].split(":")
        writer = None
        try:
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = [line, *(f"{n}: {v}" for n, v in headers.items())]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                status, _, got = await _read(reader)
                return int(status.split()[1]), got
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()


async def _read(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


def _answer(status: int, body: bytes) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def main(fault: str) -> None:
    """Serve until SIGTERM."""
    with open(os.environ["PROXY_CONFIG"], encoding="utf-8") as file:
        configuration = json.load(file)
    sidecar = Sidecar(fault, configuration)
    random.seed(configuration["seed"])
    host, port = configuration["listen"].split(":")
    server = await asyncio.start_server(sidecar.serve, host, int(port))
    watch = asyncio.create_task(sidecar.watch())
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.close()
    watch.cancel()
    await asyncio.sleep(1.0)  # what it has taken is answered meanwhile, as the load has ended


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
