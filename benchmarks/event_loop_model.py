"""Model of the sidecar's event loop under load, in simulated time, with an admission controller.

A poll returns all items that are ready.  Each item uses a part of the core, and items that become ready meanwhile wait
for the next poll.  A request costs ``REJECT_US`` to reject, or ``FORWARD_US`` to forward and ``RESPOND_US`` when its
response arrives.  Clients retry a rejected request up to three times and give up at its deadline.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import NamedTuple

import numpy as np
from admission_controllers import MEAN_RESPONSE_TIME_S, TARGET_DELAY_S, AdmissionController

from lugtally.testbed.scenario.random_streams import stream

FORWARD_US, RESPOND_US, REJECT_US = 110.0, 90.0, 20.0
SUSTAINABLE_PER_S = 1e6 / (FORWARD_US + RESPOND_US)  # requests that fill the core
MAX_RETRIES = 3
RETRY_WAIT_S = 0.1
IMMEDIATE_RETRY_S = 0.0005
RETRY_AFTER_SHARE = 0.3  # of the clients, that follow Retry-After
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 2.0
MIN_TIME_LEFT_S = 0.02  # for a retry
CONTROL_PERIOD_S = 0.02  # between two updates of the controller
SETTLING_S = 1.0  # at the start of the load, excluded from the variation of the shed share
RECOVERY_GRACE_S = 2.0  # after the load, in which a rejection is no false alarm
MAX_OVERTIME_S = 30.0  # of simulated time, after the last arrival
CORE = 0.25


class RequestClass(NamedTuple):
    """A class of requests, as in the operators' brief."""

    share: float
    priority_weight: float
    latency_objective_s: float
    deadline_s: float


CLASSES = (RequestClass(0.45, 1.0, 0.3, 0.8), RequestClass(0.35, 3.0, 0.5, 1.0), RequestClass(0.20, 2.0, 1.0, 3.0))
SHEDDING_ORDER = (0, 2, 1)  # class indices, from the first rejected to the last


class Clients(StrEnum):
    """How clients retry after a rejection."""

    IMMEDIATE = "at once"
    BRIEF = "brief"  # as in the operators' brief: after 100 ms, or after Retry-After


@dataclass(frozen=True)
class Workload:
    """A base load, then ``load`` times the sustainable rate, then the base load again."""

    load: float
    seed: int
    clients: Clients = Clients.BRIEF
    core: float = CORE  # share of a core that the sidecar has
    length_s: float = 6.0  # of the load
    base_length_s: float = 3.0  # before the load and after it
    base_load: float = 0.5

    @property
    def load_end_s(self) -> float:
        """When the load ends."""
        return self.base_length_s + self.length_s

    @property
    def end_s(self) -> float:
        """When the last request arrives."""
        return self.load_end_s + self.base_length_s

    def is_loaded(self, at: float) -> bool:
        """Return whether the load is applied at this time."""
        return self.base_length_s <= at < self.load_end_s


@dataclass
class Result:
    """Measures of a run."""

    served_weight: float  # in time during the load, as a share of what the core can serve of that mix
    p99_delay_ms: float  # own delay of admitted requests
    shed_deviation: float  # standard deviation of the rejected share by 100 ms, after the settling time
    recovery_s: float  # from the end of the load until nothing is rejected and the delay is below the target
    false_alarms: float  # share of the requests rejected before the load and after the recovery


class ItemKind(IntEnum):
    """Kind of an item that a poll returns."""

    REQUEST = 0
    RESPONSE = 1


class Item(NamedTuple):
    """A request or a response that the event loop can process from ``ready_at`` on."""

    ready_at: float
    kind: ItemKind
    class_index: int
    first_sent_at: float
    retries: int


class ShedRange(NamedTuple):
    """Shed fractions over which a class is shed: none of it at ``lower``, all of it at ``upper``."""

    lower: float
    upper: float

    def share_at(self, shed_fraction: float) -> float:
        """Return the share of the class to reject."""
        return min(1.0, max(0.0, (shed_fraction - self.lower) / (self.upper - self.lower)))


