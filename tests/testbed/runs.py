"""A small scenario and its execution, for the tests of runs, comparisons and experiments."""

from __future__ import annotations

from pathlib import Path

from lugtally.testbed.experiments import runner
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario

DRAIN = """
name = "drain"
about = "A server goes silent in the middle of its drain."
length_s = 6
[fleet]
servers = 4
sidecars = 2
[discovery]
notice_s = 0.4
[load]
rate_per_s = 50
[[troubles]]
kind = "drain"
at_s = 1
servers = 1
takes_s = 5
[[troubles]]
kind = "silent"
at_s = 1.2
same_as = 0
"""
SHORT_DRAIN = DRAIN.replace("length_s = 6", "length_s = 2.5")


def run_until_valid(scenario_to_run: scenario.Scenario, seed: int, folder: Path | None = None) -> Report:
    """Execute a run and return its report.  A void run, as on a busy machine, is repeated up to twice."""
    for _ in range(3):
        report = runner.Run(scenario_to_run, seed, folder=folder).execute()
        if report.verdict != Verdict.VOID:
            break
    return report
