"""``lugtally rehearse``: the testbed's commands.

Exit status: 0 passed, 1 failed or a rule broken, 2 for a bad command line or file, 3 void (the machine was too busy for
a verdict), 130 after Ctrl-C.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lugtally.testbed.experiments.experiment import Experiment
    from lugtally.testbed.reporting.report import Report
    from lugtally.testbed.scenario.scenario import Scenario

EXIT_INTERRUPTED = 130
EXIT_BAD_INPUT = 2
OnProgress = Callable[[float, str], None]


def print_error(error: Exception) -> int:
    """Print one line; return the status of a bad command line."""
    print(f"lugtally: {error}", file=sys.stderr)
    return EXIT_BAD_INPUT


def require_kit() -> None:
    """Check that the testbed's libraries, which are an extra, are installed.  Raises click.ClickException."""
    try:
        import hdrh.histogram  # noqa: F401
        import httptools  # noqa: F401
        import jinja2  # noqa: F401
        import matplotlib  # noqa: F401
        import numpy  # noqa: F401
        import psutil  # noqa: F401
        import rich  # noqa: F401
        import uvloop  # noqa: F401
        import xxhash  # noqa: F401
    except ImportError as error:
        raise click.ClickException(f"the rehearsal kit needs {error.name}: pip install 'lugtally[kit]'") from error


def parse_seeds(_ctx: click.Context, _parameter: click.Parameter, text: str) -> tuple[int, ...]:
    """Parse ``3``, ``1-5`` or ``1,4,9``."""
    try:
        seeds: list[int] = []
        for bounds in text.split(","):
            first, _, last = bounds.partition("-")
            seeds += range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: numbers like 3, 1-5 or 1,4,9 are wanted") from error
    if not seeds:
        raise click.BadParameter(f"{text!r}: no number")
    return tuple(seeds)


def exit_status(reports: list[Report]) -> int:
    """Return the worst of all: a broken or failed run before a void one."""
    from lugtally.testbed.reporting.report import EXIT_STATUS, Verdict

    statuses = [EXIT_STATUS[report.verdict] for report in reports]
    worst_first = (EXIT_STATUS[Verdict.BROKEN], EXIT_STATUS[Verdict.VOID])
    return next((status for status in worst_first if status in statuses), 0)


@contextmanager
def _progress_bar(is_shown: bool, title: str, total: float) -> Iterator[OnProgress]:
    """Show a bar on the terminal."""
    if not is_shown:
        yield lambda _done, _phase: None
        return
    from rich.console import Console
    from rich.progress import Progress, TextColumn

    with Progress(
        TextColumn("{task.description}"),
        *Progress.get_default_columns()[1:],
        console=Console(stderr=True),
        transient=True,
    ) as bar:
        task = bar.add_task(title, total=total)
        yield lambda done, phase: bar.update(task, completed=done, description=f"{title}: {phase}")


def _interrupt_on_sigterm() -> None:
    """Let a planned stop end a run as Ctrl-C does: no process is left."""

    def interrupt(_number: int, _frame: Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)


@click.group()
def rehearse() -> None:
    """Rehearse bad days on this machine, against stand-in servers on loopback."""


@rehearse.command("list")
def list_scenarios() -> int:
    """The shipped scenarios."""
    require_kit()
    from lugtally.testbed.scenario import scenario_file

    for name in scenario_file.shipped():
        scenario = scenario_file.load(name)
        print(f"{name:20} {scenario.length_s:4.0f} s  {scenario.about}")
    return 0


