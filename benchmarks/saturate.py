"""Measure the capacity of one sidecar, pinned to one core, in front of ten servers that respond immediately.

    python benchmarks/saturate.py --connections 1,16,64 --seconds 4 --runs 3 [--pause-ms 0] [--json FILE]

Clients form a closed loop: each connection sends its next request only after the response to the last one, even if that
was a rejection, and an optional pause.  Servers and clients run in processes of their own, on other cores.  CPU usage
is the process time of the sidecar; memory usage is the maximum of ten samples per second.
"""

from __future__ import annotations

import argparse
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
from pathlib import Path

import msgspec
import psutil
from msgspec import Struct
from saturation_clients import (
    DEADLINE_S,
    HTTP_OK,
    HTTP_SERVICE_UNAVAILABLE,
    ClientOptions,
    ClientResult,
    run_clients,
)
from saturation_servers import run_servers

from lugtally.testbed.emulator import loopback
from lugtally.testbed.experiments.sidecar_configuration import sidecar_configuration
from lugtally.testbed.experiments.sidecars import is_ready
from lugtally.testbed.scenario import scenario_file
from lugtally.testbed.scenario.schedule import make_schedule

SERVER_COUNT = 10
LATENCY_OBJECTIVE_MS = 2000
SCENARIO = f"""
name = "saturate"
about = "One sidecar alone."
[fleet]
servers = {SERVER_COUNT}
sidecars = 1
[[classes]]
name = "read"
share = 1
work_ms = 1
aim_ms = {LATENCY_OBJECTIVE_MS}
deadline_ms = {DEADLINE_S * 1000}
worth = 1
effect = "safe"
key_scope = "all"
"""
MEMORY_SAMPLE_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 5
READY_TIMEOUT_S = 10
READY_POLL_INTERVAL_S = 0.02
BYTES_PER_MB = 2**20
TABLE_HEADER = (
    "| connections | served/s (range) | rejected | other | p50 ms | p99 ms | CPU µs/request | RSS MB |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- |"
)


class Measurement(Struct, rename={"rejected": "refused"}):
    """Result of a run.  The JSON file has the keys of earlier measurements, so that files can be compared."""

    connections: int
    served_per_s: float
    rejected: int
    other: int  # responses that are neither 200 nor 503
    p50_ms: float  # latency of served requests
    p99_ms: float
    cores: float  # CPU seconds that the sidecar used per second
    cpu_us: float  # CPU time of the sidecar per response
    rss_mb: float  # maximum resident memory of the sidecar


@contextmanager
def running_servers(block: int, cores: set[int]) -> Iterator[None]:
    """Run the servers and the discovery service in a process of their own; they are ready on entry."""
    ready = multiprocessing.Event()
    servers = multiprocessing.Process(target=run_servers, args=(block, SERVER_COUNT, ready, cores), daemon=True)
    servers.start()
    try:
        ready.wait(READY_TIMEOUT_S)
        yield
    finally:
        servers.terminate()


@contextmanager
def running_sidecar(block: int, memory_mb: int, core: int) -> Iterator[psutil.Process]:
    """Run a sidecar that is pinned to a core; it is ready on entry."""
    schedule = make_schedule(scenario_file.decode(SCENARIO, "saturate"), 1)
    configuration = sidecar_configuration(schedule, block, 0)
    configuration["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    configuration_path = Path(tempfile.mkdtemp(prefix="lugtally-saturate-")) / "config.json"
    configuration_path.write_text(json.dumps(configuration))
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve", "--log-level", "ERROR"],
        env={**os.environ, "PROXY_CONFIG": str(configuration_path)},
    )
    try:
        os.sched_setaffinity(process.pid, {core})
        while not is_ready(block, 0):
            time.sleep(READY_POLL_INTERVAL_S)
        yield psutil.Process(process.pid)
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()


def run_measurement(options: ClientOptions, memory_mb: int) -> Measurement:
    """Run a sidecar on the first core, servers on the second and clients on the third, and measure the sidecar."""
    cores = sorted(os.sched_getaffinity(0))
    block = loopback.LoopbackBlock()
    try:
        with (
            running_servers(block.number, {cores[1 % len(cores)]}),
            running_sidecar(block.number, memory_mb, cores[0]) as sidecar,
        ):
            return measure_under_load(sidecar, block.number, options, {cores[2 % len(cores)]})
    finally:
        block.close()


def measure_under_load(
    sidecar: psutil.Process, block: int, options: ClientOptions, client_cores: set[int]
) -> Measurement:
    """Run the clients and measure the sidecar while they send requests."""
    receiver, sender = multiprocessing.Pipe()
    host = loopback.sidecar_host(block, 0)
    clients = multiprocessing.Process(target=run_clients, daemon=True, args=(host, options, client_cores, sender))
    clients.start()
    assert receiver.recv() == "begin"
    cpu_before, max_rss_mb = sidecar.cpu_times(), 0.0
    while not receiver.poll(MEMORY_SAMPLE_INTERVAL_S):
        max_rss_mb = max(max_rss_mb, sidecar.memory_info().rss / BYTES_PER_MB)
    cpu_after = sidecar.cpu_times()
    result: ClientResult = receiver.recv()
    cpu_s = cpu_after.user + cpu_after.system - cpu_before.user - cpu_before.system
    clients.join(STOP_TIMEOUT_S)
    responses = sum(result.response_counts.values())
    served, rejected = result.response_counts.get(HTTP_OK, 0), result.response_counts.get(HTTP_SERVICE_UNAVAILABLE, 0)
    return Measurement(
        connections=options.connections,
        served_per_s=served / result.seconds,
        rejected=rejected,
        other=responses - served - rejected,
        p50_ms=result.p50_ms,
        p99_ms=result.p99_ms,
        cores=cpu_s / result.seconds,
        cpu_us=1e6 * cpu_s / max(1, responses),
        rss_mb=max_rss_mb,
    )


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


def table_row(runs: list[Measurement]) -> str:
    """Format the runs with the same number of connections as a row: medians, range of the served rate, maximum RSS."""
    served = [run.served_per_s for run in runs]
    return (
        f"| {runs[0].connections} | {statistics.median(served):,.0f} ({min(served):,.0f} to {max(served):,.0f}) "
        f"| {statistics.median(run.rejected for run in runs):,.0f} "
        f"| {statistics.median(run.other for run in runs):,.0f} "
        f"| {statistics.median(run.p50_ms for run in runs):.2f} | {statistics.median(run.p99_ms for run in runs):.1f} "
        f"| {statistics.median(run.cpu_us for run in runs):.0f} | {max(run.rss_mb for run in runs):.1f} |"
    )


def main() -> None:
    """Run all measurements and print the table."""
    options = parse_options()
    measurements: list[Measurement] = []
    print(TABLE_HEADER)
    for connections in map(int, options.connections.split(",")):
        client_options = ClientOptions(connections, options.seconds, options.pause_ms / 1000)
        runs = [run_measurement(client_options, options.memory_mb) for _ in range(options.runs)]
        measurements += runs
        print(table_row(runs), flush=True)
    if options.json:
        options.json.write_text(json.dumps(msgspec.to_builtins(measurements), indent=1))


if __name__ == "__main__":
    main()
