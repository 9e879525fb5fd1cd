"""Plays the runs of an experiment side by side, within the cores there are.

Each cell is a run in a process of its own and one report file.  A cell whose file is there is not played again, so an
experiment goes on where an interrupt left it.  A void cell is played again, twice at most, and left out after that.
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

MAX_TURNS = 3  # of a void cell
POLL_S = 0.1
OnProgress = Callable[[int, str], None]  # cells that have a report, and the names of those being played


class _Turn(NamedTuple):
    """A cell, and how many times it is played with this one."""

    cell: Cell
    number: int


def _ignore_progress(_done: int, _playing: str) -> None:
    """Show nothing."""


def play_cells(
    cells: list[Cell], folder: Path, max_parallel: int, on_progress: OnProgress = _ignore_progress
) -> dict[str, Report]:
    """Play the cells that have no report yet; return all reports by the cells' names."""
    folder.mkdir(parents=True, exist_ok=True)
    reports = {cell.name: _finished_report(folder, cell) for cell in cells}
    waiting = deque(_Turn(cell, 1) for cell in cells if reports[cell.name] is None)
    running: dict[subprocess.Popen[bytes], _Turn] = {}
    try:
        while waiting or running:
            while waiting and len(running) < max_parallel:
                turn = waiting.popleft()
                running[_start(turn.cell, folder)] = turn
            time.sleep(POLL_S)
            for child in [child for child in running if child.poll() is not None]:
                turn = running.pop(child)
                reports[turn.cell.name] = report = _finished_report(folder, turn.cell)
                if (report is None or report.verdict == Verdict.VOID) and turn.number < MAX_TURNS:
                    waiting.append(_Turn(turn.cell, turn.number + 1))
            playing = ", ".join(turn.cell.name for turn in running.values())
            on_progress(sum(report is not None for report in reports.values()), playing)
    finally:
        for child in running:
            child.terminate()  # SIGTERM ends a run as Ctrl-C does
        for child in running:
            child.wait()
    return {name: report for name, report in reports.items() if report is not None}


def max_parallel_runs(cores_per_run: int) -> int:
    """How many runs the machine carries side by side."""
    return max(1, (os.cpu_count() or 1) // max(1, cores_per_run))


def _start(cell: Cell, folder: Path) -> subprocess.Popen[bytes]:
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
    """The report of a cell; none where there is none, or where the run was interrupted."""
    try:
        (report,) = report_file.load(_report_path(folder, cell))
    except (report_file.ReportError, ValueError):
        return None
    return None if any(reason.startswith(INTERRUPTED) for reason in report.reasons) else report
