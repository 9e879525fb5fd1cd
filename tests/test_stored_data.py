"""Tests that data stored by an earlier version is read and written unchanged: drains, event logs and a report."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import msgspec

from lugtally.admin.drain_store import DrainStore
from lugtally.testbed.reporting import report_file
from lugtally.testbed.scenario.schedule import make_schedule
from lugtally.testbed.scenario.specification import read_specification
from lugtally.testbed.verification.event_log import EventLog, EventLogWriter, read_records
from lugtally.testbed.verification.verifier import verify

STORED_DATA = Path(__file__).parent / "stored_data"
EVENT_LOGS = ("world.jsonl", "load.jsonl", "runner.jsonl")


def test_stored_drain_file_is_read_and_written_unchanged(tmp_path: Path) -> None:
    drained = {"s-001", "s-003", "płyta/ő"}
    shutil.copy(STORED_DATA / "drains.json", tmp_path / "lugtally-n1-drains.json")
    stored = DrainStore(str(tmp_path), "n1").read()
    assert stored is not None
    assert stored.in_drain_file == drained
    other_store = DrainStore(str(tmp_path), "n2")
    other_store.read()
    other_store.update_drain_file(drained)
    assert (tmp_path / "lugtally-n2-drains.json").read_bytes() == (STORED_DATA / "drains.json").read_bytes()


def test_stored_drain_changes_are_read_and_written_unchanged(tmp_path: Path) -> None:
    shutil.copytree(STORED_DATA / "drains", tmp_path / "lugtally-n1-drains")
    stored = DrainStore(str(tmp_path), "n1").read()
    assert stored is not None
    assert {name: change.is_drained for name, change in stored.changes.items()} == {"s-001": True, "płyta/ő": False}
    for change in stored.changes.values():
        assert DrainStore(str(tmp_path), "n2").write(change)
        copy = tmp_path / "lugtally-n2-drains" / change.file_name
        assert copy.read_bytes() == (STORED_DATA / "drains" / change.file_name).read_bytes()


def test_stored_records_are_read_and_written_unchanged(tmp_path: Path) -> None:
    records = read_records([STORED_DATA / "kinds.jsonl"])
    assert len({type(record) for record in records}) == len(records) == 11
    copy = EventLogWriter(tmp_path / "copy.jsonl")
    for record in records:
        copy.write(record)
    copy.close()
    assert (tmp_path / "copy.jsonl").read_bytes() == (STORED_DATA / "kinds.jsonl").read_bytes()


def test_stored_event_logs_give_findings_of_stored_report() -> None:
    specification = read_specification(str(STORED_DATA / "load.spec.json"))
    schedule = make_schedule(specification.scenario, specification.seed)
    log = EventLog(read_records(STORED_DATA / name for name in EVENT_LOGS))
    first_attempt = next(attempt for attempt in log.client_attempts if attempt.number == 0)
    start_s = first_attempt.intended_at - schedule.arrivals[int(first_attempt.request_id[:8], 16)].at
    findings = json.loads(msgspec.json.encode(verify(log, schedule, start_s)))
    expected = json.loads((STORED_DATA / "report.json").read_text())["reports"][0]["findings"]
    assert findings.keys() >= expected.keys()
    assert {key: findings[key] for key in expected} == expected


def test_stored_report_is_read_and_written_unchanged(tmp_path: Path) -> None:
    reports = report_file.load_all(STORED_DATA / "report.json")
    assert [report.scenario for report in reports] == ["tiny"]
    report_file.save(reports, tmp_path / "copy.json")
    assert json.loads((tmp_path / "copy.json").read_text()) == json.loads((STORED_DATA / "report.json").read_text())
