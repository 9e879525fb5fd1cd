"""Parallel execution of the runs of an experiment, within the cores of the machine.

Each cell is a run in its own process that writes one report file.  A cell that has a report is not executed again,
so that an interrupted experiment can be resumed.  A cell whose run is void or writes no report is executed up to
three times.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from lugtally.testbed.experiments.experiment import MatrixCell, scenario_with_setting
from lugtally.testbed.reporting import report_file
from lugtally.testbed.reporting.report import INTERRUPTED, Report, Verdict

MAX_RUNS_PER_CELL = 3  # if its runs are void or leave no report
POLL_S = 0.1
ProgressCallback = Callable[[int, str], None]  # number of cells with a report, names of the running ones


class _CellRun(NamedTuple):
    """A run of a cell; ``number`` counts the runs of the cell from 1."""

    cell: MatrixCell
    number: int


def _ignore_progress(_done: int, _running: str) -> None:
    """Do nothing."""


def run_cells(
    cells: list[MatrixCell], folder: Path, max_parallel: int, on_progress: ProgressCallback = _ignore_progress
) -> dict[str, Report]:
    """Execute the cells that have no report yet; return the reports of all cells by the name of the cell."""
    folder.mkdir(parents=True, exist_ok=True)
    matrix = _MatrixRun(cells, folder)
    try:
        while matrix.is_unfinished:
            matrix.start_runs(max_parallel)
            time.sleep(POLL_S)
            matrix.collect_finished()
            on_progress(len(matrix.reports), matrix.running_names())
    finally:
        matrix.stop()
    return {cell.name: matrix.reports[cell.name] for cell in cells if cell.name in matrix.reports}


class _MatrixRun:
    """The cells of an experiment that are waiting and running, and the finished reports by the name of the cell."""

    def __init__(self, cells: list[MatrixCell], folder: Path) -> None:
        self.reports: dict[str, Report] = {}
        self._folder = folder
        self._waiting: deque[_CellRun] = deque()
        self._running: dict[subprocess.Popen[bytes], _CellRun] = {}
        for cell in cells:
            if not self._collect_report(cell):
                self._waiting.append(_CellRun(cell, 1))

    @property
    def is_unfinished(self) -> bool:
        """Whether cells are waiting or running."""
        return bool(self._waiting or self._running)

    def running_names(self) -> str:
        """Return the names of the running cells."""
        return ", ".join(run.cell.name for run in self._running.values())

    def start_runs(self, max_parallel: int) -> None:
        """Start waiting runs, as long as fewer than ``max_parallel`` are running."""
        while self._waiting and len(self._running) < max_parallel:
            run = self._waiting.popleft()
            self._running[_start_process(run.cell, self._folder)] = run

    def collect_finished(self) -> None:
        """Read the reports of the runs that have ended; queue a repeat of each run that is void or has no report."""
        for process in [process for process in self._running if process.poll() is not None]:
            run = self._running.pop(process)
            is_valid = self._collect_report(run.cell) and self.reports[run.cell.name].verdict != Verdict.VOID
            if not is_valid and run.number < MAX_RUNS_PER_CELL:
                self._waiting.append(_CellRun(run.cell, run.number + 1))

    def stop(self) -> None:
        """End all running processes."""
        for process in self._running:
            process.terminate()  # a run handles SIGTERM like Ctrl-C
        for process in self._running:
            process.wait()

    def _collect_report(self, cell: MatrixCell) -> bool:
        """Read and store the report of a cell; return whether there is one."""
        report = _load_report(self._folder, cell)
        if report is None:
            self.reports.pop(cell.name, None)
            return False
        self.reports[cell.name] = report
        return True


def max_parallel_runs(cores_per_run: int) -> int:
    """Return how many runs with ``cores_per_run`` cores each the machine can execute in parallel, at least one."""
    return max(1, (os.cpu_count() or 1) // max(1, cores_per_run))


def _start_process(cell: MatrixCell, folder: Path) -> subprocess.Popen[bytes]:
    """Start the process that executes a cell."""
    path = folder / f"{cell.name}{report_file.SCENARIO_SUFFIX}"
    path.write_text(scenario_with_setting(cell.scenario, cell.setting), encoding="utf-8")
    command = [sys.executable, "-B", "-m", "lugtally", "rehearse", "run", str(path)]
    command += ["--seed", str(cell.seed), "--policy", cell.policy]
    command += ["--json", str(_report_path(folder, cell)), "--no-progress"]
    if cell.setting.operator:
        command += ["--operator", cell.setting.operator]
    with (folder / f"{cell.name}.log").open("ab") as log:
        return subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)


def _report_path(folder: Path, cell: MatrixCell) -> Path:
    return folder / f"{cell.name}.json"


def _load_report(folder: Path, cell: MatrixCell) -> Report | None:
    """Return the report of a cell; None if there is no readable report, or if the run was interrupted."""
    try:
        (report,) = report_file.load(_report_path(folder, cell))
    except (report_file.ReportError, ValueError):
        return None
    return None if any(reason.startswith(INTERRUPTED) for reason in report.reasons) else report
