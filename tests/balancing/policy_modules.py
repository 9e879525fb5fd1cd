"""Checks that the modules listed under ``policy`` in the deploy file use no clock, I/O or unseeded randomness."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
BALANCING = ROOT / "lugtally" / "balancing"
MAX_COLUMNS = 110

VALUE_MODULES = frozenset(
    {
        "__init__",
        "actions",
        "attempt_id",
        "attempts",
        "deadline_queue",
        "endpoint",
        "events",
        "request",
        "settings",
        "sliding_counter",
        "timers",
    }
)
"""Modules under ``balancing`` that define values, records and containers but make no decisions."""

ALLOWED_MODULES = frozenset(
    {
        "__future__",
        "bisect",
        "collections.abc",
        "dataclasses",
        "enum",
        "heapq",
        "itertools",
        "math",
        "random",
        "typing",
        "lugtally.balancing",
        "lugtally.units",
    }
)
"""Modules that may be imported: none gives access to a clock, socket or file, and none is of a higher layer."""
IO_BUILTINS = frozenset({"__import__", "breakpoint", "compile", "eval", "exec", "input", "open", "print"})


def policy_names() -> list[str]:
    """Return the paths of the modules that the deploy file lists under ``policy``."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    names: list[str] = deploy["policy"]
    return names


def violations(source: str) -> list[str]:
    """Return a description of each violation in the source of a policy module."""
    found = [f"line {number} is too long" for number, line in enumerate(source.splitlines(), 1) if is_too_long(line)]
    for node in ast.walk(ast.parse(source)):
        found += [f"imports {name}" for name in imported_names(node) if not is_allowed(name)]
        if isinstance(node, ast.Name) and node.id in IO_BUILTINS:
            found.append(f"uses {node.id}")
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "Random":
            found += [] if node.args and not is_none(node.args[0]) else ["makes an unseeded Random"]
    return found


def is_too_long(line: str) -> bool:
    return len(line) > MAX_COLUMNS


def is_none(node: ast.expr) -> bool:
    return isinstance(node, ast.Constant) and node.value is None


def imported_names(node: ast.AST) -> Iterator[str]:
    """Yield the names that an import statement imports; those of ``from module import name`` as ``module.name``."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)
    elif isinstance(node, ast.ImportFrom):
        module = "." * node.level + (node.module or "")
        yield from (f"{module}.{alias.name}" for alias in node.names)


def is_allowed(name: str) -> bool:
    """Return whether an import is allowed; from ``random`` only the class that takes a seed."""
    if name.startswith("random"):
        return name == "random.Random"
    module = name.rpartition(".")[0]
    return module in ALLOWED_MODULES or module.startswith("lugtally.balancing.")
