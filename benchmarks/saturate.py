"""How much one sidecar carries: pinned to one core, before ten servers that answer at once.

    python benchmarks/saturate.py --connections 1,16,64 --seconds 4 --runs 3 [--pause-ms 0] [--json FILE]

Clients are a closed loop: each connection sends its next request when the last one is answered, after a pause if one
is asked for; a refused one asks again at once.  Servers and clients are processes of their own on other cores.  CPU is
the sidecar's own, from its process times; memory is the most seen in ten looks a second.
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
AIM_MS, DEADLINE_MS = 2000, 8000
DAY = f"""
name = "saturate"
about = "One sidecar alone."
[fleet]
servers = {SERVERS}
sidecars = 1
[[classes]]
name = "read"
share = 1
work_ms = 1
aim_ms = {AIM_MS}
deadline_ms = {DEADLINE_MS}
worth = 1
effect = "safe"
key_scope = "all"
"""
WARM_UP_S = 1.0


class Server(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection has come up."""
        self.transport: Any = transport
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of a request."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """A request is whole."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")


class Quiet(asyncio.Protocol):
    """A server list without news: it lets each watch wait."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection has come up."""
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """A call: nothing new for ten seconds."""
        body = b'{"version":1,"full":false,"servers":[]}'
        asyncio.get_running_loop().call_later(
            10, self.transport.write, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )


def serve(block: int, ready: Any, cores: set[int]) -> None:
    """The process of the servers and of the list."""
    os.sched_setaffinity(0, cores)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        for place in range(SERVERS):
            await loop.create_server(Server, loopback.server_host(block, place, 0), loopback.PORT, backlog=512)
        await loop.create_server(Quiet, loopback.discovery_host(block, 0), loopback.PORT)
        ready.set()
        await asyncio.sleep(3600)

    uvloop.run(run())


class Client(asyncio.Protocol):
    """One connection of the application."""

    def __init__(self, told: Load, number: int) -> None:
        self.told, self.number, self.count = told, number, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up: send the first request."""
        self.transport: Any = transport
        self.send()

    def connection_lost(self, exc: Exception | None) -> None:
        """The sidecar closed it: open another."""
        if not self.told.over:
            asyncio.get_running_loop().create_task(self.told.connect(self.number))

    def send(self) -> None:
        """The next request."""
        if self.told.over or self.transport.is_closing():
            return
        self.told.serial += 1
        self.parser = httptools.HttpResponseParser(self)
        self.close = False
        self.begun = time.perf_counter()
        self.transport.write(
            b"GET /read HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: %016x\r\nX-Service-Class: read\r\n"
            b"X-Time-Left: %d\r\n\r\n" % (self.told.serial, DEADLINE_MS // 1000)
        )

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer."""
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        if name.lower() == b"connection" and value.lower() == b"close":
            self.close = True

    def on_message_complete(self) -> None:
        """The answer is whole."""
        self.told.note(self.parser.get_status_code(), time.perf_counter() - self.begun)
        if self.close:
            self.transport.close()
        elif self.told.pause:
            asyncio.get_running_loop().call_later(self.told.pause, self.send)
        else:
            self.send()


class Load:
    """All clients, and what they saw."""

    def __init__(self, host: str, pause: float) -> None:
        self.host, self.pause = host, pause
        self.serial = 0
        self.over = False
        self.counting = False
        self.statuses: dict[int, int] = {}
        self.took: list[float] = []

    def note(self, status: int, took: float) -> None:
        """An answer."""
        if self.counting:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status == 200:
                self.took.append(took)

    async def connect(self, number: int) -> None:
        """One client's connection; again until there is one."""
        while not self.over:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: Client(self, number), self.host, loopback.PORT
                )
                return
            except OSError:
                await asyncio.sleep(0.01)


