"""The load tool hides no stall, and says so when it or a stand-in runs late."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.response_body import build_body
from lugtally.testbed.loadgen.connection import ClientConnection, ResponseHandlers
from lugtally.testbed.reporting import report
from lugtally.testbed.scenario import scenario, scenario_file, schedule
from lugtally.testbed.scenario.specification import ProcessSpecification
from lugtally.testbed.verification import event_log, records, verifier
from tests.testbed.offender import _answer, _read

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
            writer.write(_answer(200, build_body(seed, headers["x-correlation-id"], "s-000")))

    server = await asyncio.start_server(serve, loopback.sidecar_host(block, 0), loopback.PORT)
    assert child.stdin is not None and child.stdout is not None
    assert child.stdout.readline() == b"ready\n"
    start = time.monotonic() - base + 0.3
    child.stdin.write(f"go {start!r}\n".encode())
    child.stdin.flush()
    await asyncio.to_thread(child.stdout.readline)
    server.close()


def test_a_stall_of_a_second_shows_in_full(tmp_path: Path) -> None:
    day, block = scenario_file.decode(DAY, "stall.toml"), loopback.LoopbackBlock()
    base = time.monotonic()
    spec = ProcessSpecification(day, 5, block.number, base, str(tmp_path / "load.jsonl"))
    (tmp_path / "spec.json").write_bytes(msgspec.json.encode(spec))
    child = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally.testbed.loadgen.generator", str(tmp_path / "spec.json")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        asyncio.run(_stalling(block.number, 5, base, child))
        assert child.wait(10) == 0
    finally:
        child.kill()
        child.wait()
        block.close()
    log = event_log.EventLog(event_log.read_records([tmp_path / "load.jsonl"]))
    drawn = schedule.make_schedule(day, 5)
    assert len(log.client_attempts) == len(drawn.arrivals), "every arrival was sent, whatever the answers did"
    (latency,) = report.measure_latencies(drawn, log)
    # A fifth of the run stalls: those sent then wait evenly between nothing and a second.
    slow = [t.ended_at - t.intended_at for t in log.client_attempts if t.ended_at - t.intended_at > STALL_S / 2]
    due = sum(STALL_AT <= a.at < STALL_AT + STALL_S / 2 for a in drawn.arrivals)
    assert len(slow) == pytest.approx(due, abs=4)
    assert latency.percentiles["100"] == pytest.approx(1000 * STALL_S, abs=60)
    assert latency.percentiles["99"] > 850 and latency.percentiles["90"] > 350 and latency.percentiles["50"] < 100


@pytest.mark.parametrize(
    ("late", "word"),
    [
        (records.TimerLagReport("load", 9, 1.0, 20.0, 1.0), "passed"),
        (records.TimerLagReport("load", 9, 15.1, 20.0, 1.0), "void"),
        (records.TimerLagReport("load", 9, 1.0, 251.0, 1.0), "void"),
    ],
)
def test_a_late_kit_makes_a_run_void(late: records.TimerLagReport, word: str) -> None:
    drawn = schedule.make_schedule(scenario_file.load("quiet"), 1)
    log = event_log.EventLog([late, records.TimerLagReport("stand-ins", 9, 1.0, 2.0, 1.0)])
    assert report.judge_run(verifier.verify(log, drawn, 0.0), scenario.Expect())[0] == word


def test_an_event_log_that_breaks_off_makes_a_run_void_and_is_read_up_to_there(tmp_path: Path) -> None:
    writer = event_log.EventLogWriter(tmp_path / "a.jsonl")
    for n in range(3):
        writer.write(records.HealthCheck(float(n), "s-000", 0))
    writer.close()
    whole = (tmp_path / "a.jsonl").read_bytes()
    (tmp_path / "a.jsonl").write_bytes(whole[:-5])
    assert len(event_log.read_records([tmp_path / "a.jsonl", tmp_path / "none.jsonl"])) == 2
    found = verifier.verify(event_log.EventLog([]), schedule.make_schedule(scenario_file.load("quiet"), 1), 0.0)
    assert report.judge_run(found, scenario.Expect())[0] == "void"


class _Transport(asyncio.Transport):
    """Keeps what is written; the connection stays up until it is aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview[int]) -> None:
        self.written += bytes(data)

    def abort(self) -> None:
        self.aborted = True


class _Heard:
    """One request on a link, and all that the link says of it."""

    def __init__(self, name: str) -> None:
        self.body = build_body(5, name, "s-000")
        self.bytes = _answer(200, self.body)
        self.events: list[tuple[str, bytes]] = []

    def send(self, link: ClientConnection) -> None:
        link.send(
            b"GET / HTTP/1.1\r\n\r\n",
            ResponseHandlers(
                lambda status, body, retry_after_s: self.events.append(("answer", body)),
                lambda received: self.events.append(("broke", b"begun" if received else b"")),
                lambda: self.events.append(("extra", b"")),
                lambda body: body == self.body,
            ),
        )


@pytest.mark.parametrize("pieces", [1, 2, 150], ids=["at once", "in two", "byte by byte"])
def test_a_second_answer_that_crosses_the_next_request_is_the_first_ones(pieces: int) -> None:
    link, transport, first, second = ClientConnection(lambda _: None), _Transport(), _Heard("a"), _Heard("b")
    link.connection_made(transport)
    first.send(link)
    link.data_received(first.bytes)
    second.send(link)  # the connection was given back; the second copy is on its way
    data = first.bytes + second.bytes
    size = -(-len(data) // pieces)
    for at in range(0, len(data), size):
        link.data_received(data[at : at + size])
    assert first.events == [("answer", first.body), ("extra", b"")]
    assert second.events == [("answer", second.body)], "the first one's copy is no answer to it"
    assert not link.is_reusable, "a connection on which too much came is not used again"


def test_a_foreign_body_is_reported_to_the_request_in_flight() -> None:
    link, first, second, forged = ClientConnection(lambda _: None), _Heard("a"), _Heard("b"), _Heard("c")
    link.connection_made(_Transport())
    first.send(link)
    link.data_received(first.bytes)
    second.send(link)
    link.data_received(forged.bytes)
    assert first.events == [("answer", first.body)]
    assert second.events == [("answer", forged.body)]


def test_a_connection_that_ends_behind_a_second_answer_left_the_next_request_without_a_byte() -> None:
    link, first, second = ClientConnection(lambda _: None), _Heard("a"), _Heard("b")
    link.connection_made(_Transport())
    first.send(link)
    link.data_received(first.bytes)
    second.send(link)
    link.data_received(first.bytes)
    link.connection_lost(None)
    assert second.events == [("broke", b"")]
