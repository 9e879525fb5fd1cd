"""Experiments: execution of a matrix of settings, and errors in experiment files."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.experiments import experiment, matrix
from lugtally.testbed.scenario import scenario
from tests.testbed.runs import SHORT_DRAIN


def test_interrupted_experiment_resumes(tmp_path: Path) -> None:
    (tmp_path / "day.toml").write_text(SHORT_DRAIN)
    (tmp_path / "try.toml").write_text(
        f"name = 'try'\nscenarios = ['{tmp_path}/day.toml']\nseeds = [1]\npolicies = ['module', 'round-robin+retry']\n"
        "[[settings]]\nname = 'base'\n[[settings]]\nname = 'busy'\nset = {'load.rate_per_s' = 70}\n"
    )
    described = experiment.read(tmp_path / "try.toml")
    cells = experiment.matrix_cells(described)
    assert len(cells) == 4
    first = matrix.run_cells(cells[:3], tmp_path / "out", 3)
    stamps = {path: path.stat().st_mtime_ns for path in (tmp_path / "out").glob("*.1.json")}
    assert len(first) == len(stamps) == 3
    result = CliRunner().invoke(
        root, ["experiment", str(tmp_path / "try.toml"), "--out", str(tmp_path / "out")], standalone_mode=False
    )
    assert "4 of 4 runs" in result.output, result.output
    assert all(path.stat().st_mtime_ns == stamp for path, stamp in stamps.items()), "a finished run was executed again"
    assert (tmp_path / "out" / "try.svg").read_text().startswith("<?xml")
    rates = {cell.setting.name: first[cell.name].rate_per_s for cell in cells[:3]}
    assert rates == {"base": 50.0, "busy": 70.0}


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("policies = ['best']", "try.toml: policies: 'best' is none of"),
        ("colour = 1", "try.toml: Object contains unknown field `colour`"),
        ("[[settings]]\nname='a'\nset={'load.rate' = 1}", "quiet with a: load: Object contains unknown field `rate`"),
    ],
)
def test_invalid_experiment_error_names_file_and_field(tmp_path: Path, line: str, complaint: str) -> None:
    (tmp_path / "try.toml").write_text(f"name = 'try'\nscenarios = ['quiet']\nseeds = [1]\n{line}\n")
    with pytest.raises(scenario.ScenarioError) as caught:
        experiment.read(tmp_path / "try.toml")
    assert str(caught.value).startswith(complaint)
