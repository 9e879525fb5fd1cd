"""Comparisons of runs, paired by seed."""

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


def shifted(report: Report, seed: int, difference: float) -> Report:
    """Return a copy of a report with another seed and a service that is better by ``difference``."""
    copy = msgspec.convert(msgspec.to_builtins(report), Report)
    copy.seed, copy.verdict = seed, Verdict.PASSED
    copy.findings.service += difference
    return copy


def test_compare_pairs_by_seed_and_reports_no_difference(tmp_path: Path) -> None:
    report = run_until_valid(scenario_file.decode(SHORT_DRAIN, "drain.toml"), 1)
    spread = (-0.04, 0.03, -0.02, 0.04, -0.01, 0.02)
    base = [shifted(report, seed, noise) for seed, noise in enumerate(spread)]
    assert compare.compare(base[:3], base[:3])[0].finding.startswith("no difference seen: 3 pairs")
    noisy = [shifted(report, seed, -noise) for seed, noise in enumerate(spread)]
    assert compare.compare(base, noisy)[0].finding == "no difference seen"
    better = [shifted(report, seed, noise + 0.05 + noise / 10) for seed, noise in enumerate(spread)]
    found = compare.compare(base, better)[0]
    assert found.finding == "B is better"
    assert found.low > 0.04
    assert found.mean == pytest.approx(0.05, abs=0.004)
    assert compare.compare(better, base)[0].finding == "B is worse"
    void = [shifted(report, seed, 0) for seed in range(6)]
    for each in void:
        each.verdict = Verdict.VOID
    with pytest.raises(compare.CompareError):
        compare.compare(base, void)
    report_file.save(base, tmp_path / "a.json")
    report_file.save(better, tmp_path / "b.json")
    result = CliRunner().invoke(
        root, ["rehearse", "compare", str(tmp_path / "a.json"), str(tmp_path / "b.json")], standalone_mode=False
    )
    assert result.return_value == 0
    assert "B is better" in result.output
