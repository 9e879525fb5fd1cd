"""Process of the load generator: open-loop clients beside each sidecar.

Arrivals are drawn before the run and do not wait for responses.  Latency counts from the time at which a request was
to be sent, so that a stall shows in full (no coordinated omission; G. Tene, "How not to measure latency", 2013).
Retries of a client belong to its first attempt.  The lag of each send is recorded: a run with a late load generator
is void.

The process is started with the path of a specification and prints ``ready``.  It begins on ``go SECONDS`` from
standard input and prints ``done`` at its end.  It ends early on ``stop`` or at the end of standard input.
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

DUPLICATE_WAIT_S = 0.3  # after the last response, for duplicates of it
MIN_WAIT_S = 0.0005  # shorter waits are left out
MAX_LAG_S = 0.01  # from which the loop yields between arrivals
FLUSH_INTERVAL_S = 1.0
PENDING_POLL_S = 0.05


class LoadGenerator:
    """All clients of a run."""

    def __init__(self, specification: ProcessSpecification) -> None:
        self._schedule: Schedule = make_schedule(specification.scenario, specification.seed)
        self._run = LoadRun(specification)

    async def run(self) -> None:
        """Send all arrivals, then wait until the last attempt has ended."""
        loop = asyncio.get_running_loop()
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        # Exclude the schedule from garbage collection: it is large and lives to the end.
        gc.collect()
        gc.freeze()
        print("ready", flush=True)
        command = (await commands.readline()).decode().split()
        if not command or command[0] != "go":
            return
        self._run.start = float(command[1])
        stopped = loop.create_task(commands.readline())  # ``stop``, or the end of standard input
        playing = loop.create_task(self._play())
        await asyncio.wait((stopped, playing), return_when=asyncio.FIRST_COMPLETED)
        playing.cancel()
        self._run.close()
        print("done", flush=True)

    async def _play(self) -> None:
        await self._send_arrivals()
        while self._run.pending:  # ends: each attempt has a deadline and an observation time
            await asyncio.sleep(PENDING_POLL_S)
        await asyncio.sleep(DUPLICATE_WAIT_S)
        for pool in self._run.pools:
            pool.close()

    async def _send_arrivals(self) -> None:
        """Send each request at its time, and flush the event log each second."""
        run, flushed_at = self._run, 0.0
        for arrival_index, arrival in enumerate(self._schedule.arrivals):
            due = run.start + arrival.at
            while (wait := due - run.clock()) > MIN_WAIT_S:
                await asyncio.sleep(wait)
            run.timer_lag.add(run.clock() - due)
            ClientRequest(run, arrival_index, arrival).start_attempt(due)
            if due > flushed_at + FLUSH_INTERVAL_S:
                flushed_at = due
                run.event_log.flush()
            elif wait < -MAX_LAG_S:
                await asyncio.sleep(0)  # behind schedule: let responses be read


async def _main(path: str) -> None:
    await LoadGenerator(read_specification(path)).run()


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1]))
