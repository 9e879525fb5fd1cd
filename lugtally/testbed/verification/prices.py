"""Prices of a run: the cost of the service, as shares that the operators' brief defines."""

from __future__ import annotations

from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, ServerOutcome

# Deduction from the service score for a share of 1, by the key of the share in the report.
WEIGHTS = {
    "waste": 0.10,
    "late_fail": 0.06,
    "connections": 0.06,
    "handshakes": 0.04,
    "crossings": 0.03,
    "probes": 0.0025,
}
CONNECTIONS_PER_SHARE = 100  # open connections of a server that make a share of 1


def measure_prices(log: EventLog, schedule: Schedule, requests: int, late_failures: float) -> dict[str, float]:
    """Return the share of each price.

    ``requests`` is the number of the clients' first attempts, ``late_failures`` the share of the weight that failed
    after the latency objective.
    """
    offered = sum(arrival.work for arrival in schedule.arrivals)
    open_connections = [sample.open_connections for sample in log.load_samples]
    connections_made = {sample.server: sample.connections_made for sample in log.load_samples}
    crossings = sum(attempt.zone != schedule.sidecar_zones[attempt.sidecar] for attempt in log.server_attempts)
    return {
        "waste": _wasted_work(log) / offered if offered else 0.0,
        "late_fail": late_failures,
        "connections": (
            sum(open_connections) / len(open_connections) / CONNECTIONS_PER_SHARE if open_connections else 0.0
        ),
        "handshakes": sum(connections_made.values()) / requests,
        "crossings": crossings / requests,
        "probes": len(log.health_checks) / requests,
    }


def net_of_prices(service: float, prices: dict[str, float]) -> float:
    """Return the service score less all prices."""
    for name, weight in WEIGHTS.items():
        service -= weight * prices[name]
    return service


def _wasted_work(log: EventLog) -> float:
    """Return the core-seconds of all attempts except those whose response reached its client in time."""
    delivered = {
        attempt.request_id
        for attempt in log.client_attempts
        if attempt.outcome == ClientOutcome.SERVED and attempt.ended_at <= attempt.deadline_at
    }
    wasted = 0.0
    for request_id, attempts in log.server_attempts_by_request.items():
        served = None
        if request_id in delivered:
            served = next((attempt for attempt in attempts if attempt.outcome == ServerOutcome.SERVED), None)
        wasted += sum(attempt.work_done for attempt in attempts if attempt is not served)
    return wasted
