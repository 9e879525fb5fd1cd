"""The configuration, command and environment with which tests run the sidecar as a process."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

from lugtally.units import NS_PER_S

ROOT = Path(__file__).parents[1]


def sidecar_settings(
    *, latency_objective_s: float = 2.0, deadline_s: float = 8.0, keepalive_s: float = 60.0, slow_start_s: float = 7.5
) -> dict[str, Any]:
    """Return the ``settings`` of a configuration with three request classes, one for each kind of idempotency."""
    limits = {"slo_ns": int(latency_objective_s * NS_PER_S), "hard_limit_ns": int(deadline_s * NS_PER_S)}
    key = {"effect": "deduplicated", "key_scope": "zone", "key_ttl_ns": 6 * NS_PER_S}
    return {
        "grades": [
            {"name": "campaign-read", "effect": "idempotent", **limits},
            {"name": "pledge-record", **key, **limits},
            {"name": "receipt-issue", "effect": "at_most_once", **limits},
        ],
        "ceilings": {
            "most_tries": 4,
            "cancel": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_ns": 2 * NS_PER_S,
            "keepalive_ns": int(keepalive_s * NS_PER_S),
            "connect_timeout_ns": 150_000_000,
        },
        "contract": {
            "cold_from": 0.31,
            "warm_within_ns": int(slow_start_s * NS_PER_S),
            "fall_multiple": 2.5,
        },
        "instances": 1,
        "zones": ["a", "b"],
        "membership_mode": "subscribe",
        "report": {"how": "probe"},
    }


SETTINGS = sidecar_settings()


def endpoint_record(
    endpoint_id: str, address: str, *, zone: str = "a", cell: int = 0, state: str = "ready", started_ms: int = 0
) -> dict[str, Any]:
    """Return an endpoint in the form of endpoint lists and of the ``known`` field of a configuration."""
    return {
        "id": endpoint_id,
        "addr": address,
        "zone": zone,
        "kind": "m",
        "cell": cell,
        "weight": 1.0,
        "state": state,
        "started_ms": started_ms,
    }


def serve_command(max_descriptors: int) -> list[str]:
    """Return the command that runs ``lugtally serve`` with at most ``max_descriptors`` open files."""
    return ["sh", "-c", f'ulimit -n {max_descriptors}; exec "$0" -B -m lugtally serve "$@"', sys.executable]


def serve_environment(folder: Path, discovery: str) -> dict[str, str]:
    """Return the environment of a sidecar whose ``config.json`` and temporary files are in ``folder``."""
    return {
        **os.environ,
        "PROXY_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder),
        "PROXY_DISCOVERY": discovery,
    }
