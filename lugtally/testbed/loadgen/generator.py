"""The load generator's process: an open loop of clients beside each sidecar.

Arrivals are drawn ahead and never wait for responses: a latency counts from the time at which its request was to be
sent, so a stall shows in full (no coordinated omission; G. Tene, "How not to measure latency", 2013).  A client's own
retries belong to its first attempt.  Each late sending is recorded: a run whose load generator was late is void.

It is started with the path of a specification, prints ``ready``, is sent ``go SECONDS`` on standard input and prints
``done``; it ends early with ``stop`` or the end of standard input.
"""

from __future__ import annotations

import asyncio
import gc
import sys

import uvloop

from lugtally.testbed.loadgen.client import Client
from lugtally.testbed.loadgen.load_run import LoadRun
from lugtally.testbed.scenario.schedule import Schedule, make_schedule
from lugtally.testbed.scenario.specification import ProcessSpecification, read_specification

TAIL_S = 0.3  # after the last response, for bytes that follow it
ON_TIME_S = 0.0005
BEHIND_S = 0.01
FLUSH_INTERVAL_S = 1.0
PENDING_POLL_S = 0.05


class LoadGenerator:
    """All clients of a run."""

    def __init__(self, specification: ProcessSpecification) -> None:
        self._schedule: Schedule = make_schedule(specification.scenario, specification.seed)
        self._run = LoadRun(specification)

    async def run(self) -> None:
        """Play all arrivals, then wait until the last client has stopped waiting."""
        loop = asyncio.get_running_loop()
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        # The schedule is large and lives to the end: collections then stay short.
        gc.collect()
        gc.freeze()
        print("ready", flush=True)
        command = (await commands.readline()).decode().split()
        if not command or command[0] != "go":
            return
        self._run.start = float(command[1])
        stopped = loop.create_task(commands.readline())  # ``stop``, or the end of the runner
        playing = loop.create_task(self._play())
        await asyncio.wait((stopped, playing), return_when=asyncio.FIRST_COMPLETED)
        playing.cancel()
        self._run.close()
        print("done", flush=True)

    async def _play(self) -> None:
        await self._send_arrivals()
        while self._run.pending:  # each has an end of its own: its client's deadline and the observation after it
            await asyncio.sleep(PENDING_POLL_S)
        await asyncio.sleep(TAIL_S)
        for pool in self._run.pools:
            pool.close()

    async def _send_arrivals(self) -> None:
        run, flushed_at = self._run, 0.0
        for serial, arrival in enumerate(self._schedule.arrivals):
            due = run.start + arrival.at
            while (wait := due - run.clock()) > ON_TIME_S:
                await asyncio.sleep(wait)
            run.timer_lag.add(run.clock() - due)
            Client(run, serial, arrival).start_attempt(due)
            if due > flushed_at + FLUSH_INTERVAL_S:
                flushed_at = due
                run.event_log.flush()
            elif wait < -BEHIND_S:
                await asyncio.sleep(0)  # behind: responses must be read all the same


async def _main(path: str) -> None:
    await LoadGenerator(read_specification(path)).run()


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1]))
