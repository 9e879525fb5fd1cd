"""Two sets of runs side by side: differences paired by scenario and seed, with bootstrap intervals.

The percentile bootstrap of Efron (1979) over the paired differences.  Where the interval holds zero, or where there
are too few pairs for one, the finding is "no difference seen".
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario.random_streams import stream

RESAMPLES = 10_000
LEVEL = 0.95
MIN_PAIRS = 4  # with fewer, resampling says nothing of the spread
NO_DIFFERENCE = "no difference seen"


class CompareError(Exception):
    """The sets cannot be compared."""


class Measure(NamedTuple):
    """A figure of a run."""

    value: Callable[[Report], float]
    more_is_better: bool


def _per_client_attempt(value: float, report: Report) -> float:
    return value / max(1, report.findings.client_attempts)


MEASURES: dict[str, Measure] = {
    "service": Measure(lambda report: report.findings.service, True),
    "net": Measure(lambda report: report.findings.net, True),
    "whole": Measure(lambda report: report.findings.overall, True),
    "worst 10 s": Measure(lambda report: report.findings.worst_10s, True),
    "worst class": Measure(lambda report: report.findings.worst_class, True),
    "attempts a try": Measure(lambda report: _per_client_attempt(report.findings.server_attempts, report), False),
    "waste": Measure(lambda report: report.findings.prices["waste"], False),
    "broken rules": Measure(lambda report: float(sum(report.violations_by_name.values())), False),
    "sidecar CPU ms a try": Measure(
        lambda report: _per_client_attempt(1000 * sum(one.cpu_s for one in report.sidecars), report), False
    ),
}


@dataclass(frozen=True, slots=True)
class Difference:
    """One measure, B less A."""

    measure: str
    pairs: int
    mean_a: float
    mean_b: float
    mean: float
    low: float  # of the interval; equal to ``mean`` where there is none
    high: float
    finding: str


def pair_runs(first: list[Report], second: list[Report]) -> list[tuple[Report, Report]]:
    """Pair runs of the same scenario and seed in both sets; void ones say nothing and are left out.

    Raises CompareError where there is no pair.
    """
    by_key_first, by_key_second = _by_scenario_and_seed(first), _by_scenario_and_seed(second)
    common = sorted(by_key_first.keys() & by_key_second.keys())
    if not common:
        raise CompareError("no scenario was played under the same seed in both")
    return [(by_key_first[key], by_key_second[key]) for key in common]


def bootstrap_interval(differences: list[float], *name: object) -> tuple[float, float]:
    """The bootstrap interval of their mean; the same numbers give the same interval."""
    values = np.array(differences)
    draws = stream(0, "bootstrap", len(values), *name).integers(len(values), size=(RESAMPLES, len(values)))
    means = values[draws].mean(axis=1)
    tail = (1 - LEVEL) / 2
    low, high = np.quantile(means, [tail, 1 - tail])
    return float(low), float(high)


def compare(first: list[Report], second: list[Report]) -> list[Difference]:
    """Compare every measure, B less A.  Raises CompareError."""
    pairs = pair_runs(first, second)
    return [_compare_measure(name, measure, pairs) for name, measure in MEASURES.items()]


def _by_scenario_and_seed(reports: list[Report]) -> dict[tuple[str, int], Report]:
    return {(report.scenario, report.seed): report for report in reports if report.verdict != Verdict.VOID}


def _compare_measure(name: str, measure: Measure, pairs: list[tuple[Report, Report]]) -> Difference:
    values_a = [measure.value(report) for report, _ in pairs]
    values_b = [measure.value(report) for _, report in pairs]
    differences = [value_b - value_a for value_a, value_b in zip(values_a, values_b, strict=True)]
    mean = float(np.mean(differences))
    if len(pairs) < MIN_PAIRS:
        low = high = mean
        finding = f"{NO_DIFFERENCE}: {len(pairs)} pairs, {MIN_PAIRS} needed"
    else:
        low, high = bootstrap_interval(differences, name)
        better = "B is better" if (mean > 0) == measure.more_is_better else "B is worse"
        finding = NO_DIFFERENCE if low <= 0 <= high else better
    return Difference(name, len(pairs), float(np.mean(values_a)), float(np.mean(values_b)), mean, low, high, finding)
