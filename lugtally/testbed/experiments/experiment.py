"""Experiments: settings x policies x scenarios x seeds, played side by side within the cores there are.

Each cell is a run in a process of its own and one report file.  A cell whose file is there is not played again, so an
experiment goes on where an interrupt left it.  A void cell is played again, twice at most, and left out after that.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from lugtally.testbed.experiments.baselines import NAMES
from lugtally.testbed.reporting import report as reports
from lugtally.testbed.reporting.report import VOID, Report
from lugtally.testbed.scenario.scenario import ScenarioError
from lugtally.testbed.scenario.scenario_file import from_tree, shipped

CORES_EACH = 4  # of a run: two for the kit, two for its sidecars
TURNS = 3  # of a void cell
POLL_S = 0.1


class Setting(Struct, frozen=True, forbid_unknown_fields=True):
    """Changes to every scenario, by ``table.field``."""

    name: str
    set: dict[str, Any] = {}
    operator: str = ""  # an operator's file for the sidecars, beside the experiment's own or by its path


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """What an experiment's file holds."""

    name: str
    scenarios: tuple[str, ...]
    seeds: tuple[int, ...]
    policies: tuple[str, ...] = ("module",)
    settings: tuple[Setting, ...] = (Setting("as shipped"),)
    cores_each: int = CORES_EACH
    measure: str = "net"


class Cell(Struct, frozen=True):
    """One run of it."""

    setting: Setting
    scenario: str
    seed: int
    policy: str

    @property
    def name(self) -> str:
        """Its name as a file."""
        text = f"{self.setting.name}.{Path(self.scenario).stem}.{self.policy}.{self.seed}"
        return "".join(c if c.isalnum() or c in ".-+" else "_" for c in text)


def read(path: Path) -> Experiment:
    """Decode a file; a :class:`ScenarioError` is one line that names the field."""
    try:
        told = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path.name}: {error}") from error
    settings = []
    for setting in told.settings:
        operator = Path(setting.operator)
        if setting.operator and not operator.is_absolute():
            setting = msgspec.structs.replace(setting, operator=str(path.parent / operator))
        if setting.operator and not Path(setting.operator).is_file():
            raise ScenarioError(f"{path.name}: settings.{setting.name}: operator: {setting.operator}: no such file")
        settings.append(setting)
    told = msgspec.structs.replace(told, settings=tuple(settings))
    for policy in told.policies:
        if policy != "module" and policy not in NAMES:
            raise ScenarioError(f"{path.name}: policies: {policy!r} is none of module, {', '.join(NAMES)}")
    for scenario in told.scenarios:
        for setting in told.settings:
            changed(scenario, setting)
    return told


def changed(name: str, setting: Setting) -> str:
    """The text of a scenario, as JSON, with the setting's changes."""
    texts = shipped()
    try:
        text = texts[name] if name in texts else Path(name).read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}") from error
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: no TOML: {error}") from error
    for field, value in setting.set.items():
        *tables, last = field.split(".")
        place = raw
        for table in tables:
            place = place.setdefault(table, {})
            if not isinstance(place, dict):
                raise ScenarioError(f"{name}: settings.{setting.name}: {field}: {table} is no table")
        place[last] = value
    return msgspec.json.encode(from_tree(raw, f"{name} with {setting.name}")).decode()


def cells(told: Experiment) -> list[Cell]:
    """All runs, seeds outermost: what an interrupt leaves is whole for the first seeds."""
    return [
        Cell(setting, scenario, seed, policy)
        for seed in told.seeds
        for scenario in told.scenarios
        for policy in told.policies
        for setting in told.settings
    ]


def play(
    todo: list[Cell],
    folder: Path,
    at_once: int,
    watch: Callable[[int, int, str], None] = lambda _done, _of, _what: None,
) -> dict[str, Report]:
    """Play the cells that have no report yet; returns all reports by the cells' names."""
    folder.mkdir(parents=True, exist_ok=True)
    found = {cell.name: _finished(folder, cell) for cell in todo}
    waiting = [(cell, 1) for cell in todo if found[cell.name] is None]
    running: dict[subprocess.Popen[bytes], tuple[Cell, int]] = {}
    try:
        while waiting or running:
            while waiting and len(running) < at_once:
                cell, turn = waiting.pop(0)
                running[_start(cell, folder)] = (cell, turn)
            time.sleep(POLL_S)
            for child in [c for c in running if c.poll() is not None]:
                cell, turn = running.pop(child)
                found[cell.name] = result = _finished(folder, cell)
                if (result is None or result.verdict == VOID) and turn < TURNS:
                    waiting.append((cell, turn + 1))
            watch(sum(r is not None for r in found.values()), len(todo), ", ".join(c.name for c, _ in running.values()))
    finally:
        for child in running:
            child.terminate()  # SIGTERM ends a run as Ctrl-C does
        for child in running:
            child.wait()
    return {name: result for name, result in found.items() if result is not None}


def _start(cell: Cell, folder: Path) -> subprocess.Popen[bytes]:
    path = folder / f"{cell.name}.scenario.json"
    path.write_text(changed(cell.scenario, cell.setting), encoding="utf-8")
    with (folder / f"{cell.name}.log").open("ab") as log:
        return subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "lugtally",
                "rehearse",
                "run",
                str(path),
                "--seed",
                str(cell.seed),
                "--policy",
                cell.policy,
                "--json",
                str(folder / f"{cell.name}.json"),
                "--no-progress",
                *(["--operator", cell.setting.operator] if cell.setting.operator else []),
            ],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )


def _finished(folder: Path, cell: Cell) -> Report | None:
    try:
        (result,) = reports.load(folder / f"{cell.name}.json")
    except (reports.ReportError, ValueError):
        return None
    return None if any(reason.startswith(reports.INTERRUPTED) for reason in result.reasons) else result


def at_once(cores_each: int) -> int:
    """How many runs the machine carries side by side."""
    return max(1, (os.cpu_count() or 1) // max(1, cores_each))
