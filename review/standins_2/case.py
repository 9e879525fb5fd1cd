"""Runs one case of the review: its record, its temporary folder, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins_2.discovery import Discovery
from standins_2.platform import SidecarName, reserve_listener_descriptor
from standins_2.pledge_server import PledgeServer
from standins_2.record import Record

TIME_LIMIT_S = 110.0
"""A case that has not ended after this time could not run; the limit of the review is 120 s."""
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


@dataclass(slots=True)
class CaseContext:
    """What a case works with.

    Attributes:
        has_trouble: Whether the disruption is played; false with ``TROUBLE=0``.
        violations: One line for each time that the rule was broken.
    """

    record: Record
    folder: Path
    has_trouble: bool
    violations: list[str] = field(default_factory=list)
    servers: list[PledgeServer] = field(default_factory=list)
    discovery: Discovery | None = None
    sidecars: list[SidecarName] = field(default_factory=list)

    def add_violation(self, text: str) -> None:
        """Record that the rule was broken."""
        self.record.write(f"BROKEN  {text}")
        self.violations.append(text)

    async def start_servers(self, servers: list[PledgeServer]) -> None:
        """Start the pledge servers and discovery, which lists them."""
        self.servers = servers
        for server in servers:
            await server.start()
        self.discovery = Discovery(servers, self.record)
        await self.discovery.start()

    def new_sidecar(self, **limits: float) -> SidecarName:
        """Return a sidecar name of this deployment; its processes are ended with the case."""
        assert self.discovery is not None
        sidecar = SidecarName(self.folder, self.discovery.address, self.discovery.whole_list(), **limits)
        self.sidecars.append(sidecar)
        return sidecar

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for sidecar in self.sidecars:
            sidecar.end_all()
        if self.discovery is not None:
            await self.discovery.stop()
        for server in self.servers:
            await server.stop()


def run_case(case_folder: Path, play: Callable[[CaseContext], Awaitable[None]]) -> int:
    """Play a case and return its exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    reserve_listener_descriptor()
    record = Record(case_folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE") != "0"
    record.write(f"start   trouble={'yes' if has_trouble else 'no'}")
    with tempfile.TemporaryDirectory() as folder:
        context = CaseContext(record, Path(folder), has_trouble)
        status = asyncio.run(_run(context, play))
        for path in sorted(Path(folder).glob("log-*.txt")):
            record.write(f"log     {path.name}, its last lines:")
            for line in path.read_text(errors="replace").splitlines()[-20:]:
                record.write(f"log     {line}")
    record.write(f"end     exit status {status}, rule broken {len(context.violations)} times")
    record.close()
    print(f"exit status {status}: " + (context.violations[0] if context.violations else "the rule was not broken"))
    return status


async def _run(context: CaseContext, play: Callable[[CaseContext], Awaitable[None]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await play(context)
    except (Exception, asyncio.CancelledError):
        context.record.write(traceback.format_exc().replace("\n", "\n          "))
        traceback.print_exc(file=sys.stderr)
        return EXIT_NOT_RUN
    finally:
        await context.stop()
    return EXIT_BROKEN if context.violations else EXIT_HELD
