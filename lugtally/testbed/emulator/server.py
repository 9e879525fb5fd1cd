"""Emulated servers on sockets.

asyncio with uvloop serves them, and httptools reads HTTP: neither the daemon's event loop nor its parser, so that a
fault of those cannot hide by being on both sides.  How a server behaves is decided by
:mod:`lugtally.testbed.emulator.server_model` and by the faults in force; here requests meet both.
"""

from __future__ import annotations

import asyncio
import socket
from math import inf

import msgspec

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.faults import MALFORMED_RESPONSES, EndpointFaults
from lugtally.testbed.emulator.fleet_context import FleetContext
from lugtally.testbed.emulator.listeners import ServerListeners
from lugtally.testbed.emulator.request import LOAD_REPORT_PATH, EmulatedRequest
from lugtally.testbed.emulator.response_body import build_body
from lugtally.testbed.emulator.server_connection import ServerConnection
from lugtally.testbed.emulator.server_model import Admission, Job, ServerModel
from lugtally.testbed.scenario.random_streams import unit
from lugtally.testbed.scenario.schedule import Machine
from lugtally.testbed.verification.records import (
    ColdServerOverloaded,
    HealthCheck,
    LoadSample,
    ServerOutcome,
    UnknownRequest,
)

NOISE_WIDTH = 1.7  # of an even distribution around 1, in its standard deviations


class EmulatedServer:
    """A server: a model, the listeners and connections in front of it, and its faults."""

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
        """Start the process: it listens, and warms up if it is cold."""
        self.model = ServerModel(self._traits, self.context.clock(), cold=cold)
        self.running = True
        self._listeners.open()

    def stop(self) -> None:
        """End the process: its connections are reset, and new ones are refused."""
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
        """Let no new connection come up."""
        self._listeners.block()

    def unblock_connections(self) -> None:
        """Let new connections come up again."""
        if self.running:
            self._listeners.unblock()

    def disconnect_network(self) -> None:
        """Cut the network: open connections fall silent, new ones never come up."""
        self.faults.is_unreachable = True
        self.block_connections()

    def reconnect_network(self) -> None:
        """Restore the network.  Connections that were open are dead: the peer learns so by a reset."""
        self.faults.is_unreachable = False
        for connection in list(self._connections):
            connection.reset()
        self.unblock_connections()

    def one_way_s(self, sidecar: int) -> float:
        """Seconds from this server to a sidecar."""
        network = self.context.network
        return network.same_zone_s if self.context.sidecar_zones[sidecar] == self.zone else network.cross_zone_s

    def connection_opened(self, connection: ServerConnection) -> None:
        """Take a connection into the table."""
        self._connections.add(connection)
        self.advance()
        connection.is_counted = self.model.connect()
        self._schedule_tick()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Take a connection out of the table and stop work on its request."""
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
        """Offer a complete request to the model, or answer what is none of its work."""
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
        if self._draw_attempt(request, work):
            self._record(request, ServerOutcome.RESET)
            request.connection.reset()
            return
        self._offer(request, now)
        self._schedule_tick()

    def advance(self) -> float:
        """Bring the model to the present and answer what has ended; return the present time."""
        now = self.context.clock()
        if not self.running:
            return now
        for job in self.model.advance(now):
            request = self._requests.pop(job, None)
            if request is not None:
                request.job = None
                if job.expired:
                    self._reject(request)
                else:
                    self._complete(request, job)
        return now

    def model_changed(self) -> None:
        """Take over a change that was made to the model from outside: its next due time is another."""
        self.advance()
        self._schedule_tick()

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
        self._accepting.add(task)  # the loop itself holds tasks weakly
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

    def _draw_attempt(self, request: EmulatedRequest, work: float) -> bool:
        """Draw what is left to chance; return whether the connection is reset before any work.

        The draws belong to this server, request and attempt alone, whatever came in between.
        """
        seed, request_id = self.context.seed, request.attempt.request_id
        turn = self._attempts_seen[request_id] = self._attempts_seen.get(request_id, -1) + 1
        noise = unit(seed, "noise", self.name, request_id, turn)
        request.attempt.work = work * (1 + self.context.attempt_noise * (2 * noise - 1) * NOISE_WIDTH)
        # Half of the resets come before any work, the other half in place of the response.
        reset = unit(seed, "reset", self.name, request_id, turn)
        request.resets_at_end = reset > 1 - self.faults.reset_share / 2
        return reset < self.faults.reset_share / 2

    def _offer(self, request: EmulatedRequest, now: float) -> None:
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
        """Answer a request whose work is done, unless a fault strikes."""
        context, attempt, connection = self.context, request.attempt, request.connection
        attempt.started_at, attempt.work_done = job.started_at, job.work
        attempt.had_effect = context.idempotency.is_first(
            request.class_name, attempt.idempotency_key, self.zone, attempt.last_byte_at
        )
        attempt.deduplicated = not attempt.had_effect
        draw = unit(context.seed, "end", self.name, attempt.request_id, attempt.last_byte_at)
        if request.resets_at_end:
            self._record(request, ServerOutcome.RESET)
            connection.reset()
        elif draw < context.error_rate + self.faults.error_share:
            self._record(request, ServerOutcome.ERRORED)
            connection.respond(500, b"error")
        elif draw > 1 - self.faults.malformed_share:
            self._record(request, ServerOutcome.MALFORMED)
            connection.respond_malformed(MALFORMED_RESPONSES[int(draw * 1e9) % len(MALFORMED_RESPONSES)])
        else:
            self._record(request, ServerOutcome.SERVED)
            body = build_body(context.seed, attempt.request_id, self.name)
            connection.respond(200, body, slow_s=self.faults.slow_response_s)

    def _record(self, request: EmulatedRequest, outcome: ServerOutcome) -> None:
        """Write the one record of an attempt."""
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
        work_by_sidecar = {str(sidecar): work for sidecar, work in self.model.collapse_work_by_sidecar.items()}
        self.context.record(ColdServerOverloaded(now, self.name, self.model.started_at, work_by_sidecar))
        for request in list(self._requests.values()):
            request.job = None
            self._record(request, ServerOutcome.DISCONNECTED)
        self._requests.clear()

    def _schedule_tick(self) -> None:
        self._set_timer(self.model.next_due() if self.running else inf)

    def _set_timer(self, due: float) -> None:
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
