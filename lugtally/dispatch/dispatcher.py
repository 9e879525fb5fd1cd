"""The dispatcher: the only component that calls the balancer.

It reports changes of requests, attempts and endpoints to the balancer as events, and performs the actions that the
balancer returns.  Actions that concern a request become decisions, which the task of the request waits for.
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
from lugtally.dispatch.pending_request import PendingRequest, StartedAttempt
from lugtally.dispatch.policy import BalancingPolicyFactory
from lugtally.dispatch.service_times import ServiceTimes
from lugtally.eventloop import EventLoop, WakeReason
from lugtally.overload.admission import AdmissionController
from lugtally.units import NS_PER_MS

DEADLINE_MARGIN_NS = 20 * NS_PER_MS
"""How long after its deadline a request that still waits for a decision gets its final answer."""


def _do_nothing(*_: object) -> None:
    """Ignore a call to a handler that has not been set."""


class Dispatcher:
    """Manages the requests in progress of one sidecar.

    Attributes:
        metrics: The counters of requests and attempts.
    """

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
        """Set the functions that close the idle connections to an endpoint and that poll the endpoint list."""
        self._close_idle_connections = close_idle_connections
        self._watch_endpoints = watch_endpoints

    def set_admission_controller(self, admission: AdmissionController) -> None:
        """Set the controller that admits or sheds each request before it is processed."""
        self._admission = admission

    # ------------------------------------------------------------ requests

    def reject_if_overloaded(self, class_index: int, time_left_ns: int) -> Rejected | None:
        """Return a rejection if this sidecar is itself overloaded, else ``None``.

        Call this when only the head of the request has been read, before any byte of it is sent to an endpoint.
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

    def reject_before_submission(self, class_index: int | None) -> Rejected:
        """Return the rejection of a request that this sidecar itself cannot process now, and count it.

        ``class_index`` is ``None`` if the class is unknown.
        """
        self.metrics.record_shed(class_index)
        return Rejected(0)

    def next_decision(self, request: PendingRequest) -> Decision:
        """Return the next decision on a request, waiting until there is one.

        The first call submits the request to the balancer.
        """
        if not request.submitted:
            self._submit(request)
        while not request.decisions:
            if request.is_streaming:
                # The deadline no longer applies: the request finishes when its stream ends.
                request.decision_ready.wait()
                continue
            reason = request.decision_ready.wait(request.deadline_ns + DEADLINE_MARGIN_NS)
            # A wake-up with READY but without a decision is outdated.  Wait again, so that after a stall of the process
            # the attempts that have timed out report their outcomes first.
            if reason is not WakeReason.READY and not request.decisions and not request.is_streaming:
                # All attempts have timed out by now, so unless the deadline was shortened, the balancer is at fault.
                if not request.deadline_was_shortened:
                    logger.error("a request got no decision by its deadline", event="dispatch.deadline_exceeded")
                self._recovery.reject_or_fail(request)
        return request.decisions.popleft()

    def shorten_deadline(self, request: PendingRequest, deadline_ns: int) -> None:
        """Set an earlier deadline for a request that is already in progress."""
        request.deadline_ns = deadline_ns
        request.deadline_was_shortened = True
        request.decision_ready.set()  # wake the waiting task, which must wait for the new deadline instead

    def claim_stream(self, request: PendingRequest, number: int) -> bool:
        """Claim the client's response for an attempt that streams; return whether the attempt may send its response.

        Only the first attempt that makes the claim may.  From then on the balancer starts no further attempt for the
        request, the other attempts in flight are cancelled, and the request finishes when the streaming attempt does.
        """
        if request.finished or request.is_streaming or number not in request.in_flight:
            return False
        request.streaming_attempt = number
        endpoint_id = request.attempts[number].endpoint_id
        if not self._handle_event(balancing.ResponseStarted(request.id, number, endpoint_id)):
            self._recovery.drop_from_balancer(request)  # the balancer must not start another attempt
        for other in request.in_flight - {number}:
            request.cancel_attempt(other)
        return True

    def may_start(self, request: PendingRequest, number: int) -> bool:
        """Return whether bytes of an attempt may be written now.  Call this immediately before each write."""
        now_ns = self._loop.now()
        return request.allows_attempt(number, now_ns) and self._balancer.may_start(now_ns, request.id, number)

    def attempt_finished(
        self,
        request: PendingRequest,
        number: int,
        outcome: AttemptOutcome,
        load_report: tuple[float, ...] | None = None,
    ) -> bool:
        """Record how an attempt ended; return whether its response is the final answer of the request.

        Call this exactly once for each attempt that was started.
        """
        request.in_flight.discard(number)
        attempt = request.attempts[number]
        is_streamed = request.streaming_attempt == number
        served = outcome is AttemptOutcome.SERVED
        is_final_answer = served and not request.finished and (not request.is_streaming or is_streamed)
        duration_ns = self._loop.now() - attempt.started_ns
        if outcome in FULLY_SENT:
            self.metrics.record_dispatch()
        result = ATTEMPT_RESULTS[outcome]
        attempt.may_have_run = result not in balancing.NOT_PROCESSED
        request_finished = is_final_answer or request.finished or is_streamed
        handled = self._handle_event(
            balancing.AttemptFinished(
                request.id, number, attempt.endpoint_id, result, request_finished, duration_ns, load_report
            ),
            request,
        )
        if is_final_answer:
            if not is_streamed:  # the duration of a stream depends on how fast the client reads
                self._service_times.record(request.class_index, duration_ns)
            self.metrics.record_success(request.class_index)
            self._finish(request, Finished())
        elif is_streamed:
            self._finish(request, Failed())  # the client has received a truncated response
        elif not handled:
            self._recovery.continue_without_balancer(request)
        else:
            self._recovery.reject_or_fail_if_stalled(request)
        return is_final_answer

    def client_disconnected(self, request: PendingRequest) -> None:
        """Record that the client disconnected.  Does nothing if the request has finished."""
        if not request.finished:
            self._handle_event(balancing.ClientDisconnected(request.id))
            self.metrics.record_disconnect()
            self._finish(request, Finished())

    # ------------------------------------------------------------ endpoints

    def update_endpoints(self, kind: balancing.EndpointUpdateKind, endpoints: Iterable[ListedEndpoint] = ()) -> None:
        """Apply an update of the endpoint list.  The kind ``FAILED`` means that discovery could not be polled."""
        self._endpoint_updates.apply(kind, endpoints)

    def was_listed(self, endpoint_id: int) -> bool:
        """Return whether the endpoint was listed at any time since the start."""
        return self._endpoint_updates.registry.was_listed(endpoint_id)

    def start_drain(self, endpoint_id: int) -> None:
        """Drain the endpoint: it gets no new requests until :meth:`end_drain`."""
        self._endpoint_updates.start_drain(endpoint_id)

    def end_drain(self, endpoint_id: int) -> None:
        """End the drain of the endpoint, which then warms up as after a restart."""
        self._endpoint_updates.end_drain(endpoint_id)

    # ------------------------------------------------------------ metrics

    @property
    def in_progress(self) -> int:
        """The number of submitted requests without a final answer."""
        return len(self._pending)

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints in the current list."""
        return len(self._endpoint_updates.registry)

    def disabled_count(self) -> int:
        """Return how many listed endpoints are currently drained by operators or ejected."""
        drained_count = self._endpoint_updates.registry.drained_count()
        return drained_count + self._balancer.ejected_count(self._loop.now())

    def request_counts(self) -> dict[str, int]:
        """Return the number of requests in progress and of finished requests by result, by the status socket's keys."""
        return self.metrics.request_counts(len(self._pending))

    # ------------------------------------------------------------ the balancer

    def run_due_timers(self) -> int | None:
        """Fire the balancer's timers that are due; return when the next one is due, or ``None``."""
        now_ns = self._loop.now()
        while (due_timer := self._timers.pop_due(now_ns)) is not None:
            self._fire_timer(now_ns, due_timer)
        updates = self._endpoint_updates
        if updates.resend_due_ns is not None and updates.resend_due_ns <= now_ns:
            updates.resend()
        timer_due_ns = self._timers.next_due_ns()
        if updates.resend_due_ns is None:
            return timer_due_ns
        if timer_due_ns is None:
            return updates.resend_due_ns
        return min(timer_due_ns, updates.resend_due_ns)

    def _fire_timer(self, now_ns: int, due_timer: BalancerTimer) -> None:
        request = self._pending.get(due_timer.request_id)
        if request is not None and request.awaited_timer == due_timer.timer:
            request.awaited_timer = None
        if self._handle_event(balancing.TimerFired(due_timer.timer), request):
            if request is not None:
                self._recovery.reject_or_fail_if_stalled(request)
            return
        # The balancer failed.  The timer must not be lost: the balancer sets a periodic timer, such as the poll timer,
        # again only when it fires.
        self._timers.add(now_ns + fault_recovery.FAULT_RETRY_NS, due_timer.timer)
        for pending in list(self._pending.values()):
            self._recovery.reject_or_fail_if_stalled(pending)

    def _submit(self, request: PendingRequest) -> None:
        request.submitted = True
        self._last_id += 1
        request.id = str(self._last_id)  # the client's id may not be unique among the requests in progress
        self._pending[request.id] = request
        time_left_ns = request.deadline_ns - self._loop.now()
        if time_left_ns <= 0:
            self._finish(request, Rejected(0))  # the deadline passed before the submission
            return
        event = balancing.Request(request.id, request.class_index, request.tenant_index, time_left_ns, request.is_retry)
        if self._handle_event(event, request):
            self._recovery.reject_or_fail_if_stalled(request)
        else:
            self._recovery.continue_without_balancer(request)

    def _finish(self, request: PendingRequest, decision: Decision) -> None:
        """Give the request its final decision and cancel its attempts in flight.  Does nothing if it has finished."""
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
        """Pass an event to the balancer and perform the actions that it returns; return false if the balancer failed.

        ``request`` is the request that the event belongs to, if any.
        """
        now_ns = self._loop.now()
        actions = self._balancer.handle(now_ns, event)
        if actions is None:
            return False
        for action in actions:
            try:
                self._perform(now_ns, action, request)
            except Exception:
                # An action that fails must not prevent the other actions or the remaining work of the caller.
                action_type = type(action).__name__
                logger.exception(
                    "the action {action_type} raised an exception",
                    event="dispatch.action_failed",
                    action_type=action_type,
                )
        return True

    def _perform(self, now_ns: int, action: balancing.Action, event_request: PendingRequest | None = None) -> None:
        """Perform one action of the balancer; ``event_request`` is the request of the event that led to it, if any."""
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
                self._set_timer(now_ns + delay_ns, timer, event_request)
            case balancing.CloseIdleConnections(endpoint_id):
                self._close_idle_connections(endpoint_id)
            case balancing.WatchEndpoints():
                self._watch_endpoints()

    def _set_timer(self, due_ns: int, timer: balancing.Timer, event_request: PendingRequest | None) -> None:
        if event_request is None or event_request.finished or event_request.in_flight:
            self._timers.add(due_ns, timer)
            return
        event_request.awaited_timer = timer  # no attempt is in flight: the request waits for this timer alone
        self._timers.add(due_ns, timer, event_request.id)

    def _start_attempt(self, request: PendingRequest, endpoint_id: int, now_ns: int, timeout_ns: int) -> None:
        number = len(request.attempts)
        request.awaited_timer = None
        request.attempts.append(StartedAttempt(endpoint_id, now_ns))
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
