"""The drains of processes that share a folder, without their sockets."""

from __future__ import annotations

from pathlib import Path
from typing import cast

from lugtally import balancing
from lugtally.admin.drain_store import DrainStore
from lugtally.config.endpoint_list import ListedState, endpoint_id_of
from lugtally.daemon.operator_drains import OperatorDrains
from lugtally.dispatch import Dispatcher, ListedEndpoint
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop

ENDPOINTS = ("s-1", "s-2", "s-3")


class Process:
    """The drains of one process, which shares a folder with other processes of its name."""

    def __init__(self, folder: Path, endpoints: tuple[str, ...] = ENDPOINTS) -> None:
        loop = EventLoop()
        dispatcher = Dispatcher(balancing.Settings(), 1, loop)
        listed = [ListedEndpoint(endpoint_id_of(name), 0, 0, ListedState.READY, 0) for name in endpoints]
        dispatcher.update_endpoints(balancing.EndpointUpdateKind.FULL, listed)
        self.store = DrainStore(str(folder), "n1")
        self.drains = OperatorDrains(loop, dispatcher, cast(DownstreamServer, None), self.store)
        self.drains.reload()

    def drained(self) -> set[str]:
        """Return the drained endpoints, after a regular read of the folder."""
        self.drains.reload()
        return set(self.drains._drained)
