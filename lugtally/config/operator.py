"""The operator's own file, in TOML: what the platform's configuration has no key for.  Each section is off by default.

Without the file the daemon is as the platform's pages describe it.  Only ``serve --operator`` and ``check-config``
import this module, as its decoder takes 1.2 MB of memory.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct


class OperatorFileError(ValueError):
    """The file cannot be used; the text is one line that names the field."""


class Log(Struct, frozen=True, forbid_unknown_fields=True):
    """``[log]``: what is written to standard error."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Overload(Struct, frozen=True, forbid_unknown_fields=True):
    """``[overload]``: shed load by priority before this sidecar itself falls behind."""

    enabled: bool = False
    target_ms: Annotated[float, Meta(gt=0, le=1000)] = 10.0
    memory: Annotated[float, Meta(gt=0, le=1)] = 0.9
    descriptors: Annotated[float, Meta(gt=0, le=1)] = 0.9
    refuse_first: tuple[str, ...] = ()


class Control(Struct, frozen=True, forbid_unknown_fields=True):
    """``[control]``: a Unix socket that shows the state of the sidecar."""

    socket: str = ""  # its path; empty: none


class Operator(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: Log = Log()
    overload: Overload = Overload()
    control: Control = Control()


def load(path: str) -> Operator:
    """Read and check the file at ``path``.

    Raises:
        OperatorFileError: it cannot be read, or a value in it cannot be used.
    """
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise OperatorFileError(f"operator file: {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"operator file: {path}: no TOML: {error}") from error
    try:
        return msgspec.convert(raw, Operator)
    except msgspec.ValidationError as error:
        reason, _, location = str(error).partition(" - at `$")
        field = location.rstrip("`").lstrip(".")
        raise OperatorFileError(f"operator file: {path}: {field + ': ' if field else ''}{reason}") from error
