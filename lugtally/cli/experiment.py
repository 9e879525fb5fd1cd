"""``lugtally experiment``: runs a matrix of settings, policies, scenarios and seeds."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from lugtally.cli.errors import EXIT_INTERRUPTED, print_error
from lugtally.cli.testbed_common import exit_status, interrupt_on_sigterm, progress_bar, require_testbed_dependencies

if TYPE_CHECKING:
    from lugtally.testbed.experiments.experiment import Experiment


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="folder of the reports  [default: FILE without .toml]")
@click.option("--at-once", "parallel_runs", type=int, default=None, help="parallel runs  [default: by number of cores]")
def experiment(file: Path, out: Path | None, parallel_runs: int | None) -> int:
    """Run or resume the experiment of FILE; print a table and write a plot."""
    require_testbed_dependencies()
    from lugtally.testbed.experiments import experiment as experiment_module
    from lugtally.testbed.reporting.compare import MEASURES
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        loaded_experiment = experiment_module.read(file)
        if loaded_experiment.measure not in MEASURES:
            raise ScenarioError(
                f"{file.name}: measure: must be one of {', '.join(MEASURES)}, not {loaded_experiment.measure!r}"
            )
    except ScenarioError as error:
        return print_error(error)
    return play_experiment(loaded_experiment, out or file.with_suffix(""), parallel_runs, with_table=True)


def play_experiment(experiment: Experiment, out: Path, parallel_runs: int | None, *, with_table: bool = False) -> int:
    """Play an experiment, print its results and return the exit status.

    Args:
        experiment: The experiment.  Runs that already have a report in ``out`` are not repeated.
        out: The folder of the reports.
        parallel_runs: Number of parallel runs; ``None`` to derive it from the number of cores.
        with_table: Whether to print a table with confidence intervals and write a plot.  Otherwise, one line per run is
            printed.
    """
    from lugtally.testbed.experiments.experiment import matrix_cells
    from lugtally.testbed.experiments.matrix import max_parallel_runs, run_cells
    from lugtally.testbed.reporting import table, terminal

    interrupt_on_sigterm()
    cells = matrix_cells(experiment)
    with progress_bar(sys.stderr.isatty(), experiment.name, len(cells)) as on_progress:
        try:
            parallel_runs = parallel_runs or max_parallel_runs(experiment.cores_per_run)
            reports = run_cells(cells, out, parallel_runs, on_progress)
        except KeyboardInterrupt:
            print(f"lugtally: interrupted; the same command resumes from {out}", file=sys.stderr)
            return EXIT_INTERRUPTED
    console = terminal.console_for_tables()
    if with_table:
        table.print_table(experiment, cells, reports, console)
        table.write_plot(experiment, cells, reports, out / f"{experiment.name}.svg")
    else:
        terminal.print_summary([reports[cell.name] for cell in cells if cell.name in reports], console)
    if len(reports) < len(cells):
        print(f"lugtally: {len(cells) - len(reports)} runs have no report; their logs are in {out}", file=sys.stderr)
        return 1
    return exit_status(list(reports.values()))
