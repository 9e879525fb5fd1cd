"""Tests that a package imports only packages of lower layers; ``docs/architecture.md`` describes the layers."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE_ROOT = Path(__file__).parents[1] / "lugtally"
LAYERS = {
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
    "memory": 1,
    "file_names": 1,
    "units": 1,
    "address": 1,
}
ALLOWED_IN_SAME_LAYER = {
    ("downstream", "upstream"),
    ("discovery", "upstream"),
    ("dispatch", "overload"),
    ("simulator", "config"),
}
ALLOWED_IN_LAYER_1 = {("eventloop", "units"), ("http1", "units"), ("http1", "address")}
TESTBED_MAY_USE = {"balancing", "units", "daemon", "config"}
"""The public interface.  Only ``baselines.py``, which runs the daemon, may import ``daemon`` and ``config``."""


def imported_packages(path: Path) -> Iterator[str]:
    """Yield the ``lugtally`` package of each import in a file, including imports inside functions."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module == "lugtally":
            yield from (alias.name for alias in node.names if alias.name in LAYERS)
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("lugtally."):
            yield str(node.module).split(".")[1]
        elif isinstance(node, ast.Import):
            yield from (alias.name.split(".")[1] for alias in node.names if alias.name.startswith("lugtally."))


def package_of(path: Path) -> str:
    return path.relative_to(PACKAGE_ROOT).parts[0].removesuffix(".py")


SOURCE_FILES = sorted(path for path in PACKAGE_ROOT.rglob("*.py") if path != PACKAGE_ROOT / "__init__.py")


def test_every_package_has_a_layer() -> None:
    assert {package_of(path) for path in SOURCE_FILES} == set(LAYERS)


@pytest.mark.parametrize("path", SOURCE_FILES, ids=lambda path: str(path.relative_to(PACKAGE_ROOT)))
def test_packages_import_only_lower_layers(path: Path) -> None:
    package = package_of(path)
    allowed = ALLOWED_IN_SAME_LAYER | ALLOWED_IN_LAYER_1
    upward_imports = {
        imported
        for imported in imported_packages(path)
        if imported != package and LAYERS[imported] >= LAYERS[package] and (package, imported) not in allowed
    }
    assert not upward_imports


@pytest.mark.parametrize("path", sorted((PACKAGE_ROOT / "testbed").rglob("*.py")), ids=lambda path: path.stem)
def test_testbed_imports_only_the_public_interface(path: Path) -> None:
    used = set(imported_packages(path)) - {"testbed"}
    assert used <= TESTBED_MAY_USE
    assert path.name == "baselines.py" or not used & {"daemon", "config"}
