"""A report: everything that a run showed, as one JSON document with a versioned schema."""

from __future__ import annotations

import os
import platform
from collections import Counter, defaultdict
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lugtally import __version__
from lugtally.testbed.scenario.scenario import Expect
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, TimerLagReport
from lugtally.testbed.verification.service import ClassService
from lugtally.testbed.verification.verifier import Findings
from lugtally.testbed.verification.violations import Violation

SCHEMA = 1
MAX_LISTED_VIOLATIONS = 200  # listed; all are counted
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
PASSED, FAILED, BROKEN, VOID = "passed", "failed", "broken", "void"
INTERRUPTED = "interrupted"
EXIT = {PASSED: 0, FAILED: 1, BROKEN: 1, VOID: 3}


class ReportError(Exception):
    """A file is no report, or one of a schema that this program does not know."""


class Latency(Struct):
    """Served requests of a class: milliseconds from the intended time of the first try, by percentile."""

    name: str
    count: int
    percentiles: dict[str, float]


class Noted(Struct):
    """A trouble as it was played."""

    kind: str
    begun_s: float
    ended_s: float | None
    servers: list[str]


class Sidecar(Struct):
    """What a sidecar used."""

    cpu_s: float
    rss_mb: float


class Report(Struct, rename={"violations_by_name": "breaches_by_name"}):
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
    verdict: str
    reasons: list[str]
    violations_by_name: dict[str, int]
    findings: Findings
    latencies: list[Latency]
    in_flight: dict[str, list[tuple[float, int]]]  # by server: seconds, requests held
    attempts_per_try: dict[str, int]
    troubles: list[Noted]
    late: list[TimerLagReport]
    sidecars: list[Sidecar]


def verdict(findings: Findings, expect: Expect) -> tuple[str, list[str]]:
    """The one word on a run, and why.  A run whose kit ran late is void, whatever it shows."""
    if findings.void_reasons:
        return VOID, list(findings.void_reasons)
    if findings.violations:
        counted = Counter(b.name.value for b in findings.violations)
        return BROKEN, [
            f"rule {min(b.rule for b in findings.violations if b.name == name)} broken: {name} {count} x"
            for name, count in counted.most_common()
        ]
    floors = [
        ("service", findings.service, expect.service),
        ("worst class", findings.worst_class, expect.worst_class),
        ("worst 10 s", findings.worst_10s, expect.worst_10s),
    ]
    missed = [f"{name} {value:.3f}, expected {floor:g} or more" for name, value, floor in floors if value < floor]
    return (FAILED, missed) if missed else (PASSED, [])


def build(
    schedule: Schedule, policy: str, findings: Findings, log: EventLog, start: float, used: list[tuple[float, float]]
) -> Report:
    """Put a report together."""
    scenario = schedule.scenario
    word, reasons = verdict(findings, scenario.expect)
    names = Counter(b.name.value for b in findings.violations)
    listed = msgspec.structs.replace(findings, violations=findings.violations[:MAX_LISTED_VIOLATIONS])
    in_flight: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for load in log.load_samples:
        if start <= load.at:
            in_flight[load.server].append((round(load.at - start, 2), load.in_flight))
    by_try = Counter(attempt.request_id for attempt in log.server_attempts)
    tries = [t for t in log.client_attempts if t.outcome != ClientOutcome.DUPLICATE]
    spread = Counter(min(by_try.get(t.request_id, 0), 9) for t in tries)
    return Report(
        SCHEMA,
        scenario.name,
        schedule.seed,
        policy,
        __version__,
        f"{platform.system()} {platform.machine()}",
        os.cpu_count() or 1,
        scenario.length_s,
        schedule.rate,
        scenario.fleet.servers,
        word,
        reasons,
        dict(names),
        listed,
        _latencies(schedule, log),
        dict(in_flight),
        {str(n): spread[n] for n in sorted(spread)},
        _noted(schedule),
        log.timer_lags,
        [Sidecar(round(cpu, 3), round(rss, 2)) for cpu, rss in used],
    )


def _latencies(schedule: Schedule, log: EventLog) -> list[Latency]:
    begun: dict[str, float] = {}
    ended: dict[str, tuple[float, int]] = {}
    for one in log.client_attempts:
        begun[one.first_id] = min(begun.get(one.first_id, one.intended_at), one.intended_at)
        if one.outcome == ClientOutcome.SERVED and one.ended_at < ended.get(one.first_id, (float("inf"), 0))[0]:
            ended[one.first_id] = (one.ended_at, one.class_index)
    found = []
    for at, cls in enumerate(schedule.scenario.classes):
        histogram = HdrHistogram(1, 120_000_000, 3)
        for first, (when, number) in ended.items():
            if number == at:
                histogram.record_value(max(1, int((when - begun[first]) * 1e6)))
        found.append(
            Latency(
                cls.name,
                histogram.get_total_count(),
                {f"{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES},
            )
        )
    return found


def _noted(schedule: Schedule) -> list[Noted]:
    found = []
    for event in schedule.events:
        if event.begins:
            end = next(
                (
                    e.at
                    for e in schedule.events
                    if not e.begins
                    and e.fault is event.fault
                    and e.at >= event.at
                    and set(e.places) == set(event.places)
                ),
                None,
            )
            machines = schedule.machines
            found.append(
                Noted(
                    event.fault.kind,
                    event.at,
                    end,
                    [machines[at].name for at in event.places]
                    if len(event.places) < schedule.scenario.fleet.servers
                    else [],
                )
            )
    return found


class Document(Struct):
    """A file of reports."""

    schema: int
    reports: list[Report]


def save(reports: list[Report], path: Path) -> None:
    """Write them whole or not at all."""
    temporary = path.with_suffix(path.suffix + ".part")
    temporary.write_bytes(msgspec.json.encode(Document(SCHEMA, reports)) + b"\n")
    temporary.replace(path)


def load(path: Path) -> list[Report]:
    """Read them back; a :class:`ReportError` says in one line what is wrong with it."""
    try:
        raw = path.read_bytes()
        head = msgspec.json.decode(raw)
        if not isinstance(head, dict) or head.get("schema") != SCHEMA:
            found = head.get("schema") if isinstance(head, dict) else None
            raise ReportError(f"{path}: schema {found!r}; this program reads {SCHEMA}")
        return msgspec.json.decode(raw, type=Document).reports
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ReportError(f"{path}: {error}") from error


def load_all(path: Path) -> list[Report]:
    """The reports of a file, or of all files of a folder."""
    if not path.is_dir():
        return load(path)
    found = [
        one for file in sorted(path.glob("*.json")) if not file.name.endswith(".scenario.json") for one in load(file)
    ]
    if not found:
        raise ReportError(f"{path}: no reports in it")
    return found


__all__ = ["ClassService", "EXIT", "Report", "ReportError", "build", "load", "save", "verdict", "Violation"]
