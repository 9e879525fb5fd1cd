"""The load tool hides no stall, and says so when it or a stand-in runs late."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from lugtally.rehearsal import judge, ledger, places, plan, report, scenario
from lugtally.rehearsal.stand_ins import answer_body
from lugtally.rehearsal.world import Specification
from tests.rehearsal.offender import _answer, _read

STALL_AT, STALL_S = 1.5, 1.0
DAY = """
name = "stall"
about = "A server behind the load tool that stops for a second."
length_s = 5
[fleet]
servers = 1
sidecars = 1
[load]
rate_per_s = 100
shape = "steady"
[clients]
retries = 0
try_share = 1.0
[[classes]]
name = "read"
share = 1
work_ms = 1
aim_ms = 2000
deadline_ms = 4000
worth = 1
effect = "safe"
"""


async def _stalling(block: int, seed: int, base: float, child: subprocess.Popen[bytes]) -> None:
    """In the place of a sidecar: answers at once, but nothing at all for a second."""
    start = 0.0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                _, headers, _ = await _read(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            now = time.monotonic() - base - start
            if STALL_AT <= now < STALL_AT + STALL_S:
                await asyncio.sleep(STALL_AT + STALL_S - now)
            writer.write(_answer(200, answer_body(seed, headers["x-correlation-id"], "s-000")))

    server = await asyncio.start_server(serve, places.front(block, 0), places.PORT)
    assert child.stdin is not None and child.stdout is not None
    assert child.stdout.readline() == b"ready\n"
    start = time.monotonic() - base + 0.3
    child.stdin.write(f"go {start!r}\n".encode())
    child.stdin.flush()
    await asyncio.to_thread(child.stdout.readline)
    server.close()


def test_a_stall_of_a_second_shows_in_full(tmp_path: Path) -> None:
    told, block = scenario.decode(DAY, "stall.toml"), places.Block()
    base = time.monotonic()
    spec = Specification(told, 5, block.number, base, str(tmp_path / "load.jsonl"))
    (tmp_path / "spec.json").write_bytes(msgspec.json.encode(spec))
    child = subprocess.Popen([sys.executable, "-B", "-m", "lugtally.rehearsal.load", str(tmp_path / "spec.json")],
                             stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        asyncio.run(_stalling(block.number, 5, base, child))
        assert child.wait(10) == 0
    finally:
        child.kill()
        child.wait()
        block.close()
    books = judge.sort(ledger.read([tmp_path / "load.jsonl"]))
    drawn = plan.make(told, 5)
    assert len(books.tries) == len(drawn.arrivals), "every arrival was sent, whatever the answers did"
    (latency,) = report._latencies(drawn, books)
    # A fifth of the run stalls: those sent then wait evenly between nothing and a second.
    slow = [t.ended - t.intended for t in books.tries if t.ended - t.intended > STALL_S / 2]
    due = sum(STALL_AT <= a.at < STALL_AT + STALL_S / 2 for a in drawn.arrivals)
    assert len(slow) == pytest.approx(due, abs=4)
    assert latency.percentiles["100"] == pytest.approx(1000 * STALL_S, abs=60)
    assert latency.percentiles["99"] > 850 and latency.percentiles["90"] > 350 and latency.percentiles["50"] < 100


@pytest.mark.parametrize(("late", "word"), [
    (ledger.Late("load", 9, 1.0, 20.0, 1.0), "passed"), (ledger.Late("load", 9, 15.1, 20.0, 1.0), "void"),
    (ledger.Late("load", 9, 1.0, 251.0, 1.0), "void")])
def test_a_late_kit_makes_a_run_void(late: ledger.Late, word: str) -> None:
    drawn = plan.make(scenario.load("quiet"), 1)
    books = judge.sort([late, ledger.Late("stand-ins", 9, 1.0, 2.0, 1.0)])
    assert report.verdict(judge.judge(books, drawn, 0.0), scenario.Expect())[0] == word


def test_a_book_that_breaks_off_makes_a_run_void_and_is_read_up_to_there(tmp_path: Path) -> None:
    book = ledger.Book(tmp_path / "a.jsonl")
    for n in range(3):
        book.write(ledger.Probe(float(n), "s-000", 0))
    book.close()
    whole = (tmp_path / "a.jsonl").read_bytes()
    (tmp_path / "a.jsonl").write_bytes(whole[:-5])
    assert len(ledger.read([tmp_path / "a.jsonl", tmp_path / "none.jsonl"])) == 2
    found = judge.judge(judge.sort([]), plan.make(scenario.load("quiet"), 1), 0.0)
    assert report.verdict(found, scenario.Expect())[0] == "void"
