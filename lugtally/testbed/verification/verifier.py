"""Verifier: checks the four rules and measures the service and prices of a run.

It is a pure function of the schedule and of records that were made outside the sidecar.  Each violation names its
rule, the request or server, the time and the limit.  The rules and limits are those of the platform's protocol, with
its allowance of 50 ms on sockets.
"""

from __future__ import annotations

from msgspec import Struct

from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.crashes import check_crashes
from lugtally.testbed.verification.drains import check_drains
from lugtally.testbed.verification.effects import check_effects
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.prices import measure_prices, net_of_prices
from lugtally.testbed.verification.responses import check_responses, check_unknown_requests
from lugtally.testbed.verification.service import ClassService, score_service
from lugtally.testbed.verification.slow_start import check_slow_start
from lugtally.testbed.verification.validity import void_reasons
from lugtally.testbed.verification.violations import Violation


class Findings(
    Struct,
    rename={
        "violations": "breaches",
        "overall": "whole",
        "client_attempts": "tries",
        "server_attempts": "attempts",
        "void_reasons": "void",
    },
):
    """Result of the verifier."""

    violations: list[Violation]
    overall: float  # share of the priority weight that was earned over the run
    worst_10s: float  # the same in the worst window of 10 s
    worst_class: float  # the same for the worst request class
    service: float  # the three shares, weighted as the operators' requirements define
    net: float  # service minus the prices
    classes: list[ClassService]
    prices: dict[str, float]  # each cost of the run as a share, without its weight
    client_attempts: int
    server_attempts: int
    retries: int  # server attempts beyond the first of a client attempt
    lost: int  # requests whose sidecar was killed; they do not count as violations
    void_reasons: list[str]  # why the run is void; empty if it is valid
    per_second: dict[str, list[float]]  # by class: share of the priority weight earned in each second


def verify(log: EventLog, schedule: Schedule, start: float) -> Findings:
    """Verify the records of a run whose scenario started at the time ``start`` of the records."""
    responses = check_responses(log, start)
    violations = [
        *responses.violations,
        *check_effects(log, schedule, start),
        *check_drains(log, schedule, start),
        *check_slow_start(log, start),
        *check_crashes(log, start),
        *check_unknown_requests(log, start),
    ]
    score = score_service(log, schedule, start)
    prices = measure_prices(log, schedule, max(1, score.requests), score.late_failures)
    return Findings(
        violations=sorted(violations, key=lambda violation: violation.at),
        overall=score.overall,
        worst_10s=score.worst_window,
        worst_class=score.worst_class,
        service=score.service,
        net=net_of_prices(score.service, prices),
        classes=score.classes,
        prices=prices,
        client_attempts=score.client_attempts,
        server_attempts=len(log.server_attempts),
        retries=sum(len(attempts) - 1 for attempts in log.server_attempts_by_request.values()),
        lost=responses.lost,
        void_reasons=void_reasons(log),
        per_second=score.per_second,
    )
