"""Tests that imports between packages only go to a lower floor of ``docs/architecture.md``."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "lugtally"
FLOORS = {
    "cli": 8,
    "__main__": 9,
    "testbed": 7,
    "daemon": 6,
    "downstream": 5,
    "upstream": 5,
    "discovery": 5,
    "admin": 5,
    "dispatch": 4,
    "overload": 4,
    "simulator": 3,
    "config": 3,
    "balancing": 2,
    "eventloop": 1,
    "http1": 1,
    "logs": 1,
    "units": 1,
    "address": 1,
}
ALLOWED_ON_SAME_FLOOR = {
    ("downstream", "upstream"),
    ("discovery", "upstream"),
    ("dispatch", "overload"),
    ("simulator", "config"),
}
ALLOWED_ON_FLOOR_1 = {("eventloop", "units"), ("http1", "units"), ("http1", "address")}
TESTBED_MAY_USE = {"balancing", "units", "daemon", "config"}
"""The public interface; ``daemon`` and ``config`` are for the baselines alone, which run the daemon."""


def imported_packages(path: Path) -> Iterator[str]:
    """Yield the package of each import in a file, including imports inside functions."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module == "lugtally":
            yield from (alias.name for alias in node.names if alias.name in FLOORS)
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("lugtally."):
            yield str(node.module).split(".")[1]
        elif isinstance(node, ast.Import):
            yield from (alias.name.split(".")[1] for alias in node.names if alias.name.startswith("lugtally."))


def package_of(path: Path) -> str:
    return path.relative_to(ROOT).parts[0].removesuffix(".py")


FILES = sorted(path for path in ROOT.rglob("*.py") if path != ROOT / "__init__.py")


def test_every_package_has_a_floor() -> None:
    assert {package_of(path) for path in FILES} == set(FLOORS)


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_go_to_lower_floors(path: Path) -> None:
    package = package_of(path)
    allowed = ALLOWED_ON_SAME_FLOOR | ALLOWED_ON_FLOOR_1
    upward_imports = {
        imported
        for imported in imported_packages(path)
        if imported != package and FLOORS[imported] >= FLOORS[package] and (package, imported) not in allowed
    }
    assert not upward_imports


@pytest.mark.parametrize("path", sorted((ROOT / "testbed").rglob("*.py")), ids=lambda path: path.stem)
def test_testbed_imports_only_the_public_interface(path: Path) -> None:
    used = set(imported_packages(path)) - {"testbed"}
    assert used <= TESTBED_MAY_USE
    assert path.name == "baselines.py" or not used & {"daemon", "config"}
