"""A small deployment: one sidecar with its clients, ten pledge servers in two data centres, and discovery."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.client import UsualClients
from standins.discovery import Discovery
from standins.pledge_server import PledgeServer
from standins.record import Record
from standins.settings import settings
from standins.sidecar_process import CannotRunError, Sidecar, free_address

SERVERS = 10
ZONES = ("dc-angyalfold", "dc-csepel")
MakeServer = Callable[[Record, str, str], PledgeServer]
Play = Callable[[Record, bool], Awaitable[bool]]
MAX_RUN_S = 110


class Deployment:
    """All parties of a run."""

    def __init__(
        self, record: Record, make_server: MakeServer = PledgeServer, *, memory_mb: int = 192, sockets: int = 1024
    ) -> None:
        self.record = record
        self.sockets = sockets
        self.memory_mb = memory_mb
        self.discovery = Discovery(record)
        self.servers = [make_server(record, f"s-{number:08x}", ZONES[number % 2]) for number in range(SERVERS)]
        self.sidecar: Sidecar | None = None

    async def start(self) -> Sidecar:
        """Start all parties but the clients."""
        for server in self.servers:
            await server.start()
            self.discovery.put(server.entry())
        await self.discovery.start()
        self.sidecar = Sidecar(self.record, self._config())
        await self.sidecar.start()
        return self.sidecar

    def usual_clients(self, rate: float) -> UsualClients:
        """Return usual clients of the sidecar."""
        if self.sidecar is None:
            raise CannotRunError("there is no sidecar")
        return UsualClients(self.record, self.sidecar.address, rate, random.Random(1))

    async def end(self) -> None:
        """End all parties."""
        if self.sidecar is not None:
            await self.sidecar.end()
        self.discovery.close()
        for server in self.servers:
            server.close()

    def _config(self) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": free_address(),
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.discovery.whole(),
            "settings": settings(),
        }


def run_case(folder: Path, play: Play) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    ``play`` gets the record and whether to cause the disruption; it returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(_play(play, record, trouble))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
        status = 2
    else:
        record.say("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    record.close()
    sys.exit(status)


async def _play(play: Play, record: Record, trouble: bool) -> bool:
    """Play a case within its time; SIGTERM ends it, and with it all that it started."""
    task = asyncio.ensure_future(play(record, trouble))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, MAX_RUN_S)
