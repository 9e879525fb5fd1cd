"""Case 1: one bad client sends what cannot be read, at full speed; the requests of all other clients are lost."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from standins import bad_client
from standins.deployment import Deployment, run_case
from standins.record import Record
from standins.sidecar_process import CannotRunError

RATE = 40.0
SECONDS = 16.0
BAD_FROM_S = 5.0
BAD_FOR_S = 6.0
FORM = os.environ.get("FORM", "lines")


async def play(record: Record, trouble: bool) -> bool:
    """Send usual requests, and in their midst the bad client's bytes; no usual request may be lost."""
    deployment = Deployment(record)
    try:
        sidecar = await deployment.start()
        clients = deployment.usual_clients(RATE)
        usual = asyncio.create_task(clients.run(SECONDS))
        await asyncio.sleep(BAD_FROM_S)
        bad = "no bad client"
        if trouble:
            bad = await _run_bad_client(record, sidecar.address)
        await usual
        clients.close()
    finally:
        await deployment.end()
    lost = [sent for sent in clients.sent if sent.is_lost()]
    foreign = [sent for sent in clients.sent if sent.is_foreign()]
    served = sum(sent.status == 200 for sent in clients.sent)
    unanswered = sum(not sent.status for sent in clients.sent)
    record.say(f"bad client: {bad}")
    record.say(f"usual requests: {len(clients.sent)} sent, {served} served, {len(lost)} lost, {len(foreign)} foreign")
    record.say(f"of the lost, {unanswered} got no answer until 0.7 s after their time")
    return not lost and not foreign


async def _run_bad_client(record: Record, address: tuple[str, int]) -> str:
    record.note("bad-client-starts", form=FORM)
    arguments = [bad_client.__file__, address[0], str(address[1]), str(BAD_FOR_S), FORM]
    process = await asyncio.create_subprocess_exec(sys.executable, *arguments, stdout=asyncio.subprocess.PIPE)
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    if process.returncode or not output:
        raise CannotRunError("the bad client could not run")
    record.note("bad-client-ends")
    return output.decode().strip()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
