"""Tests of the sidecar without a recorded exchange: configuration errors, and reference cycles left by requests."""

from __future__ import annotations

import gc
import json
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from lugtally import balancing, dispatch
from lugtally.address import Address
from lugtally.config.endpoint_list import parse_endpoint_list
from lugtally.discovery.watcher import EndpointWatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop, WakeReason
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream import ConnectionLimits, UpstreamPool
from tests.integration.player import Player
from tests.sidecar_program import ROOT
from tests.sockets import listener

WARM_UP_REQUESTS = 20
MEASURED_REQUESTS = 100
READ_CLASS = balancing.RequestClass(
    "campaign-read",
    balancing.Idempotency.IDEMPOTENT,
    balancing.DeduplicationScope.ALL,
    0,
    2 * NS_PER_S,
    8 * NS_PER_S,
)
# The keys are the fields that the error message names, the values make the configuration invalid.
INVALID_CONFIGURATIONS: dict[str, dict[str, Any]] = {
    "listen": {"listen": "nowhere"},
    "discovery": {"discovery": "host.example:80"},
    "seed": {"seed": "xyz"},
    "limits.sockets": {"limits": {"sockets": 3}},
    "settings.grades": {"settings": {"grades": []}},
    "settings: effect": {"settings": {"grades": [{"effect": "twice"}]}},
    "settings: slo_ns": {"settings": {"grades": [{"slo_ns": "soon"}]}},
    "settings: accounts": {"settings": {"grades": [{}], "accounts": ["a"]}},
    "settings: quota_per_s": {"settings": {"grades": [{}], "accounts": [{"quota_per_s": "many"}]}},
    "known.servers[0].addr": {"known": {"version": 1, "servers": [{"id": "s", "state": "ready", "addr": 4}]}},
    "known.version": {"known": {"servers": []}},
}


def run_command(
    folder: Path, change: dict[str, Any], command: str, **environment: str
) -> subprocess.CompletedProcess[str]:
    """Run a sub-command of ``lugtally`` with a changed configuration until it exits."""
    player = Player(folder)
    path = folder / "config.json"
    path.write_text(json.dumps({**player.config(), **change}))
    player.end()
    return subprocess.run(
        [sys.executable, "-B", "-m", "lugtally", command],
        cwd=ROOT,
        text=True,
        check=False,
        capture_output=True,
        env={"PROXY_CONFIG": str(path), **environment},
    )


@pytest.mark.parametrize("command", ["check-config", "serve"])
@pytest.mark.parametrize(("field", "change"), INVALID_CONFIGURATIONS.items(), ids=INVALID_CONFIGURATIONS)
def test_invalid_configuration_prints_one_line_naming_the_field(
    field: str, change: dict[str, Any], command: str, tmp_path: Path
) -> None:
    completed = run_command(tmp_path, change, command)
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert completed.stderr.startswith(f"lugtally: {field}: ")
    assert completed.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("command", "output"), [("version", "lugtally 0."), ("check-config", "n1: 3 classes, 1 cached")]
)
def test_version_and_check_config_exit_with_success(command: str, output: str, tmp_path: Path) -> None:
    completed = run_command(tmp_path, {}, command)
    assert completed.returncode == 0
    assert completed.stdout.startswith(output)


@pytest.mark.parametrize("text", ["x", "-1", "7.0", "99"])
def test_invalid_inherited_descriptor_prints_one_line(text: str, tmp_path: Path) -> None:
    completed = run_command(tmp_path, {}, "serve", PROXY_SOCKET_FD=text)
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert completed.stderr.startswith("lugtally: PROXY_SOCKET_FD: ")
    assert completed.stderr.count("\n") == 1


class InProcessSidecar:
    """The network code of a sidecar in this process, with one endpoint."""

    def __init__(self, server: socket.socket) -> None:
        self.loop = EventLoop()
        self.dispatcher = dispatch.Dispatcher(balancing.Settings((READ_CLASS,), max_attempts=4), 1, self.loop)
        upstream = UpstreamPool(self.loop, ConnectionLimits(1000 * NS_PER_MS, 60_000 * NS_PER_MS, 9), ())
        self.endpoint_watcher = EndpointWatcher(self.loop, self.dispatcher, upstream, Address("127.0.0.1", 9), ("a",))
        self.dispatcher.set_handlers(upstream.close_idle_connections, lambda: None)
        self.downstream = DownstreamServer(self.loop, self.dispatcher, upstream, (READ_CLASS,), 9)
        self.downstream.listen(Address("127.0.0.1", 0))
        host, port = server.getsockname()
        endpoint_records = [{"id": "s", "addr": f"{host}:{port}", "zone": "a", "state": "ready"}]
        self.endpoint_watcher.start(
            parse_endpoint_list({"version": 1, "full": True, "servers": endpoint_records}, "known")
        )


@pytest.fixture
def server() -> Iterator[socket.socket]:
    """The listening socket of the only endpoint."""
    with listener() as sock:
        yield sock


@pytest.fixture
def reenable_garbage_collection() -> Iterator[None]:
    """Enable the garbage collector again after the test."""
    yield
    gc.enable()


@pytest.mark.usefixtures("reenable_garbage_collection")
def test_requests_leave_no_reference_cycles(server: socket.socket) -> None:
    """One reference cycle per request would make memory and garbage collections grow with the request rate."""
    sidecar = InProcessSidecar(server)
    loop = sidecar.loop
    assert sidecar.downstream.listener is not None
    listen_address = sidecar.downstream.listener.getsockname()
    unreachable_counts: list[int] = []

    def serve() -> None:
        loop.wait(server.fileno(), 1)
        connection, _ = server.accept()
        while loop.wait(connection.fileno(), 1) is WakeReason.READY and connection.recv(4096):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")

    def send_requests() -> None:
        with socket.create_connection(listen_address) as client:
            for number in range(WARM_UP_REQUESTS + MEASURED_REQUESTS):
                client.sendall(b"GET /campaign-read HTTP/1.1\r\nX-Correlation-Id: r%d\r\n\r\n" % number)
                loop.wait(client.fileno(), 1)
                assert b"200 OK" in client.recv(4096)
                if number == WARM_UP_REQUESTS - 1:
                    gc.collect()
                    gc.disable()
        unreachable_counts.append(gc.collect())
        loop.stop()

    loop.spawn(serve)
    loop.spawn(send_requests)
    loop.run(sidecar.dispatcher.run_due_timers)
    assert unreachable_counts, "the requests did not finish"
    assert unreachable_counts[0] < MEASURED_REQUESTS, "at least one unreachable object per request"