def load(host: str, connections: int, seconds: float, pause: float, cores: set[int], pipe: Any) -> None:
    """The process of the clients; says ``begin`` and then the figures."""
    os.sched_setaffinity(0, cores)

    async def run() -> None:
        told = Load(host, pause)
        for number in range(connections):
            await told.connect(number)
        await asyncio.sleep(WARM_UP_S)
        pipe.send("begin")
        told.counting = True
        begun = time.perf_counter()
        await asyncio.sleep(seconds)
        told.counting = False
        span = time.perf_counter() - begun
        told.took.sort()
        pipe.send(
            {
                "statuses": told.statuses,
                "seconds": span,
                "p50_ms": 1000 * told.took[len(told.took) // 2] if told.took else 0.0,
                "p99_ms": 1000 * told.took[int(len(told.took) * 0.99)] if told.took else 0.0,
            }
        )
        told.over = True

    uvloop.run(run())


def measure(connections: int, seconds: float, pause: float, memory_mb: int) -> dict[str, float]:
    """One run of one sidecar on core 0."""
    block = loopback.LoopbackBlock()
    folder = Path(tempfile.mkdtemp(prefix="lugtally-saturate-"))
    every = sorted(os.sched_getaffinity(0))
    ready = multiprocessing.Event()
    servers = multiprocessing.Process(target=serve, args=(block.number, ready, {every[1 % len(every)]}), daemon=True)
    servers.start()
    ready.wait(10)
    schedule = make_schedule(scenario_file.decode(DAY, "saturate"), 1)
    told = {
        **sidecar_configuration(schedule, block.number, 0),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
    }
    (folder / "config.json").write_text(json.dumps(told))
    child = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve", "--log-level", "ERROR"],
        env={**os.environ, "PROXY_CONFIG": str(folder / "config.json")},
    )
    try:
        os.sched_setaffinity(child.pid, {every[0]})
        while not is_ready(block.number, 0):
            time.sleep(0.02)
        here, there = multiprocessing.Pipe()
        clients = multiprocessing.Process(
            target=load,
            daemon=True,
            args=(loopback.sidecar_host(block.number, 0), connections, seconds, pause, {every[2 % len(every)]}, there),
        )
        clients.start()
        process = psutil.Process(child.pid)
        assert here.recv() == "begin"
        before, most = process.cpu_times(), 0.0
        while not here.poll(0.1):
            most = max(most, process.memory_info().rss / 2**20)
        after, seen = process.cpu_times(), here.recv()
        cpu = after.user + after.system - before.user - before.system
        answers = sum(seen["statuses"].values())
        clients.join(5)
        return {
            "connections": connections,
            "served_per_s": seen["statuses"].get(200, 0) / seen["seconds"],
            "refused": seen["statuses"].get(503, 0),
            "other": answers - sum(seen["statuses"].get(s, 0) for s in (200, 503)),
            "p50_ms": seen["p50_ms"],
            "p99_ms": seen["p99_ms"],
            "cores": cpu / seen["seconds"],
            "cpu_us": 1e6 * cpu / max(1, answers),
            "rss_mb": most,
        }
    finally:
        child.terminate()
        try:
            child.wait(5)
        except subprocess.TimeoutExpired:
            child.kill()
        servers.terminate()
        block.close()


def main() -> None:
    """Measure and print a table: the median of the runs, and least to most of what was served."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--connections", default="1,16,64")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--pause-ms", type=float, default=0.0)
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    rows = []
    print("| connections | served/s (least to most) | refused | other | p50 ms | p99 ms | CPU µs/request | RSS MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for connections in map(int, told.connections.split(",")):
        runs = [measure(connections, told.seconds, told.pause_ms / 1000, told.memory_mb) for _ in range(told.runs)]
        rows += runs
        middle = {name: statistics.median(run[name] for run in runs) for name in runs[0]}
        served = [run["served_per_s"] for run in runs]
        print(
            f"| {connections} | {middle['served_per_s']:,.0f} ({min(served):,.0f} to {max(served):,.0f}) | "
            f"{middle['refused']:,.0f} | {middle['other']:,.0f} | {middle['p50_ms']:.2f} | {middle['p99_ms']:.1f} | "
            f"{middle['cpu_us']:.0f} | {max(run['rss_mb'] for run in runs):.1f} |",
            flush=True,
        )
    if told.json:
        told.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
