"""Model of the sidecar's event loop under load, in simulated time, with an admission controller.

A poll returns all events that are ready.  Events are handled one after another; those that become ready in the meantime
wait for the next poll.  A request takes ``REJECT_CPU_US`` of CPU time if it is rejected; otherwise ``FORWARD_CPU_US``,
and ``RESPOND_CPU_US`` when its response arrives.  Clients retry a rejected request up to three times before its
deadline.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import NamedTuple

import numpy as np
from admission_controllers import MEAN_RESPONSE_TIME_S, TARGET_DELAY_S, AdmissionController

from lugtally.testbed.scenario.random_streams import stream

FORWARD_CPU_US, RESPOND_CPU_US, REJECT_CPU_US = 110.0, 90.0, 20.0
SUSTAINABLE_RATE_PER_S = 1e6 / (FORWARD_CPU_US + RESPOND_CPU_US)  # of requests, with one core fully used
MAX_RETRIES = 3
RETRY_DELAY_S = 0.1
IMMEDIATE_RETRY_DELAY_S = 0.0005
RETRY_AFTER_CLIENT_SHARE = 0.3  # share of the clients that follow Retry-After
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 2.0
MIN_RETRY_TIME_LEFT_S = 0.02  # clients retry only if more time than this is left until the deadline
CONTROL_PERIOD_S = 0.02  # between two updates of the controller
SETTLING_TIME_S = 1.0  # at the start of the load phase, excluded from ``SimulationResult.shed_deviation``
RECOVERY_GRACE_S = 2.0  # after the load phase, in which a rejection does not count as a false alarm
MAX_TIME_AFTER_ARRIVALS_S = 30.0  # a run ends at most this simulated time after the last arrival
CORE_SHARE = 0.25


class RequestClass(NamedTuple):
    """A request class, as the operators specify it."""

    share: float  # of all requests
    priority_weight: float
    latency_objective_s: float
    deadline_s: float


CLASSES = (RequestClass(0.45, 1.0, 0.3, 0.8), RequestClass(0.35, 3.0, 0.5, 1.0), RequestClass(0.20, 2.0, 1.0, 3.0))
SHEDDING_ORDER = (0, 2, 1)  # class indices, the lowest priority weight first


class RetryPolicy(StrEnum):
    """When clients retry a rejected request.  The values are printed in the table of ``gates.py``."""

    IMMEDIATE = "at once"
    DELAYED = "brief"  # as the operators specify: after 100 ms, or after Retry-After


@dataclass(frozen=True)
class Workload:
    """Three phases: base load, the load under test, and base load again.

    ``load`` and ``base_load`` are multiples of the sustainable rate.
    """

    load: float
    seed: int
    retry_policy: RetryPolicy = RetryPolicy.DELAYED
    core_share: float = CORE_SHARE  # of one core, available to the sidecar
    length_s: float = 6.0  # of the load phase
    base_length_s: float = 3.0  # of each phase with base load
    base_load: float = 0.5

    @property
    def load_end_s(self) -> float:
        """When the load phase ends."""
        return self.base_length_s + self.length_s

    @property
    def end_s(self) -> float:
        """When new requests stop arriving."""
        return self.load_end_s + self.base_length_s

    def is_in_load_phase(self, at: float) -> bool:
        """Return whether this time is in the load phase."""
        return self.base_length_s <= at < self.load_end_s


@dataclass
class SimulationResult:
    """Measurements of a run."""

    served_weight_ratio: float
    """Priority weight of the requests of the load phase that were answered within their latency objective.

    It is a fraction of the largest weight that the core can serve at that load and mix of classes.
    """
    p99_delay_ms: float
    """Queueing delay in the event loop of requests that were admitted in the load phase."""
    shed_deviation: float
    """Standard deviation of the shed fractions of 100 ms intervals, in the load phase after the settling time."""
    recovery_s: float
    """Time from the end of the load phase until the last rejection or the last delay above the target."""
    false_alarm_share: float
    """Share of the decisions before the load phase and after the recovery grace that shed the request."""


class EventKind(IntEnum):
    """Kind of an event that a poll returns."""

    REQUEST = 0
    RESPONSE = 1


class Event(NamedTuple):
    """A request or a response that the event loop can handle from ``ready_at`` on."""

    ready_at: float
    kind: EventKind
    class_index: int
    first_sent_at: float
    retries: int


class ShedRange(NamedTuple):
    """Shed fractions of all requests between which a class is shed: none of it at ``lower``, all of it at ``upper``."""

    lower: float
    upper: float

    def class_shed_fraction(self, shed_fraction: float) -> float:
        """Return the fraction of the class to shed, for a shed fraction of all requests."""
        return min(1.0, max(0.0, (shed_fraction - self.lower) / (self.upper - self.lower)))


class Simulation:
    """A run of the event loop under a workload, with a controller.  Times are seconds since the start of the run."""

    def __init__(self, controller: AdmissionController, workload: Workload) -> None:
        self._controller = controller
        self._workload = workload
        self._random = stream(workload.seed, "gates", workload.load, workload.core_share)
        self._sustainable_rate_per_s = SUSTAINABLE_RATE_PER_S * workload.core_share
        self._events = self._draw_arrivals()  # a heap, ordered by ``ready_at``
        self._shed_ranges = _shed_ranges()
        self._now_s = 0.0
        self._polled_at = 0.0
        self._last_batch_s = 0.0  # time that handling the events of the previous poll took
        self._period_ends_at, self._period_delays_s = CONTROL_PERIOD_S, [0.0]
        self._served_weight = 0.0
        self._admitted_delays_s: list[float] = []  # of requests that were admitted in the load phase
        self._shed_by_interval: dict[int, list[int]] = {}  # by intervals of 100 ms; 1 for each request that was shed
        self._base_load_decisions = self._false_alarm_count = 0  # outside the load phase and recovery grace
        self._recovered_at = workload.load_end_s

    def run(self) -> SimulationResult:
        """Handle all requests and return the measurements."""
        while self._events and self._now_s <= self._workload.end_s + MAX_TIME_AFTER_ARRIVALS_S:
            if self._events[0].ready_at > self._now_s:
                self._now_s = self._events[0].ready_at
                self._last_batch_s = 0.0
            self._polled_at = self._now_s
            for event in self._poll():
                self._handle_event(event)
            self._last_batch_s = self._now_s - self._polled_at
            self._period_delays_s = self._period_delays_s or [0.0]
        return self._result()

    def _draw_arrivals(self) -> list[Event]:
        cumulative_shares = np.cumsum([request_class.share for request_class in CLASSES])
        arrivals: list[Event] = []
        arrives_at = 0.0
        while arrives_at < self._workload.end_s:
            load = self._workload.load if self._workload.is_in_load_phase(arrives_at) else self._workload.base_load
            arrives_at += float(self._random.exponential(1 / (self._sustainable_rate_per_s * load)))
            class_index = int(np.searchsorted(cumulative_shares, self._random.random()))
            arrivals.append(Event(arrives_at, EventKind.REQUEST, class_index, arrives_at, 0))
        heapq.heapify(arrivals)
        return arrivals

    def _poll(self) -> list[Event]:
        batch = []
        while self._events and self._events[0].ready_at <= self._now_s:
            batch.append(heapq.heappop(self._events))
        return batch

    def _handle_event(self, event: Event) -> None:
        if self._now_s >= self._period_ends_at:
            self._controller.update(
                self._now_s, sum(self._period_delays_s) / len(self._period_delays_s), min(self._period_delays_s)
            )
            self._period_ends_at, self._period_delays_s = self._now_s + CONTROL_PERIOD_S, []
        # The controller gets the upper bound that the sidecar knows: the event became ready after the previous poll,
        # because that poll would have returned it otherwise.
        delay_bound_s = self._now_s - self._polled_at + self._last_batch_s
        self._period_delays_s.append(delay_bound_s)
        if event.kind is EventKind.RESPONSE:
            self._handle_response(event)
        else:
            self._handle_request(event, delay_bound_s)

    def _handle_response(self, event: Event) -> None:
        self._now_s += RESPOND_CPU_US / 1e6 / self._workload.core_share
        request_class = CLASSES[event.class_index]
        in_time = self._now_s - event.first_sent_at <= request_class.latency_objective_s
        if in_time and self._workload.is_in_load_phase(event.first_sent_at):
            self._served_weight += request_class.priority_weight

    def _handle_request(self, event: Event, delay_bound_s: float) -> None:
        delay_s = self._now_s - event.ready_at
        time_left_s = CLASSES[event.class_index].deadline_s - (self._now_s - event.first_sent_at)
        class_shed_fraction = self._shed_ranges[event.class_index].class_shed_fraction(self._controller.shed_fraction)
        is_shed = (
            self._controller.cannot_meet_deadline(delay_bound_s, time_left_s)
            or self._random.random() < class_shed_fraction
        )
        self._record_decision(event, is_shed)
        if is_shed:
            self._reject(event, time_left_s)
        else:
            self._forward(event, time_left_s, delay_s)

    def _record_decision(self, event: Event, is_shed: bool) -> None:
        workload = self._workload
        if workload.base_length_s + SETTLING_TIME_S <= self._now_s < workload.load_end_s:
            self._shed_by_interval.setdefault(int(self._now_s * 10), []).append(int(is_shed))
        first_sent_at = event.first_sent_at
        if first_sent_at < workload.base_length_s or first_sent_at > workload.load_end_s + RECOVERY_GRACE_S:
            self._base_load_decisions += 1
            self._false_alarm_count += is_shed

    def _reject(self, event: Event, time_left_s: float) -> None:
        self._now_s += REJECT_CPU_US / 1e6 / self._workload.core_share
        if self._now_s > self._workload.load_end_s:
            self._recovered_at = max(self._recovered_at, self._now_s)
        if event.retries >= MAX_RETRIES or time_left_s <= MIN_RETRY_TIME_LEFT_S:
            return
        retry_delay_s = self._retry_delay_s()
        if retry_delay_s < time_left_s:
            heapq.heappush(
                self._events, event._replace(ready_at=self._now_s + retry_delay_s, retries=event.retries + 1)
            )

    def _retry_delay_s(self) -> float:
        if self._workload.retry_policy is RetryPolicy.IMMEDIATE:
            return IMMEDIATE_RETRY_DELAY_S
        retry_after_s = MIN_RETRY_AFTER_S + self._controller.shed_fraction * (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S)
        if self._random.random() < RETRY_AFTER_CLIENT_SHARE:
            return float(retry_after_s * self._random.uniform(0.5, 1.5))
        return RETRY_DELAY_S

    def _forward(self, event: Event, time_left_s: float, delay_s: float) -> None:
        self._now_s += FORWARD_CPU_US / 1e6 / self._workload.core_share
        if self._workload.is_in_load_phase(self._now_s):
            self._admitted_delays_s.append(delay_s)
        if self._now_s > self._workload.load_end_s and delay_s > TARGET_DELAY_S:
            self._recovered_at = max(self._recovered_at, self._now_s)
        if time_left_s > 0:
            response_at = self._now_s + float(self._random.exponential(MEAN_RESPONSE_TIME_S))
            heapq.heappush(self._events, event._replace(ready_at=response_at, kind=EventKind.RESPONSE))

    def _result(self) -> SimulationResult:
        workload = self._workload
        max_served_weight = (
            _max_weight_per_sustainable_request(workload.load) * self._sustainable_rate_per_s * workload.length_s
        )
        shed_fractions = [float(np.mean(interval)) for interval in self._shed_by_interval.values() if interval]
        return SimulationResult(
            self._served_weight / max_served_weight,
            1000 * float(np.quantile(self._admitted_delays_s, 0.99)) if self._admitted_delays_s else 0.0,
            float(np.std(shed_fractions)) if shed_fractions else 0.0,
            self._recovered_at - workload.load_end_s,
            self._false_alarm_count / max(1, self._base_load_decisions),
        )


def _shed_ranges() -> dict[int, ShedRange]:
    """Return the range of each class, by its index.  The ranges follow one another in shedding order."""
    ranges = {}
    lower = 0.0
    for class_index in SHEDDING_ORDER:
        upper = lower + CLASSES[class_index].share
        ranges[class_index] = ShedRange(lower, upper)
        lower = upper
    return ranges


def _max_weight_per_sustainable_request(load: float) -> float:
    """Return the largest priority weight that can be served per sustainable request.

    It is reached if the core serves the classes with the highest priority weights first.
    """
    remaining_capacity, weight = 1.0, 0.0
    for class_index in reversed(SHEDDING_ORDER):
        served = min(remaining_capacity, CLASSES[class_index].share * load)
        weight += served * CLASSES[class_index].priority_weight
        remaining_capacity -= served
    return weight
