"""Experiment files: each describes a matrix of runs, with one run for each setting, policy, scenario and seed."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from lugtally.testbed.experiments.baselines import POLICY_NAMES
from lugtally.testbed.experiments.runner import SHIPPED_POLICY
from lugtally.testbed.scenario.scenario import ScenarioError
from lugtally.testbed.scenario.scenario_file import from_tree, shipped

CORES_PER_RUN = 4  # two for the processes of the testbed, two for the sidecars


class Setting(Struct, frozen=True, forbid_unknown_fields=True, rename={"changes": "set"}):
    """Changes to every scenario of an experiment: new values by ``table.key``."""

    name: str
    changes: dict[str, Any] = {}
    operator: str = ""  # path of the sidecars' operator file, relative to the experiment file


class Experiment(Struct, frozen=True, forbid_unknown_fields=True, rename={"cores_per_run": "cores_each"}):
    """Content of an experiment file."""

    name: str
    scenarios: tuple[str, ...]
    seeds: tuple[int, ...]
    policies: tuple[str, ...] = (SHIPPED_POLICY,)
    settings: tuple[Setting, ...] = (Setting("as shipped"),)
    cores_per_run: int = CORES_PER_RUN
    measure: str = "net"


class MatrixCell(Struct, frozen=True):
    """A cell of an experiment's matrix: a run of one scenario with one setting, seed and policy."""

    setting: Setting
    scenario: str
    seed: int
    policy: str

    @property
    def name(self) -> str:
        """Name of the run's files, without a suffix."""
        text = f"{self.setting.name}.{Path(self.scenario).stem}.{self.policy}.{self.seed}"
        return "".join(character if character.isalnum() or character in ".-+" else "_" for character in text)


def read(path: Path) -> Experiment:
    """Read and check an experiment file.  Raises ScenarioError, with a message of one line that names the field."""
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path.name}: {error}") from error
    settings = tuple(_resolve_operator_path(setting, path) for setting in experiment.settings)
    experiment = msgspec.structs.replace(experiment, settings=settings)
    for policy in experiment.policies:
        if policy != SHIPPED_POLICY and policy not in POLICY_NAMES:
            raise ScenarioError(
                f"{path.name}: policies: {policy!r} is none of {SHIPPED_POLICY}, {', '.join(POLICY_NAMES)}"
            )
    for scenario in experiment.scenarios:
        for setting in experiment.settings:
            scenario_with_setting(scenario, setting)  # raises ScenarioError if the result is invalid
    return experiment


def scenario_with_setting(name: str, setting: Setting) -> str:
    """Apply a setting to a shipped scenario or a scenario file; return the result as JSON.  Raises ScenarioError."""
    shipped_texts = shipped()
    try:
        text = shipped_texts[name] if name in shipped_texts else Path(name).read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}") from error
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: invalid TOML: {error}") from error
    for field, value in setting.changes.items():
        *tables, key = field.split(".")
        parent = tree
        for table in tables:
            parent = parent.setdefault(table, {})
            if not isinstance(parent, dict):
                raise ScenarioError(f"{name}: settings.{setting.name}: {field}: {table} is not a table")
        parent[key] = value
    return msgspec.json.encode(from_tree(tree, f"{name} with {setting.name}")).decode()


def matrix_cells(experiment: Experiment) -> list[MatrixCell]:
    """Return all cells, seed by seed, so that an interrupted experiment has all runs of its first seeds."""
    return [
        MatrixCell(setting, scenario, seed, policy)
        for seed in experiment.seeds
        for scenario in experiment.scenarios
        for policy in experiment.policies
        for setting in experiment.settings
    ]


def _resolve_operator_path(setting: Setting, path: Path) -> Setting:
    """Resolve the operator path against the experiment file.  Raises ScenarioError if the file does not exist."""
    operator_file = Path(setting.operator)
    if setting.operator and not operator_file.is_absolute():
        setting = msgspec.structs.replace(setting, operator=str(path.parent / operator_file))
    if setting.operator and not Path(setting.operator).is_file():
        raise ScenarioError(f"{path.name}: settings.{setting.name}: operator: {setting.operator}: no such file")
    return setting
