"""Case 7: while the process is replaced, a pledge server that operators took out gets requests again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from standins_2.case import CannotRunError, CaseContext, run_case
from standins_2.client import ClientConnection
from standins_2.platform import SidecarProcess
from standins_2.pledge_server import PledgeServer

CLIENT_COUNT = 6
SERVER_COUNT = 4
READ_TIME_LEFT_S = 0.8
WARM_UP_S = 2.0
DRAIN_GRACE_S = 1.5 + 0.05
"""How long after the yes a pledge server that was taken out may still get requests: the grace and 50 ms."""
WATCHED_S = 6.0
"""How long the pledge servers are watched after the second yes."""
SIGKILL_AFTER_S = 3.7
"""How long after SIGTERM the old process is killed: the longest deadline and 0.7 s."""
BETWEEN_CALLS_S = 0.05
"""The time between the two calls of the operators."""
FIRST_OUT, SECOND_OUT = "s-0", "s-1"


async def play(context: CaseContext) -> None:
    """Take one pledge server out at the old process, and the next one at the new process when that says it is ready.

    Without trouble the process is not replaced, and both calls go to the same process.
    """
    await context.start_servers([PledgeServer(f"s-{number}", context.record) for number in range(SERVER_COUNT)])
    sidecar = context.new_sidecar()
    sidecar.hold_listener()
    old_process = sidecar.start_process()
    await old_process.wait_until_ready()
    stop = asyncio.Event()
    clients = [asyncio.create_task(_send_reads(context, sidecar.address, stop)) for _ in range(CLIENT_COUNT)]
    await asyncio.sleep(WARM_UP_S)
    new_process = sidecar.start_process() if context.has_trouble else old_process
    await new_process.wait_until_ready()
    taken_out_s = {FIRST_OUT: await _take_out(context, old_process, FIRST_OUT, "old")}
    await asyncio.sleep(BETWEEN_CALLS_S)
    taken_out_s[SECOND_OUT] = await _take_out(context, new_process, SECOND_OUT, "new")
    if context.has_trouble:
        await _end_old_process(context, old_process)
    await asyncio.sleep(max(0.0, taken_out_s[SECOND_OUT] + WATCHED_S - context.record.now_s()))
    stop.set()
    if not sum(await asyncio.gather(*clients)):
        raise CannotRunError("no request was served")
    _check(context, taken_out_s)


async def _take_out(context: CaseContext, process: SidecarProcess, server_id: str, name: str) -> float:
    """Make the operators' call; return when the sidecar had said yes."""
    status = await process.operator_call("POST", f"/control/pledge-servers/{server_id}/offline")
    context.record.write(f"call    POST {server_id}/offline at the {name} process: {status}")
    if not 200 <= status < 300:
        raise CannotRunError(f"the call for {server_id} got no yes, but {status}")
    return context.record.now_s()


async def _end_old_process(context: CaseContext, process: SidecarProcess) -> None:
    """Send SIGTERM, and SIGKILL if the process still runs when it may be killed."""
    context.record.write("signal  SIGTERM to the old process")
    process.signal(signal.SIGTERM)
    end_s = context.record.now_s() + SIGKILL_AFTER_S
    while not process.has_ended and context.record.now_s() < end_s:
        await asyncio.sleep(0.05)
    if not process.has_ended:
        context.record.write("signal  SIGKILL to the old process")
        process.signal(signal.SIGKILL)


async def _send_reads(context: CaseContext, address: tuple[str, int], stop: asyncio.Event) -> int:
    """Send reads one after the other until ``stop`` is set; return how many were served."""
    connection = ClientConnection(address, context.record)
    served = 0
    while not stop.is_set():
        exchange = await connection.send("campaign-read", "GET", READ_TIME_LEFT_S)
        served += exchange.status == 200
    connection.close()
    return served


def _check(context: CaseContext, taken_out_s: dict[str, float]) -> None:
    """Check that no pledge server got a request after the grace that follows the yes of the sidecar."""
    for server in context.servers:
        if server.id not in taken_out_s:
            continue
        late = [run_s for run_s, _ in server.runs if run_s > taken_out_s[server.id] + DRAIN_GRACE_S]
        if late:
            after_s = late[0] - taken_out_s[server.id]
            context.add_violation(
                f"{server.id} got {len(late)} requests after the grace, the first {after_s:.3f} s after the yes"
            )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
