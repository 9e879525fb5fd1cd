"""Emulated servers on sockets.

They use asyncio with uvloop, and httptools to parse HTTP, so that they do not share faults with the event loop or the
parser of the daemon.

An :class:`EmulatedServer` applies :mod:`lugtally.testbed.emulator.server_model` and the active faults to each request
through a :class:`~lugtally.testbed.emulator.request_processor.RequestProcessor`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.faults import EndpointFaults
from lugtally.testbed.emulator.fleet_context import FleetContext
from lugtally.testbed.emulator.listeners import ServerListeners
from lugtally.testbed.emulator.request import EmulatedRequest
from lugtally.testbed.emulator.request_processor import RequestProcessor
from lugtally.testbed.emulator.server_connection import ServerConnection
from lugtally.testbed.emulator.server_model import ServerModel
from lugtally.testbed.scenario.schedule import Machine
from lugtally.testbed.verification.records import LoadSample


class EmulatedServer:
    """A server process on a machine, with its model, listeners, connections and faults."""

    def __init__(self, context: FleetContext, machine: Machine, server_index: int) -> None:
        self.context = context
        self.name = machine.name
        self.zone = machine.zone
        self.server_index = server_index
        self.faults = EndpointFaults()
        self.running = False
        self.model = ServerModel(machine.traits, context.clock())
        self._traits = machine.traits
        self._processor = RequestProcessor(context, machine.name, machine.zone, self.faults)
        self._connections: set[ServerConnection] = set()
        self._connections_made = 0
        self._accept_tasks: set[asyncio.Task[object]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = inf
        hosts = [
            loopback.server_host(context.loopback_block, server_index, sidecar)
            for sidecar in range(len(context.sidecar_zones))
        ]
        self._listeners = ServerListeners(hosts, self._accept)

    def start(self, *, cold: bool) -> None:
        """Start the process.  If it is ``cold``, it has to warm up."""
        self.model = ServerModel(self._traits, self.context.clock(), cold=cold)
        self.running = True
        self._listeners.open()

    def stop(self) -> None:
        """End the process: reset its connections and refuse new ones."""
        self.running = False
        self._listeners.close()
        for connection in list(self._connections):
            connection.reset()
        self._processor.disconnect_all()
        self._set_timer(inf)

    def refuse_connections(self) -> None:
        """Refuse new connections while the process keeps running."""
        self._listeners.close()

    def accept_connections(self) -> None:
        """Accept new connections again."""
        self._listeners.open()

    def block_connections(self) -> None:
        """Drop the handshakes of new connections, so that connecting times out."""
        self._listeners.block()

    def unblock_connections(self) -> None:
        """Complete the handshakes of new connections again."""
        if self.running:
            self._listeners.unblock()

    def disconnect_network(self) -> None:
        """Disconnect the network: open connections deliver no bytes, and new ones time out."""
        self.faults.is_unreachable = True
        self.block_connections()

    def reconnect_network(self) -> None:
        """Restore the network and reset the connections that were open."""
        self.faults.is_unreachable = False
        for connection in list(self._connections):
            connection.reset()
        self.unblock_connections()

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a connection, and enter it in the connection table of the model unless that is full."""
        self._connections.add(connection)
        self.advance()
        connection.has_table_entry = self.model.connect()
        self._reschedule_timer()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Unregister a connection and stop work on its request."""
        self._connections.discard(connection)
        if connection.has_table_entry:
            self.model.disconnect()
        self.advance()
        if connection.request is not None:
            self._processor.cancel(connection.request, self.model)
            connection.request = None
        self._reschedule_timer()

    def request_received(self, request: EmulatedRequest) -> None:
        """Process a complete request."""
        now_s = self.advance()
        if self._processor.process(request, self.model, now_s):
            self._reschedule_timer()

    def advance(self) -> float:
        """Advance the model to the present and respond to the requests that have ended; return the present time."""
        now_s = self.context.clock()
        if not self.running:
            return now_s
        for job in self.model.advance(now_s):
            self._processor.finish(job)
        return now_s

    def update_model(self) -> None:
        """Advance the model to the present and reschedule its timer."""
        self.advance()
        self._reschedule_timer()

    @contextmanager
    def change_model(self) -> Iterator[ServerModel]:
        """Advance the model to the present and yield it, to be changed; afterwards reschedule its timer."""
        self.advance()
        yield self.model
        self.update_model()

    def record_load(self) -> None:
        """Record the present load."""
        model = self.model
        self.context.record(
            LoadSample(self.context.clock(), self.name, model.in_flight, model.connections, self._connections_made)
        )

    def _accept(self, accepted: socket.socket, sidecar: int) -> None:
        self._connections_made += 1
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: ServerConnection(self, sidecar), accepted))
        self._accept_tasks.add(task)  # the event loop has only weak references to tasks
        task.add_done_callback(self._accept_tasks.discard)

    def _reschedule_timer(self) -> None:
        self._set_timer(self.model.next_due() if self.running else inf)

    def _set_timer(self, due: float) -> None:
        """Set the model's timer, or cancel it if ``due`` is infinite."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due_at = due
        if due < inf:
            delay = max(0.0, due - self.context.clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.context.timer_lag.add(self.context.clock() - self._timer_due_at)
        self.advance()
        self._reschedule_timer()
