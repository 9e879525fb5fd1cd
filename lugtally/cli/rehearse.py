"""``lugtally rehearse``: the laboratory's commands.

Exit status: 0 passed, 1 failed or a rule broken, 2 for a bad command line or file, 3 void (the machine was too busy for
a verdict), 130 after Ctrl-C.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lugtally.testbed.reporting.report import Report
    from lugtally.testbed.scenario.scenario import Scenario

INTERRUPTED = 130
BAD = 2
Watch = Callable[[float, str], None]


def complain(error: Exception) -> int:
    """One line, and the status of a bad command line."""
    print(f"lugtally: {error}", file=sys.stderr)
    return BAD


def need_kit() -> None:
    """The kit's libraries are an extra."""
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


def seeds_of(_ctx: click.Context, _parameter: click.Parameter, text: str) -> tuple[int, ...]:
    """``3``, ``1-5`` or ``1,4,9`` as numbers."""
    try:
        found: list[int] = []
        for part in text.split(","):
            first, _, last = part.partition("-")
            found += range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: numbers like 3, 1-5 or 1,4,9 are wanted") from error
    if not found:
        raise click.BadParameter(f"{text!r}: no number")
    return tuple(found)


def status_of(reports: list[Report]) -> int:
    """The worst of all: a broken or failed run before a void one."""
    from lugtally.testbed.reporting.report import EXIT

    statuses = [EXIT[one.verdict] for one in reports]
    return next((s for s in (1, 3) if s in statuses), 0)


@contextmanager
def _progress(shown: bool, title: str, total: float) -> Iterator[Watch]:
    """A bar on the terminal."""
    if not shown:
        yield lambda _at, _what: None
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
        yield lambda at, what: bar.update(task, completed=at, description=f"{title}: {what}")


def _terminate(_number: int, _frame: Any) -> None:
    raise KeyboardInterrupt  # a planned stop ends a run as Ctrl-C does: no process is left


@click.group()
def rehearse() -> None:
    """Rehearse bad days on this machine, against stand-in servers on loopback."""


@rehearse.command("list")
def list_() -> int:
    """The shipped scenarios."""
    need_kit()
    from lugtally.testbed.scenario import scenario_file

    for name in scenario_file.shipped():
        told = scenario_file.load(name)
        print(f"{name:20} {told.length_s:4.0f} s  {told.about}")
    return 0


@rehearse.command()
@click.argument("name")
def show(name: str) -> int:
    """Print the text of a shipped scenario: a start for one of your own."""
    need_kit()
    from lugtally.testbed.scenario import scenario_file
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        scenario_file.load(name)
        print(scenario_file.shipped().get(name) or Path(name).read_text(encoding="utf-8"), end="")
    except ScenarioError as error:
        return complain(error)
    return 0


@rehearse.command()
@click.argument("file")
@click.option("--seed", default=1, show_default=True)
def check(file: str, seed: int) -> int:
    """Check a scenario and say what a seed draws from it."""
    need_kit()
    from lugtally.testbed.scenario import scenario_file, schedule
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        drawn = schedule.make_schedule(scenario_file.load(file), seed)
    except ScenarioError as error:
        return complain(error)
    told = drawn.scenario
    print(
        f"{told.name}: {told.length_s:g} s, {told.fleet.servers} servers, {told.fleet.sidecars} sidecars, "
        f"{drawn.rate:.0f} first tries/s, {len(drawn.arrivals)} in all, the list {drawn.propagation_s:.1f} s late"
    )
    for event in drawn.events:
        where = ", ".join(drawn.machines[at].name for at in event.places[:6])
        print(f"{event.at:7.2f} s  {'begin' if event.begins else 'end  '} {event.fault.kind:14} {where}")
    return 0


@rehearse.command()
@click.argument("names", nargs=-1, required=True)
@click.option("--seed", "--seeds", "seeds", default="1", show_default=True, callback=seeds_of, help="3, 1-5 or 1,4,9")
@click.option("--policy", default="module", show_default=True, help="module, or a baseline of the kit")
@click.option("--operator", type=click.Path(path_type=Path, exists=True), help="an operator's file for the sidecars")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="write the reports there")
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page on the last run there")
@click.option("--keep", type=click.Path(path_type=Path), help="keep books, logs and configurations in this folder")
@click.option("--progress/--no-progress", default=None, help="a bar on the terminal")
def run(
    names: tuple[str, ...],
    seeds: tuple[int, ...],
    policy: str,
    operator: Path | None,
    json_file: Path | None,
    html_file: Path | None,
    keep: Path | None,
    progress: bool | None,
) -> int:
    """Play scenarios, shipped ones by name or files, and judge each run."""
    need_kit()
    from lugtally.testbed.experiments import runner
    from lugtally.testbed.reporting import render
    from lugtally.testbed.reporting import report as reports
    from lugtally.testbed.scenario import scenario_file
    from lugtally.testbed.scenario.scenario import ScenarioError

    try:
        told = [scenario_file.load(name) for name in names]
    except ScenarioError as error:
        return complain(error)
    signal.signal(signal.SIGTERM, _terminate)
    console = render.wide()
    shown = sys.stderr.isatty() if progress is None else progress
    done: list[Report] = []
    interrupted = False
    for one in told:
        for seed in seeds:
            folder = keep / f"{one.name}.{policy}.{seed}" if keep else None
            try:
                done.append(_play(one, seed, policy, operator, folder, shown))
            except runner.RunError as error:
                return complain(error)
            interrupted = any(reason.startswith(reports.INTERRUPTED) for reason in done[-1].reasons)
            render.terminal(done[-1], console)
            if json_file:
                reports.save(done, json_file)
            if interrupted:
                break
        if interrupted:
            break
    if html_file:
        render.page(done[-1], html_file)
    if len(done) > 1:
        render.summary(done, console)
    return INTERRUPTED if interrupted else status_of(done)


