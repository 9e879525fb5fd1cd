"""The commands of the daemon: ``serve``, ``check-config`` and ``version``."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Literal

import click

if TYPE_CHECKING:
    from lugtally.config.operator import Operator

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
FORMATS = ("text", "json")


@click.command()
@click.option("--log-level", type=click.Choice(LEVELS), help="goes before the operator's file  [default: INFO]")
@click.option("--log-format", type=click.Choice(FORMATS), help="goes before the operator's file  [default: text]")
@click.option("--operator", metavar="FILE", help="the operator's own file, in TOML")
def serve(log_level: str | None, log_format: Literal["text", "json"] | None, operator: str | None) -> int:
    """Run the sidecar in the foreground, as the PROXY_* variables say."""
    from lugtally.config import sidecar
    from lugtally.service.serve import serve as run

    level: str = "INFO"
    form: Literal["text", "json"] = "text"
    try:
        told = sidecar.load(os.environ)
        if operator is not None:
            log = _operator(operator).log
            level, form = log.level, log.format
    except ValueError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    return run(told, log_level or level, log_format or form)


def _operator(path: str) -> Operator:
    """The operator's file; its decoder is loaded where there is one."""
    from lugtally.config import operator

    return operator.load(path)


@click.command("check-config")
@click.argument("file", required=False)
@click.option("--operator", metavar="FILE", help="check this operator's file as well, or alone")
def check_config(file: str | None, operator: str | None) -> int:
    """Check the configuration and say what it holds.  FILE: config.json; default: what PROXY_CONFIG names."""
    from lugtally.config import sidecar

    try:
        if operator is not None:
            log = _operator(operator).log
            print(f"{operator}: log {log.format} from {log.level} on")
            if file is None and "PROXY_CONFIG" not in os.environ:
                return 0
        told = sidecar.load(os.environ, file)
    except ValueError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    print(f"{told.name}: {len(told.settings.classes)} classes, {len(told.known.rows)} known destinations,"
          f" listens at {told.listen[0]}:{told.listen[1]}")
    return 0


@click.command()
def version() -> int:
    """Print the version."""
    from lugtally import __version__

    print(f"lugtally {__version__}")
    return 0
