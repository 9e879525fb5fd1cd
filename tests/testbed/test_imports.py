"""The imports between the testbed's modules have no cycle, including imports for type checking alone."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parents[2]
TESTBED = ROOT / "lugtally" / "testbed"


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_modules(path: Path) -> set[str]:
    """Return all modules that a file may import, including imports under TYPE_CHECKING and inside functions.

    In ``from package import name``, ``name`` may be a module or not, so both are returned.
    """
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
    return imported


def test_testbed_has_no_import_cycle() -> None:
    path_by_module = {module_name(path): path for path in TESTBED.rglob("*.py")}
    imports_by_module = {name: imported_modules(path) & path_by_module.keys() for name, path in path_by_module.items()}
    assert len(imports_by_module) > 50
    TopologicalSorter(imports_by_module).prepare()  # raises CycleError with the modules of a cycle
