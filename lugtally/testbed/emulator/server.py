"""Emulated servers on sockets.

They use asyncio with uvloop, and httptools to parse HTTP, so that a fault of the daemon's event loop or parser is not
repeated here.  An :class:`EmulatedServer` applies :mod:`lugtally.testbed.emulator.server_model` and the active faults
to each request.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

import msgspec

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.attempt_draws import draw_attempt, draw_response
from lugtally.testbed.emulator.faults import EndpointFaults
from lugtally.testbed.emulator.fleet_context import FleetContext
from lugtally.testbed.emulator.listeners import ServerListeners
from lugtally.testbed.emulator.request import LOAD_REPORT_PATH, EmulatedRequest
from lugtally.testbed.emulator.response_body import build_body
from lugtally.testbed.emulator.server_connection import ServerConnection
from lugtally.testbed.emulator.server_model import Admission, Job, ServerModel
from lugtally.testbed.scenario.schedule import Machine
from lugtally.testbed.verification.records import (
    ColdServerOverloaded,
    HealthCheck,
    LoadSample,
    ServerOutcome,
    UnknownRequest,
)


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
        self._connections: set[ServerConnection] = set()
        self._connections_made = 0
        self._accepting: set[asyncio.Task[object]] = set()
        self._requests: dict[Job, EmulatedRequest] = {}
        self._attempts_seen: dict[str, int] = {}  # by request id
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
        for request in list(self._requests.values()):
            self._record(request, ServerOutcome.DISCONNECTED)
        self._requests.clear()
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
        connection.is_counted = self.model.connect()
        self._schedule_tick()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Unregister a connection and stop work on its request."""
        self._connections.discard(connection)
        if connection.is_counted:
            self.model.disconnect()
        self.advance()
        request = connection.request
        if request is not None and request.job is not None:
            self.model.cancel(self.model.now, request.job)
            self._requests.pop(request.job, None)
            self._record(request, ServerOutcome.DISCONNECTED)
        connection.request = None
        self._schedule_tick()

    def request_received(self, request: EmulatedRequest) -> None:
        """Offer a complete request to the model.  Health checks, unknown requests and resets are handled at once."""
        now = self.advance()
        if request.is_health_check:
            self._answer_health_check(request, now)
            return
        attempt = request.attempt
        attempt.last_byte_at = now
        work = self.context.work_of(attempt.request_id)
        if work is None or not request.is_valid:
            self._reject_unknown(request, now)
            return
        if self._draw_reset(request, work):
            self._record(request, ServerOutcome.RESET)
            request.connection.reset()
            return
        self._offer(request, now)
        self._schedule_tick()

    def advance(self) -> float:
        """Advance the model to the present and answer the finished requests; return the present time."""
        now = self.context.clock()
        if not self.running:
            return now
        for job in self.model.advance(now):
            request = self._requests.pop(job, None)
            if request is None:
                continue
            request.job = None
            if job.expired:
                self._reject(request)
            else:
                self._complete(request, job)
        return now

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

    def _answer_health_check(self, request: EmulatedRequest, now: float) -> None:
        if self.model.silent:
            return
        self.model.health_check(self.context.health_check_work)
        self.context.record(HealthCheck(now, self.name, request.connection.sidecar))
        body = self._load_report() if request.path == LOAD_REPORT_PATH else b"ok"
        request.connection.respond(200, body)
        self._schedule_tick()

    def _load_report(self) -> bytes:
        return msgspec.json.encode({"inflight": len(self.model.in_service), "queue": len(self.model.queue), "qps": 0})

    def _reject_unknown(self, request: EmulatedRequest, now: float) -> None:
        request_id, sidecar = request.attempt.request_id, request.connection.sidecar
        description = f"{request.method} {request.path} {request_id!r}"
        self.context.record(UnknownRequest(now, self.name, sidecar, description))
        request.connection.respond(400 if request_id else 404, b"")

    def _draw_reset(self, request: EmulatedRequest, work: float) -> bool:
        """Draw the work and the resets of an attempt; return whether its connection is reset before any work."""
        request_id = request.attempt.request_id
        number = self._attempts_seen.get(request_id, 0)
        self._attempts_seen[request_id] = number + 1
        draw = draw_attempt(self.context.seed, self.name, request_id, number, self.context.attempt_noise, self.faults)
        request.attempt.work = work * draw.work_factor
        request.resets_at_end = draw.resets_at_end
        return draw.resets_before_work

    def _offer(self, request: EmulatedRequest, now: float) -> None:
        """Offer a request to the model.  Reject it if the model does not admit it."""
        connection, attempt = request.connection, request.attempt
        job = Job(attempt.request_id, attempt.work, now + request.time_left_s, connection.sidecar)
        admission = self.model.offer(now, job) if connection.is_counted else Admission.FULL
        if self.model.collapsed and self.model.collapsed_at == now:
            self._record_collapse(now)
        if admission is Admission.ADMITTED:
            request.job = job
            self._requests[job] = request
        else:
            self._reject(request)

    def _reject(self, request: EmulatedRequest) -> None:
        self._record(request, ServerOutcome.REJECTED)
        request.connection.respond(503, b"", unprocessed=True)

    def _complete(self, request: EmulatedRequest, job: Job) -> None:
        """Answer a request whose work is done, as the faults in force allow."""
        attempt, connection = request.attempt, request.connection
        attempt.started_at, attempt.work_done = job.started_at, job.work
        attempt.had_effect = self.context.idempotency.is_first(
            request.class_name, attempt.idempotency_key, self.zone, attempt.last_byte_at
        )
        attempt.deduplicated = not attempt.had_effect
        if request.resets_at_end:
            self._record(request, ServerOutcome.RESET)
            connection.reset()
            return
        draw = draw_response(
            self.context.seed,
            self.name,
            attempt.request_id,
            attempt.last_byte_at,
            self.context.error_rate,
            self.faults,
        )
        self._record(request, draw.outcome)
        if draw.outcome is ServerOutcome.ERRORED:
            connection.respond(500, b"error")
        elif draw.outcome is ServerOutcome.MALFORMED:
            connection.respond_malformed(draw.malformed)
        else:
            body = build_body(self.context.seed, attempt.request_id, self.name)
            connection.respond(200, body, slow_s=self.faults.slow_response_s)

    def _record(self, request: EmulatedRequest, outcome: ServerOutcome) -> None:
        """Record the outcome of an attempt, once."""
        if request.is_recorded:
            return
        request.is_recorded = True
        attempt = request.attempt
        attempt.outcome, attempt.ended_at = outcome, self.context.clock()
        if request.job is not None:
            attempt.started_at = request.job.started_at
            attempt.work_done = request.job.work - request.job.remaining
        self.context.record(attempt)

    def _record_collapse(self, now: float) -> None:
        """Record that the server collapsed as it warmed up, and all its requests as disconnected."""
        work_by_sidecar = {str(sidecar): work for sidecar, work in self.model.collapse_work_by_sidecar.items()}
        self.context.record(ColdServerOverloaded(now, self.name, self.model.started_at, work_by_sidecar))
        for request in list(self._requests.values()):
            request.job = None
            self._record(request, ServerOutcome.DISCONNECTED)
        self._requests.clear()

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
