"""Decodes the settings of the simulator and of the sidecar's configuration to ``balancing.Settings``.

The tables of this module map the external keys to the names of the fields; no other module knows these keys.  A
``ValueError`` names the key of the invalid value.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from lugtally import balancing

JsonObject = dict[str, Any]
Value = TypeVar("Value")
Member = TypeVar("Member", bound=Enum)

IDEMPOTENCY = {
    "idempotent": balancing.Idempotency.IDEMPOTENT,
    "deduplicated": balancing.Idempotency.IDEMPOTENCY_KEY,
    "at_most_once": balancing.Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": balancing.DeduplicationScope.ALL,
    "zone": balancing.DeduplicationScope.ZONE,
    "cell": balancing.DeduplicationScope.CELL,
}
CLASS_FIELDS = {
    "name": "name",
    "key_ttl_ns": "deduplication_window_ns",
    "slo_ns": "latency_objective_ns",
    "hard_limit_ns": "deadline_ns",
    "gain": "priority_weight",
    "late_worth": "late_priority_weight",
    "stream": "stream",
}
TENANT_FIELDS = {"name": "name", "quota_per_s": "quota_per_s"}
SETTINGS_FIELDS = {
    "locality": "zone",
    "instances": "fleet_size",
    "most_tries": "max_attempts",
    "second_copies": "hedging_allowed",
    "cancel": "cancellation_allowed",
    "retry_after": "retry_after_allowed",
    "max_retry_after_ns": "max_retry_after_ns",
    "cold_from": "initial_capacity",
    "warm_within_ns": "slow_start_window_ns",
    "fall_multiple": "overload_multiple",
    "cross_zone": "cross_zone_cost",
    "step_ns": "timer_resolution_ns",
    "ask_within_ns": "max_poll_interval_ns",
    "over_share_worth": "over_quota_weight",
}


def read_settings(raw: JsonObject) -> balancing.Settings:
    """Decode the settings.  Unknown keys are ignored, and missing keys have the default of their field.

    Raises:
        ValueError: A value is invalid; the text names its key.
    """
    contract = raw.get("contract") or {}
    values = _build_values(_merge_groups(raw), SETTINGS_FIELDS)
    values["classes"] = tuple(read_class(row) for row in _rows(raw, "grades"))
    values["subscribe_to_endpoints"] = raw.get("membership_mode") == "subscribe"
    values["load_report_fields"] = tuple((raw.get("report") or {}).get("columns") or ())
    values["tenants"] = tuple(_read_tenant(row) for row in _rows(raw, "accounts"))
    values["removal_is_binding"] = not contract.get("removal_not_binding")
    return _build(balancing.Settings, values, SETTINGS_FIELDS)


def read_class(raw: JsonObject) -> balancing.RequestClass:
    """Decode one request class of the settings.

    Raises:
        ValueError: A value is invalid; the text names its key.
    """
    values = _build_values(raw, CLASS_FIELDS)
    if raw.get("effect") is not None:
        values["idempotency"] = _member(IDEMPOTENCY, raw["effect"], "effect")
    if raw.get("key_scope") is not None:
        values["deduplication_scope"] = _member(DEDUPLICATION_SCOPES, raw["key_scope"], "group")
    return _build(balancing.RequestClass, values, CLASS_FIELDS)


def _read_tenant(raw: JsonObject) -> balancing.Tenant:
    return _build(balancing.Tenant, _build_values(raw, TENANT_FIELDS), TENANT_FIELDS)


def _merge_groups(raw: JsonObject) -> JsonObject:
    """Return the settings with the members of their groups at the top level; no key occurs in two groups."""
    ceilings, contract, prices = raw.get("ceilings") or {}, raw.get("contract") or {}, raw.get("prices") or {}
    return {**raw, **ceilings, **contract, "cross_zone": prices.get("cross_zone")}


def _rows(raw: JsonObject, key: str) -> list[JsonObject]:
    """Return the list of objects at ``key``; empty if the key is missing."""
    rows = raw.get(key) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise ValueError(f"{key}: must be a list of objects")
    return rows


def _member(members: Mapping[str, Member], value: Any, key: str) -> Member:
    """Return the enum member with the external name ``value``."""
    if not isinstance(value, str) or value not in members:
        raise ValueError(f"{key}: must be one of {', '.join(members)}, not {value!r}")
    return members[value]


def _build_values(raw: JsonObject, fields: Mapping[str, str]) -> dict[str, Any]:
    """Return the values by field name, for the keys of ``fields`` that are present."""
    return {field: raw[key] for key, field in fields.items() if raw.get(key) is not None}


def _build(record_type: type[Value], values: dict[str, Any], fields: Mapping[str, str]) -> Value:
    """Construct a record; its errors name the external key instead of the field."""
    try:
        return record_type(**values)
    except TypeError as error:
        raise ValueError(f"{record_type.__name__}: {error}") from error
    except ValueError as error:
        raise ValueError(_name_by_key(str(error), fields)) from error


def _name_by_key(text: str, fields: Mapping[str, str]) -> str:
    """Replace the field name at the start of an error text by its external key."""
    field, separator, reason = text.partition(": ")
    key = next((key for key, name in fields.items() if name == field), field)
    return f"{key}{separator}{reason}"
