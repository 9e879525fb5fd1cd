"""Report of a run: a JSON document with a versioned schema.

The keys of the document are stored data: a struct lists the fields whose names differ from their keys as ``rename``.
"""

from __future__ import annotations

import os
import platform
from collections import Counter, defaultdict
from enum import StrEnum
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lugtally import __version__
from lugtally.testbed.scenario.fault_events import FaultEvent
from lugtally.testbed.scenario.scenario import Expect, RequestClass
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome, TimerLagReport
from lugtally.testbed.verification.verifier import Findings

SCHEMA = 1
MAX_LISTED_VIOLATIONS = 200  # in the findings; the counts by name include all violations
MAX_DISTINCT_ATTEMPTS = 9  # server attempts of a client attempt; a larger number is counted as 9
MAX_LATENCY_US = 120_000_000  # of the histograms
SIGNIFICANT_FIGURES = 3  # of the histograms
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
INTERRUPTED = "interrupted"  # the void reason of an interrupted run begins with it


class Verdict(StrEnum):
    """Verdict on a run."""

    PASSED = "passed"
    FAILED = "failed"  # no rule was violated, but the service was below the expected minimum
    BROKEN = "broken"  # a rule was violated
    VOID = "void"  # the run is not valid: timers ran late, an event log is incomplete, or it was interrupted


EXIT_STATUS = {Verdict.PASSED: 0, Verdict.FAILED: 1, Verdict.BROKEN: 1, Verdict.VOID: 3}


class Latency(Struct):
    """Latency of the served requests of a class, in milliseconds since the intended time of the first attempt."""

    name: str
    count: int
    percentiles: dict[str, float]


class AppliedFault(Struct, rename={"began_s": "begun_s"}):
    """A fault that the schedule applied to the run."""

    kind: str
    began_s: float
    ended_s: float | None  # None if it lasted until the end of the run
    servers: list[str]  # the affected servers; empty if all were affected


class SidecarUsage(Struct):
    """Resource usage of a sidecar."""

    cpu_s: float
    rss_mb: float  # maximum of the samples


class InFlightSample(NamedTuple):
    """Number of requests in service or queued at a server, ``at`` seconds into the run."""

    at: float
    requests: int


class RunVerdict(NamedTuple):
    """The verdict on a run and its reasons."""

    verdict: Verdict
    reasons: list[str]


class Report(
    Struct,
    rename={
        "violations_by_name": "breaches_by_name",
        "attempts_per_client_attempt": "attempts_per_try",
        "faults": "troubles",
        "timer_lags": "late",
    },
):
    """Report of a run."""

    schema: int
    scenario: str
    seed: int
    policy: str
    version: str
    machine: str
    cores: int
    length_s: float
    rate_per_s: float
    servers: int
    verdict: Verdict
    reasons: list[str]
    violations_by_name: dict[str, int]
    findings: Findings
    latencies: list[Latency]
    in_flight: dict[str, list[InFlightSample]]  # by server
    attempts_per_client_attempt: dict[str, int]
    faults: list[AppliedFault]
    timer_lags: list[TimerLagReport]
    sidecars: list[SidecarUsage]


def decide_verdict(findings: Findings, expect: Expect) -> RunVerdict:
    """Return the verdict.  Void reasons take precedence over violations, and violations over missed minimums."""
    if findings.void_reasons:
        return RunVerdict(Verdict.VOID, list(findings.void_reasons))
    if findings.violations:
        return RunVerdict(Verdict.BROKEN, _violation_lines(findings))
    minimums = [
        ("service", findings.service, expect.service),
        ("worst class", findings.worst_class, expect.worst_class),
        ("worst 10 s", findings.worst_10s, expect.worst_10s),
    ]
    missed = [
        f"{name} {value:.3f}, expected {minimum:g} or more" for name, value, minimum in minimums if value < minimum
    ]
    return RunVerdict(Verdict.FAILED if missed else Verdict.PASSED, missed)


