"""The process that runs the emulated fleet.

Its argument is the path of a specification.  It prints ``ready`` when the fleet has started, then reads commands from
standard input: ``go SECONDS`` schedules the faults of a run that begins at that time, ``stop`` ends the process, as the
end of standard input does.  Times are seconds of the monotonic clock since the base time in the specification.
"""

from __future__ import annotations

import asyncio
import sys

import uvloop

from lugtally.testbed.emulator.fault_injector import FaultInjector
from lugtally.testbed.emulator.fleet import EmulatedFleet
from lugtally.testbed.scenario.specification import read_specification

SAMPLE_INTERVAL_S = 0.25


async def run_fleet(fleet: EmulatedFleet) -> None:
    """Run the fleet until the command ``stop`` or the end of standard input."""
    await fleet.start()
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    print("ready", flush=True)
    sampling = loop.create_task(_sample_periodically(fleet))
    await _execute_commands(commands, FaultInjector(fleet))
    sampling.cancel()
    fleet.stop()


async def _execute_commands(commands: asyncio.StreamReader, injector: FaultInjector) -> None:
    while command := (await commands.readline()).decode().split():
        if command[0] == "go":
            injector.schedule_events(float(command[1]))
        elif command[0] == "stop":
            return


async def _sample_periodically(fleet: EmulatedFleet) -> None:
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        fleet.sample_load()


async def _main(path: str) -> None:
    await run_fleet(EmulatedFleet(read_specification(path)))


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1]))
