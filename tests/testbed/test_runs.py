"""Complete runs with the shipped sidecar: a server that is silent during its drain, the short scenario, Ctrl-C."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.reporting import report, report_file
from lugtally.testbed.reporting.report import Verdict
from lugtally.testbed.scenario import scenario_file
from lugtally.testbed.verification import event_log, records
from tests.sidecar_program import ROOT
from tests.testbed.runs import DRAIN, run_until_valid


def test_server_silent_during_drain_gets_no_new_requests(tmp_path: Path) -> None:
    result = run_until_valid(scenario_file.decode(DRAIN, "drain.toml"), 3, tmp_path)
    assert result.verdict == Verdict.PASSED, result.reasons
    recorded = event_log.read_records([tmp_path / "world.jsonl", tmp_path / "load.jsonl"])
    drain_changes = [
        record for record in recorded if isinstance(record, records.EndpointChanged) and record.state == "draining"
    ]
    drained_server, drained_at = drain_changes[0].server, drain_changes[0].at
    attempts_at_drained = [
        record for record in recorded if isinstance(record, records.ServerAttempt) and record.server == drained_server
    ]
    assert attempts_at_drained
    assert max(attempt.last_byte_at for attempt in attempts_at_drained) < drained_at + 1.55, (
        "it got requests after the grace time"
    )
    assert any(attempt.outcome in ("gone", "unanswered") for attempt in attempts_at_drained), (
        "the silent server got no request"
    )
    attempts = [record for record in recorded if isinstance(record, records.ClientAttempt)]
    assert len(attempts) > 200
    assert all(attempt.outcome in ("served", "refused", "failed", "left") for attempt in attempts)


def test_short_scenario_passes_and_its_reports_are_readable(tmp_path: Path) -> None:
    report_path, page_path = tmp_path / "a.json", tmp_path / "a.html"
    for _ in range(3):  # a run on a busy machine may be void and is repeated
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "lugtally",
                "rehearse",
                "run",
                "short",
                "--json",
                str(report_path),
                "--html",
                str(page_path),
            ],
            check=False,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
        )
        if completed.returncode != report.EXIT_STATUS[Verdict.VOID]:
            break
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert completed.stdout.startswith("PASSED"), completed.stdout + completed.stderr
    (result,) = report_file.load(report_path)
    assert result.findings.service > 0.8
    assert result.latencies[0].count > 100
    page = page_path.read_text()
    assert page.count("<svg") == 4
    assert "PASSED" in page
    assert "http://" not in page.replace("http://www.w3.org", "")
    reprinted = CliRunner().invoke(root, ["rehearse", "report", str(report_path)], standalone_mode=False)
    assert reprinted.return_value == 0
    assert "campaign-read" in reprinted.output
    report_path.write_bytes(report_path.read_bytes().replace(b'"schema":1', b'"schema":2', 1))
    assert CliRunner().invoke(root, ["rehearse", "report", str(report_path)], standalone_mode=False).return_value == 2


def test_ctrl_c_leaves_readable_report_and_no_process(tmp_path: Path) -> None:
    child = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lugtally",
            "rehearse",
            "run",
            "quiet",
            "--json",
            str(tmp_path / "a.json"),
            "--keep",
            str(tmp_path / "kept"),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    event_log_path = tmp_path / "kept" / "quiet.module.1" / "world.jsonl"
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline and not (event_log_path.exists() and event_log_path.stat().st_size > 20_000):
        time.sleep(0.05)
    processes = psutil.Process(child.pid).children(recursive=True)
    assert len(processes) == 6, "two testbed processes and four sidecars"
    child.send_signal(signal.SIGINT)
    stdout, _ = child.communicate(timeout=30)
    assert child.returncode == 130
    assert stdout.startswith(b"VOID")
    assert not psutil.wait_procs(processes, 2)[1], "a process is still running"
    (result,) = report_file.load(tmp_path / "a.json")
    assert result.verdict == Verdict.VOID
    assert result.reasons[0].startswith(report.INTERRUPTED)
    assert result.findings.server_attempts
