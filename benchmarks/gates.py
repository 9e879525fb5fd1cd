"""Five ways to hold off the sidecar's own overload, on one model of its loop in simulated time.

    python benchmarks/gates.py [--seeds 5]

The model is the daemon's loop: a poll returns all that is ready, each item costs a piece of the core, and what comes
meanwhile waits for the next turn.  A request costs ``REJECT_US`` to reject, or ``FORWARD_US`` to forward and
``RESPOND_US`` when its response is back.  Clients retry after a rejection, three times; each gives up at its deadline.

Weighed: a standing delay in the manner of CoDel (Nichols and Jacobson, 2012; RFC 8289), PIE (RFC 8033), AIMD on the
delay (Chiu and Jain, 1989), the gradient of delay on the admitted rate (Brakmo and Peterson's Vegas, 1995, as in
adaptive concurrency limits), and dropping only what can no longer be met (Dean and Barroso, "The Tail at Scale", 2013).
Each turns the delay into ``shed_fraction``: the share of requests to reject, lowest priority first.
"""

from __future__ import annotations

import argparse
import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from itertools import product
from math import sqrt
from typing import NamedTuple

import numpy as np

from lugtally.testbed.scenario.random_streams import stream

FORWARD_US, RESPOND_US, REJECT_US = 110.0, 90.0, 20.0
SUSTAINABLE_PER_S = 1e6 / (FORWARD_US + RESPOND_US)  # requests that fill the core
SERVICE_S = 0.04  # mean time at a server
MAX_RETRIES = 3
RETRY_WAIT_S, RETRY_AFTER_SHARE, MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S = 0.1, 0.3, 2.0, 0.1
IMMEDIATE_RETRY_S = 0.0005
MIN_TIME_LEFT_S = 0.02  # for a retry
TARGET_DELAY_S = 0.010
PERIOD_S = 0.02
MAX_SHED_FRACTION = 0.97
MIN_ADMITTED = 0.03
SETTLING_S = 1.0  # after the load begins, in which the swing is not counted
RECOVERY_GRACE_S = 2.0  # after the load ends, in which a rejection is no false alarm
MAX_OVERTIME_S = 30.0  # of simulated time, for what never ends
CORE = 0.25
LOADS = (0.9, 1.5, 2.0, 4.0, 10.0)  # of what the core can do


class RequestClass(NamedTuple):
    """A class of the operators' brief."""

    share: float
    priority_weight: float
    latency_objective_s: float
    deadline_s: float


CLASSES = (RequestClass(0.45, 1.0, 0.3, 0.8), RequestClass(0.35, 3.0, 0.5, 1.0), RequestClass(0.20, 2.0, 1.0, 3.0))
SHEDDING_ORDER = (0, 2, 1)  # classes, rejected first to last, by priority


class Clients(StrEnum):
    """What clients do after a rejection."""

    IMMEDIATE = "at once"
    BRIEF = "brief"  # as in the brief: after 100 ms, three in ten as long as Retry-After says


class AdmissionController:
    """What gets the delay, and says which share to reject."""

    name = "none"

    def __init__(self) -> None:
        self.shed_fraction = 0.0

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Take the delays of the last period, in seconds."""

    def is_hopeless(self, age: float, time_left: float) -> bool:
        """Whether a request cannot be answered in time any more."""
        return False


class DeadlineOnly(AdmissionController):
    """Rejects only what cannot be met."""

    name = "deadline only"

    def is_hopeless(self, age: float, time_left: float) -> bool:
        """Return whether less time is left than the work alone takes."""
        return time_left - age < SERVICE_S


class StandingDelay(DeadlineOnly):
    """A standing delay, the lowest over 100 ms, starts rejecting; each further 100 ms/sqrt(n) it rejects more."""

    name = "standing delay"

    def __init__(self) -> None:
        super().__init__()
        self._below_target_at, self._increases, self._next_increase_at = 0.0, 0, 0.0

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Reject more the longer even the lowest delay has been over the target."""
        if min_delay < TARGET_DELAY_S:
            self._below_target_at, self._increases = now, 0
            self.shed_fraction = max(0.0, self.shed_fraction - 0.02)
        elif now - self._below_target_at >= 0.1 and now >= self._next_increase_at:
            self._increases += 1
            self._next_increase_at = now + 0.1 / sqrt(self._increases)
            self.shed_fraction = min(MAX_SHED_FRACTION, self.shed_fraction + 0.05)


