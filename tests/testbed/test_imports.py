"""The testbed's modules import each other in one direction only, also for their types."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parents[2]
TESTBED = ROOT / "lugtally" / "testbed"


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_modules(path: Path) -> set[str]:
    """Return all modules that a file may import, with those under TYPE_CHECKING and inside functions."""
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
    return imported


def test_testbed_has_no_import_cycle() -> None:
    paths = {module_name(path): path for path in TESTBED.rglob("*.py")}
    graph = {name: imported_modules(path) & paths.keys() for name, path in paths.items()}
    assert len(graph) > 50
    TopologicalSorter(graph).prepare()  # raises CycleError with the modules of a cycle
