"""The dispatcher: the one caller of the balancer.

It turns what happens to requests, attempts and endpoints into the balancer's events, and its actions into decisions
that the tasks of the requests wait for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loguru import logger

from lugtally import balancing
from lugtally.balancing import Balancer
from lugtally.dispatch.attempt_outcome import ATTEMPT_RESULTS, FULLY_SENT, AttemptOutcome
from lugtally.dispatch.balancer_timers import BalancerTimers
from lugtally.dispatch.decision import Decision, Failed, Finished, Rejected, StartAttempt
from lugtally.dispatch.endpoint_registry import EndpointRegistry, ListedEndpoint
from lugtally.dispatch.metrics import RequestMetrics
from lugtally.dispatch.pending_request import PendingRequest, SentAttempt
from lugtally.dispatch.policy import BalancingPolicy, BalancingPolicyFactory
from lugtally.eventloop import EventLoop
from lugtally.overload.admission import AdmissionController
from lugtally.units import NS_PER_MS

DEADLINE_MARGIN_NS = 20 * NS_PER_MS
"""How long after its deadline a request without a decision is failed."""
USUAL_DURATION_WEIGHT = 0.1
"""The weight of a new duration in the moving average of a class."""


def _do_nothing(*_: object) -> None:
    """Stand in for a handler that has not been set."""


class Dispatcher:
    """All requests in progress of one sidecar."""

    def __init__(
        self,
        settings: balancing.Settings,
        seed: int,
        loop: EventLoop,
        policy_factory: BalancingPolicyFactory | None = None,
    ) -> None:
        self._loop = loop
        self._policy: BalancingPolicy = (policy_factory or Balancer)(settings, seed)
        self._pending: dict[str, PendingRequest] = {}
        self._last_id = 0
        self._timers = BalancerTimers()
        self._endpoints = EndpointRegistry()
        self._admission: AdmissionController | None = None
        self._usual_duration_ns: dict[int, float] = {}  # by class: moving average of served attempts
        self._close_idle_connections: Callable[[int], None] = _do_nothing
        self._watch_endpoints: Callable[[], None] = _do_nothing
        self._disconnected_count = 0
        self._shed_count = 0
        self.metrics = RequestMetrics(tuple(request_class.name for request_class in settings.classes))

    def set_handlers(self, close_idle_connections: Callable[[int], None], watch_endpoints: Callable[[], None]) -> None:
        """Name who closes the idle connections to an endpoint, and who watches the endpoint list."""
        self._close_idle_connections = close_idle_connections
        self._watch_endpoints = watch_endpoints

    def set_admission_controller(self, admission: AdmissionController) -> None:
        """Ask this controller before anything is done for a request."""
        self._admission = admission

    # ------------------------------------------------------------ requests

    def reject_if_overloaded(self, class_index: int, time_left_ns: int) -> Rejected | None:
        """Return the answer of a request that must not come in now, as this sidecar itself is overloaded.

        Called with nothing done for the request but its head read, so that nothing of it has been sent.
        """
        admission = self._admission
        if admission is None:
            return None
        reason = admission.check(
            self._loop.now(),
            class_index,
            time_left_ns,
            self._loop.scheduling_delay_ns(),
            self._usual_duration_ns.get(class_index, 0.0),
        )
        if reason is None:
            return None
        self._shed_count += 1
        self.metrics.record_rejection(class_index)
        return Rejected(admission.retry_after_ns())

    def next_decision(self, request: PendingRequest) -> Decision:
        """Block until the next decision on a request; the first call hands it to the balancer."""
        if not request.submitted:
            self._submit(request)
        while not request.decisions:
            if request.is_streaming:
                # Its response has begun: the stream's own end ends it, however long it takes.
                request.decision_ready.wait()
                continue
            limit_ns = request.deadline_ns + DEADLINE_MARGIN_NS
            request.decision_ready.wait(limit_ns)
            if not request.decisions and not request.is_streaming and self._loop.now() >= limit_ns:
                # Guards the one final answer against a fault: each attempt has timed out by now.
                logger.error("no decision by the deadline of a request", event="dispatch.deadline_exceeded")
                self._finish(request, Failed())
        return request.decisions.popleft()

    def claim_stream(self, request: PendingRequest, number: int) -> bool:
        """Return whether an attempt with the head of a long response may pass it on; the first to ask may.

        From then on the balancer sends nothing more for the request, and only the end of that attempt ends it: the
        others in flight are cancelled, as their responses could go nowhere.
        """
        if request.finished or request.is_streaming or number not in request.in_flight:
            return False
        request.streaming_attempt = number
        endpoint_id = request.attempts[number].endpoint_id
        self._handle_event(balancing.ResponseStarted(request.id, number, endpoint_id))
        for other in request.in_flight - {number}:
            request.cancel_attempt(other)
        return True

    def may_start(self, request: PendingRequest, number: int) -> bool:
        """Return whether an attempt's bytes may go out now: asked right before each part of them is written."""
        if not request.wants(number):
            return False
        may_start: Callable[[int, str, int], bool] | None = getattr(self._policy, "may_start", None)
        return may_start is None or may_start(self._loop.now(), request.id, number)

    def attempt_finished(
        self,
        request: PendingRequest,
        number: int,
        outcome: AttemptOutcome,
        load_report: tuple[float, ...] | None = None,
    ) -> bool:
        """Take the end of an attempt; every attempt that was started reports one.

        Returns whether its response is the request's answer.
        """
        request.in_flight.discard(number)
        attempt = request.attempts[number]
        bound = request.streaming_attempt == number
        served = outcome is AttemptOutcome.SERVED
        won = served and not request.finished and (not request.is_streaming or bound)
        duration_ns = self._loop.now() - attempt.started_ns
        if outcome in FULLY_SENT:
            self.metrics.record_dispatch()
        self._handle_event(
            balancing.AttemptFinished(
                request.id,
                number,
                attempt.endpoint_id,
                ATTEMPT_RESULTS[outcome],
                won or request.finished or bound,
                duration_ns,
                load_report,
            )
        )
        if won:
            self._note_duration(request.class_index, duration_ns)
            self.metrics.record_success(request.class_index)
            self._finish(request, Finished())
        elif bound:
            self._finish(request, Failed())  # half a response has gone out: the client's connection ends
        return won

    def client_disconnected(self, request: PendingRequest) -> None:
        """Take it that the client went away; nothing happens where the request is over."""
        if not request.finished:
            self._handle_event(balancing.ClientDisconnected(request.id))
            self._disconnected_count += 1
            self._finish(request, Finished())

    # ------------------------------------------------------------ endpoints

    def update_endpoints(self, kind: balancing.EndpointUpdateKind, endpoints: Iterable[ListedEndpoint] = ()) -> None:
        """Take an update of the endpoint list, or that none could be had (``FAILED``)."""
        self._handle_event(balancing.EndpointUpdate(kind, self._endpoints.update(kind, endpoints)))

    def was_listed(self, endpoint_id: int) -> bool:
        """Return whether the endpoint was listed at any time since the start."""
        return self._endpoints.was_listed(endpoint_id)

    def start_drain(self, endpoint_id: int) -> None:
        """Send the endpoint no new work from now on, until :meth:`end_drain`."""
        self._update_endpoint(self._endpoints.start_drain(endpoint_id))

    def end_drain(self, endpoint_id: int) -> None:
        """Let the endpoint come back as one that has just started: it warms up."""
        self._update_endpoint(self._endpoints.end_drain(endpoint_id, self._loop.now()))

    # ------------------------------------------------------------ figures

    @property
    def in_progress(self) -> int:
        """The number of requests that were taken and have not ended."""
        return len(self._pending)

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints in the list at hand."""
        return len(self._endpoints)

    def disabled_count(self) -> int:
        """Return how many listed endpoints get no new work now: drained by operators, or ejected."""
        ejected_count: Callable[[int], int] = getattr(self._policy, "ejected_count", lambda _: 0)
        return self._endpoints.drained_count() + ejected_count(self._loop.now())

    def request_counts(self) -> dict[str, int]:
        """Return the requests by how they ended so far, and those in progress, by the keys of the status socket."""
        metrics = self.metrics
        return {
            "in_progress": len(self._pending),
            "served": sum(metrics.success),
            "busy": sum(metrics.overload) - self._shed_count,
            "failed": sum(metrics.error),
            "left": self._disconnected_count,
            "own_overload": self._shed_count,
        }

    # ------------------------------------------------------------ the balancer

    def run_due_timers(self) -> int | None:
        """Fire the balancer's timers that have come due; returns when the next one does, or ``None``."""
        now_ns = self._loop.now()
        while (token := self._timers.pop_due(now_ns)) is not None:
            self._handle_event(balancing.TimerFired(token))
        return self._timers.next_due_ns()

    def _submit(self, request: PendingRequest) -> None:
        request.submitted = True
        self._last_id += 1
        request.id = str(self._last_id)  # our own: a client that repeats an id in flight must not lose one
        self._pending[request.id] = request
        time_left_ns = max(0, request.deadline_ns - self._loop.now())
        self._handle_event(
            balancing.Request(request.id, request.class_index, request.tenant_index, time_left_ns, request.is_retry)
        )

    def _finish(self, request: PendingRequest, decision: Decision) -> None:
        """End the request: its last decision, and an end to the attempts that are still in flight."""
        if request.finished:
            return
        request.finished = True
        if isinstance(decision, Rejected):
            self.metrics.record_rejection(request.class_index)
        elif isinstance(decision, Failed):
            self.metrics.record_failure(request.class_index)
        self._pending.pop(request.id, None)
        request.decisions.append(decision)
        request.decision_ready.set()
        for number in list(request.in_flight):
            request.cancel_attempt(number)

    def _note_duration(self, class_index: int, duration_ns: int) -> None:
        usual_ns = self._usual_duration_ns.setdefault(class_index, float(duration_ns))
        self._usual_duration_ns[class_index] = usual_ns + USUAL_DURATION_WEIGHT * (duration_ns - usual_ns)

    def _update_endpoint(self, endpoint: balancing.Endpoint | None) -> None:
        if endpoint is not None:
            self._handle_event(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [endpoint]))

    def _handle_event(self, event: balancing.Event) -> None:
        now_ns = self._loop.now()
        try:
            actions = self._policy.handle(now_ns, event)
        except Exception:
            # The request concerned still gets its answer by the deadline in ``next_decision``.
            event_type = type(event).__name__
            logger.exception("the balancer failed on {event_type}", event="balancing.failed", event_type=event_type)
            return
        for action in actions:
            self._perform(now_ns, action)

    def _perform(self, now_ns: int, action: balancing.Action) -> None:
        match action:
            case balancing.SendAttempt(request_id, endpoint_id, timeout_ns):
                if (request := self._pending.get(request_id)) is not None:
                    self._start_attempt(request, endpoint_id, now_ns, timeout_ns)
            case balancing.RejectRequest(request_id, retry_after_ns):
                self._finish_unless_streaming(request_id, Rejected(retry_after_ns))
            case balancing.FailRequest(request_id):
                self._finish_unless_streaming(request_id, Failed())
            case balancing.CancelAttempt(request_id, number):
                self._cancel_attempt(request_id, number)
            case balancing.SetTimer(delay_ns, token):
                self._timers.add(now_ns + delay_ns, token)
            case balancing.CloseIdleConnections(endpoint_id):
                self._close_idle_connections(endpoint_id)
            case balancing.WatchEndpoints():
                self._watch_endpoints()

    def _start_attempt(self, request: PendingRequest, endpoint_id: int, now_ns: int, timeout_ns: int) -> None:
        number = len(request.attempts)
        request.attempts.append(SentAttempt(endpoint_id, now_ns))
        request.in_flight.add(number)
        request.decisions.append(StartAttempt(number, endpoint_id, now_ns + timeout_ns))
        request.decision_ready.set()

    def _finish_unless_streaming(self, request_id: str, decision: Decision) -> None:
        request = self._pending.get(request_id)
        if request is not None and not request.is_streaming:
            self._finish(request, decision)

    def _cancel_attempt(self, request_id: str, number: int) -> None:
        request = self._pending.get(request_id)
        if request is not None and number in request.in_flight and number != request.streaming_attempt:
            request.cancel_attempt(number)
