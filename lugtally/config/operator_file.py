"""Decodes the operator's file, in TOML: settings that ``config.json`` does not have.  All features are off by default.

Only ``serve --operator`` and ``check-config --operator`` import this module, because its decoder uses 1.2 MB of memory.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct


class OperatorFileError(ValueError):
    """The file cannot be read or is invalid; the text is one line that names the field."""


class LogSection(Struct, frozen=True, forbid_unknown_fields=True):
    """``[log]``: format and level of the log on standard error."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class OverloadSection(Struct, frozen=True, forbid_unknown_fields=True):
    """``[overload]``: load shedding by priority while the sidecar itself is overloaded."""

    enabled: bool = False
    target_ms: Annotated[float, Meta(gt=0, le=1000)] = 10.0
    """Delay within the sidecar, in milliseconds, above which it sheds load."""
    memory: Annotated[float, Meta(gt=0, le=1)] = 0.9
    """Fraction of the memory limit at which every request is shed."""
    descriptors: Annotated[float, Meta(gt=0, le=1)] = 0.9
    """Fraction of the descriptor limit at which every request is shed."""
    refuse_first: tuple[str, ...] = ()
    """Names of the request classes that are shed before all others."""


class ControlSection(Struct, frozen=True, forbid_unknown_fields=True):
    """``[control]``: the status socket."""

    socket: str = ""
    """Path of the Unix socket; empty to disable it."""


class OperatorFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The decoded file, with a default for each missing section and key."""

    log: LogSection = LogSection()
    overload: OverloadSection = OverloadSection()
    control: ControlSection = ControlSection()


def load(path: str) -> OperatorFile:
    """Read and validate the file at ``path``.

    Raises:
        OperatorFileError: The file cannot be read, or a value in it is invalid.
    """
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise OperatorFileError(f"operator file: {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"operator file: {path}: invalid TOML: {error}") from error
    try:
        return msgspec.convert(raw, OperatorFile)
    except msgspec.ValidationError as error:
        reason, _, location = str(error).partition(" - at `$")
        field = location.rstrip("`").lstrip(".")
        raise OperatorFileError(f"operator file: {path}: {field + ': ' if field else ''}{reason}") from error
