"""``lugtally rehearse``: the commands of the testbed.

Exit status: 0 if all runs passed, 1 if a run failed or violated a rule, 2 for an invalid command line or file, 3 if a
run is void (the machine was too busy for a verdict), 130 after an interrupt.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from lugtally.cli.errors import EXIT_INTERRUPTED, print_error
from lugtally.cli.experiment import play_experiment
from lugtally.cli.testbed_common import (
    exit_status,
    interrupt_on_sigterm,
    parse_seeds,
    progress_bar,
    require_testbed_dependencies,
)

if TYPE_CHECKING:
    from lugtally.testbed.reporting.report import Report
    from lugtally.testbed.scenario.scenario import Scenario

MAX_SERVERS_SHOWN = 6
"""Number of server names that ``check`` prints for a fault."""


@click.group()
def rehearse() -> None:
    """Rehearse outages and overload on this machine, with emulated servers on loopback."""


@rehearse.command("list")
def list_scenarios() -> int:
    """List the shipped scenarios."""
    require_testbed_dependencies()
    from lugtally.testbed.scenario import scenario_file

    for name in scenario_file.shipped():
        scenario = scenario_file.load(name)
        print(f"{name:20} {scenario.length_s:4.0f} s  {scenario.about}")
    return 0


@rehearse.command()
@click.argument("name")
def show(name: str) -> int:
    """Print the text of a scenario, for example to write a similar one."""
    require_testbed_dependencies()
    from lugtally.testbed.scenario import scenario_file
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        scenario_file.load(name)
        print(scenario_file.shipped().get(name) or Path(name).read_text(encoding="utf-8"), end="")
    except ScenarioError as error:
        return print_error(error)
    return 0


@rehearse.command()
@click.argument("file")
@click.option("--seed", default=1, show_default=True)
def check(file: str, seed: int) -> int:
    """Check a scenario and print a summary of its schedule for a seed."""
    require_testbed_dependencies()
    from lugtally.testbed.scenario import scenario_file
    from lugtally.testbed.scenario.scenario import ScenarioError
    from lugtally.testbed.scenario.schedule import make_schedule

    try:
        schedule = make_schedule(scenario_file.load(file), seed)
    except ScenarioError as error:
        return print_error(error)
    scenario = schedule.scenario
    print(
        f"{scenario.name}: {scenario.length_s:g} s, {scenario.fleet.servers} servers, "
        f"{scenario.fleet.sidecars} sidecars, {schedule.rate:.0f} requests/s, {len(schedule.arrivals)} requests, "
        f"endpoint list delayed by {schedule.propagation_s:.1f} s"
    )
    for event in schedule.events:
        names = ", ".join(schedule.machines[index].name for index in event.server_indices[:MAX_SERVERS_SHOWN])
        print(f"{event.at:7.2f} s  {'begin' if event.begins else 'end  '} {event.fault.kind:14} {names}")
    return 0


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of ``run``."""

    seeds: tuple[int, ...]
    policy: str
    operator_file: Path | None
    json_file: Path | None
    html_file: Path | None
    output_folder: Path | None
    """The folder that keeps the event logs, process logs and configurations of the runs; ``None`` to delete them."""
    show_progress: bool | None
    """Whether to show a progress bar; ``None`` to show it if standard error is a terminal."""


@rehearse.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--seed", "--seeds", "seeds", default="1", show_default=True, callback=parse_seeds, help="3, 1-5 or 1,4,9"
)
@click.option("--policy", default="module", show_default=True, help="module, or the name of a baseline")
@click.option(
    "--operator", "operator_file", type=click.Path(path_type=Path, exists=True), help="operator's file of the sidecars"
)
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the reports to this file")
@click.option(
    "--html", "html_file", type=click.Path(path_type=Path), help="write a page about the last run to this file"
)
@click.option(
    "--keep",
    "output_folder",
    type=click.Path(path_type=Path),
    help="keep event logs, process logs and configurations in this folder",
)
@click.option(
    "--progress/--no-progress",
    "show_progress",
    default=None,
    help="progress bar  [default: if standard error is a terminal]",
)
def run(names: tuple[str, ...], **options: Any) -> int:
    """Play scenarios and print the verdict of each run.  NAMES: shipped scenarios or files."""
    require_testbed_dependencies()
    from lugtally.testbed.experiments.child_processes import RunError
    from lugtally.testbed.scenario import scenario_file
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        return _run_scenarios([scenario_file.load(name) for name in names], RunOptions(**options))
    except (ScenarioError, RunError) as error:
        return print_error(error)


