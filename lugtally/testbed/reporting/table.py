"""Results of an experiment: a table with intervals and a plot."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import numpy as np
from rich.console import Console
from rich.table import Table

from lugtally.testbed.experiments.experiment import Experiment, MatrixCell
from lugtally.testbed.reporting.compare import MEASURES, MIN_PAIRS, NO_DIFFERENCE, bootstrap_interval
from lugtally.testbed.reporting.plots import pyplot, save_svg
from lugtally.testbed.reporting.report import Report, Verdict


class Column(NamedTuple):
    """A column of the results: the runs with the same setting and policy."""

    setting: str
    policy: str


ValuesBySeed = dict[int, float]
Results = dict[str, dict[Column, ValuesBySeed]]  # by scenario


def columns_of(experiment: Experiment) -> list[Column]:
    """Return all columns.  The others are compared with the first one."""
    return [Column(setting.name, policy) for policy in experiment.policies for setting in experiment.settings]


def collect(cells: list[MatrixCell], reports: dict[str, Report], measure: str) -> Results:
    """Return the measure of each run by scenario, column and seed, without void runs."""
    value = MEASURES[measure].value
    results: Results = defaultdict(lambda: defaultdict(dict))
    for cell in cells:
        report = reports.get(cell.name)
        if report is not None and report.verdict != Verdict.VOID:
            results[cell.scenario][_column_of(cell)][cell.seed] = value(report)
    return results


def print_table(experiment: Experiment, cells: list[MatrixCell], reports: dict[str, Report], console: Console) -> None:
    """Print the mean of each scenario and column, and its difference to the first column, paired by seed."""
    results = collect(cells, reports, experiment.measure)
    columns = columns_of(experiment)
    table = _empty_table(f"{experiment.name}: {experiment.measure}")
    more_is_better = MEASURES[experiment.measure].more_is_better
    for scenario in experiment.scenarios:
        base = results[scenario][columns[0]]
        for column in columns:
            values = results[scenario][column]
            if not values:
                table.add_row(scenario, column.policy, column.setting, "0", *[""] * 5, "no valid run")
                continue
            comparison = ["", "", ""]
            if column != columns[0]:
                comparison = _compare(base, values, more_is_better, (scenario, *column))
            table.add_row(scenario, column.policy, column.setting, *_statistics(values), *comparison)
    console.print(table)
    _print_counts(cells, reports, console)


def write_plot(experiment: Experiment, cells: list[MatrixCell], reports: dict[str, Report], path: Path) -> None:
    """Draw the means as bars, with the range over the seeds, as SVG."""
    results = collect(cells, reports, experiment.measure)
    columns = columns_of(experiment)
    width = 0.8 / len(columns)
    figure, axes = pyplot().subplots(figsize=(max(6, 1.8 * len(experiment.scenarios)), 4))
    for index, column in enumerate(columns):
        rows = [list(results[scenario][column].values()) for scenario in experiment.scenarios]
        means = [float(np.mean(row)) if row else 0.0 for row in rows]
        ranges = [
            [mean - min(row) if row else 0.0 for mean, row in zip(means, rows, strict=True)],
            [max(row) - mean if row else 0.0 for mean, row in zip(means, rows, strict=True)],
        ]
        label = column.policy if len(experiment.settings) == 1 else f"{column.policy}, {column.setting}"
        positions = np.arange(len(rows)) + index * width
        axes.bar(positions, means, width, yerr=ranges, label=label, error_kw={"lw": 0.8})
    names = [Path(scenario).stem for scenario in experiment.scenarios]
    axes.set_xticks(np.arange(len(names)) + 0.4 - width / 2, names, rotation=20)
    axes.set(ylabel=experiment.measure, title=experiment.name)
    axes.legend(fontsize=7)
    save_svg(figure, path)


def _column_of(cell: MatrixCell) -> Column:
    return Column(cell.setting.name, cell.policy)


def _empty_table(title: str) -> Table:
    table = Table(title=title, box=None, pad_edge=False)
    for name in ("scenario", "policy", "setting"):
        table.add_column(name)
    for name in ("runs", "mean", "min", "max", "first column minus this", "interval"):
        table.add_column(name, justify="right")
    table.add_column("")
    return table


def _statistics(values: ValuesBySeed) -> list[str]:
    numbers = list(values.values())
    return [str(len(numbers)), f"{np.mean(numbers):.3f}", f"{min(numbers):.3f}", f"{max(numbers):.3f}"]


def _compare(base: ValuesBySeed, values: ValuesBySeed, more_is_better: bool, name: tuple[str, ...]) -> list[str]:
    """Return mean difference, interval and finding.  ``name`` is that of the random stream of the bootstrap."""
    differences = [base[seed] - values[seed] for seed in sorted(base.keys() & values.keys())]
    if len(differences) < MIN_PAIRS:
        return [f"{np.mean(differences):+.3f}" if differences else "", "", "too few pairs"]
    interval = bootstrap_interval(differences, *name)
    direction = "first is better" if (interval.low > 0) == more_is_better else "first is worse"
    finding = NO_DIFFERENCE if interval.contains_zero() else direction
    return [f"{np.mean(differences):+.3f}", f"{interval.low:+.3f} to {interval.high:+.3f}", finding]


def _print_counts(cells: list[MatrixCell], reports: dict[str, Report], console: Console) -> None:
    broken: dict[Column, int] = defaultdict(int)
    void = 0
    for cell in cells:
        verdict = reports[cell.name].verdict if cell.name in reports else None
        void += verdict == Verdict.VOID
        if verdict == Verdict.BROKEN:
            broken[_column_of(cell)] += 1
    for column, count in broken.items():
        console.print(f"{column.policy} ({column.setting}): a rule broken in {count} runs")
    console.print(f"{len(reports)} of {len(cells)} runs, {void} of them void")
