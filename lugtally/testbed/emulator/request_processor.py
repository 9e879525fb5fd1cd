"""Processing of the requests of an emulated server: admission by its model, response and record."""

from __future__ import annotations

import msgspec

from lugtally.testbed.emulator.attempt_draws import draw_attempt, draw_response
from lugtally.testbed.emulator.faults import EndpointFaults
from lugtally.testbed.emulator.fleet_context import FleetContext
from lugtally.testbed.emulator.request import LOAD_REPORT_PATH, EmulatedRequest
from lugtally.testbed.emulator.response_body import build_body
from lugtally.testbed.emulator.server_model import Admission, Job, ServerModel
from lugtally.testbed.verification.records import ColdServerOverloaded, HealthCheck, ServerOutcome, UnknownRequest


class RequestProcessor:
    """Processes the requests of one server.  The caller advances the model to the present before each call."""

    def __init__(self, context: FleetContext, server: str, zone: str, faults: EndpointFaults) -> None:
        self._context = context
        self._server = server
        self._zone = zone
        self._faults = faults
        self._in_progress: dict[Job, EmulatedRequest] = {}
        self._attempts_seen: dict[str, int] = {}  # by request id

    def process(self, request: EmulatedRequest, model: ServerModel, now_s: float) -> bool:
        """Submit a complete request to the model, or respond immediately.  Return whether the model changed."""
        if request.is_health_check:
            return self._answer_health_check(request, model, now_s)
        request.attempt.last_byte_at = now_s
        work = self._context.work_of(request.attempt.request_id)
        if work is None or not request.is_valid:
            self._reject_unknown(request, now_s)
            return False
        if self._draw_attempt(request, work):
            self._record(request, ServerOutcome.RESET)
            request.connection.reset()
            return False
        self._offer(request, model, now_s)
        return True

    def finish(self, job: Job) -> None:
        """Respond to the request whose job has ended in the model."""
        request = self._in_progress.pop(job, None)
        if request is None:
            return
        request.job = None
        if job.expired:
            self._reject(request)
        else:
            self._complete(request, job)

    def cancel(self, request: EmulatedRequest, model: ServerModel) -> None:
        """Stop work on a request whose connection has closed.  Does nothing if its job has ended."""
        if request.job is None:
            return
        model.cancel(model.now, request.job)
        self._in_progress.pop(request.job, None)
        self._record(request, ServerOutcome.DISCONNECTED)

    def disconnect_all(self) -> None:
        """Record all requests in progress as disconnected."""
        for request in self._in_progress.values():
            self._record(request, ServerOutcome.DISCONNECTED)
        self._in_progress.clear()

    def _answer_health_check(self, request: EmulatedRequest, model: ServerModel, now_s: float) -> bool:
        if model.silent:
            return False
        model.health_check(self._context.health_check_work)
        self._context.record(HealthCheck(now_s, self._server, request.connection.sidecar))
        body = _load_report(model) if request.path == LOAD_REPORT_PATH else b"ok"
        request.connection.respond(200, body)
        return True

    def _reject_unknown(self, request: EmulatedRequest, now_s: float) -> None:
        request_id, sidecar = request.attempt.request_id, request.connection.sidecar
        description = f"{request.method} {request.path} {request_id!r}"
        self._context.record(UnknownRequest(now_s, self._server, sidecar, description))
        request.connection.respond(400 if request_id else 404, b"")

    def _draw_attempt(self, request: EmulatedRequest, work: float) -> bool:
        """Set the drawn work and resets of an attempt; return whether its connection is reset before any work."""
        request_id = request.attempt.request_id
        attempt_number = self._attempts_seen.get(request_id, 0)
        self._attempts_seen[request_id] = attempt_number + 1
        draw = draw_attempt(
            self._context.seed, self._server, request_id, attempt_number, self._context.attempt_noise, self._faults
        )
        request.attempt.work = work * draw.work_factor
        request.resets_instead_of_response = draw.resets_instead_of_response
        return draw.resets_before_work

    def _offer(self, request: EmulatedRequest, model: ServerModel, now_s: float) -> None:
        """Submit a request to the model.  Reject it if the model does not admit it."""
        connection, attempt = request.connection, request.attempt
        job = Job(attempt.request_id, attempt.work, now_s + request.time_left_s, connection.sidecar)
        admission = model.offer(now_s, job) if connection.has_table_entry else Admission.FULL
        if model.collapsed and model.collapsed_at == now_s:
            self._record_collapse(model)
        if admission is Admission.ADMITTED:
            request.job = job
            self._in_progress[job] = request
        else:
            self._reject(request)

    def _reject(self, request: EmulatedRequest) -> None:
        self._record(request, ServerOutcome.REJECTED)
        request.connection.respond(503, b"", unprocessed=True)

    def _complete(self, request: EmulatedRequest, job: Job) -> None:
        """Respond to a request whose work is done, or reset its connection if a reset was drawn."""
        attempt = request.attempt
        attempt.started_at, attempt.work_done = job.started_at, job.work
        attempt.had_effect = self._context.idempotency.record_execution(
            request.class_name, attempt.idempotency_key, self._zone, attempt.last_byte_at
        )
        attempt.deduplicated = not attempt.had_effect
        if request.resets_instead_of_response:
            self._record(request, ServerOutcome.RESET)
            request.connection.reset()
        else:
            self._respond(request)

    def _respond(self, request: EmulatedRequest) -> None:
        """Draw the response from the active faults and write it."""
        context, attempt, connection = self._context, request.attempt, request.connection
        draw = draw_response(
            context.seed, self._server, attempt.request_id, attempt.last_byte_at, context.error_rate, self._faults
        )
        self._record(request, draw.outcome)
        if draw.outcome is ServerOutcome.ERRORED:
            connection.respond(500, b"error")
        elif draw.outcome is ServerOutcome.MALFORMED:
            connection.respond_malformed(draw.malformed)
        else:
            body = build_body(context.seed, attempt.request_id, self._server)
            connection.respond(200, body, write_duration_s=self._faults.slow_response_s)

    def _record(self, request: EmulatedRequest, outcome: ServerOutcome) -> None:
        """Record the outcome of an attempt, unless it has been recorded."""
        if request.is_recorded:
            return
        request.is_recorded = True
        attempt = request.attempt
        attempt.outcome, attempt.ended_at = outcome, self._context.clock()
        if request.job is not None:
            attempt.started_at = request.job.started_at
            attempt.work_done = request.job.work - request.job.remaining
        self._context.record(attempt)

    def _record_collapse(self, model: ServerModel) -> None:
        """Record that the server collapsed during its warm-up, and all its requests as disconnected."""
        work_by_sidecar = {str(sidecar): work for sidecar, work in model.collapse_work_by_sidecar.items()}
        self._context.record(ColdServerOverloaded(model.collapsed_at, self._server, model.started_at, work_by_sidecar))
        for request in self._in_progress.values():
            request.job = None
        self.disconnect_all()


def _load_report(model: ServerModel) -> bytes:
    return msgspec.json.encode({"inflight": len(model.in_service), "queue": len(model.queue), "qps": 0})
