"""Complete runs with the real sidecar: a server that is silent during its drain, the short scenario, Ctrl-C."""

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
    changes = [
        record for record in recorded if isinstance(record, records.EndpointChanged) and record.state == "draining"
    ]
    drained, drained_at = changes[0].server, changes[0].at
    received = [record for record in recorded if isinstance(record, records.ServerAttempt) and record.server == drained]
    assert received
    assert max(attempt.last_byte_at for attempt in received) < drained_at + 1.55, "the drain was not noticed"
    assert any(attempt.outcome in ("gone", "unanswered") for attempt in received), "no request met the silent server"
    attempts = [record for record in recorded if isinstance(record, records.ClientAttempt)]
    assert len(attempts) > 200
    assert all(attempt.outcome in ("served", "refused", "failed", "left") for attempt in attempts)


def test_short_scenario_passes_and_its_reports_are_readable(tmp_path: Path) -> None:
    file, html = tmp_path / "a.json", tmp_path / "a.html"
    for _ in range(3):  # a run on a busy machine may be void and is repeated
        done = subprocess.run(
            [sys.executable, "-m", "lugtally", "rehearse", "run", "short", "--json", str(file), "--html", str(html)],
            check=False,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
        )
        if done.returncode != report.EXIT_STATUS[Verdict.VOID]:
            break
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.startswith("PASSED"), done.stdout + done.stderr
    (result,) = report_file.load(file)
    assert result.findings.service > 0.8
    assert result.latencies[0].count > 100
    page = html.read_text()
    assert page.count("<svg") == 4
    assert "PASSED" in page
    assert "http://" not in page.replace("http://www.w3.org", "")
    again = CliRunner().invoke(root, ["rehearse", "report", str(file)], standalone_mode=False)
    assert again.return_value == 0
    assert "campaign-read" in again.output
    file.write_bytes(file.read_bytes().replace(b'"schema":1', b'"schema":2', 1))
    assert CliRunner().invoke(root, ["rehearse", "report", str(file)], standalone_mode=False).return_value == 2


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
    until = time.monotonic() + 30
    while time.monotonic() < until and not (event_log_path.exists() and event_log_path.stat().st_size > 20_000):
        time.sleep(0.05)
    children = psutil.Process(child.pid).children(recursive=True)
    assert len(children) == 6, "two processes of the testbed and four sidecars"
    child.send_signal(signal.SIGINT)
    out, _ = child.communicate(timeout=30)
    assert child.returncode == 130
    assert out.startswith(b"VOID")
    assert not psutil.wait_procs(children, 2)[1], "a process was left"
    (result,) = report_file.load(tmp_path / "a.json")
    assert result.verdict == Verdict.VOID
    assert result.reasons[0].startswith(report.INTERRUPTED)
    assert result.findings.server_attempts
