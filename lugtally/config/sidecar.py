"""The sidecar's configuration: the environment and config.json, decoded once and checked.

A :class:`ConfigurationError` names the key at fault in one plain line.
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

DEFAULT_NAME = "lugtally"
DEFAULT_DESCRIPTOR_LIMIT = 1024
DEFAULT_MEMORY_LIMIT_MB = 192
DEFAULT_IDLE_TIMEOUT_NS = 60 * NS_PER_S
DEFAULT_CONNECT_TIMEOUT_NS = 150 * NS_PER_MS
MIN_DESCRIPTOR_LIMIT = 64
MAX_CORES = 4096
MAX_INTEGER = 2**62
MAX_DESCRIPTOR = 2**20
NO_ENDPOINTS = {"version": 0, "full": True, "servers": []}

Raw = dict[str, Any]
Environment = Mapping[str, str]


class ConfigurationError(ValueError):
    """The configuration cannot be used; the text is one line that names the key."""


@dataclass(slots=True)
class SidecarConfig:
    """The values that the sidecar uses."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptor_limit: int
    memory_limit_mb: int
    cores: float
    cached_endpoints: EndpointList
    """The endpoint list of the time before a restart."""
    settings: balancing.Settings
    zones: tuple[str, ...]
    idle_timeout_ns: int
    """How long servers keep an idle connection open."""
    connect_timeout_ns: int
    load_reports_in_responses: bool
    inherited_socket_fd: int | None = None
    """The descriptor of the listening socket, where the platform holds it."""
    admin_address: Address | None = None
    """The operators' address; ``None``: off."""


def load(environment: Environment, path: str | None = None, *, reloading: bool = False) -> SidecarConfig:
    """Read the file at ``path``, or that ``PROXY_CONFIG`` names; the other variables override what it says.

    Where a running sidecar is ``reloading``, the file's ``discovery`` overrides the variable, which cannot change.

    Raises:
        ConfigurationError: the file cannot be read, or a value in it cannot be used.
    """
    path = path or environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set")
    raw = _read_file(path)
    if reloading and raw.get("discovery"):
        environment = {**environment, "PROXY_DISCOVERY": raw["discovery"]}
    try:
        return _decode(raw, environment)
    except ValueError as error:
        raise ConfigurationError(str(error)) from error


def _read_file(path: str) -> Raw:
    try:
        raw = ujson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: no JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigurationError(f"PROXY_CONFIG: {path}: an object is wanted")
    return raw


def _decode(raw: Raw, environment: Environment) -> SidecarConfig:
    raw_settings, limits = _typed(raw, "settings", dict), _typed(raw, "limits", dict)
    ceilings, report = _typed(raw_settings, "ceilings", dict), _typed(raw_settings, "report", dict)
    if not isinstance(raw_settings.get("grades"), list) or not raw_settings["grades"]:
        raise ValueError("settings.grades: a list of classes is wanted")
    try:
        idle_timeout_ns = _positive(ceilings, "keepalive_ns", DEFAULT_IDLE_TIMEOUT_NS)
        connect_timeout_ns = _positive(ceilings, "connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT_NS)
        settings = _settings(raw_settings, connect_timeout_ns)
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(f"settings: {error}") from error
    descriptor_limit = _descriptor_limit(limits)
    return SidecarConfig(
        name=str(environment.get("PROXY_NAME") or raw.get("name") or DEFAULT_NAME),
        listen=parse_address(environment.get("PROXY_LISTEN") or raw.get("listen"), "listen"),
        discovery=parse_address(environment.get("PROXY_DISCOVERY") or raw.get("discovery"), "discovery"),
        seed=_seed(raw.get("seed")),
        descriptor_limit=descriptor_limit,
        memory_limit_mb=_positive(limits, "memory_mb", DEFAULT_MEMORY_LIMIT_MB),
        cores=_cores(limits.get("cores")),
        cached_endpoints=parse_endpoint_list(raw.get("known") or NO_ENDPOINTS, "known"),
        settings=settings,
        zones=tuple(str(zone) for zone in _typed(raw_settings, "zones", list)),
        idle_timeout_ns=idle_timeout_ns,
        connect_timeout_ns=connect_timeout_ns,
        load_reports_in_responses=report.get("how") == "answers",
        inherited_socket_fd=_inherited_socket_fd(environment.get("PROXY_SOCKET_FD")),
        admin_address=_admin_address(environment.get("PROXY_OPERATOR") or raw.get("operator")),
    )


def _settings(raw_settings: Raw, connect_timeout_ns: int) -> balancing.Settings:
    """Return the balancer's settings, for a real sidecar.

    Whatever they say of the simulator, a sidecar learns of changes only by watching the endpoint list, and a retry is
    sent as late after its decision as a connection may take to come up: without that margin a retry with an
    idempotency key could reach a server after the window in which duplicates are dropped.
    """
    settings = read_settings(raw_settings)
    resolution_ns = max(settings.timer_resolution_ns, connect_timeout_ns)
    return replace(settings, subscribe_to_endpoints=True, timer_resolution_ns=resolution_ns)


def _typed(raw: Raw, key: str, value_type: type) -> Any:
    value = raw.get(key)
    if value is None:
        return value_type()
    if not isinstance(value, value_type):
        raise ValueError(f"{key}: {value!r} is no {value_type.__name__}")
    return value


def _positive(raw: Raw, key: str, default: int) -> int:
    value = raw.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < MAX_INTEGER:
        raise ValueError(f"{key}: {value!r} is no positive number")
    return int(value)


def _descriptor_limit(limits: Raw) -> int:
    limit = _positive(limits, "sockets", DEFAULT_DESCRIPTOR_LIMIT)
    if limit < MIN_DESCRIPTOR_LIMIT:
        raise ValueError(f"limits.sockets: {limit} is under {MIN_DESCRIPTOR_LIMIT}")
    return limit


def _seed(text: Any) -> int:
    try:
        return int(text, 16) if isinstance(text, str) else int(text or 0)
    except (TypeError, ValueError) as error:
        raise ValueError(f"seed: {text!r} is no hexadecimal number") from error


def _cores(value: Any) -> float:
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < MAX_CORES:
        raise ValueError(f"limits.cores: {value!r} is no positive number")
    return float(value)


def _admin_address(text: Any) -> Address | None:
    """Decode the operators' address, where ``operator`` or ``$PROXY_OPERATOR`` is set."""
    return None if text is None or text == "" else parse_address(text, "operator")


def _inherited_socket_fd(text: str | None) -> int | None:
    """Decode ``$PROXY_SOCKET_FD``; whether it is a listening socket is checked where it is adopted."""
    if text is None or text == "":
        return None
    if not text.isdigit() or int(text) > MAX_DESCRIPTOR:
        raise ValueError(f"PROXY_SOCKET_FD: {text!r} is no descriptor")
    return int(text)
