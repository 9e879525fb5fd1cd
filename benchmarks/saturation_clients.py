"""Load generator of ``saturate.py``: closed-loop clients, each on a connection of its own.

In a closed loop, a client sends its next request only after the response to the last one.
"""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from typing import Any

import httptools
import uvloop

from lugtally.testbed.emulator import loopback

DEADLINE_S = 8  # of each request
WARM_UP_S = 1.0  # load before the measurement begins
RECONNECT_DELAY_S = 0.01
HTTP_OK, HTTP_SERVICE_UNAVAILABLE = 200, 503


@dataclass(frozen=True, slots=True)
class ClientResult:
    """Results of a measurement over all clients."""

    response_counts: dict[int, int]  # by HTTP status
    seconds: float  # length of the measurement
    p50_ms: float  # latency of responses with status 200
    p99_ms: float


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Options of the load generator."""

    connections: int
    seconds: float  # length of the measurement
    pause_s: float  # between a response and the next request of a connection


class ClientConnection(asyncio.Protocol):
    """A client's connection to the sidecar."""

    def __init__(self, load_generator: LoadGenerator) -> None:
        self._load_generator = load_generator

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport: Any = transport
        self._send()

    def connection_lost(self, exc: Exception | None) -> None:
        """Open another connection, unless the load generator has been stopped."""
        if not self._load_generator.is_stopped:
            asyncio.get_running_loop().create_task(self._load_generator.connect())

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response."""
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the connection must be closed after the response."""
        if name.lower() == b"connection" and value.lower() == b"close":
            self._closes_after_response = True

    def on_message_complete(self) -> None:
        """Count a complete response and send the next request."""
        self._load_generator.record_response(self._parser.get_status_code(), time.perf_counter() - self._sent_at)
        if self._closes_after_response:
            self._transport.close()
        elif self._load_generator.pause_s:
            asyncio.get_running_loop().call_later(self._load_generator.pause_s, self._send)
        else:
            self._send()

    def _send(self) -> None:
        if self._load_generator.is_stopped or self._transport.is_closing():
            return
        self._parser = httptools.HttpResponseParser(self)
        self._closes_after_response = False
        self._sent_at = time.perf_counter()
        self._transport.write(
            b"GET /read HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: %016x\r\nX-Service-Class: read\r\n"
            b"X-Time-Left: %d\r\n\r\n" % (self._load_generator.next_request_number(), DEADLINE_S)
        )


class LoadGenerator:
    """Opens the connections and records the responses on all of them."""

    def __init__(self, host: str, pause_s: float) -> None:
        self.pause_s = pause_s
        self.is_stopped = False
        self.is_measuring = False
        self._host = host
        self._last_request_number = 0
        self._response_counts: dict[int, int] = {}
        self._latencies_s: list[float] = []

    def next_request_number(self) -> int:
        """Return the number of the next request, which is its correlation ID."""
        self._last_request_number += 1
        return self._last_request_number

    def record_response(self, status: int, latency_s: float) -> None:
        """Count a response and record its latency, if the measurement is running."""
        if self.is_measuring:
            self._response_counts[status] = self._response_counts.get(status, 0) + 1
            if status == HTTP_OK:
                self._latencies_s.append(latency_s)

    async def connect(self) -> None:
        """Open a connection.  Retries until it is established or the load generator is stopped."""
        while not self.is_stopped:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self), self._host, loopback.PORT
                )
                return
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)

    def result(self, seconds: float) -> ClientResult:
        """Return the results of the measurement, which took this long."""
        latencies_s = sorted(self._latencies_s)
        p50_ms = 1000 * latencies_s[len(latencies_s) // 2] if latencies_s else 0.0
        p99_ms = 1000 * latencies_s[int(len(latencies_s) * 0.99)] if latencies_s else 0.0
        return ClientResult(self._response_counts, seconds, p50_ms, p99_ms)


def run_clients(host: str, options: ClientOptions, cores: set[int], sender: Any) -> None:
    """Run the clients on these cores, as a process of their own.

    ``sender`` is the end of a multiprocessing pipe: ``begin`` is sent when the measurement begins, and a
    :class:`ClientResult` when it ends.
    """
    os.sched_setaffinity(0, cores)

    async def generate_load() -> None:
        load_generator = LoadGenerator(host, options.pause_s)
        for _ in range(options.connections):
            await load_generator.connect()
        await asyncio.sleep(WARM_UP_S)
        sender.send("begin")
        load_generator.is_measuring = True
        began_at = time.perf_counter()
        await asyncio.sleep(options.seconds)
        load_generator.is_measuring = False
        sender.send(load_generator.result(time.perf_counter() - began_at))
        load_generator.is_stopped = True

    uvloop.run(generate_load())
