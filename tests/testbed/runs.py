"""A small scenario and a run of it, for the tests of runs, comparisons and experiments."""

from __future__ import annotations

from pathlib import Path

from lugtally.testbed.experiments import runner
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario

DRAIN = """
name = "drain"
about = "A server goes silent in the middle of its drain, in small."
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


def play_until_valid(played: scenario.Scenario, seed: int, folder: Path | None = None) -> Report:
    """Return the report of a run; repeat a void one, as a busy machine makes, twice at most."""
    for _ in range(3):
        report = runner.Run(played, seed, folder=folder).execute()
        if report.verdict != Verdict.VOID:
            break
    return report
