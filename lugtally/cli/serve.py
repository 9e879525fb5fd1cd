"""The start of a sidecar from the command line, without the parser of the command line."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lugtally.cli.errors import print_error

if TYPE_CHECKING:
    from lugtally.balancing import Settings
    from lugtally.config.operator_file import OperatorFile
    from lugtally.logs import LogFormat
    from lugtally.overload.admission import OverloadLimits


@dataclass(frozen=True, slots=True)
class _OperatorOptions:
    """The options of ``serve`` that the operator's file can set.  The defaults apply if there is no file."""

    log_level: str = "INFO"
    log_format: LogFormat = "text"
    overload: OverloadLimits | None = None
    status_socket_path: str = ""


def serve(log_level: str | None = None, log_format: LogFormat | None = None, operator: str | None = None) -> int:
    """Run the sidecar until a signal stops it; return the exit status.

    Args:
        log_level: The lowest level that is logged; ``None`` for that of the operator's file, or ``INFO``.
        log_format: The format of the log; ``None`` for that of the operator's file, or ``text``.
        operator: The path of the operator's file, if there is one.
    """
    from lugtally.config import sidecar
    from lugtally.daemon.sidecar import serve as run_sidecar

    options = _OperatorOptions()
    try:
        config = sidecar.load_config(os.environ)
        if operator is not None:
            options = _load_operator_options(operator, config.settings)
    except ValueError as error:
        return print_error(error)
    return run_sidecar(
        config,
        log_level or options.log_level,
        log_format or options.log_format,
        overload=options.overload,
        status_socket_path=options.status_socket_path,
    )


def _load_operator_options(path: str, settings: Settings) -> _OperatorOptions:
    from lugtally.daemon.overload_protection import overload_limits

    operator_file = load_operator_file(path)
    return _OperatorOptions(
        log_level=operator_file.log.level,
        log_format=operator_file.log.format,
        overload=overload_limits(operator_file.overload, settings),
        status_socket_path=operator_file.control.socket,
    )


def load_operator_file(path: str) -> OperatorFile:
    """Load the operator's file.  Its decoder is imported only if the file is given.

    Raises:
        ValueError: The file cannot be read or is invalid.
    """
    from lugtally.config import operator_file

    return operator_file.load(path)
