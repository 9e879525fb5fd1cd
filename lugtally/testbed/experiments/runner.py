"""Execution of one run: the emulated fleet, the real sidecars and the load generator, then the verification.

Every process is a child in its own session and is ended by its id, also if the run fails.  After Ctrl-C no process is
left, and the report covers the run up to that moment.

All times of a run are seconds since its base, the reading of the monotonic clock when it was created.
"""

from __future__ import annotations

import select
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from lugtally.testbed.emulator import loopback
from lugtally.testbed.experiments import baselines
from lugtally.testbed.experiments.child_processes import ChildProcesses, RunError, await_ready, send_line
from lugtally.testbed.experiments.sidecars import SidecarGroup
from lugtally.testbed.reporting.report import INTERRUPTED, Report, build_report
from lugtally.testbed.scenario.scenario import SIDECAR_PREFIX, Scenario
from lugtally.testbed.scenario.schedule import Schedule, make_schedule
from lugtally.testbed.scenario.specification import ProcessSpecification
from lugtally.testbed.verification.event_log import EventLog, EventLogWriter, read_records
from lugtally.testbed.verification.records import ProcessEvent
from lugtally.testbed.verification.verifier import verify

START_DELAY_S = 0.4  # between the command ``go`` and the start of the scenario
POLL_S = 0.05
SHIPPED_POLICY = "module"  # the balancer that the daemon ships with

# Names of the files of the emulated fleet, the load generator and the runner in the folder of a run.
FLEET, LOAD, RUNNER = "world", "load", "runner"
PROCESS_MODULES = {FLEET: "lugtally.testbed.emulator.process", LOAD: "lugtally.testbed.loadgen.generator"}


def _ignore_progress(_seconds: float, _phase: str) -> None:
    """Do nothing."""


