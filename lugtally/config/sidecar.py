"""The configuration of the sidecar: decodes and validates the environment variables and ``config.json``."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

import ujson

from lugtally import balancing
from lugtally.address import Address
from lugtally.config.balancing_settings import JsonObject, read_settings
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
"""Upper limit of configured numbers, exclusive; far above any useful duration in nanoseconds."""
MAX_DESCRIPTOR = 2**20
"""Largest descriptor that is accepted; above the usual limit of descriptors per process."""
NO_ENDPOINTS = {"version": 0, "full": True, "servers": []}
JSON_TYPE_NAMES = {dict: "an object", list: "a list"}

Environment = Mapping[str, str]


class ConfigurationError(ValueError):
    """The configuration is invalid; the text is one line that names the key."""


@dataclass(slots=True)
class SidecarConfig:
    """The decoded configuration of one sidecar."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    """Seed of all random decisions."""
    descriptor_limit: int
    memory_limit_mb: int
    cores: float
    """Processor cores that the sidecar may use."""
    cached_endpoints: EndpointList
    """The endpoint list from before the restart, which is used until discovery responds."""
    settings: balancing.Settings
    zones: tuple[str, ...]
    idle_timeout_ns: int
    """Time after which endpoints close an idle connection to them."""
    connect_timeout_ns: int
    load_reports_in_responses: bool
    """Whether the responses of endpoints contain load reports in their headers."""
    inherited_socket_fd: int | None = None
    """Descriptor of the listening socket if the platform opened it; ``None`` to open one."""
    admin_address: Address | None = None
    """Address of the admin server; ``None`` to disable it."""


def load_config(environment: Environment, path: str | None = None, *, reloading: bool = False) -> SidecarConfig:
    """Load the file at ``path`` or, without one, at ``$PROXY_CONFIG``; the other variables override its values.

    If ``reloading``, ``discovery`` in the file overrides ``$PROXY_DISCOVERY``, because the environment of a running
    process cannot change.

    Raises:
        ConfigurationError: The file cannot be read, or a value is invalid.
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


def _read_file(path: str) -> JsonObject:
    try:
        raw = ujson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: invalid JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigurationError(f"PROXY_CONFIG: {path}: must be an object")
    return raw


def _decode(raw: JsonObject, environment: Environment) -> SidecarConfig:
    raw_settings = _object_or_list(raw, "settings", dict)
    limits = _object_or_list(raw, "limits", dict)
    report = _object_or_list(raw_settings, "report", dict)
    decoded_settings = _decode_settings(raw_settings)
    return SidecarConfig(
        name=str(environment.get("PROXY_NAME") or raw.get("name") or DEFAULT_NAME),
        listen=parse_address(environment.get("PROXY_LISTEN") or raw.get("listen"), "listen"),
        discovery=parse_address(environment.get("PROXY_DISCOVERY") or raw.get("discovery"), "discovery"),
        seed=_seed(raw.get("seed")),
        descriptor_limit=_descriptor_limit(limits),
        memory_limit_mb=_positive_integer(limits, "memory_mb", DEFAULT_MEMORY_LIMIT_MB),
        cores=_cores(limits.get("cores")),
        cached_endpoints=parse_endpoint_list(raw.get("known") or NO_ENDPOINTS, "known"),
        settings=decoded_settings.settings,
        zones=tuple(str(zone) for zone in _object_or_list(raw_settings, "zones", list)),
        idle_timeout_ns=decoded_settings.idle_timeout_ns,
        connect_timeout_ns=decoded_settings.connect_timeout_ns,
        load_reports_in_responses=report.get("how") == "answers",
        inherited_socket_fd=_inherited_socket_fd(environment.get("PROXY_SOCKET_FD")),
        admin_address=_admin_address(environment.get("PROXY_OPERATOR") or raw.get("operator")),
    )


class _DecodedSettings(NamedTuple):
    """The values of the ``settings`` object."""

    settings: balancing.Settings
    idle_timeout_ns: int
    connect_timeout_ns: int


def _decode_settings(raw_settings: JsonObject) -> _DecodedSettings:
    """Decode the ``settings`` object, whose ``ceilings`` also contain the timeouts of connections."""
    ceilings = _object_or_list(raw_settings, "ceilings", dict)
    if not isinstance(raw_settings.get("grades"), list) or not raw_settings["grades"]:
        raise ValueError("settings.grades: must be a non-empty list of classes")
    try:
        idle_timeout_ns = _positive_integer(ceilings, "keepalive_ns", DEFAULT_IDLE_TIMEOUT_NS)
        connect_timeout_ns = _positive_integer(ceilings, "connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT_NS)
        settings = _sidecar_settings(raw_settings, connect_timeout_ns)
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(f"settings: {error}") from error
    return _DecodedSettings(settings, idle_timeout_ns, connect_timeout_ns)


def _sidecar_settings(raw_settings: JsonObject, connect_timeout_ns: int) -> balancing.Settings:
    """Return the balancer's settings, with two values that a sidecar sets differently from the simulator.

    A sidecar always watches the endpoint list.  It may send a retry up to the connect timeout after the decision to
    retry.  With this delay as the timer resolution, no retry with an idempotency key arrives after the deduplication
    window.
    """
    settings = read_settings(raw_settings)
    resolution_ns = max(settings.timer_resolution_ns, connect_timeout_ns)
    return replace(settings, subscribe_to_endpoints=True, timer_resolution_ns=resolution_ns)


def _object_or_list(raw: JsonObject, key: str, value_type: type[dict[str, Any]] | type[list[Any]]) -> Any:
    """Return the object or list at ``key``; an empty one if the key is missing."""
    value = raw.get(key)
    if value is None:
        return value_type()
    if not isinstance(value, value_type):
        raise ValueError(f"{key}: must be {JSON_TYPE_NAMES[value_type]}, not {value!r}")
    return value


def _positive_integer(raw: JsonObject, key: str, default: int) -> int:
    value = raw.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < MAX_INTEGER:
        raise ValueError(f"{key}: must be a positive number, not {value!r}")
    return int(value)


def _descriptor_limit(limits: JsonObject) -> int:
    limit = _positive_integer(limits, "sockets", DEFAULT_DESCRIPTOR_LIMIT)
    if limit < MIN_DESCRIPTOR_LIMIT:
        raise ValueError(f"limits.sockets: must be {MIN_DESCRIPTOR_LIMIT} or more, not {limit}")
    return limit


def _seed(text: Any) -> int:
    try:
        return int(text, 16) if isinstance(text, str) else int(text or 0)
    except (TypeError, ValueError) as error:
        raise ValueError(f"seed: must be a hexadecimal number, not {text!r}") from error


def _cores(value: Any) -> float:
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < MAX_CORES:
        raise ValueError(f"limits.cores: must be a positive number, not {value!r}")
    return float(value)


def _admin_address(text: Any) -> Address | None:
    """Decode the admin address from ``operator`` or ``$PROXY_OPERATOR``; ``None`` if it is not set."""
    return None if text is None or text == "" else parse_address(text, "operator")


def _inherited_socket_fd(text: str | None) -> int | None:
    """Decode ``$PROXY_SOCKET_FD``.  Whether it is a listening socket is checked when the server starts."""
    if text is None or text == "":
        return None
    if not text.isdigit() or int(text) > MAX_DESCRIPTOR:
        raise ValueError(f"PROXY_SOCKET_FD: must be a descriptor, not {text!r}")
    return int(text)
