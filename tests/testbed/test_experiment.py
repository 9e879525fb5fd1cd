"""Experiments: execution of a matrix of runs, and errors in experiment files."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.experiments import experiment, matrix
from lugtally.testbed.scenario import scenario
from tests.testbed.runs import SHORT_DRAIN


def test_interrupted_experiment_resumes(tmp_path: Path) -> None:
    (tmp_path / "scenario.toml").write_text(SHORT_DRAIN)
    (tmp_path / "experiment.toml").write_text(
        f"name = 'trial'\nscenarios = ['{tmp_path}/scenario.toml']\nseeds = [1]\n"
        "policies = ['module', 'round-robin+retry']\n"
        "[[settings]]\nname = 'base'\n[[settings]]\nname = 'busy'\nset = {'load.rate_per_s' = 70}\n"
    )
    loaded = experiment.read(tmp_path / "experiment.toml")
    cells = experiment.matrix_cells(loaded)
    assert len(cells) == 4
    first_reports = matrix.run_cells(cells[:3], tmp_path / "out", 3)
    modified_at = {path: path.stat().st_mtime_ns for path in (tmp_path / "out").glob("*.1.json")}
    assert len(first_reports) == len(modified_at) == 3
    result = CliRunner().invoke(
        root, ["experiment", str(tmp_path / "experiment.toml"), "--out", str(tmp_path / "out")], standalone_mode=False
    )
    assert "4 of 4 runs" in result.output, result.output
    assert all(path.stat().st_mtime_ns == time_ns for path, time_ns in modified_at.items()), (
        "a finished run was executed again"
    )
    assert (tmp_path / "out" / "trial.svg").read_text().startswith("<?xml")
    rates = {cell.setting.name: first_reports[cell.name].rate_per_s for cell in cells[:3]}
    assert rates == {"base": 50.0, "busy": 70.0}


@pytest.mark.parametrize(
    ("invalid_line", "expected_error"),
    [
        ("policies = ['best']", "experiment.toml: policies: 'best' is none of"),
        ("colour = 1", "experiment.toml: Object contains unknown field `colour`"),
        ("[[settings]]\nname='a'\nset={'load.rate' = 1}", "quiet with a: load: Object contains unknown field `rate`"),
    ],
)
def test_invalid_experiment_error_names_file_and_field(tmp_path: Path, invalid_line: str, expected_error: str) -> None:
    (tmp_path / "experiment.toml").write_text(f"name = 'trial'\nscenarios = ['quiet']\nseeds = [1]\n{invalid_line}\n")
    with pytest.raises(scenario.ScenarioError) as raised:
        experiment.read(tmp_path / "experiment.toml")
    assert str(raised.value).startswith(expected_error)