class Pie(DeadlineOnly):
    """Proportional and integral: RFC 8033, 4.2, with the gains scaled down while little is rejected."""

    name = "PIE on standing delay"
    alpha, beta = 1.25, 6.25  # a second of delay, for a period of 20 ms

    def __init__(self) -> None:
        super().__init__()
        self._last_delay = self._last_mean = 0.0

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Move the share by the standing delay and its growth."""
        delay = min(mean_delay, self._last_mean)
        self._last_mean = mean_delay
        change_of_delay = delay - self._last_delay
        growth = change_of_delay if delay >= TARGET_DELAY_S else min(0.0, change_of_delay)
        change = self.alpha * (delay - TARGET_DELAY_S) + self.beta * growth
        scale = 0.25 if self.shed_fraction < 0.01 else 0.5 if self.shed_fraction < 0.1 else 1.0
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + min(0.1, scale * change)))
        if delay < TARGET_DELAY_S / 2 and self._last_delay < TARGET_DELAY_S / 2:
            self.shed_fraction *= 0.98
        self._last_delay = delay


class Aimd(DeadlineOnly):
    """Admits a fixed bit more while the delay is short, a fixed share less while it is long."""

    name = "AIMD"

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Step up or scale down by the mean delay."""
        admitted = 1 - self.shed_fraction
        admitted = admitted * 0.85 if mean_delay > TARGET_DELAY_S else admitted + 0.01
        self.shed_fraction = 1 - min(1.0, max(MIN_ADMITTED, admitted))


class Gradient(DeadlineOnly):
    """The admitted share follows target/delay, smoothed, with a little slack to probe upwards."""

    name = "gradient"

    def update(self, now: float, mean_delay: float, min_delay: float) -> None:
        """Follow the ratio of target and mean delay."""
        admitted = 1 - self.shed_fraction
        gradient = min(1.0, max(0.5, TARGET_DELAY_S / max(1e-6, mean_delay)))
        wanted = admitted * gradient + 0.02 * sqrt(admitted)
        self.shed_fraction = 1 - min(1.0, max(MIN_ADMITTED, 0.7 * admitted + 0.3 * wanted))


MakeController = Callable[[], AdmissionController]
CONTROLLERS: list[MakeController] = [AdmissionController, DeadlineOnly, StandingDelay, Pie, Aimd, Gradient]


@dataclass(frozen=True)
class Workload:
    """Some seconds at half load, some at ``load`` times the sustainable rate, and the first ones again."""

    load: float
    seed: int
    clients: Clients = Clients.BRIEF
    core: float = CORE  # share of a core that the sidecar has
    length_s: float = 6.0  # of the load
    base_length_s: float = 3.0  # before it and after it
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
        """Whether this is a time of the load."""
        return self.base_length_s <= at < self.load_end_s


@dataclass
class Result:
    """One run."""

    worth: float  # weight served in time during the load, against what the core can serve of that mix
    p99_ms: float  # own delay of what was admitted
    swing: float  # standard deviation of the rejected share by 100 ms, after the first second
    recovery_s: float  # from the load's end until nothing is rejected and the delay is under the target
    refused: float  # share of the requests before the load and after its recovery: false alarms


class ItemKind(IntEnum):
    """What a poll returns."""

    REQUEST = 0
    RESPONSE = 1


class Item(NamedTuple):
    """Something that is ready for the loop from a time on."""

    ready_at: float
    kind: ItemKind
    class_index: int
    first_sent_at: float
    retries: int


