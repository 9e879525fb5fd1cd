"""Expected failures: a run passes over the tests that ``KNOWN-RED.txt`` lists, and prints them.

A line is ``test | cause | issue``, with the test's id in pytest (``tests/test_x.py::test_y``).  A run fails if a listed
test passes, if more than ``MAX_KNOWN_RED`` are listed, or, in a run of all tests, if a listed test does not exist.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

MAX_KNOWN_RED = 3
FILE = "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """One line of the file."""

    test_id: str
    cause: str
    issue: str


def _read_known_failures(root: Path) -> list[KnownFailure]:
    """Return the lines of the file; none if there is no file.

    Raises:
        pytest.UsageError: there are too many lines, or a line has not three fields.
    """
    path = root / FILE
    if not path.exists():
        return []
    rows = [line.split(" | ") for line in path.read_text().splitlines() if line.strip()]
    if len(rows) > MAX_KNOWN_RED or any(len(row) != 3 or not all(field.strip() for field in row) for row in rows):
        raise pytest.UsageError(f"{FILE}: at most {MAX_KNOWN_RED} lines of 'test | cause | issue'")
    return [KnownFailure(*row) for row in rows]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    by_id = {item.nodeid: item for item in items}
    runs_all_tests = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    for failure in _read_known_failures(config.rootpath):
        if (item := by_id.get(failure.test_id)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True))
        elif runs_all_tests:
            raise pytest.UsageError(f"{FILE}: {failure.test_id} is no test of this run")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests."""
    for failure in _read_known_failures(config.rootpath):
        terminalreporter.write_line(f"known red: {failure.test_id}: {failure.cause} ({failure.issue})")
