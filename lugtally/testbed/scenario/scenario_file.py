"""Scenario files: decoding, validation, and the scenarios that are shipped with the package."""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from lugtally.testbed.scenario.scenario import (
    DEFAULT_CLASSES,
    SIDECAR_PREFIX,
    Bounds,
    Fault,
    RequestClass,
    Scenario,
    ScenarioError,
)

SHARE_SUM_TOLERANCE = 0.001
SUFFIX = ".toml"


def load(name: str) -> Scenario:
    """Load a shipped scenario by its name, or a scenario file by its path.  Raises ScenarioError."""
    texts = shipped()
    if name in texts:
        return decode(texts[name], f"{name}{SUFFIX}")
    path = Path(name)
    if path.suffix not in (SUFFIX, ".json"):
        raise ScenarioError(f"{name}: neither a shipped scenario nor a .toml file")
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}") from error
    if path.suffix == ".json":  # written by an experiment
        return from_tree(msgspec.json.decode(text), path.name)
    return decode(text, path.name)


def shipped() -> dict[str, str]:
    """Return the text of each shipped scenario by its name."""
    folder = resources.files("lugtally.testbed") / "scenarios"
    return {
        entry.name.removesuffix(SUFFIX): entry.read_text(encoding="utf-8")
        for entry in sorted(folder.iterdir(), key=lambda entry: entry.name)
        if entry.name.endswith(SUFFIX)
    }


def decode(text: str, name: str) -> Scenario:
    """Decode the text of a file called ``name``.  Raises ScenarioError."""
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: invalid TOML: {error}") from error
    return from_tree(tree, name)


def from_tree(tree: dict[str, Any], name: str) -> Scenario:
    """Build a scenario from the decoded contents of a file called ``name``.  Raises ScenarioError."""
    try:
        scenario = msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{name}: {_with_path_first(str(error))}") from error
    if not scenario.classes:
        scenario = msgspec.structs.replace(scenario, classes=DEFAULT_CLASSES)
    try:
        _validate(scenario)
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from None
    return scenario


def _with_path_first(error: str) -> str:
    """Move a path such as ``$.fleet.servers`` from the end of msgspec's message to the start, without ``$.``."""
    text, _, path = error.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    return f"{path}: {text}" if path else text


def _validate(scenario: Scenario) -> None:
    """Check the constraints that the types do not express.  Raises ScenarioError without the name of the file."""
    tables = {
        "fleet": scenario.fleet,
        "network": scenario.network,
        "discovery": scenario.discovery,
        "load": scenario.load,
        "clients": scenario.clients,
    }
    for path, table in tables.items():
        _validate_ranges(path, table)
    for index, request_class in enumerate(scenario.classes):
        _validate_class(f"classes[{index}]", request_class)
    _validate_classes(scenario.classes)
    if not scenario.fleet.zones:
        raise ScenarioError("fleet.zones: must not be empty")
    for index, fault in enumerate(scenario.faults):
        _validate_fault(f"troubles[{index}]", index, fault, scenario)


def _validate_ranges(path: str, table: Struct) -> None:
    """Check that the bounds of each range in a table are in order and not negative."""
    for field, key in zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True):
        value = getattr(table, field)
        if isinstance(value, Bounds) and not 0 <= value.lower <= value.upper:
            raise ScenarioError(f"{path}.{key}: {list(value)} is not a range [lower, upper]")


def _validate_class(path: str, request_class: RequestClass) -> None:
    _validate_ranges(path, request_class)
    if request_class.latency_objective_ms > request_class.deadline_ms:
        raise ScenarioError(f"{path}.aim_ms: exceeds the deadline")
    if request_class.shape == "pareto" and request_class.spread <= 1:
        raise ScenarioError(f"{path}.spread: a pareto index must be above 1 for a mean to exist")


def _validate_classes(classes: tuple[RequestClass, ...]) -> None:
    total = sum(request_class.share for request_class in classes)
    if abs(total - 1) > SHARE_SUM_TOLERANCE:
        raise ScenarioError(f"classes: the shares add up to {total:.3f}, not to 1")
    if len({request_class.name for request_class in classes}) < len(classes):
        raise ScenarioError("classes: two classes have the same name")


def _validate_fault(path: str, index: int, fault: Fault, scenario: Scenario) -> None:
    fleet = scenario.fleet
    if fault.at_s >= scenario.length_s:
        raise ScenarioError(f"{path}.at_s: {fault.at_s} is not within the {scenario.length_s} s of the run")
    if fault.zone is not None and fault.zone not in fleet.zones:
        raise ScenarioError(f"{path}.zone: {fault.zone!r} is not a zone of the fleet")
    if fault.same_as is not None and fault.same_as >= index:
        raise ScenarioError(f"{path}.same_as: is not the index of an earlier fault")
    if fault.kind == "sidecar-starved" and not (fleet.pinned and fault.size < 1):
        raise ScenarioError(f"{path}: sidecar-starved needs fleet.pinned and a size, the share taken, under 1")
    if fault.kind.startswith(SIDECAR_PREFIX) and fault.sidecar >= fleet.sidecars:
        raise ScenarioError(f"{path}.sidecar: there are {fleet.sidecars} sidecars")
    if fault.servers is not None and fault.servers > fleet.servers and fault.kind != "join":
        raise ScenarioError(f"{path}.servers: there are {fleet.servers} servers")
