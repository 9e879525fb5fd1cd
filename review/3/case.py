"""Case 3: a planned restart while a client reads a long answer; the sidecar resets the answer and ends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.deployment import Deployment, run_case
from standins.long_answers import LongAnswerServer, Reading, long_request, read_answer
from standins.messages import abort
from standins.record import Record
from standins.sidecar_process import CannotRunError, Sidecar

RATE = 2_000_000.0
"""Bytes a second that the clients read."""
CLIENTS = 6
TERM_AFTER_S = 1.0
KILL_AFTER_S = 14.0
"""The page: no sooner than 3 s and 0.7 s after SIGTERM."""


class YearlyServer(LongAnswerServer):
    """Gives long answers as fast as they are taken."""

    size = 24_000_000
    piece = 64 * 1024
    pause_s = 0.0


async def play(record: Record, trouble: bool) -> bool:
    """Let clients read long answers, restart the sidecar in their midst; no answer may be cut by the sidecar."""
    deployment = Deployment(record, YearlyServer)
    try:
        sidecar = await deployment.start()
        clients = deployment.usual_clients(20.0)
        usual = asyncio.create_task(clients.run(3.0))
        await asyncio.sleep(2)
        asking = []
        for _ in range(CLIENTS):
            asking.append(asyncio.create_task(_ask(record, sidecar.address)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(TERM_AFTER_S)
        ending = "not told to end"
        if trouble:
            ending = await _restart(record, sidecar)
        readings = [await task for task in asking]
        await usual
        clients.close()
    finally:
        await deployment.end()
    if not any(reading.length == YearlyServer.size for reading in readings):
        raise CannotRunError("no long answer began")
    lost = [reading for reading in readings if not reading.is_whole()]
    for reading in readings:
        record.say(f"long answer: {reading.read} of {reading.length} bytes, {reading.ending}")
    record.say(f"usual requests lost: {sum(sent.is_lost() for sent in clients.sent)} of {len(clients.sent)}")
    record.say(f"sidecar: {ending}")
    return not lost


async def _ask(record: Record, address: tuple[str, int]) -> Reading:
    reader, writer = await asyncio.open_connection(*address)
    sent, data = long_request()
    writer.write(data)
    reading = Reading(sent)
    sent.sent_at = record.note("sent", id=sent.id)
    await read_answer(record, reader, reading, RATE)
    abort(writer)
    return reading


async def _restart(record: Record, sidecar: Sidecar) -> str:
    """Send SIGTERM, and SIGKILL much later; return how the sidecar ended."""
    process = sidecar.process
    if process is None:
        return "not started"
    sidecar.send_signal(signal.SIGTERM)
    told = record.now()
    await asyncio.wait([asyncio.create_task(process.wait())], timeout=KILL_AFTER_S)
    if process.returncode is None:
        sidecar.send_signal(signal.SIGKILL)
        return f"killed {KILL_AFTER_S:.0f} s after SIGTERM"
    record.note("ended", status=process.returncode)
    return f"ended by itself with status {process.returncode}, {record.now() - told:.2f} s after SIGTERM"


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
