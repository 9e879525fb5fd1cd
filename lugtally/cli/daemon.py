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
STATUS_TIMEOUT_S = 5


@click.command()
@click.option("--log-level", type=click.Choice(LEVELS), help="goes before the operator's file  [default: INFO]")
@click.option("--log-format", type=click.Choice(FORMATS), help="goes before the operator's file  [default: text]")
@click.option("--operator", metavar="FILE", help="the operator's own file, in TOML")
def serve(log_level: str | None, log_format: Literal["text", "json"] | None, operator: str | None) -> int:
    """Run the sidecar in the foreground, as the PROXY_* variables say."""
    from lugtally.config import sidecar
    from lugtally.daemon.overload_protection import overload_limits
    from lugtally.daemon.sidecar import serve as run

    level: str = "INFO"
    file_format: Literal["text", "json"] = "text"
    limits, status_path = None, ""
    try:
        config = sidecar.load(os.environ)
        if operator is not None:
            operator_file = _load_operator_file(operator)
            level, file_format = operator_file.log.level, operator_file.log.format
            limits = overload_limits(operator_file.overload, config.settings)
            status_path = operator_file.control.socket
    except ValueError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    return run(config, log_level or level, log_format or file_format, overload=limits, status_path=status_path)


def _load_operator_file(path: str) -> Operator:
    """Read the operator's file; its decoder is loaded only where there is one."""
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
            operator_file = _load_operator_file(operator)
            print(
                f"{operator}: log {operator_file.log.format} from {operator_file.log.level} on, "
                f"own overload {'guarded' if operator_file.overload.enabled else 'not guarded'}"
            )
            if file is None and "PROXY_CONFIG" not in os.environ:
                return 0
        config = sidecar.load(os.environ, file)
    except ValueError as error:
        print(f"lugtally: {error}", file=sys.stderr)
        return 2
    print(
        f"{config.name}: {len(config.settings.classes)} classes,"
        f" {len(config.cached_endpoints.records)} known destinations, listens at {config.listen}"
    )
    return 0


@click.command()
@click.argument("socket")
@click.option("--json", "as_json", is_flag=True, help="the object as it came")
def status(socket: str, as_json: bool) -> int:
    """Say how a running sidecar is.  SOCKET: the path that its operator's file names under [control]."""
    import ujson

    try:
        text = _read_status(socket)
        state = ujson.loads(text)
    except (OSError, ValueError) as error:
        print(f"lugtally: {socket}: {getattr(error, 'strerror', None) or error}", file=sys.stderr)
        return 1
    if as_json:
        print(text.decode().rstrip())
        return 0
    for name, value in state.items():
        text_value = value
        if isinstance(value, dict):
            text_value = ", ".join(f"{key} {member}" for key, member in value.items() if not isinstance(member, dict))
        print(f"{name:14} {text_value}")
    return 0


def _read_status(path: str) -> bytes:
    import socket

    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        client.settimeout(STATUS_TIMEOUT_S)
        client.connect(path)
        return b"".join(iter(lambda: client.recv(65536), b""))


@click.command()
def version() -> int:
    """Print the version."""
    from lugtally import __version__

    print(f"lugtally {__version__}")
    return 0
