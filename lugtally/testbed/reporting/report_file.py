"""Report files: reading and writing of JSON files that contain reports."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from lugtally.testbed.reporting.report import SCHEMA, Report

SCENARIO_SUFFIX = ".scenario.json"  # an experiment stores its scenarios in the folder of its reports


class ReportError(Exception):
    """A report file cannot be read, or has an unknown schema."""


class Document(Struct):
    """Content of a report file."""

    schema: int
    reports: list[Report]


def save(reports: list[Report], path: Path) -> None:
    """Write a report file atomically: through a temporary file that is renamed."""
    temporary = path.with_suffix(path.suffix + ".part")
    temporary.write_bytes(msgspec.json.encode(Document(SCHEMA, reports)) + b"\n")
    temporary.replace(path)


def load(path: Path) -> list[Report]:
    """Read the reports of a file.  Raises ReportError with a message of one line."""
    try:
        raw = path.read_bytes()
        untyped = msgspec.json.decode(raw)
        if not isinstance(untyped, dict) or untyped.get("schema") != SCHEMA:
            schema = untyped.get("schema") if isinstance(untyped, dict) else None
            raise ReportError(f"{path}: schema {schema!r}; this program reads {SCHEMA}")
        return msgspec.json.decode(raw, type=Document).reports
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ReportError(f"{path}: {error}") from error


def load_all(path: Path) -> list[Report]:
    """Read the reports of a file, or of all report files in a folder.  Raises ReportError."""
    if not path.is_dir():
        return load(path)
    files = [file for file in sorted(path.glob("*.json")) if not file.name.endswith(SCENARIO_SUFFIX)]
    reports = [report for file in files for report in load(file)]
    if not reports:
        raise ReportError(f"{path}: the folder contains no reports")
    return reports
