"""``lugtally experiment``: a matrix of settings, policies, scenarios and seeds."""

from __future__ import annotations

from pathlib import Path

import click

from lugtally.cli import rehearse


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="folder of the reports  [default: FILE without .toml]")
@click.option("--at-once", type=int, default=None, help="runs side by side  [default: by the cores there are]")
def experiment(file: Path, out: Path | None, at_once: int | None) -> int:
    """Play the experiment of FILE, or go on with it; one table and one plot come out."""
    rehearse.require_kit()
    from lugtally.testbed.experiments import experiment as experiments
    from lugtally.testbed.reporting.compare import MEASURES
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        described = experiments.read(file)
        if described.measure not in MEASURES:
            raise ScenarioError(f"{file.name}: measure: {described.measure!r} is none of {', '.join(MEASURES)}")
    except ScenarioError as error:
        return rehearse.print_error(error)
    return rehearse.play_experiment(described, out or file.with_suffix(""), at_once, with_table=True)
