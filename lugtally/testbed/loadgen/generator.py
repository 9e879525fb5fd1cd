"""The process of the load generator: open-loop clients of each sidecar.

Arrivals are drawn before the run and do not wait for responses.  Latency is measured from the time at which a request
was due to be sent, so that it includes a stall in full (this avoids coordinated omission; G. Tene, "How not to measure
latency", 2013).  Retries are not counted as separate requests.  The lag of each send is recorded: a run whose
load generator was late is void.

The argument of the process is the path of a specification.  It prints ``ready``, and on ``go SECONDS`` from standard
input starts the load at that time.  It prints ``done`` at its end, and ends early on ``stop`` or at the end of standard
input.
"""

from __future__ import annotations

import asyncio
import gc
import sys

import uvloop

from lugtally.testbed.loadgen.client import ClientRequest
from lugtally.testbed.loadgen.load_run import LoadRun
from lugtally.testbed.scenario.schedule import Schedule, make_schedule
from lugtally.testbed.scenario.specification import ProcessSpecification, read_specification

DUPLICATE_WAIT_S = 0.3  # after the last attempt, for duplicate responses
MIN_SLEEP_S = 0.0005  # a request that is due within this time is sent immediately
MAX_LAG_WITHOUT_YIELD_S = 0.01  # above this lag, the loop yields to the event loop between arrivals
FLUSH_INTERVAL_S = 1.0
PENDING_POLL_S = 0.05


class LoadGenerator:
    """Sends the requests of all clients of a run."""

    def __init__(self, specification: ProcessSpecification) -> None:
        self._schedule: Schedule = make_schedule(specification.scenario, specification.seed)
        self._run = LoadRun(specification)

    async def run(self) -> None:
        """Wait for the command to start, then send all requests and wait until the last attempt has ended."""
        loop = asyncio.get_running_loop()
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        # Exclude the schedule from garbage collection: it is large and needed to the end.
        gc.collect()
        gc.freeze()
        print("ready", flush=True)
        command = (await commands.readline()).decode().split()
        if not command or command[0] != "go":
            return
        self._run.start = float(command[1])
        stop_command = loop.create_task(commands.readline())  # ``stop``, or the end of standard input
        load_task = loop.create_task(self._generate_load())
        await asyncio.wait((stop_command, load_task), return_when=asyncio.FIRST_COMPLETED)
        load_task.cancel()
        self._run.close()
        print("done", flush=True)

    async def _generate_load(self) -> None:
        await self._send_arrivals()
        while self._run.pending:  # ends, as each attempt ends within LATE_RESPONSE_WAIT_S of its deadline
            await asyncio.sleep(PENDING_POLL_S)
        await asyncio.sleep(DUPLICATE_WAIT_S)
        for pool in self._run.pools:
            pool.close()

    async def _send_arrivals(self) -> None:
        """Send each request when it is due, and flush the event log every FLUSH_INTERVAL_S."""
        run, last_flush_at = self._run, 0.0
        for arrival_index, arrival in enumerate(self._schedule.arrivals):
            due = run.start + arrival.at
            while (wait_s := due - run.clock()) > MIN_SLEEP_S:
                await asyncio.sleep(wait_s)
            run.timer_lag.add(run.clock() - due)
            ClientRequest(run, arrival_index, arrival).start_attempt(due)
            if due > last_flush_at + FLUSH_INTERVAL_S:
                last_flush_at = due
                run.event_log.flush()
            elif wait_s < -MAX_LAG_WITHOUT_YIELD_S:
                await asyncio.sleep(0)  # behind schedule: let responses be read


async def _main(path: str) -> None:
    await LoadGenerator(read_specification(path)).run()


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1]))
