"""Marks the tests listed in ``KNOWN-RED.txt`` as expected failures, and prints them at the end of a run.

A line is ``test | cause | issue``, where ``test`` is a pytest node id such as ``tests/test_x.py::test_y``.  A run fails
if a listed test passes or if more than ``MAX_KNOWN_FAILURES`` tests are listed.  A run of all tests also fails if a
listed test does not exist.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

MAX_KNOWN_FAILURES = 3
KNOWN_FAILURES_FILE = "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """One line of ``KNOWN-RED.txt``."""

    test_id: str
    cause: str
    issue: str


def _read_known_failures(root: Path) -> list[KnownFailure]:
    """Return the lines of the file, or an empty list if the file does not exist.

    Raises:
        pytest.UsageError: there are too many lines, or a line does not have three fields.
    """
    path = root / KNOWN_FAILURES_FILE
    if not path.exists():
        return []
    rows = [line.split(" | ") for line in path.read_text().splitlines() if line.strip()]
    if len(rows) > MAX_KNOWN_FAILURES or any(len(row) != 3 or not all(field.strip() for field in row) for row in rows):
        raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: at most {MAX_KNOWN_FAILURES} lines of 'test | cause | issue'")
    return [KnownFailure(*row) for row in rows]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    by_id = {item.nodeid: item for item in items}
    runs_all_tests = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    for failure in _read_known_failures(config.rootpath):
        if (item := by_id.get(failure.test_id)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True))
        elif runs_all_tests:
            raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: {failure.test_id} is not among the collected tests")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests."""
    for failure in _read_known_failures(config.rootpath):
        terminalreporter.write_line(f"known red: {failure.test_id}: {failure.cause} ({failure.issue})")
