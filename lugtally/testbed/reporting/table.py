"""Results of an experiment: a table with confidence intervals, and a bar chart."""

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
    """Identity of a column of the results, which contains the runs with the same setting and policy."""

    setting: str
    policy: str


ValuesBySeed = dict[int, float]
Results = dict[str, dict[Column, ValuesBySeed]]  # by scenario


def result_columns(experiment: Experiment) -> list[Column]:
    """Return the columns of an experiment.  The table compares each other column with the first one."""
    return [Column(setting.name, policy) for policy in experiment.policies for setting in experiment.settings]


def values_by_scenario(cells: list[MatrixCell], reports: dict[str, Report], measure: str) -> Results:
    """Return the value of a measure for each run, by scenario, column and seed, without void runs."""
    value = MEASURES[measure].value
    results: Results = defaultdict(lambda: defaultdict(dict))
    for cell in cells:
        report = reports.get(cell.name)
        if report is not None and report.verdict != Verdict.VOID:
            results[cell.scenario][_column_of(cell)][cell.seed] = value(report)
    return results


def print_table(experiment: Experiment, cells: list[MatrixCell], reports: dict[str, Report], console: Console) -> None:
    """Print the mean of each scenario and column, and its difference from the first column, paired by seed."""
    results = values_by_scenario(cells, reports, experiment.measure)
    columns = result_columns(experiment)
    table = _table_without_rows(f"{experiment.name}: {experiment.measure}")
    more_is_better = MEASURES[experiment.measure].more_is_better
    for scenario in experiment.scenarios:
        first_values = results[scenario][columns[0]]
        for column in columns:
            values = results[scenario][column]
            if not values:
                table.add_row(scenario, column.policy, column.setting, "0", *[""] * 5, "no valid run")
                continue
            comparison = ["", "", ""]
            if column != columns[0]:
                comparison = _compare(first_values, values, more_is_better, (scenario, *column))
            table.add_row(scenario, column.policy, column.setting, *_statistics(values), *comparison)
    console.print(table)
    _print_counts(cells, reports, console)


def write_plot(experiment: Experiment, cells: list[MatrixCell], reports: dict[str, Report], path: Path) -> None:
    """Write an SVG bar chart of the means, with error bars from the minimum to the maximum over the seeds."""
    results = values_by_scenario(cells, reports, experiment.measure)
    columns = result_columns(experiment)
    width = 0.8 / len(columns)
    figure, axes = pyplot().subplots(figsize=(max(6, 1.8 * len(experiment.scenarios)), 4))
    for index, column in enumerate(columns):
        samples = [list(results[scenario][column].values()) for scenario in experiment.scenarios]
        means = [float(np.mean(sample)) if sample else 0.0 for sample in samples]
        ranges = [
            [mean - min(sample) if sample else 0.0 for mean, sample in zip(means, samples, strict=True)],
            [max(sample) - mean if sample else 0.0 for mean, sample in zip(means, samples, strict=True)],
        ]
        label = column.policy if len(experiment.settings) == 1 else f"{column.policy}, {column.setting}"
        positions = np.arange(len(samples)) + index * width
        axes.bar(positions, means, width, yerr=ranges, label=label, error_kw={"lw": 0.8})
    names = [Path(scenario).stem for scenario in experiment.scenarios]
    axes.set_xticks(np.arange(len(names)) + 0.4 - width / 2, names, rotation=20)
    axes.set(ylabel=experiment.measure, title=experiment.name)
    axes.legend(fontsize=7)
    save_svg(figure, path)


def _column_of(cell: MatrixCell) -> Column:
    return Column(cell.setting.name, cell.policy)


def _table_without_rows(title: str) -> Table:
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


def _compare(
    first_values: ValuesBySeed, values: ValuesBySeed, more_is_better: bool, stream_name: tuple[str, ...]
) -> list[str]:
    """Return the cells that compare a column with the first one: mean difference, interval and finding.

    ``stream_name`` names the random stream of the bootstrap.
    """
    differences = [first_values[seed] - values[seed] for seed in sorted(first_values.keys() & values.keys())]
    if len(differences) < MIN_PAIRS:
        return [f"{np.mean(differences):+.3f}" if differences else "", "", "too few pairs"]
    interval = bootstrap_interval(differences, *stream_name)
    direction = "first is better" if (interval.low > 0) == more_is_better else "first is worse"
    finding = NO_DIFFERENCE if interval.contains_zero() else direction
    return [f"{np.mean(differences):+.3f}", f"{interval.low:+.3f} to {interval.high:+.3f}", finding]


def _print_counts(cells: list[MatrixCell], reports: dict[str, Report], console: Console) -> None:
    broken_runs: dict[Column, int] = defaultdict(int)
    void_runs = 0
    for cell in cells:
        verdict = reports[cell.name].verdict if cell.name in reports else None
        void_runs += verdict == Verdict.VOID
        if verdict == Verdict.BROKEN:
            broken_runs[_column_of(cell)] += 1
    for column, count in broken_runs.items():
        console.print(f"{column.policy} ({column.setting}): rules violated in {count} runs")
    console.print(f"{len(reports)} of {len(cells)} runs, {void_runs} of them void")
