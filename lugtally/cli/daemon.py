"""The commands of the daemon: ``serve``, ``check-config`` and ``version``."""

from __future__ import annotations

import os
import sys

import click

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@click.command()
@click.option("--log-level", type=click.Choice(LEVELS), default="INFO", show_default=True)
def serve(log_level: str) -> int:
    """Run the sidecar in the foreground, as the PROXY_* variables say."""
    from lugtally.config import sidecar
    from lugtally.service.serve import serve as run

    try:
        told = sidecar.load(os.environ)
    except sidecar.ConfigError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    return run(told, log_level)


@click.command("check-config")
@click.argument("file", required=False)
def check_config(file: str | None) -> int:
    """Check the configuration and say what it holds.  FILE: config.json; default: what PROXY_CONFIG names."""
    from lugtally.config import sidecar

    try:
        told = sidecar.load(os.environ, file)
    except sidecar.ConfigError as error:
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
