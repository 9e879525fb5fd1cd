"""The report: everything that a run showed, as one JSON document with a versioned schema.

The keys of the document are stored data: a field whose name differs from its key is listed in its ``rename`` table.
"""

from __future__ import annotations

import os
import platform
from collections import Counter, defaultdict
from enum import StrEnum

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lugtally import __version__
from lugtally.testbed.scenario.fault_events import FaultEvent
from lugtally.testbed.scenario.scenario import Expect, RequestClass
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, TimerLagReport
from lugtally.testbed.verification.verifier import Findings

SCHEMA = 1
MAX_LISTED_VIOLATIONS = 200  # all are counted
MAX_COUNTED_ATTEMPTS = 9  # of a client's attempt; more count as so many
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
INTERRUPTED = "interrupted"  # the first word of the reason why a run that was interrupted is void


class Verdict(StrEnum):
    """The one word on a run."""

    PASSED = "passed"
    FAILED = "failed"
    BROKEN = "broken"  # a rule was violated
    VOID = "void"  # the testbed's own timers ran late, or the run was interrupted


EXIT_STATUS = {Verdict.PASSED: 0, Verdict.FAILED: 1, Verdict.BROKEN: 1, Verdict.VOID: 3}


class Latency(Struct):
    """Served requests of a class: milliseconds from the intended time of the first attempt, by percentile."""

    name: str
    count: int
    percentiles: dict[str, float]


class PlayedFault(Struct, rename={"began_s": "begun_s"}):
    """A fault as it was played."""

    kind: str
    began_s: float
    ended_s: float | None
    servers: list[str]  # empty where all servers had it


class SidecarUsage(Struct):
    """What a sidecar used."""

    cpu_s: float
    rss_mb: float  # the most seen


class Report(
    Struct,
    rename={
        "violations_by_name": "breaches_by_name",
        "attempts_per_client_attempt": "attempts_per_try",
        "faults": "troubles",
        "timer_lags": "late",
    },
):
    """One run."""

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
    in_flight: dict[str, list[tuple[float, int]]]  # by server: seconds, requests in work or waiting
    attempts_per_client_attempt: dict[str, int]
    faults: list[PlayedFault]
    timer_lags: list[TimerLagReport]
    sidecars: list[SidecarUsage]


def judge_run(findings: Findings, expect: Expect) -> tuple[Verdict, list[str]]:
    """The verdict on a run and its reasons.  A run whose testbed ran late is void, whatever it shows."""
    if findings.void_reasons:
        return Verdict.VOID, list(findings.void_reasons)
    if findings.violations:
        return Verdict.BROKEN, _broken_rules(findings)
    floors = [
        ("service", findings.service, expect.service),
        ("worst class", findings.worst_class, expect.worst_class),
        ("worst 10 s", findings.worst_10s, expect.worst_10s),
    ]
    missed = [f"{name} {value:.3f}, expected {floor:g} or more" for name, value, floor in floors if value < floor]
    return (Verdict.FAILED, missed) if missed else (Verdict.PASSED, [])


def build_report(
    schedule: Schedule,
    policy: str,
    findings: Findings,
    log: EventLog,
    start: float,
    sidecars: list[SidecarUsage],
) -> Report:
    """Put together the report of a run that began ``start`` seconds after the base of its records."""
    scenario = schedule.scenario
    verdict, reasons = judge_run(findings, scenario.expect)
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
        verdict=verdict,
        reasons=reasons,
        violations_by_name=_violations_by_name(findings),
        findings=msgspec.structs.replace(findings, violations=findings.violations[:MAX_LISTED_VIOLATIONS]),
        latencies=measure_latencies(schedule, log),
        in_flight=_in_flight(log, start),
        attempts_per_client_attempt=_attempts_per_client_attempt(log),
        faults=_played_faults(schedule),
        timer_lags=log.timer_lags,
        sidecars=sidecars,
    )


def measure_latencies(schedule: Schedule, log: EventLog) -> list[Latency]:
    """Measure the served requests of each class."""
    intended_at: dict[str, float] = {}
    served_at: dict[str, tuple[float, int]] = {}  # by first id: time and class
    for attempt in log.client_attempts:
        first_id = attempt.first_id
        intended_at[first_id] = min(intended_at.get(first_id, attempt.intended_at), attempt.intended_at)
        if attempt.outcome == ClientOutcome.SERVED and (
            first_id not in served_at or attempt.ended_at < served_at[first_id][0]
        ):
            served_at[first_id] = attempt.ended_at, attempt.class_index
    by_class: dict[int, list[float]] = defaultdict(list)
    for first_id, (ended_at, class_index) in served_at.items():
        by_class[class_index].append(ended_at - intended_at[first_id])
    return [_latency(one, by_class[index]) for index, one in enumerate(schedule.scenario.classes)]


def _latency(request_class: RequestClass, seconds: list[float]) -> Latency:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for one in seconds:
        histogram.record_value(max(1, int(one * 1e6)))
    percentiles = {
        f"{percentile:g}": round(histogram.get_value_at_percentile(percentile) / 1000, 3) for percentile in PERCENTILES
    }
    return Latency(request_class.name, histogram.get_total_count(), percentiles)


def _broken_rules(findings: Findings) -> list[str]:
    rules: dict[str, int] = {}
    for violation in findings.violations:
        rules[violation.name] = min(rules.get(violation.name, violation.rule), violation.rule)
    counts = Counter(violation.name for violation in findings.violations)
    return [f"rule {rules[name]} broken: {name} {count} x" for name, count in counts.most_common()]


def _violations_by_name(findings: Findings) -> dict[str, int]:
    return dict(Counter(violation.name.value for violation in findings.violations))


def _in_flight(log: EventLog, start: float) -> dict[str, list[tuple[float, int]]]:
    by_server: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for sample in log.load_samples:
        if start <= sample.at:
            by_server[sample.server].append((round(sample.at - start, 2), sample.in_flight))
    return dict(by_server)


def _attempts_per_client_attempt(log: EventLog) -> dict[str, int]:
    """How many client attempts led to how many server attempts."""
    server_attempts = log.server_attempts_by_request
    counts = Counter(
        min(len(server_attempts.get(attempt.request_id, ())), MAX_COUNTED_ATTEMPTS)
        for attempt in log.client_attempts
        if attempt.outcome != ClientOutcome.DUPLICATE
    )
    return {str(attempts): counts[attempts] for attempts in sorted(counts)}


def _played_faults(schedule: Schedule) -> list[PlayedFault]:
    all_servers = schedule.scenario.fleet.servers
    return [
        PlayedFault(
            event.fault.kind,
            event.at,
            _end_of(event, schedule.events),
            [schedule.machines[server_index].name for server_index in event.server_indices]
            if len(event.server_indices) < all_servers
            else [],
        )
        for event in schedule.events
        if event.begins
    ]


def _end_of(begin: FaultEvent, events: tuple[FaultEvent, ...]) -> float | None:
    """When a fault that began ends; none where it stays."""
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
