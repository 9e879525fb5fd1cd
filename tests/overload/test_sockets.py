"""Tests of a real sidecar under overload: too many requests for a starved core, and health checks in a tight loop."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from lugtally.testbed.experiments import runner
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario_file
from lugtally.testbed.verification import event_log
from lugtally.testbed.verification.records import ClientAttempt, Record, ServerAttempt
from tests.integration.player import Player

FLOOD_SCENARIO = """
name = "flood"
about = "More load than a starved core can process, from clients that retry immediately."
length_s = 6
memory_mb = 64
sockets = 512
[fleet]
servers = 5
sidecars = 1
pinned = true
queue_per_core = 400
error_rate = 0
[load]
rate_per_s = 1500
shape = "steady"
[clients]
retries = 3
wait_ms = 0
connections = 200
[[classes]]
name = "campaign-read"
share = 0.5
work_ms = 1
aim_ms = 300
deadline_ms = 1200
worth = 1
effect = "safe"
key_scope = "all"
[[classes]]
name = "receipt-issue"
share = 0.5
work_ms = 1
aim_ms = 1000
deadline_ms = 3000
worth = 2
effect = "unsafe"
key_scope = "all"
[[troubles]]
kind = "sidecar-starved"
at_s = 1.5
for_s = 3
size = 0.75
"""
OPERATOR_FILE_TEXT = "[overload]\nenabled = true\n"


@dataclass(frozen=True, slots=True)
class FloodRun:
    """The report and the event log of a run of the flood."""

    report: Report
    records: list[Record]


@pytest.fixture(scope="module")
def flood_run(tmp_path_factory: pytest.TempPathFactory) -> FloodRun:
    folder = tmp_path_factory.mktemp("flood")
    (folder / "operator.toml").write_text(OPERATOR_FILE_TEXT)
    run = runner.Run(
        scenario_file.decode(FLOOD_SCENARIO, "flood.toml"),
        2,
        folder=folder / "run",
        operator_file=folder / "operator.toml",
    )
    report = run.execute()
    return FloodRun(report, event_log.read_records([folder / "run" / name for name in ("load.jsonl", "world.jsonl")]))


def test_flood_on_starved_core_violates_no_rule_on_effects(flood_run: FloodRun) -> None:
    """Rule 1 (responses) is left out: late responses depend on the machine, requests processed twice do not."""
    report, records = flood_run.report, flood_run.records
    violations = {violation.name for violation in report.findings.violations if violation.rule != 1}
    assert not violations, report.reasons
    assert "sidecar-crashed" not in report.violations_by_name, report.reasons
    receipts = [record for record in records if isinstance(record, ServerAttempt) and record.had_effect]
    assert len(receipts) > 500
    assert len({receipt.request_id for receipt in receipts}) == len(receipts)


def test_shed_request_has_one_response_and_was_never_sent(flood_run: FloodRun) -> None:
    report, records = flood_run.report, flood_run.records
    attempts = [record for record in records if isinstance(record, ClientAttempt)]
    assert not [attempt for attempt in attempts if attempt.duplicate_response or attempt.outcome == "foreign"]
    assert report.verdict != Verdict.BROKEN or set(report.violations_by_name) <= {"late", "dropped"}
    sent = {
        record.request_id for record in records if isinstance(record, ServerAttempt) and record.outcome != "turned-away"
    }
    shed = [attempt for attempt in attempts if attempt.outcome == "refused"]
    classes = scenario_file.decode(FLOOD_SCENARIO, "flood.toml").classes
    receipt_index = [request_class.name for request_class in classes].index("receipt-issue")
    assert not [attempt for attempt in shed if attempt.request_id in sent and attempt.class_index == receipt_index]


def test_health_checks_in_a_tight_loop_are_rate_limited(tmp_path: Path) -> None:
    player = Player(tmp_path)
    counts = [0] * 4
    try:
        player.do_serve()
        end_s = time.monotonic() + 1.5

        def check_health(number: int) -> None:
            connection = player.connection(f"h{number}")
            while time.monotonic() < end_s:
                connection.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                assert connection.recv(4096).startswith(b"HTTP/1.1 200")
                counts[number] += 1

        threads = [threading.Thread(target=check_health, args=(number,)) for number in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        player.end()
    assert min(counts) >= 10, "a connection got too few responses"
    assert sum(counts) <= 3 * 200 + 4 * 1.5 * 25, "without a limit, 4 connections would complete thousands"
