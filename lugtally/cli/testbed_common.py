"""Helpers of the testbed's commands: dependencies, seeds, exit status, progress bar and interrupts."""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lugtally.testbed.reporting.report import Report

OnProgress = Callable[[float, str], None]
"""Called with the completed amount and the current phase."""


def require_testbed_dependencies() -> None:
    """Check that the libraries of the extra ``kit`` are installed.

    Raises:
        click.ClickException: A library is missing.
    """
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
        raise click.ClickException(f"the testbed requires {error.name}: pip install 'lugtally[kit]'") from error


def parse_seeds(_ctx: click.Context, _parameter: click.Parameter, text: str) -> tuple[int, ...]:
    """Parse the seeds ``3``, ``1-5`` or ``1,4,9``."""
    try:
        seeds: list[int] = []
        for seed_range in text.split(","):
            first, _, last = seed_range.partition("-")
            seeds += range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: must be numbers like 3, 1-5 or 1,4,9") from error
    if not seeds:
        raise click.BadParameter(f"{text!r}: contains no number")
    return tuple(seeds)


def exit_status(reports: list[Report]) -> int:
    """Return the worst exit status of the reports: that of a broken or failed run, else that of a void run, else 0."""
    from lugtally.testbed.reporting.report import EXIT_STATUS, Verdict

    statuses = [EXIT_STATUS[report.verdict] for report in reports]
    worst_first = (EXIT_STATUS[Verdict.BROKEN], EXIT_STATUS[Verdict.VOID])
    return next((status for status in worst_first if status in statuses), 0)


@contextmanager
def progress_bar(is_shown: bool, title: str, total: float) -> Iterator[OnProgress]:
    """Show a progress bar on standard error if ``is_shown``; yield the function that updates it."""
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


def interrupt_on_sigterm() -> None:
    """Raise KeyboardInterrupt on SIGTERM, so that child processes are stopped as after Ctrl-C."""

    def interrupt(_number: int, _frame: Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
