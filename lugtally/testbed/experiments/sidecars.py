"""Sidecar processes of a run: their start, faults, restarts, resource usage and shutdown."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import psutil

from lugtally.testbed.emulator import loopback
from lugtally.testbed.experiments.child_processes import READY_TIMEOUT_S, ChildProcesses, RunError
from lugtally.testbed.experiments.core_contention import CoreContention
from lugtally.testbed.experiments.sidecar_configuration import sidecar_configuration
from lugtally.testbed.reporting.report import SidecarUsage
from lugtally.testbed.scenario.fault_events import FaultEvent
from lugtally.testbed.scenario.scenario import SIDECAR_PREFIX
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.records import ProcessEvent, ProcessEventKind

STOP_TIMEOUT_S = 8.0  # for a sidecar to end after SIGTERM, in addition to the longest deadline of a request class
STOP_POLL_S = 0.01
START_POLL_S = 0.02
SAMPLE_INTERVAL_S = 0.5
HEALTH_CHECK_TIMEOUT_S = 0.2
BYTES_PER_MB = 2**20
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
SIGNALS = {
    ProcessEventKind.KILL: signal.SIGKILL,
    ProcessEventKind.TERM: signal.SIGTERM,
    ProcessEventKind.HUP: signal.SIGHUP,
}


@dataclass(slots=True)
class Sidecar:
    """The process, state and resource usage of a sidecar."""

    number: int
    process: subprocess.Popen[bytes] | None = None
    psutil_process: psutil.Process | None = None
    is_ready: bool = False
    is_stopping: bool = False  # SIGTERM or SIGKILL was sent
    restart_at: float | None = None  # None if no restart is due
    cpu_s: float = 0.0  # over all restarts
    cpu_before_restart_s: float = 0.0
    max_rss_mb: float = 0.0
    core: int | None = None  # the core to which it is pinned


class SidecarGroup:
    """All sidecars of a run.  Times are seconds since the base of the run."""

    def __init__(
        self,
        schedule: Schedule,
        block: int,
        command: list[str],
        folder: Path,
        children: ChildProcesses,
        clock: Callable[[], float],
        record: Callable[[ProcessEvent], None],
    ) -> None:
        """Prepare the sidecars, without starting them.

        Args:
            schedule: The schedule of the run.
            block: Number of the run's block of loopback addresses.
            command: Command that starts a sidecar.
            folder: Folder for the configurations and logs of the sidecars.
            children: The child processes of the run, to which the sidecars are added.
            clock: Returns the seconds since the base of the run.
            record: Called with each event of a sidecar process.
        """
        self._schedule = schedule
        self._block = block
        self._command = command
        self._folder = folder
        self._children = children
        self._clock = clock
        self._record = record
        self._contention = CoreContention(children)
        self._sampled_at = 0.0
        self._sidecars = [Sidecar(number) for number in range(schedule.scenario.fleet.sidecars)]
        if schedule.scenario.fleet.pinned:
            self._pin_to_cores()

    def start(self) -> None:
        """Write the configurations of all sidecars and start them."""
        for sidecar in self._sidecars:
            configuration = sidecar_configuration(self._schedule, self._block, sidecar.number)
            self._configuration_path(sidecar).write_text(json.dumps(configuration), encoding="utf-8")
            self._start_process(sidecar)

    def await_ready(self) -> None:
        """Wait until all sidecars are ready.  Raises RunError."""
        deadline_s = self._clock() + READY_TIMEOUT_S
        while not all(sidecar.is_ready for sidecar in self._sidecars):
            self.poll()
            if self._clock() > deadline_s:
                raise RunError(f"a sidecar was not ready after {READY_TIMEOUT_S:g} s; its log is in {self._folder}")
            processes = [sidecar.process for sidecar in self._sidecars if sidecar.process is not None]
            if any(process.poll() is not None for process in processes):
                raise RunError(f"a sidecar ended before it was ready; its log is in {self._folder}")
            time.sleep(START_POLL_S)

    def poll(self) -> None:
        """Record the sidecars that became ready or ended, and restart those that are due."""
        self._sample_usage()
        for sidecar in self._sidecars:
            if sidecar.process is not None:
                self._poll_process(sidecar, sidecar.process)
            elif sidecar.restart_at is not None and self._clock() >= sidecar.restart_at:
                sidecar.restart_at = None
                self._start_process(sidecar)

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply the begin or the end of a fault to its sidecar."""
        sidecar, fault = self._sidecars[event.fault.sidecar], event.fault
        if fault.kind == "sidecar-starved":
            self._apply_core_contention(sidecar, event)
            return
        if not event.begins or sidecar.process is None or sidecar.is_stopping:
            return
        kind = ProcessEventKind(fault.kind.removeprefix(SIDECAR_PREFIX))
        if kind is not ProcessEventKind.HUP:
            sidecar.restart_at = self._clock() + fault.takes_s
        self._send_signal(sidecar, sidecar.process, kind)

    def stop(self) -> None:
        """Send SIGTERM to all sidecars and wait until they have shut down."""
        self._sample_usage(force=True)
        self._contention.kill_all()
        for sidecar in self._sidecars:
            sidecar.restart_at = None
            if sidecar.process is not None and sidecar.process.poll() is None and not sidecar.is_stopping:
                self._send_signal(sidecar, sidecar.process, ProcessEventKind.TERM)
        longest_deadline_s = max(request_class.deadline_ms for request_class in self._schedule.scenario.classes) / 1000
        deadline_s = self._clock() + longest_deadline_s + STOP_TIMEOUT_S
        while self._clock() < deadline_s and any(sidecar.process is not None for sidecar in self._sidecars):
            self.poll()
            time.sleep(STOP_POLL_S)

    def usage(self) -> list[SidecarUsage]:
        """Return the resource usage of each sidecar."""
        return [SidecarUsage(round(sidecar.cpu_s, 3), round(sidecar.max_rss_mb, 2)) for sidecar in self._sidecars]

    def _configuration_path(self, sidecar: Sidecar) -> Path:
        return self._folder / f"sidecar-{sidecar.number}.json"

    def _start_process(self, sidecar: Sidecar) -> None:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment["PROXY_CONFIG"] = str(self._configuration_path(sidecar))
        environment["TMPDIR"] = str(self._folder)  # as in service, no other run shares the files of a sidecar
        sidecar.process = self._children.spawn(
            self._command,
            f"sidecar-{sidecar.number}.log",
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )
        sidecar.psutil_process = psutil.Process(sidecar.process.pid)
        if sidecar.core is not None:
            os.sched_setaffinity(sidecar.process.pid, {sidecar.core})
        sidecar.is_ready = False

    def _pin_to_cores(self) -> None:
        """Assign a core to each sidecar, in descending order of the core numbers."""
        cores = sorted(os.sched_getaffinity(0))
        for sidecar in self._sidecars:
            sidecar.core = cores[-1 - sidecar.number % len(cores)]

    def _poll_process(self, sidecar: Sidecar, process: subprocess.Popen[bytes]) -> None:
        status = process.poll()
        if status is not None:
            sidecar.cpu_before_restart_s = sidecar.cpu_s
            sidecar.process, sidecar.psutil_process = None, None
            sidecar.is_stopping = False
            self._record_event(sidecar, ProcessEventKind.ENDED, status)
        elif not sidecar.is_ready and is_ready(self._block, sidecar.number):
            sidecar.is_ready = True
            self._record_event(sidecar, ProcessEventKind.READY)

    def _send_signal(self, sidecar: Sidecar, process: subprocess.Popen[bytes], kind: ProcessEventKind) -> None:
        self._record_event(sidecar, kind)
        if kind is not ProcessEventKind.HUP:
            sidecar.is_stopping = True
        process.send_signal(SIGNALS[kind])

    def _record_event(self, sidecar: Sidecar, kind: ProcessEventKind, status: int = 0) -> None:
        self._record(ProcessEvent(self._clock(), sidecar.number, kind, status))

    def _apply_core_contention(self, sidecar: Sidecar, event: FaultEvent) -> None:
        if not event.begins:
            self._contention.stop(sidecar.number)
            return
        assert sidecar.core is not None, "scenarios with starved sidecars pin them"
        self._contention.start(sidecar.number, sidecar.core, event.fault.size)

    def _sample_usage(self, *, force: bool = False) -> None:
        now_s = self._clock()
        if not force and now_s - self._sampled_at < SAMPLE_INTERVAL_S:
            return
        self._sampled_at = now_s
        for sidecar in self._sidecars:
            if sidecar.psutil_process is None:
                continue
            try:
                times, memory = sidecar.psutil_process.cpu_times(), sidecar.psutil_process.memory_info()
            except psutil.Error:
                continue  # the process has just ended
            sidecar.cpu_s = sidecar.cpu_before_restart_s + times.user + times.system
            sidecar.max_rss_mb = max(sidecar.max_rss_mb, memory.rss / BYTES_PER_MB)


def is_ready(block: int, sidecar: int) -> bool:
    """Return whether a sidecar reports that it is ready."""
    address = (loopback.sidecar_host(block, sidecar), loopback.PORT)
    try:
        with socket.create_connection(address, HEALTH_CHECK_TIMEOUT_S) as connection:
            connection.settimeout(HEALTH_CHECK_TIMEOUT_S)
            connection.sendall(HEALTH_CHECK)
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
