"""The file ``config.json`` of a sidecar, with the keys that the platform defines."""

from __future__ import annotations

from typing import Any

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.endpoint_registry import READY
from lugtally.testbed.scenario.random_streams import stream
from lugtally.testbed.scenario.scenario import EFFECT_SETTINGS, RequestClass, Scenario
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.violations import DRAIN_GRACE_S, RESPONSE_SLACK_S

NS_PER_MS = 1e6
NS_PER_S = 1e9
SERVER_KIND = "std"  # all emulated servers are of one kind
CROSS_ZONE_PRICE = 0.03
TIMER_RESOLUTION_NS = 5_000_000
MAX_RETRY_AFTER_NS = 2_000_000_000
CONNECT_TIMEOUT_NS = 150_000_000


def sidecar_configuration(schedule: Schedule, block: int, sidecar: int) -> dict[str, Any]:
    """Return the configuration of a sidecar whose addresses are in a block of loopback addresses."""
    scenario = schedule.scenario
    return {
        "name": f"n{sidecar}",
        "listen": f"{loopback.sidecar_host(block, sidecar)}:{loopback.PORT}",
        "discovery": f"{loopback.discovery_host(block, sidecar)}:{loopback.PORT}",
        "seed": f"{stream(schedule.seed, 'sidecar', sidecar).integers(2**62):x}",
        "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets},
        "known": {"version": 1, "full": True, "servers": _known_servers(schedule, block, sidecar)},
        "settings": _settings(scenario, sidecar),
    }


def _known_servers(schedule: Schedule, block: int, sidecar: int) -> list[dict[str, Any]]:
    fleet = schedule.scenario.fleet
    return [
        {
            "id": machine.name,
            "addr": f"{loopback.server_host(block, server_index, sidecar)}:{loopback.PORT}",
            "zone": machine.zone,
            "kind": SERVER_KIND,
            "cell": fleet.zones.index(machine.zone),
            "state": READY,
            "weight": 1.0,
            "started_ms": 0,
        }
        for server_index, machine in enumerate(schedule.machines[: fleet.servers])
    ]


def _settings(scenario: Scenario, sidecar: int) -> dict[str, Any]:
    fleet, zones = scenario.fleet, list(scenario.fleet.zones)
    return {
        "grades": [_class_settings(request_class) for request_class in scenario.classes],
        "instances": fleet.sidecars,
        "me": sidecar,
        "zones": zones,
        "locality": sidecar % len(zones),
        "kinds": [SERVER_KIND],
        "membership_mode": "subscribe",
        "step_ns": TIMER_RESOLUTION_NS,
        "ceilings": _ceilings(scenario),
        "contract": _contract(scenario),
        "prices": {"cross_zone": CROSS_ZONE_PRICE},
        "report": {"how": "probe", "columns": ["inflight", "queue", "qps"]},
    }


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": EFFECT_SETTINGS[request_class.effect],
        "gain": request_class.priority_weight,
        "late_worth": request_class.late_priority_weight,
        "slo_ns": int(request_class.latency_objective_ms * NS_PER_MS),
        "hard_limit_ns": int(request_class.deadline_ms * NS_PER_MS),
        "key_scope": request_class.deduplication_scope,
        "key_ttl_ns": int(request_class.deduplication_window_ms * NS_PER_MS),
        "stream": False,
    }


def _ceilings(scenario: Scenario) -> dict[str, Any]:
    return {
        "most_tries": 4,
        "cancel": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ns": MAX_RETRY_AFTER_NS,
        "may_probe": True,
        "peers": False,
        "keepalive_ns": int(scenario.network.idle_timeout_s * NS_PER_S),
        "connect_timeout_ns": CONNECT_TIMEOUT_NS,
    }


def _contract(scenario: Scenario) -> dict[str, Any]:
    fleet = scenario.fleet
    return {
        "answer_slack_ns": int(RESPONSE_SLACK_S * NS_PER_S),
        "ask_within_ns": int(scenario.discovery.poll_within_s * NS_PER_S),
        "cold_from": fleet.initial_capacity,
        "warm_within_ns": int(fleet.warm_up_s * NS_PER_S),
        "drain_grace_ns": int(DRAIN_GRACE_S * NS_PER_S),
        "fall_multiple": fleet.collapse_multiple,
        "tip_after_ns": int(fleet.collapse_window_s * NS_PER_S),
    }
