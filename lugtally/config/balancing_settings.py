"""Raw settings, as the simulator and the sidecar's configuration give them, to ``balancing.Settings``.

The tables here are the one place where the wire's keys stand beside the names of the fields.  A ``ValueError`` names
the key that holds a value which cannot be used.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from lugtally import balancing

Raw = dict[str, Any]
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


def read_settings(raw: Raw) -> balancing.Settings:
    """Decode the settings; unknown keys are skipped, and missing ones keep the fields' defaults.

    Raises:
        ValueError: a value cannot be used; the text names its key.
    """
    contract = raw.get("contract") or {}
    values = _build_values(_merge_groups(raw), SETTINGS_FIELDS)
    values["classes"] = tuple(read_class(row) for row in _rows(raw, "grades"))
    values["subscribe_to_endpoints"] = raw.get("membership_mode") == "subscribe"
    values["load_report_fields"] = tuple((raw.get("report") or {}).get("columns") or ())
    values["tenants"] = tuple(_read_tenant(row) for row in _rows(raw, "accounts"))
    values["removal_is_binding"] = not contract.get("removal_not_binding")
    return _build(balancing.Settings, values, SETTINGS_FIELDS)


def read_class(raw: Raw) -> balancing.RequestClass:
    """Decode one of the settings' classes.

    Raises:
        ValueError: a value cannot be used; the text names its key.
    """
    values = _build_values(raw, CLASS_FIELDS)
    if raw.get("effect") is not None:
        values["idempotency"] = _member(IDEMPOTENCY, raw["effect"], "effect")
    if raw.get("key_scope") is not None:
        values["deduplication_scope"] = _member(DEDUPLICATION_SCOPES, raw["key_scope"], "group")
    return _build(balancing.RequestClass, values, CLASS_FIELDS)


def _read_tenant(raw: Raw) -> balancing.Tenant:
    return _build(balancing.Tenant, _build_values(raw, TENANT_FIELDS), TENANT_FIELDS)


def _merge_groups(raw: Raw) -> Raw:
    """Return the settings with the members of their groups beside them, as their keys differ."""
    ceilings, contract, prices = raw.get("ceilings") or {}, raw.get("contract") or {}, raw.get("prices") or {}
    return {**raw, **ceilings, **contract, "cross_zone": prices.get("cross_zone")}


def _rows(raw: Raw, key: str) -> list[Raw]:
    rows = raw.get(key) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise ValueError(f"{key}: a list of objects is wanted")
    return rows


def _member(members: Mapping[str, Member], value: Any, key: str) -> Member:
    if not isinstance(value, str) or value not in members:
        raise ValueError(f"{key}: {value!r} is unknown")
    return members[value]


def _build_values(raw: Raw, fields: Mapping[str, str]) -> Raw:
    """Return the values by field, for those keys of the table that are present."""
    return {field: raw[key] for key, field in fields.items() if raw.get(key) is not None}


def _build(record_type: type[Value], values: Raw, fields: Mapping[str, str]) -> Value:
    """Build a record, whose own defaults stand in for missing values, and name a faulty one by its key."""
    try:
        return record_type(**values)
    except TypeError as error:
        raise ValueError(f"{record_type.__name__}: {error}") from error
    except ValueError as error:
        raise ValueError(_name_by_key(str(error), fields)) from error


def _name_by_key(text: str, fields: Mapping[str, str]) -> str:
    """Put the wire's key in the place of the field's name that the text begins with."""
    field, separator, reason = text.partition(": ")
    key = next((key for key, name in fields.items() if name == field), field)
    return f"{key}{separator}{reason}"