class Run:
    """A run of a scenario with one seed and policy."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        *,
        policy: str = SHIPPED_POLICY,
        folder: Path | None = None,
        on_progress: Callable[[float, str], None] = _ignore_progress,
        command: list[str] | None = None,
        operator_file: Path | None = None,
    ) -> None:
        """Draw the schedule of the run from the seed.

        Args:
            scenario: The scenario to execute.
            seed: Seed of the schedule.
            policy: The shipped policy, or the name of a baseline policy.
            folder: Folder of the run's files; without it they are temporary.
            on_progress: Called with the seconds of the scenario that have passed and the phase of the run.
            command: Command of another program that replaces the sidecar.
            operator_file: The operator file that the sidecars read.

        Raises:
            RunError: The policy is unknown.
        """
        self._scenario, self._seed, self._policy = scenario, seed, policy
        self._on_progress = on_progress
        self._schedule: Schedule = make_schedule(scenario, seed)
        self._is_temporary = folder is None
        self._folder = folder or Path(tempfile.mkdtemp(prefix="lugtally-rehearsal-"))
        self._folder.mkdir(parents=True, exist_ok=True)
        self._command = command or _sidecar_command(policy, operator_file)
        self._base = time.monotonic()
        self._start = 0.0  # of the scenario
        self._children = ChildProcesses(self._folder)
        self._event_log = EventLogWriter(self._event_log_path(RUNNER))

    def execute(self) -> Report:
        """Execute the run until it ends or is interrupted, and report the verified records.  Raises RunError."""
        block = loopback.LoopbackBlock()
        sidecars = SidecarGroup(
            self._schedule, block.number, self._command, self._folder, self._children, self._clock, self._record
        )
        was_interrupted = False
        try:
            self._execute(block.number, sidecars)
        except KeyboardInterrupt:
            was_interrupted = True
        finally:
            # A second Ctrl-C must not interrupt the shutdown, as it would leave processes behind.
            with _stop_signals_ignored():
                sidecars.stop()
                self._children.stop()
                self._event_log.close()
                block.close()
        return self._report(sidecars, was_interrupted)

    def _execute(self, block: int, sidecars: SidecarGroup) -> None:
        self._on_progress(0.0, "starting")
        fleet = self._start_process(FLEET, block)
        await_ready(fleet, self._folder)
        sidecars.start()
        load = self._start_process(LOAD, block)
        await_ready(load, self._folder)
        sidecars.await_ready()
        self._start = self._clock() + START_DELAY_S
        for process in (fleet, load):
            send_line(process, f"go {self._start!r}")
        self._apply_faults_until_done(fleet, load, sidecars)
        self._on_progress(self._scenario.length_s, "stopping")

    def _apply_faults_until_done(
        self, fleet: subprocess.Popen[bytes], load: subprocess.Popen[bytes], sidecars: SidecarGroup
    ) -> None:
        """Apply the sidecars' faults and supervise the processes until the load generator is done."""
        events = [event for event in self._schedule.events if event.fault.kind.startswith(SIDECAR_PREFIX)]
        assert load.stdout is not None
        while True:
            is_done, _, _ = select.select([load.stdout], [], [], POLL_S)
            if is_done:
                return  # the load generator printed ``done`` or ended
            now_s = self._clock()
            while events and now_s >= self._start + events[0].at:
                sidecars.apply_fault(events.pop(0))
            sidecars.poll()
            if fleet.poll() is not None:
                raise RunError(f"the emulated fleet ended; its log is in {self._folder}")
            self._on_progress(min(self._scenario.length_s, max(0.0, now_s - self._start)), "running")

    def _report(self, sidecars: SidecarGroup, was_interrupted: bool) -> Report:
        log = EventLog(read_records(self._event_log_path(name) for name in (FLEET, LOAD, RUNNER)))
        findings = verify(log, self._schedule, self._start)
        if was_interrupted:
            elapsed_s = max(0.0, self._clock() - self._start)
            findings.void_reasons.insert(0, f"{INTERRUPTED} after {elapsed_s:.1f} s")
        report = build_report(self._schedule, self._policy, findings, log, self._start, sidecars.usage())
        if self._is_temporary:
            shutil.rmtree(self._folder, ignore_errors=True)
        return report

    def _start_process(self, name: str, block: int) -> subprocess.Popen[bytes]:
        """Start the process of the emulated fleet or of the load generator."""
        specification = ProcessSpecification(
            self._scenario, self._seed, block, self._base, str(self._event_log_path(name))
        )
        path = self._folder / f"{name}.spec.json"
        path.write_bytes(msgspec.json.encode(specification))
        return self._children.spawn(
            [sys.executable, "-B", "-m", PROCESS_MODULES[name], str(path)],
            f"{name}.log",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def _event_log_path(self, name: str) -> Path:
        return self._folder / f"{name}.jsonl"

    def _record(self, event: ProcessEvent) -> None:
        self._event_log.write(event)
        self._event_log.flush()

    def _clock(self) -> float:
        """Return the seconds since the base."""
        return time.monotonic() - self._base


def _sidecar_command(policy: str, operator_file: Path | None) -> list[str]:
    """Return the command that starts a sidecar with this policy.  Raises RunError if the policy is unknown."""
    if policy == SHIPPED_POLICY:
        options = ["--operator", str(operator_file.resolve())] if operator_file is not None else []
        return [sys.executable, "-B", "-m", "lugtally", "serve", "--log-level", "WARNING", *options]
    if policy not in baselines.POLICY_NAMES:
        raise RunError(f"{policy}: unknown policy; known are {SHIPPED_POLICY}, {', '.join(baselines.POLICY_NAMES)}")
    return [sys.executable, "-B", "-m", "lugtally.testbed.experiments.baselines", policy]


@contextmanager
def _stop_signals_ignored() -> Iterator[None]:
    """Ignore the signals that end a run.

    Outside the main thread it does nothing, as only the main thread handles signals.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    previous_handlers = {number: signal.signal(number, signal.SIG_IGN) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        yield
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
