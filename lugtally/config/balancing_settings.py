"""Decodes the JSON settings of the sidecar and of the simulator to ``balancing.Settings``.

The tables below map the external keys to the names of the fields; no other module uses these keys.  A
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
    """Decode the settings.  Unknown keys are ignored, and a field without a key has its default.

    Raises:
        ValueError: A value is invalid; the text names its key.
    """
    contract = raw.get("contract") or {}
    values = _values_by_field(_flatten(raw), SETTINGS_FIELDS)
    values["classes"] = tuple(read_class(raw_class) for raw_class in _object_list(raw, "grades"))
    values["subscribe_to_endpoints"] = raw.get("membership_mode") == "subscribe"
    values["load_report_fields"] = tuple((raw.get("report") or {}).get("columns") or ())
    values["tenants"] = tuple(_read_tenant(raw_tenant) for raw_tenant in _object_list(raw, "accounts"))
    values["removal_is_binding"] = not contract.get("removal_not_binding")
    return _build_record(balancing.Settings, values, SETTINGS_FIELDS)


def read_class(raw: JsonObject) -> balancing.RequestClass:
    """Decode one request class of the settings.

    Raises:
        ValueError: A value is invalid; the text names its key.
    """
    values = _values_by_field(raw, CLASS_FIELDS)
    if raw.get("effect") is not None:
        values["idempotency"] = _enum_member(IDEMPOTENCY, raw["effect"], "effect")
    if raw.get("key_scope") is not None:
        values["deduplication_scope"] = _enum_member(DEDUPLICATION_SCOPES, raw["key_scope"], "group")
    return _build_record(balancing.RequestClass, values, CLASS_FIELDS)


def _read_tenant(raw: JsonObject) -> balancing.Tenant:
    return _build_record(balancing.Tenant, _values_by_field(raw, TENANT_FIELDS), TENANT_FIELDS)


def _flatten(raw: JsonObject) -> JsonObject:
    """Return the settings with the members of ``ceilings`` and ``contract``, and ``cross_zone``, at the top level.

    No key occurs in two of these objects.
    """
    ceilings, contract, prices = raw.get("ceilings") or {}, raw.get("contract") or {}, raw.get("prices") or {}
    return {**raw, **ceilings, **contract, "cross_zone": prices.get("cross_zone")}


def _object_list(raw: JsonObject, key: str) -> list[JsonObject]:
    """Return the list of objects at ``key``; empty if the key is missing."""
    items = raw.get(key) or []
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise ValueError(f"{key}: must be a list of objects")
    return items


def _enum_member(members_by_name: Mapping[str, Member], value: Any, key: str) -> Member:
    """Return the enum member with the external name ``value``."""
    if not isinstance(value, str) or value not in members_by_name:
        raise ValueError(f"{key}: must be one of {', '.join(members_by_name)}, not {value!r}")
    return members_by_name[value]


def _values_by_field(raw: JsonObject, fields_by_key: Mapping[str, str]) -> dict[str, Any]:
    """Return the values by field name, for those keys of ``fields_by_key`` that are present."""
    return {field: raw[key] for key, field in fields_by_key.items() if raw.get(key) is not None}


def _build_record(record_type: type[Value], values: dict[str, Any], fields_by_key: Mapping[str, str]) -> Value:
    """Construct a record; an error names the external key instead of the field."""
    try:
        return record_type(**values)
    except TypeError as error:
        raise ValueError(f"{record_type.__name__}: {error}") from error
    except ValueError as error:
        raise ValueError(_replace_field_with_key(str(error), fields_by_key)) from error


def _replace_field_with_key(text: str, fields_by_key: Mapping[str, str]) -> str:
    """Replace the field name at the start of an error text with its external key."""
    field, separator, reason = text.partition(": ")
    key = next((key for key, name in fields_by_key.items() if name == field), field)
    return f"{key}{separator}{reason}"
