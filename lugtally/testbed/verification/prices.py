"""Prices of a run: what the service cost, as shares that the operators' requirements define."""

from __future__ import annotations

from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, ServerOutcome

# What a share of 1 deducts from the service score, by the key of the share in the report.
PRICE_WEIGHTS = {
    "waste": 0.10,
    "late_fail": 0.06,
    "connections": 0.06,
    "handshakes": 0.04,
    "crossings": 0.03,
    "probes": 0.0025,
}
CONNECTIONS_PER_SHARE = 100  # mean number of open connections per server that is a share of 1


def measure_prices(log: EventLog, schedule: Schedule, requests: int, late_failures: float) -> dict[str, float]:
    """Return each cost of the run as a share, without its weight.

    Args:
        log: The records of the run.
        schedule: The schedule of the run.
        requests: Number of requests; the attempts of a client for the same request count once.
        late_failures: Share of the priority weight that failed after the latency objective.
    """
    offered_work = sum(arrival.work for arrival in schedule.arrivals)
    open_connections = [sample.open_connections for sample in log.load_samples]
    connections_made = {sample.server: sample.connections_made for sample in log.load_samples}
    cross_zone_attempts = sum(
        attempt.zone != schedule.sidecar_zones[attempt.sidecar] for attempt in log.server_attempts
    )
    return {
        "waste": _wasted_work(log) / offered_work if offered_work else 0.0,
        "late_fail": late_failures,
        "connections": (
            sum(open_connections) / len(open_connections) / CONNECTIONS_PER_SHARE if open_connections else 0.0
        ),
        "handshakes": sum(connections_made.values()) / requests,
        "crossings": cross_zone_attempts / requests,
        "probes": len(log.health_checks) / requests,
    }


def net_of_prices(service: float, prices: dict[str, float]) -> float:
    """Return the service score minus all prices."""
    for name, weight in PRICE_WEIGHTS.items():
        service -= weight * prices[name]
    return service


def _wasted_work(log: EventLog) -> float:
    """Return the core-seconds of all attempts whose response did not reach its client before the deadline."""
    delivered_ids = {
        attempt.request_id
        for attempt in log.client_attempts
        if attempt.outcome == ClientOutcome.SERVED and attempt.ended_at <= attempt.deadline_at
    }
    wasted = 0.0
    for request_id, attempts in log.server_attempts_by_request.items():
        delivering_attempt = None
        if request_id in delivered_ids:
            delivering_attempt = next(
                (attempt for attempt in attempts if attempt.outcome == ServerOutcome.SERVED), None
            )
        wasted += sum(attempt.work_done for attempt in attempts if attempt is not delivering_attempt)
    return wasted
