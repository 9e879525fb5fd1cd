"""Operators' calls at the two processes of an upgrade, through real sidecar processes."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from functools import partial
from pathlib import Path

import pytest

from lugtally.admin.drain_change import DrainChange
from tests.running_sidecar import RunningSidecar
from tests.threaded_endpoint import ThreadedEndpoint, respond_ok

ENDPOINTS = ("s-0", "s-1", "s-2", "s-3")
BETWEEN_CALLS_S = 0.05
CALL_TIME_S = 1.0
"""How long an operator waits for a response."""
READ_INTERVAL_S = 0.25
ALLOWED_DELAY_S = 0.3
READ_COUNT = 30


class Upgrade:
    """An old and a new process of one sidecar name, which share a folder."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._folder, self._stack = folder, stack
        self._endpoints = [ThreadedEndpoint(partial(respond_ok, body=name.encode())) for name in ENDPOINTS]
        for endpoint in self._endpoints:
            stack.callback(endpoint.close)
        self.old, self.new = self.start_process(), self.start_process()

    def start_process(self) -> RunningSidecar:
        return self._stack.enter_context(
            RunningSidecar(self._folder, [endpoint.address for endpoint in self._endpoints])
        )

    def call(self, process: str, operation: str, endpoint: str) -> None:
        """Make a call; fail if its response is not a yes in time."""
        started_at = time.monotonic()
        sidecar: RunningSidecar = getattr(self, process)
        status, _ = sidecar.admin_call("POST", f"/control/pledge-servers/{endpoint}/{operation}")
        assert status == 200
        assert time.monotonic() - started_at < CALL_TIME_S

    def check_drained(self, expected: set[str], *processes: str) -> None:
        """Check the drains that are in force at these processes, and at one that starts now."""
        time.sleep(READ_INTERVAL_S + ALLOWED_DELAY_S)
        for sidecar in (*(getattr(self, process) for process in processes), self.start_process()):
            counters = json.loads(sidecar.admin_call("GET", "/control/counters")[1])
            assert counters["targets_disabled"] == len(expected)
            assert not expected & used_endpoints(sidecar)


def used_endpoints(sidecar: RunningSidecar) -> set[str]:
    """Return the endpoints that respond to a number of requests."""
    used = set()
    with socket.create_connection(sidecar.listen_address, timeout=5.0) as client:
        for number in range(READ_COUNT):
            client.sendall(
                f"GET /campaign-read HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: r{number}\r\n"
                "X-Service-Class: campaign-read\r\nX-Time-Left: 2.0\r\n\r\n".encode()
            )
            response = b""
            while b"\r\n\r\ns-" not in response or len(response.partition(b"\r\n\r\n")[2]) < 3:
                data = client.recv(4096)
                assert data
                response += data
            used.add(response.partition(b"\r\n\r\n")[2].decode())
    return used


@pytest.fixture
def upgrade(tmp_path: Path) -> Iterator[Upgrade]:
    with ExitStack() as stack:
        yield Upgrade(tmp_path, stack)


@pytest.mark.parametrize(
    ("calls", "expected"),
    [
        ("old offline s-0, new offline s-1", {"s-0", "s-1"}),
        ("new offline s-0, old offline s-1", {"s-0", "s-1"}),
        ("old offline s-0, new offline s-1, old offline s-2", {"s-0", "s-1", "s-2"}),
        ("old offline s-0, new online s-0", set()),
        ("new offline s-0, old online s-0", set()),
        ("old offline s-0, new online s-0, old offline s-0", {"s-0"}),
        ("old offline s-0, old offline s-1, new online s-0", {"s-1"}),
    ],
)
def test_calls_at_both_processes_are_in_force(calls: str, expected: set[str], upgrade: Upgrade) -> None:
    """Guards against a drain, or its end, that is lost because the other process writes what it knew (review/7)."""
    for call in calls.split(", "):
        upgrade.call(*call.split())
        time.sleep(BETWEEN_CALLS_S)
    upgrade.check_drained(expected, "old", "new")


def test_calls_at_one_moment_are_in_force(upgrade: Upgrade) -> None:
    """Guards against two writers that replace each other's change."""
    calls = [
        threading.Thread(target=upgrade.call, args=(process, "offline", endpoint))
        for process, endpoint in (("old", "s-0"), ("new", "s-1"))
    ]
    for thread in calls:
        thread.start()
    for thread in calls:
        thread.join()
    upgrade.check_drained({"s-0", "s-1"}, "old", "new")


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL], ids=["SIGTERM", "SIGKILL"])
def test_drain_survives_the_end_of_its_process(how: signal.Signals, upgrade: Upgrade) -> None:
    """Guards against a drain that only the process knows which has confirmed it, and which then ends."""
    upgrade.call("new", "offline", "s-2")
    time.sleep(READ_INTERVAL_S + ALLOWED_DELAY_S)
    upgrade.call("old", "offline", "s-0")
    upgrade.old.process.send_signal(how)
    upgrade.call("new", "offline", "s-1")
    upgrade.check_drained({"s-0", "s-1", "s-2"}, "new")


def test_drain_in_shutdown_is_heeded_by_the_old_process(upgrade: Upgrade) -> None:
    """Guards against requests of a process in its shutdown to an endpoint that the new one drains."""
    client = upgrade.old.connect()
    client.sendall(b"GET /campaign-read HTTP/1.1\r\n")  # its request delays the end of the shutdown
    upgrade.old.process.send_signal(signal.SIGTERM)
    upgrade.call("new", "offline", "s-1")
    time.sleep(READ_INTERVAL_S + ALLOWED_DELAY_S)
    assert json.loads(upgrade.old.admin_call("GET", "/control/counters")[1])["targets_disabled"] == 1


def test_stopped_process_does_not_delay_the_other(upgrade: Upgrade) -> None:
    """Guards against a process that is stopped within a change and keeps the other one from making its own."""
    upgrade.call("old", "offline", "s-0")
    upgrade.old.process.send_signal(signal.SIGSTOP)
    upgrade.call("new", "offline", "s-1")
    upgrade.call("new", "online", "s-0")
    upgrade.old.process.send_signal(signal.SIGCONT)
    upgrade.check_drained({"s-1"}, "old", "new")


def test_drains_of_an_earlier_version_are_in_force(tmp_path: Path) -> None:
    """Guards against drains that an upgrade loses, or that return although they have been ended since."""
    earlier_file = tmp_path / "lugtally-n1-drains.json"
    earlier_file.write_text(json.dumps({"format": 1, "banned": ["s-0", "s-1"]}))
    with ExitStack() as stack:
        upgrade = Upgrade(tmp_path, stack)
        upgrade.call("new", "online", "s-0")
        upgrade.check_drained({"s-1"}, "old", "new")
        earlier_file.write_text(json.dumps({"format": 1, "banned": ["s-0", "s-2"]}))  # as an earlier process would
        upgrade.check_drained({"s-2"}, "old", "new")


def test_incomplete_change_of_a_killed_writer_is_ignored(upgrade: Upgrade, tmp_path: Path) -> None:
    """Guards against an incomplete file of a killed process."""
    upgrade.call("old", "offline", "s-0")
    folder = tmp_path / "lugtally-n1-drains"
    change = DrainChange("s-0", False, time.monotonic_ns(), 1)
    (folder / change.file_name).with_suffix(".new").write_bytes(change.encode()[:10])
    upgrade.check_drained({"s-0"}, "old", "new")