class Simulation:
    """A run of the event loop under a workload, with a controller."""

    def __init__(self, controller: AdmissionController, workload: Workload) -> None:
        self._controller = controller
        self._workload = workload
        self._random = stream(workload.seed, "gates", workload.load, workload.core)
        self._rate = SUSTAINABLE_PER_S * workload.core
        self._ready = self._draw_arrivals()
        self._shed_ranges = _shed_ranges()
        self._now = 0.0
        self._polled_at = 0.0
        self._last_batch_s = 0.0  # duration of the last poll's items
        self._period_end, self._delays = CONTROL_PERIOD_S, [0.0]
        self._served_weight = 0.0
        self._own_delays: list[float] = []  # of what was admitted during the load
        self._shed_by_interval: dict[int, list[int]] = {}
        self._unloaded = self._false_alarms = 0
        self._recovered_at = workload.load_end_s

    def run(self) -> Result:
        """Process all requests and return the measures."""
        while self._ready and self._now <= self._workload.end_s + MAX_OVERTIME_S:
            if self._ready[0].ready_at > self._now:
                self._now = self._ready[0].ready_at
                self._last_batch_s = 0.0
            self._polled_at = self._now
            for item in self._poll():
                self._handle(item)
            self._last_batch_s = self._now - self._polled_at
            self._delays = self._delays or [0.0]
        return self._result()

    def _draw_arrivals(self) -> list[Item]:
        shares = np.cumsum([request_class.share for request_class in CLASSES])
        arrivals: list[Item] = []
        at = 0.0
        while at < self._workload.end_s:
            level = self._workload.load if self._workload.is_loaded(at) else self._workload.base_load
            at += float(self._random.exponential(1 / (self._rate * level)))
            class_index = int(np.searchsorted(shares, self._random.random()))
            arrivals.append(Item(at, ItemKind.REQUEST, class_index, at, 0))
        heapq.heapify(arrivals)
        return arrivals

    def _poll(self) -> list[Item]:
        batch = []
        while self._ready and self._ready[0].ready_at <= self._now:
            batch.append(heapq.heappop(self._ready))
        return batch

    def _handle(self, item: Item) -> None:
        if self._now >= self._period_end:
            self._controller.update(self._now, sum(self._delays) / len(self._delays), min(self._delays))
            self._period_end, self._delays = self._now + CONTROL_PERIOD_S, []
        # The daemon knows an upper bound of the age only: the item became ready after the poll before.
        age = self._now - self._polled_at + self._last_batch_s
        self._delays.append(age)
        if item.kind is ItemKind.RESPONSE:
            self._respond(item)
        else:
            self._handle_request(item, age)

    def _respond(self, item: Item) -> None:
        self._now += RESPOND_US / 1e6 / self._workload.core
        request_class = CLASSES[item.class_index]
        in_time = self._now - item.first_sent_at <= request_class.latency_objective_s
        if in_time and self._workload.is_loaded(item.first_sent_at):
            self._served_weight += request_class.priority_weight

    def _handle_request(self, item: Item, age: float) -> None:
        true_age = self._now - item.ready_at
        time_left = CLASSES[item.class_index].deadline_s - (self._now - item.first_sent_at)
        share = self._shed_ranges[item.class_index].share_at(self._controller.shed_fraction)
        is_shed = self._controller.cannot_meet_deadline(age, time_left) or self._random.random() < share
        self._count(item, is_shed)
        if is_shed:
            self._reject(item, time_left)
        else:
            self._forward(item, time_left, true_age)

    def _count(self, item: Item, is_shed: bool) -> None:
        workload = self._workload
        if workload.base_length_s + SETTLING_S <= self._now < workload.load_end_s:
            self._shed_by_interval.setdefault(int(self._now * 10), []).append(int(is_shed))
        first = item.first_sent_at
        if first < workload.base_length_s or first > workload.load_end_s + RECOVERY_GRACE_S:
            self._unloaded += 1
            self._false_alarms += is_shed

    def _reject(self, item: Item, time_left: float) -> None:
        self._now += REJECT_US / 1e6 / self._workload.core
        if self._now > self._workload.load_end_s:
            self._recovered_at = max(self._recovered_at, self._now)
        if item.retries >= MAX_RETRIES or time_left <= MIN_TIME_LEFT_S:
            return
        wait = self._retry_wait()
        if wait < time_left:
            heapq.heappush(self._ready, item._replace(ready_at=self._now + wait, retries=item.retries + 1))

    def _retry_wait(self) -> float:
        if self._workload.clients is Clients.IMMEDIATE:
            return IMMEDIATE_RETRY_S
        advised = MIN_RETRY_AFTER_S + self._controller.shed_fraction * (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S)
        if self._random.random() < RETRY_AFTER_SHARE:
            return float(advised * self._random.uniform(0.5, 1.5))
        return RETRY_WAIT_S

    def _forward(self, item: Item, time_left: float, true_age: float) -> None:
        self._now += FORWARD_US / 1e6 / self._workload.core
        if self._workload.is_loaded(self._now):
            self._own_delays.append(true_age)
        if self._now > self._workload.load_end_s and true_age > TARGET_DELAY_S:
            self._recovered_at = max(self._recovered_at, self._now)
        if time_left > 0:
            back_at = self._now + float(self._random.exponential(MEAN_RESPONSE_TIME_S))
            heapq.heappush(self._ready, item._replace(ready_at=back_at, kind=ItemKind.RESPONSE))

    def _result(self) -> Result:
        workload = self._workload
        offered = _best_weight(workload.load) * self._rate * workload.length_s
        shed_shares = [float(np.mean(interval)) for interval in self._shed_by_interval.values() if interval]
        return Result(
            self._served_weight / offered,
            1000 * float(np.quantile(self._own_delays, 0.99)) if self._own_delays else 0.0,
            float(np.std(shed_shares)) if shed_shares else 0.0,
            self._recovered_at - workload.load_end_s,
            self._false_alarms / max(1, self._unloaded),
        )


def _shed_ranges() -> dict[int, ShedRange]:
    """Return the range of shed fractions over which each class is shed."""
    ranges = {}
    lower = 0.0
    for class_index in SHEDDING_ORDER:
        upper = lower + CLASSES[class_index].share
        ranges[class_index] = ShedRange(lower, upper)
        lower = upper
    return ranges


def _best_weight(load: float) -> float:
    """Return the mean weight of a request if the core serves the highest priorities first."""
    capacity, best = 1.0, 0.0
    for class_index in reversed(SHEDDING_ORDER):
        served = min(capacity, CLASSES[class_index].share * load)
        best += served * CLASSES[class_index].priority_weight
        capacity -= served
    return best
