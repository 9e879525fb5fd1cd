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

from lugtally.testbed.experiments.experiment import Cell, changed_scenario
from lugtally.testbed.reporting import report_file
from lugtally.testbed.reporting.report import INTERRUPTED, Report, Verdict

MAX_RUNS = 3  # of a void cell
POLL_S = 0.1
OnProgress = Callable[[int, str], None]  # number of cells with a report, names of the running ones


class _CellRun(NamedTuple):
    """A run of a cell; ``number`` counts its runs from 1."""

    cell: Cell
    number: int


def _ignore_progress(_done: int, _playing: str) -> None:
    """Do nothing."""


def play_cells(
    cells: list[Cell], folder: Path, max_parallel: int, on_progress: OnProgress = _ignore_progress
) -> dict[str, Report]:
    """Execute the cells without a report; return all reports by the name of their cell."""
    folder.mkdir(parents=True, exist_ok=True)
    reports = {cell.name: _finished_report(folder, cell) for cell in cells}
    waiting = deque(_CellRun(cell, 1) for cell in cells if reports[cell.name] is None)
    running: dict[subprocess.Popen[bytes], _CellRun] = {}
    try:
        while waiting or running:
            while waiting and len(running) < max_parallel:
                run = waiting.popleft()
                running[_start(run.cell, folder)] = run
            time.sleep(POLL_S)
            for child in [child for child in running if child.poll() is not None]:
                run = running.pop(child)
                reports[run.cell.name] = report = _finished_report(folder, run.cell)
                if (report is None or report.verdict == Verdict.VOID) and run.number < MAX_RUNS:
                    waiting.append(_CellRun(run.cell, run.number + 1))
            playing = ", ".join(run.cell.name for run in running.values())
            on_progress(sum(report is not None for report in reports.values()), playing)
    finally:
        for child in running:
            child.terminate()  # a run handles SIGTERM like Ctrl-C
        for child in running:
            child.wait()
    return {name: report for name, report in reports.items() if report is not None}


def max_parallel_runs(cores_per_run: int) -> int:
    """Return how many runs the cores of the machine allow in parallel."""
    return max(1, (os.cpu_count() or 1) // max(1, cores_per_run))


def _start(cell: Cell, folder: Path) -> subprocess.Popen[bytes]:
    """Start the process of a run."""
    path = folder / f"{cell.name}{report_file.SCENARIO_SUFFIX}"
    path.write_text(changed_scenario(cell.scenario, cell.setting), encoding="utf-8")
    command = [sys.executable, "-B", "-m", "lugtally", "rehearse", "run", str(path)]
    command += ["--seed", str(cell.seed), "--policy", cell.policy]
    command += ["--json", str(_report_path(folder, cell)), "--no-progress"]
    if cell.setting.operator:
        command += ["--operator", cell.setting.operator]
    with (folder / f"{cell.name}.log").open("ab") as log:
        return subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)


def _report_path(folder: Path, cell: Cell) -> Path:
    return folder / f"{cell.name}.json"


def _finished_report(folder: Path, cell: Cell) -> Report | None:
    """Return the report of a cell, None if there is none or the run was interrupted."""
    try:
        (report,) = report_file.load(_report_path(folder, cell))
    except (report_file.ReportError, ValueError):
        return None
    return None if any(reason.startswith(INTERRUPTED) for reason in report.reasons) else report
