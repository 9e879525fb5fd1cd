"""What the sidecar is told: the environment and config.json, decoded once and checked.

A :class:`ConfigurationError` names the field at fault in one plain line.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import ujson

from lugtally import balancing
from lugtally.address import Address
from lugtally.config.balancing_settings import read_settings
from lugtally.config.endpoint_list import EndpointList, parse_address, parse_endpoint_list
from lugtally.units import NS_PER_MS, NS_PER_S

LEAST_SOCKETS = 64


class ConfigurationError(ValueError):
    """The configuration cannot be used."""


@dataclass(slots=True)
class SidecarConfig:
    """The values that the sidecar uses."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    cores: float
    known: EndpointList
    settings: balancing.Settings
    zones: tuple[str, ...]
    keepalive_ns: int
    connect_timeout_ns: int
    answers_report: bool  # answers carry load reports
    inherited: int | None = None  # the front socket's descriptor, where the platform holds it
    operators: Address | None = None  # the address for operators' calls; none: off


def load(environment: Mapping[str, str], path: str | None = None, *, again: bool = False) -> SidecarConfig:
    """Read the file that ``PROXY_CONFIG`` names; the other variables go before what it says.

    Where it is read ``again``, its ``discovery`` counts: the variable cannot change while the program runs.
    """
    path = path or environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set")
    try:
        raw = ujson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: no JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigurationError(f"PROXY_CONFIG: {path}: an object is wanted")
    if again and raw.get("discovery"):
        environment = {**environment, "PROXY_DISCOVERY": raw["discovery"]}
    try:
        return _read(raw, environment)
    except ValueError as error:
        raise ConfigurationError(str(error)) from error


def _part(raw: dict[str, Any], name: str, kind: type) -> Any:
    value = raw.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise ValueError(f"{name}: {value!r} is no {kind.__name__}")
    return value


def _positive(raw: dict[str, Any], name: str, default: int) -> int:
    value = raw.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < 2**62:
        raise ValueError(f"{name}: {value!r} is no positive number")
    return int(value)


def _seed(text: Any) -> int:
    try:
        return int(text, 16) if isinstance(text, str) else int(text or 0)
    except (TypeError, ValueError) as error:
        raise ValueError(f"seed: {text!r} is no hexadecimal number") from error


def _cores(value: Any) -> float:
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < 4096:
        raise ValueError(f"limits.cores: {value!r} is no positive number")
    return float(value)


def _read(raw: dict[str, Any], environment: Mapping[str, str]) -> SidecarConfig:
    told, limits = _part(raw, "settings", dict), _part(raw, "limits", dict)
    ceilings, report = _part(told, "ceilings", dict), _part(told, "report", dict)
    if not isinstance(told.get("grades"), list) or not told["grades"]:
        raise ValueError("settings.grades: a list of classes is wanted")
    try:
        keepalive = _positive(ceilings, "keepalive_ns", 60 * NS_PER_S)
        connect = _positive(ceilings, "connect_timeout_ns", 150 * NS_PER_MS)
        # Whatever the settings say of the simulator, a real sidecar learns of changes only by asking, and a
        # repeat is sent as late after its decision as a connection may take to come up: without that margin
        # a keyed request could reach a server after the window in which repeats are dropped.
        settings = read_settings(told)
        settings = replace(
            settings, subscribe_to_endpoints=True, timer_resolution_ns=max(settings.timer_resolution_ns, connect)
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(f"settings: {error}") from error
    sockets = _positive(limits, "sockets", 1024)
    if sockets < LEAST_SOCKETS:
        raise ValueError(f"limits.sockets: {sockets} is under {LEAST_SOCKETS}")
    return SidecarConfig(
        name=str(environment.get("PROXY_NAME") or raw.get("name") or "lugtally"),
        listen=parse_address(environment.get("PROXY_LISTEN") or raw.get("listen"), "listen"),
        discovery=parse_address(environment.get("PROXY_DISCOVERY") or raw.get("discovery"), "discovery"),
        seed=_seed(raw.get("seed")),
        sockets=sockets,
        memory_mb=_positive(limits, "memory_mb", 192),
        cores=_cores(limits.get("cores")),
        known=parse_endpoint_list(raw.get("known") or {"version": 0, "full": True, "servers": []}, "known"),
        settings=settings,
        zones=tuple(str(zone) for zone in _part(told, "zones", list)),
        keepalive_ns=keepalive,
        connect_timeout_ns=connect,
        answers_report=report.get("how") == "answers",
        inherited=_descriptor(environment.get("PROXY_SOCKET_FD")),
        operators=_operators(environment.get("PROXY_OPERATOR") or raw.get("operator")),
    )


def _operators(text: Any) -> Address | None:
    """The operators' address (``operator``, or ``$PROXY_OPERATOR`` before it); none where neither is set."""
    return None if text is None or text == "" else parse_address(text, "operator")


def _descriptor(text: str | None) -> int | None:
    """The number in ``$PROXY_SOCKET_FD``; whether it is a listening socket is seen where it is adopted."""
    if text is None or text == "":
        return None
    if not text.isdigit() or int(text) > 2**20:
        raise ValueError(f"PROXY_SOCKET_FD: {text!r} is no descriptor")
    return int(text)
