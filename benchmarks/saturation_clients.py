"""Closed-loop clients of ``saturate.py``."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from typing import Any

import httptools
import uvloop

from lugtally.testbed.emulator import loopback

DEADLINE_S = 8
WARM_UP_S = 1.0
RECONNECT_DELAY_S = 0.01
OK, REJECTED = 200, 503


@dataclass(frozen=True, slots=True)
class ClientResult:
    """Results of the clients."""

    statuses: dict[int, int]
    seconds: float
    p50_ms: float
    p99_ms: float


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Number of connections, length of the measurement and pause between requests."""

    connections: int
    seconds: float
    pause_s: float


class Client(asyncio.Protocol):
    """A connection of the application."""

    def __init__(self, load: Load) -> None:
        self._load = load

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport: Any = transport
        self._send()

    def connection_lost(self, exc: Exception | None) -> None:
        """Replace the connection that the sidecar closed."""
        if not self._load.is_over:
            asyncio.get_running_loop().create_task(self._load.connect())

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response."""
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the sidecar closes the connection."""
        if name.lower() == b"connection" and value.lower() == b"close":
            self._must_close = True

    def on_message_complete(self) -> None:
        """Count a complete response and send the next request."""
        self._load.count(self._parser.get_status_code(), time.perf_counter() - self._sent_at)
        if self._must_close:
            self._transport.close()
        elif self._load.pause_s:
            asyncio.get_running_loop().call_later(self._load.pause_s, self._send)
        else:
            self._send()

    def _send(self) -> None:
        if self._load.is_over or self._transport.is_closing():
            return
        self._parser = httptools.HttpResponseParser(self)
        self._must_close = False
        self._sent_at = time.perf_counter()
        self._transport.write(
            b"GET /read HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: %016x\r\nX-Service-Class: read\r\n"
            b"X-Time-Left: %d\r\n\r\n" % (self._load.next_serial(), DEADLINE_S)
        )


class Load:
    """All clients and their results."""

    def __init__(self, host: str, pause_s: float) -> None:
        self.pause_s = pause_s
        self.is_over = False
        self.is_counting = False
        self._host = host
        self._serial = 0
        self._statuses: dict[int, int] = {}
        self._latencies_s: list[float] = []

    def next_serial(self) -> int:
        """Return the number of the next request."""
        self._serial += 1
        return self._serial

    def count(self, status: int, latency_s: float) -> None:
        """Count a response if the measurement is running."""
        if self.is_counting:
            self._statuses[status] = self._statuses.get(status, 0) + 1
            if status == OK:
                self._latencies_s.append(latency_s)

    async def connect(self) -> None:
        """Open a connection, with retries until it is established."""
        while not self.is_over:
            try:
                await asyncio.get_running_loop().create_connection(lambda: Client(self), self._host, loopback.PORT)
                return
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)

    def result(self, seconds: float) -> ClientResult:
        """Return the results of a measurement of this length."""
        latencies_s = sorted(self._latencies_s)
        p50_ms = 1000 * latencies_s[len(latencies_s) // 2] if latencies_s else 0.0
        p99_ms = 1000 * latencies_s[int(len(latencies_s) * 0.99)] if latencies_s else 0.0
        return ClientResult(self._statuses, seconds, p50_ms, p99_ms)


def run_clients(host: str, options: ClientOptions, cores: set[int], pipe: Any) -> None:
    """Run the clients, as a process of their own; send ``begin`` and then a :class:`ClientResult`."""
    os.sched_setaffinity(0, cores)

    async def play() -> None:
        load = Load(host, options.pause_s)
        for _ in range(options.connections):
            await load.connect()
        await asyncio.sleep(WARM_UP_S)
        pipe.send("begin")
        load.is_counting = True
        began_at = time.perf_counter()
        await asyncio.sleep(options.seconds)
        load.is_counting = False
        pipe.send(load.result(time.perf_counter() - began_at))
        load.is_over = True

    uvloop.run(play())
