"""Comparison of two sets of runs: differences paired by scenario and seed, with confidence intervals.

The intervals are percentile bootstraps (Efron, 1979) of the mean of the paired differences.  If an interval contains
zero, or there are too few pairs for an interval, the finding is "no difference seen".
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario.random_streams import stream

RESAMPLES = 10_000  # of the bootstrap
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 4  # fewer pairs give no interval
NO_DIFFERENCE = "no difference seen"


class CompareError(Exception):
    """The sets have no pair of runs to compare."""


class Measure(NamedTuple):
    """A measure of a run, and whether larger values are better."""

    value: Callable[[Report], float]
    more_is_better: bool


class RunPair(NamedTuple):
    """Two runs of the same scenario and seed, one from each set."""

    a: Report
    b: Report


class Interval(NamedTuple):
    """A confidence interval."""

    low: float
    high: float

    def contains_zero(self) -> bool:
        """Return whether the interval contains zero."""
        return self.low <= 0 <= self.high


class _RunKey(NamedTuple):
    """The scenario and seed that the two runs of a pair share."""

    scenario: str
    seed: int


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
        lambda report: _per_client_attempt(1000 * sum(sidecar.cpu_s for sidecar in report.sidecars), report), False
    ),
}


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference of a measure between the sets A and B, as B minus A."""

    measure: str
    pairs: int
    mean_a: float
    mean_b: float
    mean: float
    low: float  # lower end of the interval; ``mean`` if there are too few pairs
    high: float  # upper end of the interval; ``mean`` if there are too few pairs
    finding: str


def pair_runs(set_a: list[Report], set_b: list[Report]) -> list[RunPair]:
    """Pair the runs of the same scenario and seed, except void runs.  Raises CompareError if there is no pair."""
    runs_a, runs_b = _valid_runs(set_a), _valid_runs(set_b)
    common = sorted(runs_a.keys() & runs_b.keys())
    if not common:
        raise CompareError("no scenario was run with the same seed in both sets")
    return [RunPair(runs_a[key], runs_b[key]) for key in common]


def bootstrap_interval(differences: list[float], *stream_name: object) -> Interval:
    """Return the confidence interval of the mean of these differences.

    ``stream_name`` selects the random stream of the resamples: the same differences and name give the same interval.
    """
    values = np.array(differences)
    resamples = stream(0, "bootstrap", len(values), *stream_name).integers(len(values), size=(RESAMPLES, len(values)))
    means = values[resamples].mean(axis=1)
    tail = (1 - CONFIDENCE_LEVEL) / 2
    low, high = np.quantile(means, [tail, 1 - tail])
    return Interval(float(low), float(high))


def compare(set_a: list[Report], set_b: list[Report]) -> list[Difference]:
    """Compare every measure of two sets.  Raises CompareError if there is no pair."""
    pairs = pair_runs(set_a, set_b)
    return [_compare_measure(name, measure, pairs) for name, measure in MEASURES.items()]


def _valid_runs(reports: list[Report]) -> dict[_RunKey, Report]:
    return {_RunKey(report.scenario, report.seed): report for report in reports if report.verdict != Verdict.VOID}


def _compare_measure(name: str, measure: Measure, pairs: list[RunPair]) -> Difference:
    values_a = [measure.value(pair.a) for pair in pairs]
    values_b = [measure.value(pair.b) for pair in pairs]
    differences = [value_b - value_a for value_a, value_b in zip(values_a, values_b, strict=True)]
    mean = float(np.mean(differences))
    if len(pairs) < MIN_PAIRS:
        interval = Interval(mean, mean)
        finding = f"{NO_DIFFERENCE}: {len(pairs)} pairs, {MIN_PAIRS} needed"
    else:
        interval = bootstrap_interval(differences, name)
        direction = "B is better" if (mean > 0) == measure.more_is_better else "B is worse"
        finding = NO_DIFFERENCE if interval.contains_zero() else direction
    return Difference(
        measure=name,
        pairs=len(pairs),
        mean_a=float(np.mean(values_a)),
        mean_b=float(np.mean(values_b)),
        mean=mean,
        low=interval.low,
        high=interval.high,
        finding=finding,
    )
