"""The settings of a small deployment: those of the example in the operators' page on the wire."""

from __future__ import annotations

from typing import Any, NamedTuple

NS = 1_000_000_000
MS = 1_000_000


class Grade(NamedTuple):
    """A class of requests as its clients and pledge servers know it."""

    name: str
    method: str
    share: float
    work_s: float
    time_left_s: float
    """How long a client waits for one try."""
    has_key: bool = False


GRADES = (
    Grade("campaign-read", "GET", 0.45, 0.040, 0.440),
    Grade("pledge-record", "POST", 0.35, 0.066, 0.550, has_key=True),
    Grade("receipt-issue", "POST", 0.20, 0.215, 1.650),
)
BY_NAME = {grade.name: grade for grade in GRADES}


def _grade(name: str, effect: str, gain: float, slo_ms: int, limit_ms: int, late: float) -> dict[str, Any]:
    key = ("zone", 600 * MS) if effect == "deduplicated" else ("all", 5 * NS)
    return {
        "effect": effect,
        "gain": gain,
        "hard_limit_ns": limit_ms * MS,
        "key_scope": key[0],
        "key_ttl_ns": key[1],
        "late_worth": late,
        "name": name,
        "slo_ns": slo_ms * MS,
        "stream": False,
    }


def settings(instances: int = 4) -> dict[str, Any]:
    """Return the settings, with the names and units of the simulator's first message."""
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "connect_timeout_ns": 150 * MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 125430,
            "keepalive_ns": 60 * NS,
            "max_retry_after_ns": 2 * NS,
            "may_probe": True,
            "most_held": 25086,
            "most_tries": 4,
            "peers": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "clients": {"marks_retry": True},
        "contract": {
            "answer_slack_ns": 20 * MS,
            "ask_within_ns": 10 * NS,
            "cold_from": 0.31,
            "drain_grace_ns": 1500 * MS,
            "fall_multiple": 2.5,
            "tip_after_ns": NS,
            "warm_within_ns": 7500 * MS,
        },
        "counted_by": "request",
        "extra": {"warm_keys": False},
        "family": "mesh",
        "goal": {"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.15},
        "grades": [
            _grade("campaign-read", "idempotent", 1.0, 300, 800, 0.2),
            _grade("pledge-record", "deduplicated", 3.0, 500, 1000, 0.2),
            _grade("receipt-issue", "at_most_once", 2.0, 1000, 3000, 0.3),
        ],
        "instances": instances,
        "kinds": ["std-2core"],
        "layer": 0,
        "locality": 0,
        "me": 0,
        "membership_mode": "subscribe",
        "over_share_worth": 0.1,
        "prices": {"connection": 0.06, "cross_zone": 0.03, "handshake": 0.04, "late_fail": 0.06, "probe": 0.0025},
        "report": {"columns": ["inflight", "queue", "qps"], "how": "probe"},
        "step_ns": 5 * MS,
        "tiers": ["pledge-servers"],
        "weights": "rough",
        "zones": ["dc-angyalfold", "dc-csepel"],
    }
