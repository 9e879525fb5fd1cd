"""Parallel execution of the runs of an experiment, within the cores of the machine.

Each cell is a run in a process of its own, with one report file.  A cell with a report is not executed again, so that
an interrupted experiment resumes.  A void cell is executed up to three times.
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

MAX_RUNS = 3  # of a void cell
POLL_S = 0.1
OnProgress = Callable[[int, str], None]  # number of cells with a report, names of the running ones


class _CellRun(NamedTuple):
    """A run of a cell; ``number`` counts its runs from 1."""

    cell: MatrixCell
    number: int


def _ignore_progress(_done: int, _running: str) -> None:
    """Do nothing."""


def run_cells(
    cells: list[MatrixCell], folder: Path, max_parallel: int, on_progress: OnProgress = _ignore_progress
) -> dict[str, Report]:
    """Execute the cells without a report; return all reports by the name of their cell."""
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
    """The waiting and running cells of an experiment, and the reports so far by the name of their cell."""

    def __init__(self, cells: list[MatrixCell], folder: Path) -> None:
        self.reports: dict[str, Report] = {}
        self._folder = folder
        self._waiting: deque[_CellRun] = deque()
        self._running: dict[subprocess.Popen[bytes], _CellRun] = {}
        for cell in cells:
            if not self._read_report(cell):
                self._waiting.append(_CellRun(cell, 1))

    @property
    def is_unfinished(self) -> bool:
        """Whether cells are waiting or running."""
        return bool(self._waiting or self._running)

    def running_names(self) -> str:
        """Return the names of the running cells."""
        return ", ".join(run.cell.name for run in self._running.values())

    def start_runs(self, max_parallel: int) -> None:
        """Start waiting cells up to the limit of parallel runs."""
        while self._waiting and len(self._running) < max_parallel:
            run = self._waiting.popleft()
            self._running[_start(run.cell, self._folder)] = run

    def collect_finished(self) -> None:
        """Read the reports of the runs that have ended, and repeat cells that are void or have no report."""
        for child in [child for child in self._running if child.poll() is not None]:
            run = self._running.pop(child)
            is_valid = self._read_report(run.cell) and self.reports[run.cell.name].verdict != Verdict.VOID
            if not is_valid and run.number < MAX_RUNS:
                self._waiting.append(_CellRun(run.cell, run.number + 1))

    def stop(self) -> None:
        """End all running cells."""
        for child in self._running:
            child.terminate()  # a run handles SIGTERM like Ctrl-C
        for child in self._running:
            child.wait()

    def _read_report(self, cell: MatrixCell) -> bool:
        """Store the report of a cell; return whether there is one."""
        report = _finished_report(self._folder, cell)
        if report is None:
            self.reports.pop(cell.name, None)
            return False
        self.reports[cell.name] = report
        return True


def max_parallel_runs(cores_per_run: int) -> int:
    """Return how many runs the cores of the machine allow in parallel."""
    return max(1, (os.cpu_count() or 1) // max(1, cores_per_run))


def _start(cell: MatrixCell, folder: Path) -> subprocess.Popen[bytes]:
    """Start the process of a run."""
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


def _finished_report(folder: Path, cell: MatrixCell) -> Report | None:
    """Return the report of a cell, None if there is none or the run was interrupted."""
    try:
        (report,) = report_file.load(_report_path(folder, cell))
    except (report_file.ReportError, ValueError):
        return None
    return None if any(reason.startswith(INTERRUPTED) for reason in report.reasons) else report
