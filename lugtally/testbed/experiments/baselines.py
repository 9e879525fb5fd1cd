"""Baseline policies for comparisons, run by the same dispatcher and network code as the shipped balancer.

They belong to the testbed and cannot be selected for the daemon; only the runner starts this module.  Each policy
obeys the rules on retries and drains.  None considers load reports, unresponsive endpoints or cold starts.
"""

from __future__ import annotations

import os
import sys
from random import Random
from typing import NamedTuple

from lugtally import balancing
from lugtally.balancing import DeduplicationScope, Endpoint, EndpointState, Idempotency
from lugtally.units import NS_PER_MS

MAX_RETRIES = 3  # of a request
ATTEMPT_TIMEOUT_SHARE = 0.5  # of the time left: timeout of an attempt that may be retried
LIST_RETRY_DELAY_NS = 100 * NS_PER_MS  # after a failed call to discovery
RETRY_SUFFIX = "+retry"
RANDOM, ROUND_ROBIN, LEAST_IN_FLIGHT = "random", "round-robin", "least-in-flight"
SELECTION_RULES = (RANDOM, ROUND_ROBIN, LEAST_IN_FLIGHT)
POLICY_NAMES = tuple(rule + suffix for rule in SELECTION_RULES for suffix in ("", RETRY_SUFFIX))


class SentAttempt(NamedTuple):
    """An attempt that an endpoint may have processed."""

    endpoint_id: int
    sent_at_ns: int


