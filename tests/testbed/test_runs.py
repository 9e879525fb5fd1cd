"""Whole runs with the real sidecar: the short day, the drain that goes silent, Ctrl-C, comparisons, experiments."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import psutil
import pytest
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.experiments import experiment, matrix, runner
from lugtally.testbed.reporting import compare, report, report_file
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario, scenario_file
from lugtally.testbed.verification import event_log, records
from tests.integration.player import ROOT

DRAIN = """
name = "drain"
about = "A server goes silent in the middle of its drain, in small."
length_s = 6
[fleet]
servers = 4
sidecars = 2
[discovery]
notice_s = 0.4
[load]
rate_per_s = 50
[[troubles]]
kind = "drain"
at_s = 1
servers = 1
takes_s = 5
[[troubles]]
kind = "silent"
at_s = 1.2
same_as = 0
"""


def played(day: scenario.Scenario, seed: int, folder: Path | None = None, policy: str = runner.MODULE) -> Report:
    """A run that says something: a busy machine is asked again."""
    for _ in range(3):
        result = runner.Run(day, seed, folder=folder, policy=policy).play()
        if result.verdict != Verdict.VOID:
            break
    return result


def test_a_server_that_falls_silent_in_its_drain_gets_nothing_new_and_all_are_answered(tmp_path: Path) -> None:
    day = scenario_file.decode(DRAIN, "drain.toml")
    result = played(day, 3, tmp_path)
    assert result.verdict == Verdict.PASSED, result.reasons
    recorded = event_log.read_records([tmp_path / "world.jsonl", tmp_path / "load.jsonl"])
    changes = [r for r in recorded if isinstance(r, records.EndpointChanged) and r.state == "draining"]
    server, when = changes[0].server, changes[0].at
    sent = [r.last_byte_at for r in recorded if isinstance(r, records.ServerAttempt) and r.server == server]
    assert sent and max(sent) < when + 1.55, "the drain was not noticed"
    assert any(
        r.outcome in ("gone", "unanswered")
        for r in recorded
        if isinstance(r, records.ServerAttempt) and r.server == server
    ), "nobody met the silent server"
    tries = [r for r in recorded if isinstance(r, records.ClientAttempt)]
    assert len(tries) > 200 and all(t.outcome in ("served", "refused", "failed", "left") for t in tries)


def test_the_short_day_passes_and_its_reports_can_be_read(tmp_path: Path) -> None:
    file, html = tmp_path / "a.json", tmp_path / "a.html"
    for _ in range(3):  # a busy machine gives no verdict: ask again
        done = subprocess.run(
            [sys.executable, "-m", "lugtally", "rehearse", "run", "short", "--json", str(file), "--html", str(html)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
        )
        if done.returncode != report.EXIT_STATUS[Verdict.VOID]:
            break
    assert done.returncode == 0 and done.stdout.startswith("PASSED"), done.stdout + done.stderr
    (result,) = report_file.load(file)
    assert result.findings.service > 0.8 and result.latencies[0].count > 100
    page = html.read_text()
    assert page.count("<svg") == 4 and "PASSED" in page and "http://" not in page.replace("http://www.w3.org", "")
    again = CliRunner().invoke(root, ["rehearse", "report", str(file)], standalone_mode=False)
    assert again.return_value == 0 and "campaign-read" in again.output
    file.write_bytes(file.read_bytes().replace(b'"schema":1', b'"schema":2', 1))
    assert CliRunner().invoke(root, ["rehearse", "report", str(file)], standalone_mode=False).return_value == 2


def test_ctrl_c_leaves_no_process_and_a_readable_report(tmp_path: Path) -> None:
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
    family = psutil.Process(child.pid).children(recursive=True)
    assert len(family) == 6, "two parts of the kit and four sidecars"
    child.send_signal(signal.SIGINT)
    out, _ = child.communicate(timeout=30)
    assert child.returncode == 130 and out.startswith(b"VOID")
    assert not psutil.wait_procs(family, 2)[1], "a process was left"
    (result,) = report_file.load(tmp_path / "a.json")
    assert (
        result.verdict == Verdict.VOID
        and result.reasons[0].startswith(report.INTERRUPTED)
        and result.findings.server_attempts
    )


def _moved(one: Report, seed: int, by: float) -> Report:
    """The same run under another seed, better by so much."""
    copy = msgspec.convert(msgspec.to_builtins(one), Report)
    copy.seed, copy.verdict = seed, Verdict.PASSED
    copy.findings.service += by
    return copy


def test_comparisons_are_paired_and_say_where_no_difference_is_seen(tmp_path: Path) -> None:
    day = scenario_file.decode(DRAIN.replace("length_s = 6", "length_s = 2.5"), "drain.toml")
    one = played(day, 1)
    spread = (-0.04, 0.03, -0.02, 0.04, -0.01, 0.02)
    a = [_moved(one, n, s) for n, s in enumerate(spread)]
    assert compare.compare(a[:3], a[:3])[0].finding.startswith("no difference seen: 3 pairs")
    noisy = [_moved(one, n, -s) for n, s in enumerate(spread)]
    assert compare.compare(a, noisy)[0].finding == "no difference seen"
    better = [_moved(one, n, s + 0.05 + s / 10) for n, s in enumerate(spread)]
    found = compare.compare(a, better)[0]
    assert found.finding == "B is better" and found.low > 0.04 and found.mean == pytest.approx(0.05, abs=0.004)
    assert compare.compare(better, a)[0].finding == "B is worse"
    void = [_moved(one, n, 0) for n in range(6)]
    for each in void:
        each.verdict = Verdict.VOID
    with pytest.raises(compare.CompareError):
        compare.compare(a, void)
    report_file.save(a, tmp_path / "a.json")
    report_file.save(better, tmp_path / "b.json")
    result = CliRunner().invoke(
        root, ["rehearse", "compare", str(tmp_path / "a.json"), str(tmp_path / "b.json")], standalone_mode=False
    )
    assert result.return_value == 0 and "B is better" in result.output


def test_an_experiment_goes_on_where_it_was_left(tmp_path: Path) -> None:
    (tmp_path / "day.toml").write_text(DRAIN.replace("length_s = 6", "length_s = 2.5"))
    (tmp_path / "try.toml").write_text(
        f"name = 'try'\nscenarios = ['{tmp_path}/day.toml']\nseeds = [1]\npolicies = ['module', 'round-robin+retry']\n"
        "[[settings]]\nname = 'base'\n[[settings]]\nname = 'busy'\nset = {'load.rate_per_s' = 70}\n"
    )
    described = experiment.read(tmp_path / "try.toml")
    todo = experiment.cells_of(described)
    assert len(todo) == 4
    first = matrix.play_cells(todo[:3], tmp_path / "out", 3)
    stamps = {path: path.stat().st_mtime_ns for path in (tmp_path / "out").glob("*.1.json")}
    assert len(first) == len(stamps) == 3
    result = CliRunner().invoke(
        root, ["experiment", str(tmp_path / "try.toml"), "--out", str(tmp_path / "out")], standalone_mode=False
    )
    assert "4 of 4 runs" in result.output, result.output
    assert all(path.stat().st_mtime_ns == stamp for path, stamp in stamps.items()), "a run was played again"
    assert (tmp_path / "out" / "try.svg").read_text().startswith("<?xml")
    rates = {cell.setting.name: first[cell.name].rate_per_s for cell in todo[:3]}
    assert rates == {"base": 50.0, "busy": 70.0}


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("policies = ['best']", "try.toml: policies: 'best' is none of"),
        ("colour = 1", "try.toml: Object contains unknown field `colour`"),
        ("[[settings]]\nname='a'\nset={'load.rate' = 1}", "quiet with a: load: Object contains unknown field `rate`"),
    ],
)
def test_a_bad_experiment_is_named(tmp_path: Path, line: str, complaint: str) -> None:
    (tmp_path / "try.toml").write_text(f"name = 'try'\nscenarios = ['quiet']\nseeds = [1]\n{line}\n")
    with pytest.raises(scenario.ScenarioError) as caught:
        experiment.read(tmp_path / "try.toml")
    assert str(caught.value).startswith(complaint)