@rehearse.command()
@click.argument("name")
def show(name: str) -> int:
    """Print the text of a shipped scenario: a start for one of your own."""
    require_kit()
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
    """Check a scenario and say what a seed draws from it."""
    require_kit()
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
        f"{scenario.fleet.sidecars} sidecars, {schedule.rate:.0f} first tries/s, {len(schedule.arrivals)} in all, "
        f"the list {schedule.propagation_s:.1f} s late"
    )
    for event in schedule.events:
        names = ", ".join(schedule.machines[index].name for index in event.server_indices[:6])
        print(f"{event.at:7.2f} s  {'begin' if event.begins else 'end  '} {event.fault.kind:14} {names}")
    return 0


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of ``run``."""

    seeds: tuple[int, ...]
    policy: str
    operator: Path | None
    json_file: Path | None
    html_file: Path | None
    keep: Path | None
    progress: bool | None


@rehearse.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--seed", "--seeds", "seeds", default="1", show_default=True, callback=parse_seeds, help="3, 1-5 or 1,4,9"
)
@click.option("--policy", default="module", show_default=True, help="module, or a baseline of the kit")
@click.option("--operator", type=click.Path(path_type=Path, exists=True), help="an operator's file for the sidecars")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the reports there")
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page on the last run there")
@click.option("--keep", type=click.Path(path_type=Path), help="keep books, logs and configurations in this folder")
@click.option("--progress/--no-progress", default=None, help="a bar on the terminal")
def run(names: tuple[str, ...], **options: Any) -> int:
    """Play scenarios, shipped ones by name or files, and judge each run."""
    require_kit()
    from lugtally.testbed.experiments.child_processes import RunError
    from lugtally.testbed.scenario import scenario_file
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        return _run_scenarios([scenario_file.load(name) for name in names], RunOptions(**options))
    except (ScenarioError, RunError) as error:
        return print_error(error)


def _run_scenarios(scenarios: list[Scenario], options: RunOptions) -> int:
    """Play each scenario under each seed, up to an interrupt; return the exit status."""
    from lugtally.testbed.reporting import page, report_file, terminal

    _interrupt_on_sigterm()
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

    folder = options.keep / f"{scenario.name}.{options.policy}.{seed}" if options.keep else None
    is_shown = sys.stderr.isatty() if options.progress is None else options.progress
    with _progress_bar(is_shown, f"{scenario.name} {seed}", scenario.length_s) as on_progress:
        return Run(
            scenario,
            seed,
            policy=options.policy,
            operator=options.operator,
            folder=folder,
            on_progress=on_progress,
        ).play()


@rehearse.command("all")
@click.option("--seed", "--seeds", "seeds", default="1", show_default=True, callback=parse_seeds)
@click.option("--policy", default="module", show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("rehearsal"),
    show_default=True,
    help="folder of the reports; runs whose report is there are not played again",
)
@click.option("--at-once", type=int, default=None, help="runs side by side  [default: a run for each 4 cores]")
def run_all(seeds: tuple[int, ...], policy: str, out: Path, at_once: int | None) -> int:
    """The full rehearsal: every shipped scenario, side by side within the cores there are."""
    require_kit()
    from lugtally.testbed.experiments.experiment import Experiment
    from lugtally.testbed.scenario import scenario_file

    return play_experiment(Experiment("all", tuple(scenario_file.shipped()), seeds, (policy,)), out, at_once)


def play_experiment(experiment: Experiment, out: Path, at_once: int | None, *, with_table: bool = False) -> int:
    """Play an experiment and print its results, as a table with intervals or one line a run."""
    from lugtally.testbed.experiments.experiment import cells_of
    from lugtally.testbed.experiments.matrix import max_parallel_runs, play_cells
    from lugtally.testbed.reporting import table, terminal

    _interrupt_on_sigterm()
    cells = cells_of(experiment)
    with _progress_bar(sys.stderr.isatty(), experiment.name, len(cells)) as on_progress:
        try:
            reports = play_cells(cells, out, at_once or max_parallel_runs(experiment.cores_per_run), on_progress)
        except KeyboardInterrupt:
            print(f"lugtally: interrupted; the same command goes on from {out}", file=sys.stderr)
            return EXIT_INTERRUPTED
    console = terminal.console_for_tables()
    if with_table:
        table.print_table(experiment, cells, reports, console)
        table.plot(experiment, cells, reports, out / f"{experiment.name}.svg")
    else:
        terminal.print_summary([reports[cell.name] for cell in cells if cell.name in reports], console)
    if len(reports) < len(cells):
        print(f"lugtally: {len(cells) - len(reports)} runs left no report; their logs are in {out}", file=sys.stderr)
        return 1
    return exit_status(list(reports.values()))


@rehearse.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page on the last run there")
def report(file: Path, html_file: Path | None) -> int:
    """Show the reports of a file once more."""
    require_kit()
    from lugtally.testbed.reporting import page, report_file, terminal

    try:
        reports = report_file.load(file)
    except report_file.ReportError as error:
        return print_error(error)
    for one in reports:
        terminal.print_report(one, terminal.console_for_tables())
    if html_file:
        page.write_page(reports[-1], html_file)
    return exit_status(reports)


@rehearse.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
def compare(a: Path, b: Path) -> int:
    """Compare two sets of reports, paired by scenario and seed.  A, B: files or folders of them."""
    require_kit()
    from lugtally.testbed.reporting import compare as comparing
    from lugtally.testbed.reporting import report_file, terminal

    try:
        differences = comparing.compare(report_file.load_all(a), report_file.load_all(b))
    except (report_file.ReportError, comparing.CompareError) as error:
        return print_error(error)
    terminal.print_differences(differences, terminal.console_for_tables())
    return 0