class PendingRequest:
    """A request that has not yet got its final response."""

    __slots__ = ("request_class", "deadline_ns", "tried_ids", "possibly_processed")

    def __init__(self, request_class: balancing.RequestClass, deadline_ns: int) -> None:
        self.request_class = request_class
        self.deadline_ns = deadline_ns
        self.tried_ids: list[int] = []  # endpoint id of each attempt
        self.possibly_processed: list[SentAttempt] = []

    @property
    def is_idempotent(self) -> bool:
        """Whether it may be retried at any endpoint."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_non_idempotent(self) -> bool:
        """Whether it must not be retried once an endpoint may have processed it."""
        return self.request_class.idempotency is Idempotency.NON_IDEMPOTENT


class BaselinePolicy:
    """A policy that replaces :class:`lugtally.balancing.balancer.Balancer`: it turns events into actions."""

    def __init__(self, name: str, settings: balancing.Settings, seed: int) -> None:
        """Create the policy called ``name``.  Raises ValueError if there is no such policy."""
        if name not in POLICY_NAMES:
            raise ValueError(f"{name}: unknown baseline policy; known are {', '.join(POLICY_NAMES)}")
        self._selection_rule, _, retry_option = name.partition("+")
        self._retries_enabled = bool(retry_option)
        self._settings = settings
        self._random = Random(seed)
        self._round_robin_index = self._random.randrange(1 << 20)
        self._endpoints: dict[int, Endpoint] = {}
        self._in_flight: dict[int, int] = {}
        self._requests: dict[str, PendingRequest] = {}

    def handle(self, now_ns: int, event: balancing.Event) -> list[balancing.Action]:
        """Return the actions that follow from an event."""
        match event:
            case balancing.EndpointUpdate():
                return self._update_endpoints(event)
            case balancing.Request():
                request_class = self._settings.classes[event.class_index]
                self._requests[event.id] = request = PendingRequest(request_class, now_ns + event.time_left_ns)
                return self._send(now_ns, event.id, request)
            case balancing.AttemptFinished():
                return self._finish_attempt(now_ns, event)
            case balancing.ClientDisconnected():
                self._requests.pop(event.request_id, None)
            case balancing.TimerFired():
                return [balancing.WatchEndpoints()]
        return []

    def _update_endpoints(self, event: balancing.EndpointUpdate) -> list[balancing.Action]:
        if event.kind is balancing.EndpointUpdateKind.FAILED:
            return [balancing.SetTimer(LIST_RETRY_DELAY_NS, balancing.PollTimer())]
        if event.kind is not balancing.EndpointUpdateKind.DELTA:
            self._endpoints = {}
        for endpoint in event.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self._endpoints.pop(endpoint.id, None)
            else:
                self._endpoints[endpoint.id] = endpoint
        return [balancing.WatchEndpoints()] if event.kind is balancing.EndpointUpdateKind.CACHED else []

    def _send(self, now_ns: int, request_id: str, request: PendingRequest) -> list[balancing.Action]:
        candidates = self._candidates_for(request)
        if not candidates:
            return self._reject_or_fail(request_id, request)
        chosen = self._choose_endpoint(candidates)
        request.tried_ids.append(chosen.id)
        self._in_flight[chosen.id] = self._in_flight.get(chosen.id, 0) + 1
        time_left_ns = request.deadline_ns - now_ns
        is_retriable = self._retries_enabled and len(request.tried_ids) <= MAX_RETRIES and not request.is_non_idempotent
        timeout_ns = max(NS_PER_MS, int(time_left_ns * ATTEMPT_TIMEOUT_SHARE)) if is_retriable else time_left_ns
        return [balancing.SendAttempt(request_id, chosen.id, timeout_ns)]

    def _candidates_for(self, request: PendingRequest) -> list[Endpoint]:
        """Return the ready endpoints that may get the next attempt of a request.

        After an attempt that may have been processed these are the endpoints of its deduplication scope.  Endpoints
        that were already tried are included only if there are no others.
        """
        candidates = [endpoint for endpoint in self._endpoints.values() if endpoint.state is EndpointState.READY]
        if request.possibly_processed:
            scope = request.request_class.deduplication_scope
            first = self._endpoints.get(request.possibly_processed[0].endpoint_id)
            if scope is DeduplicationScope.ZONE:
                candidates = [endpoint for endpoint in candidates if first is not None and endpoint.zone == first.zone]
            elif scope is DeduplicationScope.CELL:
                candidates = [endpoint for endpoint in candidates if first is not None and endpoint.cell == first.cell]
        return [endpoint for endpoint in candidates if endpoint.id not in request.tried_ids] or candidates

    def _choose_endpoint(self, candidates: list[Endpoint]) -> Endpoint:
        if self._selection_rule == RANDOM:
            return self._random.choice(candidates)
        if self._selection_rule == ROUND_ROBIN:
            self._round_robin_index += 1
            return sorted(candidates, key=lambda endpoint: endpoint.id)[self._round_robin_index % len(candidates)]
        lowest_in_flight = min(self._in_flight.get(endpoint.id, 0) for endpoint in candidates)
        return self._random.choice(
            [endpoint for endpoint in candidates if self._in_flight.get(endpoint.id, 0) == lowest_in_flight]
        )

    def _finish_attempt(self, now_ns: int, event: balancing.AttemptFinished) -> list[balancing.Action]:
        self._in_flight[event.endpoint_id] = self._in_flight.get(event.endpoint_id, 1) - 1
        request = self._requests.get(event.request_id)
        if request is None or event.request_finished:
            self._requests.pop(event.request_id, None)
            return []
        if event.result not in balancing.NOT_PROCESSED:
            request.possibly_processed.append(SentAttempt(event.endpoint_id, now_ns - event.duration_ns))
        declined = event.result is balancing.AttemptResult.DECLINED
        if declined or not self._retries_enabled or not self._may_retry(now_ns, request):
            return self._reject_or_fail(event.request_id, request)
        return self._send(now_ns, event.request_id, request)

    def _may_retry(self, now_ns: int, request: PendingRequest) -> bool:
        margin_ns = self._settings.timer_resolution_ns
        if len(request.tried_ids) > MAX_RETRIES or len(request.tried_ids) >= self._settings.max_attempts:
            return False
        if now_ns >= request.deadline_ns - margin_ns:
            return False
        if not request.possibly_processed or request.is_idempotent:
            return True
        if request.is_non_idempotent:
            return False
        elapsed_ns = now_ns - request.possibly_processed[0].sent_at_ns
        return elapsed_ns < request.request_class.deduplication_window_ns - margin_ns

    def _reject_or_fail(self, request_id: str, request: PendingRequest) -> list[balancing.Action]:
        self._requests.pop(request_id, None)
        if not request.possibly_processed or request.is_idempotent:
            return [balancing.RejectRequest(request_id, 0)]
        return [balancing.FailRequest(request_id)]


def main(name: str) -> int:
    """Serve as the daemon does, with this policy instead of the balancer."""
    from lugtally.config.sidecar import load_config
    from lugtally.daemon.sidecar import serve

    return serve(
        load_config(os.environ), "WARNING", policy_factory=lambda settings, seed: BaselinePolicy(name, settings, seed)
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
