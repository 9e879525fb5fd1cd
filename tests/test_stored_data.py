"""Data stored by the version before the renaming is read as it was: a drain file, event logs and a report."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import msgspec

from lugtally.admin.drain_store import DrainStore
from lugtally.testbed.emulator.fleet import read_specification
from lugtally.testbed.reporting import report
from lugtally.testbed.scenario import schedule
from lugtally.testbed.verification import event_log, verifier

STORED = Path(__file__).parent / "stored_data"
EVENT_LOGS = ("world.jsonl", "load.jsonl", "runner.jsonl")


def test_a_drain_file_is_read_and_written_in_the_same_form(tmp_path: Path) -> None:
    drained = {"s-001", "s-003", "płyta/ő"}
    shutil.copy(STORED / "drains.json", tmp_path / "lugtally-n1-drains.json")
    assert DrainStore(str(tmp_path), "n1").read() == drained
    assert DrainStore(str(tmp_path), "n2").write(drained)
    assert (tmp_path / "lugtally-n2-drains.json").read_bytes() == (STORED / "drains.json").read_bytes()


def test_each_kind_of_record_is_read_and_written_in_the_same_form(tmp_path: Path) -> None:
    records = event_log.read([STORED / "kinds.jsonl"])
    assert len({type(record) for record in records}) == len(records) == 11
    copy = event_log.Book(tmp_path / "copy.jsonl")
    for record in records:
        copy.write(record)
    copy.close()
    assert (tmp_path / "copy.jsonl").read_bytes() == (STORED / "kinds.jsonl").read_bytes()


def test_the_event_logs_of_a_run_lead_to_the_findings_of_its_report() -> None:
    specification = read_specification(str(STORED / "load.spec.json"))
    drawn = schedule.make(specification.scenario, specification.seed)
    records = verifier.sort(event_log.read(STORED / name for name in EVENT_LOGS))
    first = next(one for one in records.tries if one.number == 0)
    start = first.intended - drawn.arrivals[int(first.id[:8], 16)].at
    findings = json.loads(msgspec.json.encode(verifier.judge(records, drawn, start)))
    expected = json.loads((STORED / "report.json").read_text())["reports"][0]["findings"]
    assert findings.keys() >= expected.keys()
    assert {key: findings[key] for key in expected} == expected


def test_a_report_is_read_and_written_in_the_same_form(tmp_path: Path) -> None:
    reports = report.load_all(STORED / "report.json")
    assert [one.scenario for one in reports] == ["tiny"]
    report.save(reports, tmp_path / "copy.json")
    assert json.loads((tmp_path / "copy.json").read_text()) == json.loads((STORED / "report.json").read_text())