def _run_scenarios(scenarios: list[Scenario], options: RunOptions) -> int:
    """Play each scenario with each seed until a run is interrupted; return the exit status."""
    from lugtally.testbed.reporting import page, report_file, terminal

    interrupt_on_sigterm()
    console = terminal.console_for_tables()
    reports: list[Report] = []
    was_interrupted = False
    for scenario, seed in [(scenario, seed) for scenario in scenarios for seed in options.seeds]:
        report = _play_run(scenario, seed, options)
        reports.append(report)
        terminal.print_report(report, console)
        if options.json_file:
            report_file.save(reports, options.json_file)
        was_interrupted = _was_interrupted(report)
        if was_interrupted:
            break
    if options.html_file:
        page.write_page(reports[-1], options.html_file)
    if len(reports) > 1:
        terminal.print_summary(reports, console)
    return EXIT_INTERRUPTED if was_interrupted else exit_status(reports)


def _was_interrupted(report: Report) -> bool:
    from lugtally.testbed.reporting.report import INTERRUPTED

    return any(reason.startswith(INTERRUPTED) for reason in report.reasons)


def _play_run(scenario: Scenario, seed: int, options: RunOptions) -> Report:
    from lugtally.testbed.experiments.runner import Run

    folder = options.output_folder / f"{scenario.name}.{options.policy}.{seed}" if options.output_folder else None
    is_shown = sys.stderr.isatty() if options.show_progress is None else options.show_progress
    with progress_bar(is_shown, f"{scenario.name} {seed}", scenario.length_s) as on_progress:
        return Run(
            scenario,
            seed,
            policy=options.policy,
            operator_file=options.operator_file,
            folder=folder,
            on_progress=on_progress,
        ).execute()


@rehearse.command("all")
@click.option("--seed", "--seeds", "seeds", default="1", show_default=True, callback=parse_seeds)
@click.option("--policy", default="module", show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("rehearsal"),
    show_default=True,
    help="folder of the reports; runs that have a report there are not played again",
)
@click.option("--at-once", "parallel_runs", type=int, default=None, help="parallel runs  [default: one per 4 cores]")
def run_all(seeds: tuple[int, ...], policy: str, out: Path, parallel_runs: int | None) -> int:
    """Play all shipped scenarios, in parallel as far as the cores allow."""
    require_testbed_dependencies()
    from lugtally.testbed.experiments.experiment import Experiment
    from lugtally.testbed.scenario import scenario_file

    return play_experiment(Experiment("all", tuple(scenario_file.shipped()), seeds, (policy,)), out, parallel_runs)


@rehearse.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--html", "html_file", type=click.Path(path_type=Path), help="write a page about the last run to this file"
)
def report(file: Path, html_file: Path | None) -> int:
    """Print the reports of a file."""
    require_testbed_dependencies()
    from lugtally.testbed.reporting import page, report_file, terminal

    try:
        reports = report_file.load(file)
    except report_file.ReportError as error:
        return print_error(error)
    console = terminal.console_for_tables()
    for saved_report in reports:
        terminal.print_report(saved_report, console)
    if html_file:
        page.write_page(reports[-1], html_file)
    return exit_status(reports)


@rehearse.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
def compare(a: Path, b: Path) -> int:
    """Compare two sets of reports, paired by scenario and seed.  A, B: files or folders of them."""
    require_testbed_dependencies()
    from lugtally.testbed.reporting import compare as compare_module
    from lugtally.testbed.reporting import report_file, terminal

    try:
        differences = compare_module.compare(report_file.load_all(a), report_file.load_all(b))
    except (report_file.ReportError, compare_module.CompareError) as error:
        return print_error(error)
    terminal.print_differences(differences, terminal.console_for_tables())
    return 0
