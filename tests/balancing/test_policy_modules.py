"""The deploy file lists every module that makes decisions, and no module uses a clock, I/O or unseeded randomness."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.balancing.policy_modules import BALANCING, MAX_COLUMNS, ROOT, VALUE_MODULES, policy_names, violations

MODULES = sorted(BALANCING.glob("*.py"))


def test_policy_lists_exactly_the_deciding_modules() -> None:
    deciding = [path for path in MODULES if path.stem not in VALUE_MODULES]
    assert policy_names() == [str(path.relative_to(ROOT)) for path in deciding]


def test_value_modules_all_exist() -> None:
    assert {path.stem for path in MODULES} >= VALUE_MODULES


@pytest.mark.parametrize("name", sorted(VALUE_MODULES - {"__init__"}))
def test_value_modules_import_no_deciding_module(name: str) -> None:
    deciding = {Path(listed).stem for listed in policy_names()}
    source = (BALANCING / f"{name}.py").read_text(encoding="utf-8")
    assert not [stem for stem in deciding if f"lugtally.balancing.{stem} import" in source]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_module_has_no_clock_io_or_unseeded_randomness(path: Path) -> None:
    assert not violations(path.read_text(encoding="utf-8"))


@pytest.mark.parametrize(
    "source",
    [
        "import time",
        "from time import monotonic_ns",
        "from datetime import datetime",
        "import socket",
        "import random",
        "from random import random",
        "from random import SystemRandom",
        "import os",
        "from lugtally.eventloop import EventLoop",
        "from lugtally import eventloop",
        "from .. import eventloop",
        "def f():\n    import secrets",
        "from random import Random\nRandom()",
        "from random import Random\nRandom(None)",
        "open('x')",
        "clock = __import__('time')",
        "print(1)",
        "#" * (MAX_COLUMNS + 1),
    ],
)
def test_forbidden_source_is_a_violation(source: str) -> None:
    assert violations(source)


@pytest.mark.parametrize(
    "source",
    [
        "from random import Random\nRandom(7)",
        "from math import exp, inf",
        "from lugtally.balancing.events import Request",
        "from lugtally.units import NS_PER_S",
        "#" * MAX_COLUMNS,
    ],
)
def test_allowed_source_is_no_violation(source: str) -> None:
    assert not violations(source)
