"""Raw settings, as the simulator and the sidecar's configuration give them, to ``api.Settings``.

A ``ValueError`` names the field that cannot be understood.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lugtally import api

EFFECTS = {
    "idempotent": api.Effect.SAFE,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}


def _known(table: dict[str, Any], value: Any, field: str) -> Any:
    """Translate a word of the wire, or name the field that holds an unknown one."""
    if not isinstance(value, str) or value not in table:
        raise ValueError(f"{field}: {value!r} is unknown")
    return table[value]


def _fill(kind: Callable[..., Any], source: dict[str, Any], names: dict[str, str], **more: Any) -> Any:
    """Build ``kind`` from those wire members that are present; its own defaults stand in elsewhere."""
    for wire, ours in names.items():
        if source.get(wire) is not None:
            more[ours] = source[wire]
    try:
        return kind(**more)
    except TypeError as error:
        raise ValueError(f"{kind.__name__}: {error}") from error


def _rows(raw: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """A list of objects, or what is wrong with it by the field's name."""
    rows = raw.get(field) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise ValueError(f"{field}: a list of objects is wanted")
    return rows


def read_class(raw: dict[str, Any]) -> api.RequestClass:
    """Translate one of the settings' classes."""
    more: dict[str, Any] = {}
    if raw.get("effect") is not None:
        more["effect"] = _known(EFFECTS, raw["effect"], "effect")
    if raw.get("key_scope") is not None:
        more["group"] = _known(GROUPS, raw["key_scope"], "group")
    names = {
        "name": "name",
        "key_ttl_ns": "window_ns",
        "slo_ns": "aim_ns",
        "hard_limit_ns": "deadline_ns",
        "gain": "worth",
        "late_worth": "late_worth",
        "stream": "stream",
    }
    built: api.RequestClass = _fill(api.RequestClass, raw, names, **more)
    return built


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """Translate the settings of the wire; unknown keys are skipped and missing ones keep our defaults."""
    ceilings, contract = raw.get("ceilings") or {}, raw.get("contract") or {}
    flat = {**raw, **ceilings, **contract, "cross_zone": (raw.get("prices") or {}).get("cross_zone")}
    names = {
        "locality": "zone",
        "instances": "balancers",
        "most_tries": "max_attempts",
        "second_copies": "second_copies",
        "cancel": "may_cancel",
        "retry_after": "advice",
        "max_retry_after_ns": "max_advice_ns",
        "cold_from": "cold_from",
        "warm_within_ns": "warm_within_ns",
        "fall_multiple": "fall_multiple",
        "cross_zone": "cross_zone_price",
        "step_ns": "tick_ns",
        "ask_within_ns": "ask_within_ns",
        "over_share_worth": "over_share_worth",
    }
    built: api.Settings = _fill(
        api.Settings,
        flat,
        names,
        classes=tuple(read_class(item) for item in _rows(raw, "grades")),
        ask_for_list=raw.get("membership_mode") == "subscribe",
        load_fields=tuple((raw.get("report") or {}).get("columns") or ()),
        tenants=tuple(
            _fill(api.Tenant, item, {"name": "name", "quota_per_s": "quota_per_s"}) for item in _rows(raw, "accounts")
        ),
        gone_binds=not contract.get("removal_not_binding"),
    )
    return built
