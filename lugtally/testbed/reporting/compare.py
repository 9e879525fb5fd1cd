"""Two sets of runs side by side: differences paired by scenario and seed, with bootstrap intervals.

The percentile bootstrap of Efron (1979) over the paired differences.  Where the interval holds zero, or where there
are too few pairs for one, the word is "no difference seen".
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from lugtally.testbed.reporting.report import VOID, Report
from lugtally.testbed.scenario.random_streams import stream

RESAMPLES = 10_000
LEVEL = 0.95
LEAST_PAIRS = 4  # with fewer, resampling says nothing of the spread

MEASURES: dict[str, tuple[Callable[[Report], float], bool]] = {  # and whether more is better
    "service": (lambda r: r.findings.service, True),
    "net": (lambda r: r.findings.net, True),
    "whole": (lambda r: r.findings.overall, True),
    "worst 10 s": (lambda r: r.findings.worst_10s, True),
    "worst class": (lambda r: r.findings.worst_class, True),
    "attempts a try": (lambda r: r.findings.server_attempts / max(1, r.findings.client_attempts), False),
    "waste": (lambda r: r.findings.prices["waste"], False),
    "broken rules": (lambda r: float(sum(r.violations_by_name.values())), False),
    "sidecar CPU ms a try": (
        lambda r: 1000 * sum(s.cpu_s for s in r.sidecars) / max(1, r.findings.client_attempts),
        False,
    ),
}


@dataclass(frozen=True, slots=True)
class Difference:
    """One measure, B less A."""

    measure: str
    pairs: int
    a: float  # means
    b: float
    mean: float
    low: float  # of the interval; equal to ``mean`` where there is none
    high: float
    word: str


class CompareError(Exception):
    """The sets cannot be compared."""


def paired(a: list[Report], b: list[Report]) -> list[tuple[Report, Report]]:
    """Runs of the same scenario and seed in both sets; void ones say nothing and are left out."""

    def keyed(reports: list[Report]) -> dict[tuple[str, int], Report]:
        return {(r.scenario, r.seed): r for r in reports if r.verdict != VOID}

    first, second = keyed(a), keyed(b)
    common = sorted(first.keys() & second.keys())
    if not common:
        raise CompareError("no scenario was played under the same seed in both")
    return [(first[key], second[key]) for key in common]


def interval(differences: list[float], *name: object) -> tuple[float, float]:
    """The bootstrap interval of their mean; the same numbers give the same interval."""
    values = np.array(differences)
    draws = stream(0, "bootstrap", len(values), *name).integers(len(values), size=(RESAMPLES, len(values)))
    means = values[draws].mean(axis=1)
    tail = (1 - LEVEL) / 2
    low, high = np.quantile(means, [tail, 1 - tail])
    return float(low), float(high)


def compare(a: list[Report], b: list[Report]) -> list[Difference]:
    """Every measure."""
    pairs = paired(a, b)
    found = []
    for name, (measure, more_is_better) in MEASURES.items():
        firsts, seconds = [measure(x) for x, _ in pairs], [measure(y) for _, y in pairs]
        differences = [y - x for x, y in zip(firsts, seconds, strict=True)]
        mean = float(np.mean(differences))
        low, high = interval(differences, name) if len(pairs) >= LEAST_PAIRS else (mean, mean)
        if len(pairs) < LEAST_PAIRS:
            word = f"no difference seen: {len(pairs)} pairs, {LEAST_PAIRS} needed"
        elif low <= 0 <= high:
            word = "no difference seen"
        else:
            word = "B is better" if (mean > 0) == more_is_better else "B is worse"
        found.append(
            Difference(name, len(pairs), float(np.mean(firsts)), float(np.mean(seconds)), mean, low, high, word)
        )
    return found
