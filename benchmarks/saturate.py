"""Measure the capacity of one sidecar, pinned to one core, in front of ten servers that respond immediately.

    python benchmarks/saturate.py --connections 1,16,64 --seconds 4 --runs 3 [--pause-ms 0] [--json FILE]

Clients are a closed loop: each connection sends its next request after the response to the last one, also a rejection,
and an optional pause.  Servers and clients are processes of their own on other cores.  CPU is from the process times of
the sidecar; memory is the maximum of ten samples a second.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httptools
import psutil
import uvloop

from lugtally.testbed.emulator import loopback
from lugtally.testbed.experiments.sidecar_configuration import sidecar_configuration
from lugtally.testbed.experiments.sidecars import is_ready
from lugtally.testbed.scenario import scenario_file
from lugtally.testbed.scenario.schedule import make_schedule

SERVERS = 10
LATENCY_OBJECTIVE_MS, DEADLINE_MS = 2000, 8000
SCENARIO = f"""
name = "saturate"
about = "One sidecar alone."
[fleet]
servers = {SERVERS}
sidecars = 1
[[classes]]
name = "read"
share = 1
work_ms = 1
aim_ms = {LATENCY_OBJECTIVE_MS}
deadline_ms = {DEADLINE_MS}
worth = 1
effect = "safe"
key_scope = "all"
"""
WARM_UP_S = 1.0
WATCH_HOLD_S = 10
RECONNECT_DELAY_S = 0.01
SAMPLE_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 5
READY_TIMEOUT_S = 10
READY_POLL_S = 0.02
BYTES_PER_MB = 2**20
OK, REJECTED = 200, 503


class Server(asyncio.Protocol):
    """Server that responds immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the parser of the connection."""
        self._transport: Any = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Respond to a complete request."""
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")


class UnchangingDiscovery(asyncio.Protocol):
    """Discovery service whose endpoint list does not change."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection."""
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """Respond after the hold time that nothing changed."""
        body = b'{"version":1,"full":false,"servers":[]}'
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        asyncio.get_running_loop().call_later(WATCH_HOLD_S, self._transport.write, response)


def run_servers(block: int, ready: Any, cores: set[int]) -> None:
    """Run the servers and the discovery service, as a process of their own."""
    os.sched_setaffinity(0, cores)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        for server_index in range(SERVERS):
            host = loopback.server_host(block, server_index, 0)
            await loop.create_server(Server, host, loopback.PORT, backlog=512)
        await loop.create_server(UnchangingDiscovery, loopback.discovery_host(block, 0), loopback.PORT)
        ready.set()
        await asyncio.sleep(3600)

    uvloop.run(serve())


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
            b"X-Time-Left: %d\r\n\r\n" % (self._load.next_serial(), DEADLINE_MS // 1000)
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


@contextmanager
def running_servers(block: int, cores: set[int]) -> Iterator[None]:
    """Run servers and discovery; they are ready on entry."""
    ready = multiprocessing.Event()
    servers = multiprocessing.Process(target=run_servers, args=(block, ready, cores), daemon=True)
    servers.start()
    try:
        ready.wait(READY_TIMEOUT_S)
        yield
    finally:
        servers.terminate()


@contextmanager
def running_sidecar(block: int, memory_mb: int, core: int) -> Iterator[psutil.Process]:
    """Run a sidecar pinned to a core and yield it when it is ready."""
    schedule = make_schedule(scenario_file.decode(SCENARIO, "saturate"), 1)
    configuration = sidecar_configuration(schedule, block, 0)
    configuration["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    path = Path(tempfile.mkdtemp(prefix="lugtally-saturate-")) / "config.json"
    path.write_text(json.dumps(configuration))
    child = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve", "--log-level", "ERROR"],
        env={**os.environ, "PROXY_CONFIG": str(path)},
    )
    try:
        os.sched_setaffinity(child.pid, {core})
        while not is_ready(block, 0):
            time.sleep(READY_POLL_S)
        yield psutil.Process(child.pid)
    finally:
        child.terminate()
        try:
            child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.kill()


def measure(options: ClientOptions, memory_mb: int) -> dict[str, float]:
    """Measure a sidecar on the first core, servers on the second and clients on the third."""
    cores = sorted(os.sched_getaffinity(0))
    block = loopback.LoopbackBlock()
    try:
        with (
            running_servers(block.number, {cores[1 % len(cores)]}),
            running_sidecar(block.number, memory_mb, cores[0]) as sidecar,
        ):
            return measure_sidecar(sidecar, block.number, options, {cores[2 % len(cores)]})
    finally:
        block.close()


def measure_sidecar(
    sidecar: psutil.Process, block: int, options: ClientOptions, client_cores: set[int]
) -> dict[str, float]:
    """Measure a sidecar under the clients' load."""
    results, client_end = multiprocessing.Pipe()
    host = loopback.sidecar_host(block, 0)
    clients = multiprocessing.Process(target=run_clients, daemon=True, args=(host, options, client_cores, client_end))
    clients.start()
    assert results.recv() == "begin"
    before, max_rss_mb = sidecar.cpu_times(), 0.0
    while not results.poll(SAMPLE_INTERVAL_S):
        max_rss_mb = max(max_rss_mb, sidecar.memory_info().rss / BYTES_PER_MB)
    after, result = sidecar.cpu_times(), results.recv()
    cpu_s = after.user + after.system - before.user - before.system
    clients.join(STOP_TIMEOUT_S)
    responses = sum(result.statuses.values())
    return {
        "connections": options.connections,
        "served_per_s": result.statuses.get(OK, 0) / result.seconds,
        "refused": result.statuses.get(REJECTED, 0),
        "other": responses - sum(result.statuses.get(status, 0) for status in (OK, REJECTED)),
        "p50_ms": result.p50_ms,
        "p99_ms": result.p99_ms,
        "cores": cpu_s / result.seconds,
        "cpu_us": 1e6 * cpu_s / max(1, responses),
        "rss_mb": max_rss_mb,
    }


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--connections", default="1,16,64")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--pause-ms", type=float, default=0.0)
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--json", type=Path)
    return parser.parse_args()


def main() -> None:
    """Measure and print a table: medians of the runs, and the range of the served requests."""
    options = parse_options()
    rows = []
    print("| connections | served/s (range) | rejected | other | p50 ms | p99 ms | CPU µs/request | RSS MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for connections in map(int, options.connections.split(",")):
        clients = ClientOptions(connections, options.seconds, options.pause_ms / 1000)
        runs = [measure(clients, options.memory_mb) for _ in range(options.runs)]
        rows += runs
        median = {name: statistics.median(run[name] for run in runs) for name in runs[0]}
        served = [run["served_per_s"] for run in runs]
        print(
            f"| {connections} | {median['served_per_s']:,.0f} ({min(served):,.0f} to {max(served):,.0f}) | "
            f"{median['refused']:,.0f} | {median['other']:,.0f} | {median['p50_ms']:.2f} | {median['p99_ms']:.1f} | "
            f"{median['cpu_us']:.0f} | {max(run['rss_mb'] for run in runs):.1f} |",
            flush=True,
        )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
