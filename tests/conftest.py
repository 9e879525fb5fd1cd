"""Tests that fail for a known fault: a run passes over just those that ``KNOWN-RED.txt`` names, and says so.

A line is ``test | cause | issue``, the test as pytest writes it (``tests/test_x.py::test_y``).  A run fails where one
of them passes, where there are more than ``MAX_KNOWN_RED``, and, if it is of all tests, where one is not among them.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3
FILE = "KNOWN-RED.txt"


def _lines(root: Path) -> list[list[str]]:
    path = root / FILE
    rows = [line.split(" | ") for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(rows) > MAX_KNOWN_RED or any(len(row) != 3 or not all(field.strip() for field in row) for row in rows):
        raise pytest.UsageError(f"{FILE}: at most {MAX_KNOWN_RED} lines of 'test | cause | issue'")
    return rows


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the named tests to fail."""
    by_id = {item.nodeid: item for item in items}
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    for test, cause, issue in _lines(config.rootpath):
        if (item := by_id.get(test)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{cause} ({issue})", strict=True))
        elif whole:
            raise pytest.UsageError(f"{FILE}: {test} is no test of this run")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Name what was passed over."""
    for test, cause, issue in _lines(config.rootpath):
        terminalreporter.write_line(f"known red: {test}: {cause} ({issue})")
