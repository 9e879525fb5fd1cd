"""Emulated servers on sockets.

They use asyncio with uvloop, and httptools to parse HTTP, so that a fault of the daemon's event loop or parser is not
repeated here.  An :class:`EmulatedServer` applies :mod:`lugtally.testbed.emulator.server_model` and the active faults
to each request through a :class:`~lugtally.testbed.emulator.request_processor.RequestProcessor`.
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
    """A server: its model, listeners, connections and faults."""

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
        self._accepting: set[asyncio.Task[object]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = inf
        hosts = [
            loopback.server_host(context.loopback_block, server_index, sidecar)
            for sidecar in range(len(context.sidecar_zones))
        ]
        self._listeners = ServerListeners(hosts, self._accept)

    def start(self, *, cold: bool) -> None:
        """Start the process.  A cold one warms up."""
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
        """Refuse new connections while the process runs on."""
        self._listeners.close()

    def accept_connections(self) -> None:
        """Accept new connections again."""
        self._listeners.open()

    def block_connections(self) -> None:
        """Drop the handshakes of new connections, so that they time out."""
        self._listeners.block()

    def unblock_connections(self) -> None:
        """Complete the handshakes of new connections again."""
        if self.running:
            self._listeners.unblock()

    def disconnect_network(self) -> None:
        """Disconnect the network: open connections carry no bytes, new ones time out."""
        self.faults.is_unreachable = True
        self.block_connections()

    def reconnect_network(self) -> None:
        """Restore the network and reset the connections that were open."""
        self.faults.is_unreachable = False
        for connection in list(self._connections):
            connection.reset()
        self.unblock_connections()

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a connection, and count it unless the model's connection table is full."""
        self._connections.add(connection)
        self.advance()
        connection.has_table_entry = self.model.connect()
        self._schedule_tick()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Unregister a connection and stop work on its request."""
        self._connections.discard(connection)
        if connection.has_table_entry:
            self.model.disconnect()
        self.advance()
        if connection.request is not None:
            self._processor.cancel(connection.request, self.model)
            connection.request = None
        self._schedule_tick()

    def request_received(self, request: EmulatedRequest) -> None:
        """Process a complete request."""
        now_s = self.advance()
        if self._processor.process(request, self.model, now_s):
            self._schedule_tick()

    def advance(self) -> float:
        """Advance the model to the present and answer the finished requests; return the present time."""
        now_s = self.context.clock()
        if not self.running:
            return now_s
        for job in self.model.advance(now_s):
            self._processor.finish(job)
        return now_s

    def update_model(self) -> None:
        """Advance the model to the present and reschedule its timer."""
        self.advance()
        self._schedule_tick()

    @contextmanager
    def change_model(self) -> Iterator[ServerModel]:
        """Yield the model, advanced to the present, for a change.  Reschedule its timer afterwards."""
        self.advance()
        yield self.model
        self.update_model()

    def record_load(self) -> None:
        """Record a sample of the load."""
        model = self.model
        self.context.record(
            LoadSample(self.context.clock(), self.name, model.in_flight, model.connections, self._connections_made)
        )

    def _accept(self, accepted: socket.socket, sidecar: int) -> None:
        self._connections_made += 1
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: ServerConnection(self, sidecar), accepted))
        self._accepting.add(task)  # the event loop has only weak references to tasks
        task.add_done_callback(self._accepting.discard)

    def _schedule_tick(self) -> None:
        self._set_timer(self.model.next_due() if self.running else inf)

    def _set_timer(self, due: float) -> None:
        """Set the model's timer, or cancel it if ``due`` is infinite."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due = due
        if due < inf:
            delay = max(0.0, due - self.context.clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.context.timer_lag.add(self.context.clock() - self._timer_due)
        self.advance()
        self._schedule_tick()