def build_report(
    schedule: Schedule,
    policy: str,
    findings: Findings,
    log: EventLog,
    start: float,
    sidecars: list[SidecarUsage],
) -> Report:
    """Return the report of a run that began ``start`` seconds after the base of its records."""
    scenario = schedule.scenario
    run_verdict = decide_verdict(findings, scenario.expect)
    return Report(
        schema=SCHEMA,
        scenario=scenario.name,
        seed=schedule.seed,
        policy=policy,
        version=__version__,
        machine=f"{platform.system()} {platform.machine()}",
        cores=os.cpu_count() or 1,
        length_s=scenario.length_s,
        rate_per_s=schedule.rate,
        servers=scenario.fleet.servers,
        verdict=run_verdict.verdict,
        reasons=run_verdict.reasons,
        violations_by_name=_violations_by_name(findings),
        findings=msgspec.structs.replace(findings, violations=findings.violations[:MAX_LISTED_VIOLATIONS]),
        latencies=measure_latencies(schedule, log),
        in_flight=_in_flight_by_server(log, start),
        attempts_per_client_attempt=_attempts_per_client_attempt(log),
        faults=_applied_faults(schedule),
        timer_lags=log.timer_lags,
        sidecars=sidecars,
    )


def measure_latencies(schedule: Schedule, log: EventLog) -> list[Latency]:
    """Measure the latency of the served requests of each class."""
    intended_at: dict[str, float] = {}  # by first id
    served: dict[str, ClientAttempt] = {}  # first served attempt, by first id
    for attempt in log.client_attempts:
        first_id = attempt.first_id
        intended_at[first_id] = min(intended_at.get(first_id, attempt.intended_at), attempt.intended_at)
        is_first = first_id not in served or attempt.ended_at < served[first_id].ended_at
        if attempt.outcome == ClientOutcome.SERVED and is_first:
            served[first_id] = attempt
    latencies_s_by_class: dict[int, list[float]] = defaultdict(list)
    for first_id, attempt in served.items():
        latencies_s_by_class[attempt.class_index].append(attempt.ended_at - intended_at[first_id])
    return [
        _latency(request_class, latencies_s_by_class[class_index])
        for class_index, request_class in enumerate(schedule.scenario.classes)
    ]


def _latency(request_class: RequestClass, latencies_s: list[float]) -> Latency:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for latency_s in latencies_s:
        histogram.record_value(max(1, int(latency_s * 1e6)))
    percentiles = {
        f"{percentile:g}": round(histogram.get_value_at_percentile(percentile) / 1000, 3) for percentile in PERCENTILES
    }
    return Latency(request_class.name, histogram.get_total_count(), percentiles)


def _violation_lines(findings: Findings) -> list[str]:
    """Return a line for each name of a violation, the most frequent first."""
    rule_by_name: dict[str, int] = {}
    for violation in findings.violations:
        rule_by_name[violation.name] = min(rule_by_name.get(violation.name, violation.rule), violation.rule)
    counts = Counter(violation.name for violation in findings.violations)
    return [f"rule {rule_by_name[name]} broken: {name} {count} x" for name, count in counts.most_common()]


def _violations_by_name(findings: Findings) -> dict[str, int]:
    return dict(Counter(violation.name.value for violation in findings.violations))


def _in_flight_by_server(log: EventLog, start: float) -> dict[str, list[InFlightSample]]:
    by_server: dict[str, list[InFlightSample]] = defaultdict(list)
    for sample in log.load_samples:
        if start <= sample.at:
            by_server[sample.server].append(InFlightSample(round(sample.at - start, 2), sample.in_flight))
    return dict(by_server)


def _attempts_per_client_attempt(log: EventLog) -> dict[str, int]:
    """Return the number of client attempts, by the number of server attempts that they led to."""
    server_attempts = log.server_attempts_by_request
    counts = Counter(
        min(len(server_attempts.get(attempt.request_id, ())), MAX_DISTINCT_ATTEMPTS)
        for attempt in log.client_attempts
        if attempt.outcome != ClientOutcome.DUPLICATE
    )
    return {str(attempts): counts[attempts] for attempts in sorted(counts)}


def _applied_faults(schedule: Schedule) -> list[AppliedFault]:
    return [
        AppliedFault(event.fault.kind, event.at, _fault_end(event, schedule.events), _affected_servers(event, schedule))
        for event in schedule.events
        if event.begins
    ]


def _affected_servers(event: FaultEvent, schedule: Schedule) -> list[str]:
    """Return the names of the servers that a fault affects; empty if it affects all."""
    if len(event.server_indices) >= schedule.scenario.fleet.servers:
        return []
    return [schedule.machines[server_index].name for server_index in event.server_indices]


def _fault_end(begin: FaultEvent, events: tuple[FaultEvent, ...]) -> float | None:
    """Return when a fault ends, None if it lasts until the end of the run."""
    return next(
        (
            event.at
            for event in events
            if not event.begins
            and event.fault is begin.fault
            and event.at >= begin.at
            and set(event.server_indices) == set(begin.server_indices)
        ),
        None,
    )