def _play(told: Scenario, seed: int, policy: str, operator: Path | None, folder: Path | None, shown: bool) -> Report:
    from lugtally.testbed.experiments.runner import Run

    with _progress(shown, f"{told.name} {seed}", told.length_s) as watch:
        return Run(told, seed, policy=policy, operator=operator, folder=folder, watch=watch).play()


@rehearse.command("all")
@click.option("--seed", "--seeds", "seeds", default="1", show_default=True, callback=seeds_of)
@click.option("--policy", default="module", show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("rehearsal"),
    show_default=True,
    help="folder of the reports; runs whose report is there are not played again",
)
@click.option("--at-once", type=int, default=None, help="runs side by side  [default: a run for each 4 cores]")
def all_(seeds: tuple[int, ...], policy: str, out: Path, at_once: int | None) -> int:
    """The full rehearsal: every shipped scenario, side by side within the cores there are."""
    need_kit()
    from lugtally.testbed.experiments import experiment
    from lugtally.testbed.scenario import scenario_file

    told = experiment.Experiment("all", tuple(scenario_file.shipped()), seeds, (policy,))
    return play(told, out, at_once)


def play(told: Any, out: Path, at_once: int | None, *, table: bool = False) -> int:
    """Play an experiment and print its table: also the ``experiment`` command's."""
    from lugtally.testbed.experiments import experiment
    from lugtally.testbed.reporting import render
    from lugtally.testbed.reporting import table as tables

    signal.signal(signal.SIGTERM, _terminate)
    todo = experiment.cells(told)
    with _progress(sys.stderr.isatty(), told.name, len(todo)) as watch:
        try:
            found = experiment.play(
                todo, out, at_once or experiment.at_once(told.cores_each), lambda done, _of, what: watch(done, what)
            )
        except KeyboardInterrupt:
            print(f"lugtally: interrupted; the same command goes on from {out}", file=sys.stderr)
            return INTERRUPTED
    console = render.wide()
    if table:
        tables.print_table(told, todo, found, console)
        tables.plot(told, todo, found, out / f"{told.name}.svg")
    else:
        render.summary([found[cell.name] for cell in todo if cell.name in found], console)
    if len(found) < len(todo):
        print(f"lugtally: {len(todo) - len(found)} runs left no report; their logs are in {out}", file=sys.stderr)
        return 1
    return status_of(list(found.values()))


@rehearse.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="write a page on the last run there")
def report(file: Path, html_file: Path | None) -> int:
    """Show the reports of a file once more."""
    need_kit()
    from lugtally.testbed.reporting import render
    from lugtally.testbed.reporting import report as reports

    try:
        found = reports.load(file)
    except reports.ReportError as error:
        return complain(error)
    for one in found:
        render.terminal(one, render.wide())
    if html_file:
        render.page(found[-1], html_file)
    return status_of(found)


@rehearse.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
def compare(a: Path, b: Path) -> int:
    """Compare two sets of reports, paired by scenario and seed.  A, B: files or folders of them."""
    need_kit()
    from rich.table import Table

    from lugtally.testbed.reporting import compare as comparing
    from lugtally.testbed.reporting import render
    from lugtally.testbed.reporting import report as reports

    try:
        differences = comparing.compare(reports.load_all(a), reports.load_all(b))
    except (reports.ReportError, comparing.CompareError) as error:
        return complain(error)
    table = Table(box=None, pad_edge=False)
    table.add_column("measure")
    for name in ("pairs", "A", "B", "B less A", "95% interval"):
        table.add_column(name, justify="right")
    table.add_column("")
    for one in differences:
        table.add_row(
            one.measure,
            str(one.pairs),
            f"{one.a:.4f}",
            f"{one.b:.4f}",
            f"{one.mean:+.4f}",
            f"{one.low:+.4f} to {one.high:+.4f}",
            one.word,
        )
    render.wide().print(table)
    return 0
