"""Tests of ``KNOWN-RED.txt``: a run passes only if the listed tests fail and all other tests pass."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TEST_MODULE = "def test_red(): assert False\ndef test_green(): assert True\n"
KNOWN_FAILURE = "tests/test_a.py::test_red | the bug is not fixed | issue 1"


@pytest.mark.parametrize(
    ("lines", "status", "printed"),
    [
        ([KNOWN_FAILURE], 0, "known red: tests/test_a.py::test_red: the bug is not fixed (issue 1)"),
        ([], 1, "1 failed, 1 passed"),
        ([KNOWN_FAILURE, "tests/test_a.py::test_green | no bug | issue 1"], 1, "[XPASS(strict)]"),
        (
            [KNOWN_FAILURE, "tests/test_a.py::test_gone | the test was removed | issue 1"],
            4,
            "test_gone is not among the collected tests",
        ),
        ([KNOWN_FAILURE, "tests/test_a.py::test_green"], 4, "at most 3 lines of 'test | cause | issue'"),
        ([KNOWN_FAILURE] * 4, 4, "at most 3 lines"),
    ],
    ids=["listed failure", "unlisted failure", "passing test", "unknown test", "missing field", "too many lines"],
)
def test_run_passes_over_only_the_listed_failures(lines: list[str], status: int, printed: str, tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp_path / "tests" / "test_a.py").write_text(TEST_MODULE)
    (tmp_path / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        text=True,
        capture_output=True,
        check=False,
    )
    assert completed.returncode == status, completed.stdout + completed.stderr
    assert printed in completed.stdout + completed.stderr
