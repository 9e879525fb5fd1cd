"""Load generator: stalls count in full in the latencies, and connections attribute each response to its request."""

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
from lugtally.testbed.loadgen.connection import ClientConnection, Response
from lugtally.testbed.reporting import report
from lugtally.testbed.scenario import scenario_file, schedule
from lugtally.testbed.scenario.specification import ProcessSpecification
from lugtally.testbed.verification import event_log
from tests.testbed.faulty_sidecar import build_response, read_message

STALL_AT_S, STALL_S = 1.5, 1.0
SCENARIO = """
name = "stall"
about = "A server that does not respond for 1 s."
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


async def _serve_with_stall(block: int, seed: int, base: float, child: subprocess.Popen[bytes]) -> None:
    """Serve in place of a sidecar: respond immediately, except during a stall of 1 s."""
    start = 0.0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                request = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            now_s = time.monotonic() - base - start
            if STALL_AT_S <= now_s < STALL_AT_S + STALL_S:
                await asyncio.sleep(STALL_AT_S + STALL_S - now_s)
            body = build_body(seed, request.headers["x-correlation-id"], "s-000")
            writer.write(build_response(200, body))

    server = await asyncio.start_server(serve, loopback.sidecar_host(block, 0), loopback.PORT)
    assert child.stdin is not None
    assert child.stdout is not None
    assert child.stdout.readline() == b"ready\n"
    start = time.monotonic() - base + 0.3
    child.stdin.write(f"go {start!r}\n".encode())
    child.stdin.flush()
    await asyncio.to_thread(child.stdout.readline)
    server.close()


def test_stall_shows_in_full_in_latencies(tmp_path: Path) -> None:
    scenario, block = scenario_file.decode(SCENARIO, "stall.toml"), loopback.LoopbackBlock()
    base = time.monotonic()
    specification = ProcessSpecification(scenario, 5, block.number, base, str(tmp_path / "load.jsonl"))
    (tmp_path / "spec.json").write_bytes(msgspec.json.encode(specification))
    child = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally.testbed.loadgen.generator", str(tmp_path / "spec.json")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        asyncio.run(_serve_with_stall(block.number, 5, base, child))
        assert child.wait(10) == 0
    finally:
        child.kill()
        child.wait()
        block.close()
    log = event_log.EventLog(event_log.read_records([tmp_path / "load.jsonl"]))
    drawn_schedule = schedule.make_schedule(scenario, 5)
    assert len(log.client_attempts) == len(drawn_schedule.arrivals), "every arrival is sent, independently of responses"
    (measured,) = report.measure_latencies(drawn_schedule, log)
    # Requests that are sent during the stall have latencies of 0 to 1 s, uniformly distributed.
    latencies = [attempt.ended_at - attempt.intended_at for attempt in log.client_attempts]
    slow_latencies = [latency for latency in latencies if latency > STALL_S / 2]
    expected_slow = sum(STALL_AT_S <= arrival.at < STALL_AT_S + STALL_S / 2 for arrival in drawn_schedule.arrivals)
    assert len(slow_latencies) == pytest.approx(expected_slow, abs=4)
    assert measured.percentiles["100"] == pytest.approx(1000 * STALL_S, abs=60)
    assert measured.percentiles["99"] > 850
    assert measured.percentiles["90"] > 350
    assert measured.percentiles["50"] < 100


class RecordingTransport(asyncio.Transport):
    """Transport that records the data written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview[int]) -> None:
        self.written += bytes(data)

    def abort(self) -> None:
        self.aborted = True


class RecordedRequest:
    """Handler of a request on a connection, which records the events of the request."""

    def __init__(self, name: str) -> None:
        self.body = build_body(5, name, "s-000")
        self.response = build_response(200, self.body)
        self.events: list[tuple[str, bytes]] = []

    def send(self, connection: ClientConnection) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n", self)

    def on_response(self, response: Response) -> None:
        self.events.append(("response", response.body))

    def on_disconnect(self, received_bytes: bool) -> None:
        self.events.append(("disconnect", b"partial" if received_bytes else b""))

    def on_duplicate(self) -> None:
        self.events.append(("duplicate", b""))

    def is_own_body(self, body: bytes) -> bool:
        return body == self.body


@pytest.mark.parametrize("piece_count", [1, 2, 150], ids=["at once", "in two", "byte by byte"])
def test_late_duplicate_is_reported_to_its_own_request(piece_count: int) -> None:
    connection, transport, first, second = (
        ClientConnection(lambda _: None),
        RecordingTransport(),
        RecordedRequest("a"),
        RecordedRequest("b"),
    )
    connection.connection_made(transport)
    first.send(connection)
    connection.data_received(first.response)
    second.send(connection)  # while the duplicate of the first response is in flight
    data = first.response + second.response
    piece_size = -(-len(data) // piece_count)
    for offset in range(0, len(data), piece_size):
        connection.data_received(data[offset : offset + piece_size])
    assert first.events == [("response", first.body), ("duplicate", b"")]
    assert second.events == [("response", second.body)], "the duplicate of the first response is reported to the first"
    assert not connection.is_reusable, "a connection with a duplicate response is not reused"


def test_foreign_body_is_reported_to_request_in_flight() -> None:
    connection, first, second, forged = (
        ClientConnection(lambda _: None),
        RecordedRequest("a"),
        RecordedRequest("b"),
        RecordedRequest("c"),
    )
    connection.connection_made(RecordingTransport())
    first.send(connection)
    connection.data_received(first.response)
    second.send(connection)
    connection.data_received(forged.response)
    assert first.events == [("response", first.body)]
    assert second.events == [("response", forged.body)]


def test_close_after_duplicate_reports_no_bytes_received() -> None:
    connection, first, second = ClientConnection(lambda _: None), RecordedRequest("a"), RecordedRequest("b")
    connection.connection_made(RecordingTransport())
    first.send(connection)
    connection.data_received(first.response)
    second.send(connection)
    connection.data_received(first.response)
    connection.connection_lost(None)
    assert second.events == [("disconnect", b"")]
