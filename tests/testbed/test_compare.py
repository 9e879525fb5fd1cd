"""Comparison of two sets of runs, paired by scenario and seed."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.reporting import compare, report_file
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario_file
from tests.testbed.runs import SHORT_DRAIN, run_until_valid


def report_with_gain(report: Report, seed: int, service_gain: float) -> Report:
    """Return a copy of a report with another seed and a service that is better by ``service_gain``."""
    copy = msgspec.convert(msgspec.to_builtins(report), Report)
    copy.seed, copy.verdict = seed, Verdict.PASSED
    copy.findings.service += service_gain
    return copy


def test_compare_pairs_by_seed_and_reports_no_difference(tmp_path: Path) -> None:
    report = run_until_valid(scenario_file.decode(SHORT_DRAIN, "drain.toml"), 1)
    noise_by_seed = (-0.04, 0.03, -0.02, 0.04, -0.01, 0.02)
    baseline = [report_with_gain(report, seed, noise) for seed, noise in enumerate(noise_by_seed)]
    assert compare.compare(baseline[:3], baseline[:3])[0].finding.startswith("no difference seen: 3 pairs")
    with_noise = [report_with_gain(report, seed, -noise) for seed, noise in enumerate(noise_by_seed)]
    assert compare.compare(baseline, with_noise)[0].finding == "no difference seen"
    better = [report_with_gain(report, seed, noise + 0.05 + noise / 10) for seed, noise in enumerate(noise_by_seed)]
    difference = compare.compare(baseline, better)[0]
    assert difference.finding == "B is better"
    assert difference.low > 0.04
    assert difference.mean == pytest.approx(0.05, abs=0.004)
    assert compare.compare(better, baseline)[0].finding == "B is worse"
    void_runs = [report_with_gain(report, seed, 0) for seed in range(6)]
    for void_run in void_runs:
        void_run.verdict = Verdict.VOID
    with pytest.raises(compare.CompareError):
        compare.compare(baseline, void_runs)
    report_file.save(baseline, tmp_path / "a.json")
    report_file.save(better, tmp_path / "b.json")
    result = CliRunner().invoke(
        root, ["rehearse", "compare", str(tmp_path / "a.json"), str(tmp_path / "b.json")], standalone_mode=False
    )
    assert result.return_value == 0
    assert "B is better" in result.output
