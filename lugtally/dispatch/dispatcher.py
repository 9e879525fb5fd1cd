"""The dispatcher: the one caller of the balancer.

It turns what happens to requests, attempts and endpoints into the balancer's events, and its actions into decisions
that the tasks of the requests wait for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loguru import logger

from lugtally import balancing
from lugtally.balancing import Balancer
from lugtally.dispatch import fault_recovery
from lugtally.dispatch.attempt_outcome import ATTEMPT_RESULTS, FULLY_SENT, AttemptOutcome
from lugtally.dispatch.balancer_timers import BalancerTimer, BalancerTimers
from lugtally.dispatch.decision import Decision, Failed, Finished, Rejected, StartAttempt
from lugtally.dispatch.endpoint_registry import ListedEndpoint
from lugtally.dispatch.endpoint_updates import EndpointUpdates
from lugtally.dispatch.fault_recovery import FaultRecovery
from lugtally.dispatch.guarded_policy import GuardedPolicy
from lugtally.dispatch.metrics import RequestMetrics
from lugtally.dispatch.pending_request import PendingRequest, SentAttempt
from lugtally.dispatch.policy import BalancingPolicyFactory
from lugtally.dispatch.service_times import ServiceTimes
from lugtally.eventloop import EventLoop, WakeReason
from lugtally.overload.admission import AdmissionController
from lugtally.units import NS_PER_MS

DEADLINE_MARGIN_NS = 20 * NS_PER_MS
"""How long after its deadline a request without a decision is answered."""


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
        self._policy = (policy_factory or Balancer)(settings, seed)
        self._balancer = GuardedPolicy(self._policy)
        self._subscribes_to_endpoints = settings.subscribe_to_endpoints
        self._pending: dict[str, PendingRequest] = {}
        self._last_id = 0
        self._timers = BalancerTimers()
        self._recovery = FaultRecovery(self._balancer, self._handle_event, self._finish)
        self._endpoint_updates = EndpointUpdates(loop, self._handle_event, self._restart_watch)
        self._admission: AdmissionController | None = None
        self._service_times = ServiceTimes()
        self._close_idle_connections: Callable[[int], None] = _do_nothing
        self._watch_endpoints: Callable[[], None] = _do_nothing
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
            self._service_times.average_ns(class_index),
        )
        if reason is None:
            return None
        self.metrics.record_shed(class_index)
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
            reason = request.decision_ready.wait(request.deadline_ns + DEADLINE_MARGIN_NS)
            # Only where the loop had a turn: after a stall, attempts must first see that their time is over.
            if reason is not WakeReason.READY and not request.decisions and not request.is_streaming:
                # Guards the one final answer against a fault: else each attempt has timed out by now.
                if not request.deadline_was_shortened:
                    logger.error("no decision by the deadline of a request", event="dispatch.deadline_exceeded")
                self._recovery.give_up(request)
        return request.decisions.popleft()

    def shorten_deadline(self, request: PendingRequest, deadline_ns: int) -> None:
        """Answer a request by an earlier time than was thought."""
        request.deadline_ns = deadline_ns
        request.deadline_was_shortened = True
        request.decision_ready.set()  # whoever waits for it waits for less

    def claim_stream(self, request: PendingRequest, number: int) -> bool:
        """Return whether an attempt with the head of a long response may pass it on; the first to ask may.

        From then on the balancer sends nothing more for the request, and only the end of that attempt ends it: the
        others in flight are cancelled, as their responses could go nowhere.
        """
        if request.finished or request.is_streaming or number not in request.in_flight:
            return False
        request.streaming_attempt = number
        endpoint_id = request.attempts[number].endpoint_id
        if not self._handle_event(balancing.ResponseStarted(request.id, number, endpoint_id)):
            self._recovery.withdraw(request)  # it must send nothing more for the request
        for other in request.in_flight - {number}:
            request.cancel_attempt(other)
        return True

    def may_start(self, request: PendingRequest, number: int) -> bool:
        """Return whether an attempt's bytes may go out now: asked right before each part of them is written."""
        now_ns = self._loop.now()
        return request.wants(number, now_ns) and self._balancer.may_start(now_ns, request.id, number)

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
        result = ATTEMPT_RESULTS[outcome]
        attempt.may_have_run = result not in balancing.NOT_PROCESSED
        is_over = won or request.finished or bound
        handled = self._handle_event(
            balancing.AttemptFinished(
                request.id, number, attempt.endpoint_id, result, is_over, duration_ns, load_report
            ),
            request,
        )
        if won:
            if not bound:  # a stream lasts as long as its client takes to read it
                self._service_times.record(request.class_index, duration_ns)
            self.metrics.record_success(request.class_index)
            self._finish(request, Finished())
        elif bound:
            self._finish(request, Failed())  # half a response has gone out: the client's connection ends
        elif not handled:
            self._recovery.recover(request)
        else:
            self._recovery.give_up_if_stranded(request)
        return won

    def client_disconnected(self, request: PendingRequest) -> None:
        """Take it that the client went away; nothing happens where the request is over."""
        if not request.finished:
            self._handle_event(balancing.ClientDisconnected(request.id))
            self.metrics.record_disconnect()
            self._finish(request, Finished())

    # ------------------------------------------------------------ endpoints

    def update_endpoints(self, kind: balancing.EndpointUpdateKind, endpoints: Iterable[ListedEndpoint] = ()) -> None:
        """Take an update of the endpoint list, or that none could be had (``FAILED``)."""
        self._endpoint_updates.apply(kind, endpoints)

    def was_listed(self, endpoint_id: int) -> bool:
        """Return whether the endpoint was listed at any time since the start."""
        return self._endpoint_updates.registry.was_listed(endpoint_id)

    def start_drain(self, endpoint_id: int) -> None:
        """Send the endpoint no new work from now on, until :meth:`end_drain`."""
        self._endpoint_updates.start_drain(endpoint_id)

    def end_drain(self, endpoint_id: int) -> None:
        """Let the endpoint come back as one that has just started: it warms up."""
        self._endpoint_updates.end_drain(endpoint_id)

    # ------------------------------------------------------------ figures

    @property
    def in_progress(self) -> int:
        """The number of requests that were taken and have not ended."""
        return len(self._pending)

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints in the list at hand."""
        return len(self._endpoint_updates.registry)

    def disabled_count(self) -> int:
        """Return how many listed endpoints get no new work now: drained by operators, or ejected."""
        drained_count = self._endpoint_updates.registry.drained_count()
        return drained_count + self._balancer.ejected_count(self._loop.now())

    def request_counts(self) -> dict[str, int]:
        """Return the requests by how they ended so far, and those in progress, by the keys of the status socket."""
        return self.metrics.request_counts(len(self._pending))

    # ------------------------------------------------------------ the balancer

    def run_due_timers(self) -> int | None:
        """Fire the balancer's timers that have come due; returns when the next one does, or ``None``."""
        now_ns = self._loop.now()
        while (due := self._timers.pop_due(now_ns)) is not None:
            self._fire_timer(now_ns, due)
        updates = self._endpoint_updates
        if updates.resend_due_ns is not None and updates.resend_due_ns <= now_ns:
            updates.resend()
        timer_due_ns = self._timers.next_due_ns()
        if updates.resend_due_ns is None:
            return timer_due_ns
        if timer_due_ns is None:
            return updates.resend_due_ns
        return min(timer_due_ns, updates.resend_due_ns)

    def _fire_timer(self, now_ns: int, due: BalancerTimer) -> None:
        request = self._pending.get(due.request_id)
        if request is not None and request.awaited_timer == due.timer:
            request.awaited_timer = None
        if self._handle_event(balancing.TimerFired(due.timer), request):
            if request is not None:
                self._recovery.give_up_if_stranded(request)
            return
        # The timer may be one of a chain, each of which sets the next: it must not be lost.
        self._timers.add(now_ns + fault_recovery.FAULT_RETRY_NS, due.timer)
        for pending in list(self._pending.values()):
            self._recovery.give_up_if_stranded(pending)

    def _submit(self, request: PendingRequest) -> None:
        request.submitted = True
        self._last_id += 1
        request.id = str(self._last_id)  # our own: a client that repeats an id in flight must not lose one
        self._pending[request.id] = request
        time_left_ns = request.deadline_ns - self._loop.now()
        if time_left_ns <= 0:
            self._finish(request, Rejected(0))  # it waited for too long before it came here
            return
        event = balancing.Request(request.id, request.class_index, request.tenant_index, time_left_ns, request.is_retry)
        if self._handle_event(event, request):
            self._recovery.give_up_if_stranded(request)
        else:
            self._recovery.recover(request)

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

    def _restart_watch(self) -> None:
        if self._subscribes_to_endpoints:
            self._watch_endpoints()

    def _handle_event(self, event: balancing.Event, request: PendingRequest | None = None) -> bool:
        """Let the balancer decide on an event, of this request if any; return whether it did."""
        now_ns = self._loop.now()
        actions = self._balancer.handle(now_ns, event)
        if actions is None:
            return False
        for action in actions:
            try:
                self._perform(now_ns, action, request)
            except Exception:
                # The other actions, and what the caller has still to do, must not be lost with it.
                action_type = type(action).__name__
                logger.exception("{action_type} failed", event="dispatch.action_failed", action_type=action_type)
        return True

    def _perform(self, now_ns: int, action: balancing.Action, subject: PendingRequest | None = None) -> None:
        """Take one action, decided on an event of the request ``subject``."""
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
            case balancing.SetTimer(delay_ns, timer):
                self._set_timer(now_ns + delay_ns, timer, subject)
            case balancing.CloseIdleConnections(endpoint_id):
                self._close_idle_connections(endpoint_id)
            case balancing.WatchEndpoints():
                self._watch_endpoints()

    def _set_timer(self, due_ns: int, timer: balancing.Timer, subject: PendingRequest | None) -> None:
        if subject is None or subject.finished or subject.in_flight:
            self._timers.add(due_ns, timer)
            return
        subject.awaited_timer = timer  # nothing else is under way for it: this must be what it waits for
        self._timers.add(due_ns, timer, subject.id)

    def _start_attempt(self, request: PendingRequest, endpoint_id: int, now_ns: int, timeout_ns: int) -> None:
        number = len(request.attempts)
        request.awaited_timer = None
        request.attempts.append(SentAttempt(endpoint_id, now_ns))
        request.in_flight.add(number)
        deadline_ns = min(now_ns + timeout_ns, request.deadline_ns)
        request.decisions.append(StartAttempt(number, endpoint_id, deadline_ns))
        request.decision_ready.set()

    def _finish_unless_streaming(self, request_id: str, decision: Decision) -> None:
        request = self._pending.get(request_id)
        if request is not None and not request.is_streaming:
            self._finish(request, decision)

    def _cancel_attempt(self, request_id: str, number: int) -> None:
        request = self._pending.get(request_id)
        if request is not None and number in request.in_flight and number != request.streaming_attempt:
            request.cancel_attempt(number)