class Simulation:
    """The daemon's loop under a workload, with a controller."""

    def __init__(self, controller: AdmissionController, workload: Workload) -> None:
        self._controller = controller
        self._workload = workload
        self._random = stream(workload.seed, "gates", workload.load, workload.core)
        self._rate = SUSTAINABLE_PER_S * workload.core
        self._ready = self._draw_arrivals()
        self._bounds = _shedding_bounds()
        self._now = 0.0
        self._polled_at = 0.0
        self._last_turn_s = 0.0
        self._period_end, self._delays = PERIOD_S, [0.0]
        self._served_weight = 0.0
        self._own_delays: list[float] = []  # of what was admitted during the load
        self._shed_by_tenth: dict[int, list[int]] = {}
        self._unloaded = self._false_alarms = 0
        self._recovered_at = workload.load_end_s

    def run(self) -> Result:
        """Play all requests to their end."""
        while self._ready and self._now <= self._workload.end_s + MAX_OVERTIME_S:
            if self._ready[0].ready_at > self._now:
                self._now = self._ready[0].ready_at
                self._last_turn_s = 0.0
            self._polled_at = self._now
            for item in self._poll():
                self._handle(item)
            self._last_turn_s = self._now - self._polled_at
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
            self._period_end, self._delays = self._now + PERIOD_S, []
        # What the daemon can know: an upper bound of the true age.
        age = self._now - self._polled_at + self._last_turn_s
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
        lower, upper = self._bounds[item.class_index]
        share = min(1.0, max(0.0, (self._controller.shed_fraction - lower) / (upper - lower)))
        is_shed = self._controller.is_hopeless(age, time_left) or self._random.random() < share
        self._count(item, is_shed)
        if is_shed:
            self._reject(item, time_left)
        else:
            self._forward(item, time_left, true_age)

    def _count(self, item: Item, is_shed: bool) -> None:
        workload = self._workload
        if workload.base_length_s + SETTLING_S <= self._now < workload.load_end_s:
            self._shed_by_tenth.setdefault(int(self._now * 10), []).append(int(is_shed))
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
            back_at = self._now + float(self._random.exponential(SERVICE_S))
            heapq.heappush(self._ready, item._replace(ready_at=back_at, kind=ItemKind.RESPONSE))

    def _result(self) -> Result:
        workload = self._workload
        offered = _best_weight(workload.load) * self._rate * workload.length_s
        swings = [float(np.mean(tenth)) for tenth in self._shed_by_tenth.values() if tenth]
        return Result(
            self._served_weight / offered,
            1000 * float(np.quantile(self._own_delays, 0.99)) if self._own_delays else 0.0,
            float(np.std(swings)) if swings else 0.0,
            self._recovered_at - workload.load_end_s,
            self._false_alarms / max(1, self._unloaded),
        )


def _shedding_bounds() -> dict[int, tuple[float, float]]:
    """Between which fractions each class is shed, in part and then all of it."""
    bounds = {}
    low = 0.0
    for class_index in SHEDDING_ORDER:
        bounds[class_index] = low, low + CLASSES[class_index].share
        low += CLASSES[class_index].share
    return bounds


def _best_weight(load: float) -> float:
    """The weight a request of the best mix that the core can serve: the highest priorities first."""
    capacity, best = 1.0, 0.0
    for class_index in reversed(SHEDDING_ORDER):
        served = min(capacity, CLASSES[class_index].share * load)
        best += served * CLASSES[class_index].priority_weight
        capacity -= served
    return best


def simulate(make: MakeController, workload: Workload) -> Result:
    """Play a workload with a new controller."""
    return Simulation(make(), workload).run()


def main() -> None:
    """Print the table: the mean over the seeds, and the range of the worth."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print(
        "| gate | clients | load | worth of the best (least to most) | own delay p99 ms | swing | recovery s "
        "| false alarms |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for make in CONTROLLERS:
        for clients, load in product((Clients.BRIEF, Clients.IMMEDIATE), LOADS):
            runs = [simulate(make, Workload(load, seed, clients)) for seed in range(options.seeds)]
            worths = [run.worth for run in runs]
            means = [
                float(np.mean([getattr(run, name) for run in runs]))
                for name in ("worth", "p99_ms", "swing", "recovery_s", "refused")
            ]
            print(
                f"| {make().name} | {clients} | {load:g} | {means[0]:.2f} ({min(worths):.2f} to {max(worths):.2f}) "
                f"| {means[1]:.0f} | {means[2]:.2f} | {means[3]:.1f} | {means[4]:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
