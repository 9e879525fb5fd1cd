"""The commands of the daemon: ``serve``, ``check-config``, ``status`` and ``version``."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any

import click

from lugtally.cli.errors import print_error
from lugtally.cli.serve import load_operator_file
from lugtally.cli.serve import serve as run_serve

if TYPE_CHECKING:
    from lugtally.logs import LogFormat

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LOG_FORMATS = ("text", "json")
EXIT_UNREACHABLE = 1
STATUS_TIMEOUT_S = 5
STATUS_READ_BYTES = 64 * 1024


@click.command()
@click.option(
    "--log-level", type=click.Choice(LOG_LEVELS), help="takes precedence over the operator's file  [default: INFO]"
)
@click.option(
    "--log-format", type=click.Choice(LOG_FORMATS), help="takes precedence over the operator's file  [default: text]"
)
@click.option("--operator", metavar="FILE", help="the operator's file, in TOML")
def serve(log_level: str | None, log_format: LogFormat | None, operator: str | None) -> int:
    """Run the sidecar in the foreground, configured by the PROXY_* variables."""
    return run_serve(log_level, log_format, operator)


@click.command("check-config")
@click.argument("file", required=False)
@click.option(
    "--operator",
    metavar="FILE",
    help="also check this operator's file; without FILE and PROXY_CONFIG, check only this file",
)
def check_config(file: str | None, operator: str | None) -> int:
    """Check the configuration and print a summary.  FILE: config.json  [default: $PROXY_CONFIG]."""
    from lugtally.config import sidecar

    try:
        if operator is not None:
            operator_file = load_operator_file(operator)
            print(
                f"{operator}: log format {operator_file.log.format}, level {operator_file.log.level}, "
                f"overload protection {'enabled' if operator_file.overload.enabled else 'disabled'}"
            )
            if file is None and "PROXY_CONFIG" not in os.environ:
                return 0
        config = sidecar.load_config(os.environ, file)
    except ValueError as error:
        return print_error(error)
    print(
        f"{config.name}: {len(config.settings.classes)} classes,"
        f" {len(config.cached_endpoints.records)} cached endpoints, listens at {config.listen}"
    )
    return 0


@click.command()
@click.argument("socket")
@click.option("--json", "as_json", is_flag=True, help="print the JSON object unchanged")
def status(socket: str, as_json: bool) -> int:
    """Print the state of a running sidecar.  SOCKET: the path in [control] of its operator's file."""
    import ujson

    try:
        text = _read_status(socket)
        state = ujson.loads(text)
    except (OSError, ValueError) as error:
        print(f"lugtally: {socket}: {getattr(error, 'strerror', None) or error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    if as_json:
        print(text.decode().rstrip())
    else:
        _print_state(state)
    return 0


def _print_state(state: dict[str, Any]) -> None:
    """Print one line per key.  A nested object is printed on the line of its key, without objects inside it."""
    for name, value in state.items():
        text = value
        if isinstance(value, dict):
            text = ", ".join(f"{key} {member}" for key, member in value.items() if not isinstance(member, dict))
        print(f"{name:14} {text}")


def _read_status(path: str) -> bytes:
    """Return the JSON text that the status socket at ``path`` sends.

    Raises:
        OSError: The socket cannot be opened or does not respond within ``STATUS_TIMEOUT_S``.
    """
    import socket

    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        client.settimeout(STATUS_TIMEOUT_S)
        client.connect(path)
        return b"".join(iter(lambda: client.recv(STATUS_READ_BYTES), b""))


@click.command()
def version() -> int:
    """Print the version."""
    from lugtally import __version__

    print(f"lugtally {__version__}")
    return 0
