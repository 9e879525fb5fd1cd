"""Validity of a run: a large timer lag or an incomplete event log makes it void."""

from __future__ import annotations

from pathlib import Path

import pytest

from lugtally.testbed.reporting import report
from lugtally.testbed.scenario import scenario, scenario_file, schedule
from lugtally.testbed.verification import event_log, records, verifier


@pytest.mark.parametrize(
    ("lag_report", "verdict"),
    [
        (records.TimerLagReport("load", 9, 1.0, 20.0, 1.0), "passed"),
        (records.TimerLagReport("load", 9, 15.1, 20.0, 1.0), "void"),
        (records.TimerLagReport("load", 9, 1.0, 251.0, 1.0), "void"),
    ],
)
def test_timer_lag_makes_run_void(lag_report: records.TimerLagReport, verdict: str) -> None:
    drawn_schedule = schedule.make_schedule(scenario_file.load("quiet"), 1)
    log = event_log.EventLog([lag_report, records.TimerLagReport("stand-ins", 9, 1.0, 2.0, 1.0)])
    assert report.decide_verdict(verifier.verify(log, drawn_schedule, 0.0), scenario.Expect()).verdict == verdict


def test_truncated_event_log_is_read_and_makes_run_void(tmp_path: Path) -> None:
    writer = event_log.EventLogWriter(tmp_path / "a.jsonl")
    for second in range(3):
        writer.write(records.HealthCheck(float(second), "s-000", 0))
    writer.close()
    complete_bytes = (tmp_path / "a.jsonl").read_bytes()
    (tmp_path / "a.jsonl").write_bytes(complete_bytes[:-5])
    assert len(event_log.read_records([tmp_path / "a.jsonl", tmp_path / "none.jsonl"])) == 2
    findings = verifier.verify(event_log.EventLog([]), schedule.make_schedule(scenario_file.load("quiet"), 1), 0.0)
    assert report.decide_verdict(findings, scenario.Expect()).verdict == "void"
