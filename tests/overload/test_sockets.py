"""The guard on sockets: the real sidecar on a core that others take, flooded, and asked for its health in a loop."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from lugtally.testbed.experiments import runner
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario_file
from lugtally.testbed.verification import event_log
from lugtally.testbed.verification.records import ClientAttempt, Record, ServerAttempt
from tests.integration.player import Player

FLOOD = """
name = "flood"
about = "More than a starved core can carry, from clients that ask again at once."
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
GUARD = "[overload]\nenabled = true\n"


@pytest.fixture(scope="module")
def flooded(tmp_path_factory: pytest.TempPathFactory) -> tuple[Report, list[Record]]:
    folder = tmp_path_factory.mktemp("flood")
    (folder / "operator.toml").write_text(GUARD)
    run = runner.Run(
        scenario_file.decode(FLOOD, "flood.toml"), 2, folder=folder / "run", operator=folder / "operator.toml"
    )
    report = run.play()
    return report, event_log.read_records([folder / "run" / name for name in ("load.jsonl", "world.jsonl")])


def test_a_flood_on_a_starved_core_breaks_no_rule_on_effects(flooded: tuple[Report, list[Record]]) -> None:
    """Whether answers came late is the machine's matter here; that nothing ran twice is ours."""
    report, records = flooded
    wrong = {b.name for b in report.findings.violations if b.rule != 1}
    assert not wrong and "sidecar-crashed" not in report.violations_by_name, report.reasons
    receipts = [r for r in records if isinstance(r, ServerAttempt) and r.had_effect]
    assert len(receipts) > 500 and len({r.request_id for r in receipts}) == len(receipts)


def test_each_shed_request_got_one_answer_and_was_never_sent(flooded: tuple[Report, list[Record]]) -> None:
    report, records = flooded
    tries = [r for r in records if isinstance(r, ClientAttempt)]
    assert not [t for t in tries if t.duplicate_response or t.outcome == "foreign"]
    assert report.verdict != Verdict.BROKEN or set(report.violations_by_name) <= {"late", "dropped"}
    sent = {r.request_id for r in records if isinstance(r, ServerAttempt) and r.outcome != "turned-away"}
    refused = [t for t in tries if t.outcome == "refused"]
    receipts = [cls.name for cls in scenario_file.decode(FLOOD, "flood.toml").classes].index("receipt-issue")
    assert not [t for t in refused if t.request_id in sent and t.class_index == receipts]


def test_a_tight_loop_of_health_calls_is_paced_and_answered(tmp_path: Path) -> None:
    player = Player(tmp_path)
    counts = [0] * 4
    try:
        player.do_serve()
        until = time.monotonic() + 1.5

        def loop(number: int) -> None:
            link = player.link(f"h{number}")
            while time.monotonic() < until:
                link.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                assert link.recv(4096).startswith(b"HTTP/1.1 200")
                counts[number] += 1

        threads = [threading.Thread(target=loop, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        player.end()
    assert min(counts) >= 10, "answered all the same"
    assert sum(counts) <= 3 * 200 + 4 * 1.5 * 25, "4 connections in a tight loop would make thousands"
