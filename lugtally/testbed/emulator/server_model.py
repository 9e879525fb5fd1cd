"""Model of a server: no I/O, no clock, no draws of its own; the time is passed in, in seconds.

Requests take slots in the order in which they come; the others wait in the queue.  Those in service share the cores.
How fast a core works is the product of the server's speed, its congestion, the choke (a slowdown that sustained
congestion sets off), its warm-up, the table of connections and what others take of the machine.  Between two calls
all of these are constant, so a caller must come back at :meth:`ServerModel.next_due`, which is at most
:data:`MAX_STEP_S` ahead where something changes by itself.

Sources: processor sharing and M/M/c as in Kleinrock, Queueing Systems I (1975), 3.5 and 4.4.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

MAX_STEP_S = 0.05  # the longest step over which a changing speed counts as constant
NEGLIGIBLE_WORK = 1e-9  # core-seconds that count as none
MIN_STEP_S = 1e-7  # without it, what rounding leaves over would stop the clock
IDLE_PER_CORE = 0.5  # requests a core up to which a choked server counts as idle


@dataclass(frozen=True, slots=True)
class ServerTraits:
    """Properties of a server that stay.

    Work is in core-seconds, ``speed`` in core-seconds of work that a core does in a second; shares are parts of 1.
    """

    cores: int = 2
    slots: int = 2  # requests in service at once
    max_queue: int = 76
    speed: float = 1.0
    congestion_threshold: float = 4.0  # requests a core from which efficiency falls
    congestion_loss: float = 0.4
    choke_threshold: float = inf  # requests a core that, sustained, choke the server
    choke_onset_s: float = 2.0  # for how long they must be sustained
    choke_slowdown: float = 2.8
    choke_idle_s: float = 3.5  # idle for so long ends the choke
    max_choke_s: float = 25.0  # and so does this long in all
    initial_capacity: float = 1.0  # share of the full capacity at its start
    warm_up_s: float = 5.0
    warms_up_by_work: bool = False
    collapse_multiple: float = 2.5  # times its present capacity that collapse a server that is warming up
    collapse_window_s: float = 1.0
    max_connections: int = 68
    full_table_loss: float = 0.0  # share of the capacity that a full table of connections takes
    handshake_work: float = 0.0
    drops_expired: bool = True  # rejects a request that is past its deadline when its turn comes


class Admission(Enum):
    """Whether a request that was offered is admitted, and the reason where it is not."""

    ADMITTED = "admitted"
    FULL = "the queue is full"
    DRAINING = "the server is draining"
    EXPIRED = "past its deadline"


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server: ``work`` and ``remaining`` in core-seconds, ``deadline`` in the model's time."""

    name: str
    work: float
    deadline: float = inf
    sidecar: int = 0
    remaining: float = field(init=False)
    arrived_at: float = 0.0
    started_at: float = -1.0  # when it took a slot; -1: it is queued, or never did
    ended_at: float = -1.0
    expired: bool = False  # dropped without work as its turn came past its deadline

    def __post_init__(self) -> None:
        self.remaining = self.work


class _ColdArrival(NamedTuple):
    """A request that reached the server while it was warming up."""

    at: float
    work: float
    sidecar: int


class ServerModel:
    """One process on one machine."""

    def __init__(self, traits: ServerTraits, now: float, *, cold: bool = False) -> None:
        self.traits = traits
        self.now = now
        self.started_at = now if cold else -inf
        self.in_service: list[Job] = []
        self.queue: deque[Job] = deque()
        self._ended: list[Job] = []  # not yet returned: slots are also filled between two calls of ``advance``
        self.draining = False
        self.silent = False  # admits everything, works on nothing
        self.neighbour_share = 0.0  # share of the machine that other programs take
        self.slowdown = 1.0  # factor, by a resource that all servers share
        self.collapsed = False
        self.connections = 0
        self.work_done = 0.0  # core-seconds, since its start
        self.overhead_work = 0.0  # core-seconds of handshakes and health checks still to do
        self.choked_since = -1.0
        self._congested_since = -1.0
        self._idle_since = -1.0
        self._cold_arrivals: deque[_ColdArrival] = deque()  # of the last window
        self._cold_work = 0.0
        self.collapsed_at = -1.0
        self.collapse_work_by_sidecar: dict[int, float] = {}  # in the window that collapsed it

    @property
    def in_flight(self) -> int:
        """Requests in service or queued."""
        return len(self.in_service) + len(self.queue)

    @property
    def warm_fraction(self) -> float:
        """The share of its full capacity that it has by now: 1 once it has warmed up."""
        traits = self.traits
        age = self.now - self.started_at
        if traits.initial_capacity >= 1 or age >= traits.warm_up_s:
            return 1.0
        progress = age / traits.warm_up_s
        if traits.warms_up_by_work:
            # Never slower than evenly over the time, so idle servers warm up as well.
            progress = max(progress, self.work_done / (traits.warm_up_s * traits.cores * traits.speed))
        return min(1.0, traits.initial_capacity + (1 - traits.initial_capacity) * progress)

    @property
    def capacity(self) -> float:
        """Core-seconds of work a second with all cores busy and no congestion."""
        return self.traits.cores * self.traits.speed * self.warm_fraction

    def _core_speed(self) -> float:
        """Core-seconds of work a second that one busy core does now."""
        if self.silent or self.collapsed:
            return 0.0
        traits = self.traits
        congestion = self.in_flight / traits.cores / traits.congestion_threshold
        speed = traits.speed * self.warm_fraction * (1 - self.neighbour_share) / self.slowdown
        if congestion > 1:
            speed /= 1 + traits.congestion_loss * (congestion - 1)
        if self.choked_since >= 0:
            speed /= traits.choke_slowdown
        return speed * (1 - traits.full_table_loss * min(1.0, self.connections / traits.max_connections))

    def _speed_of_each(self) -> float:
        """The speed of each item in work: the cores are shared where there are more items than cores."""
        items = len(self.in_service) + (self.overhead_work > 0)
        return self._core_speed() * min(1.0, self.traits.cores / items) if items else 0.0

    def offer(self, now: float, job: Job) -> Admission:
        """Offer a request that arrived completely.  :meth:`advance` to ``now`` first."""
        assert now >= self.now - NEGLIGIBLE_WORK, "time runs forward"
        self._count_cold_arrival(now, job)
        if self.silent or self.collapsed:
            # A server that sends nothing does not say that it is draining or full either.
            job.arrived_at = now
            self.queue.append(job)
            return Admission.ADMITTED
        if now >= job.deadline and self.traits.drops_expired:
            return Admission.EXPIRED
        if self.draining:
            return Admission.DRAINING
        if len(self.in_service) >= self.traits.slots and len(self.queue) >= self.traits.max_queue:
            return Admission.FULL
        job.arrived_at = now
        self.queue.append(job)
        self._fill_slots(now)
        self._update_choke(now)
        return Admission.ADMITTED

    def cancel(self, now: float, job: Job) -> None:
        """Stop work on a request whose client has disconnected; without effect where it has ended."""
        if job in self.in_service:
            self.in_service.remove(job)
            self._fill_slots(now)
        elif job in self.queue:
            self.queue.remove(job)
        self._update_choke(now)

    def connect(self) -> bool:
        """Count a new connection; false where the table is full."""
        if self.connections >= self.traits.max_connections:
            return False
        self.connections += 1
        self.overhead_work += self.traits.handshake_work
        return True

    def disconnect(self) -> None:
        """Count the end of a connection."""
        self.connections -= 1
        assert self.connections >= 0, "more connections ended than began"

    def health_check(self, work: float) -> None:
        """Add the cost of a health check, in core-seconds, beside the requests."""
        self.overhead_work += work

    def advance(self, now: float) -> list[Job]:
        """Work until ``now``; return what has ended, in order: done, or ``expired`` as its turn came too late."""
        self._fill_slots(self.now)  # it may have been silent until now
        while self.now < now:
            self._work_for(min(now, self._constant_until(self.now)) - self.now)
            self._end_finished_jobs()
            self._fill_slots(self.now)
            self._update_choke(self.now)
        self.now = max(self.now, now)
        ended, self._ended = self._ended, []
        return ended

    def _work_for(self, step: float) -> None:
        each = self._speed_of_each()
        for job in self.in_service:
            job.remaining -= each * step
        self.work_done += each * step * len(self.in_service)
        if self.overhead_work > 0:
            self.overhead_work = max(0.0, self.overhead_work - each * step)
        self.now += step

    def _end_finished_jobs(self) -> None:
        finished = [job for job in self.in_service if job.remaining <= NEGLIGIBLE_WORK]
        for job in finished:
            job.ended_at = self.now
            self.in_service.remove(job)
        self._ended += finished

    def next_due(self) -> float:
        """Return when to call :meth:`advance` next; infinite where nothing will happen by itself."""
        if self._ended:
            return self.now
        if not self.in_service and self.overhead_work <= 0 and self.choked_since < 0:
            return inf
        return self._constant_until(self.now)

    def _constant_until(self, now: float) -> float:
        """Until when the speed stays as it is."""
        each = self._speed_of_each()
        due = inf
        if each > 0:
            if self.in_service:
                due = now + max(min(job.remaining for job in self.in_service) / each, MIN_STEP_S)
            if self.overhead_work > 0:
                due = min(due, now + max(self.overhead_work / each, MIN_STEP_S))
        if self.warm_fraction < 1 or self.choked_since >= 0 or self._congested_since >= 0:
            due = min(due, now + MAX_STEP_S)
        return due

    def _fill_slots(self, now: float) -> None:
        """Give free slots to the requests queued longest; those past their deadline end without work."""
        while self.queue and len(self.in_service) < self.traits.slots and not self.silent:
            job = self.queue.popleft()
            if now >= job.deadline and self.traits.drops_expired:
                job.expired, job.ended_at = True, now
                self._ended.append(job)
                continue
            job.started_at = now
            self.in_service.append(job)

    def _update_choke(self, now: float) -> None:
        """Start or end the choke: congestion sets it off; idleness, or its longest time, ends it."""
        if self.choked_since >= 0:
            self._end_choke_when_due(now)
        elif self.in_flight / self.traits.cores <= self.traits.choke_threshold:
            self._congested_since = -1.0
        elif self._congested_since < 0:
            self._congested_since = now
        elif now - self._congested_since >= self.traits.choke_onset_s:
            self.choked_since, self._idle_since = now, -1.0

    def _end_choke_when_due(self, now: float) -> None:
        if self.in_flight / self.traits.cores > IDLE_PER_CORE:
            self._idle_since = -1.0
        elif self._idle_since < 0:
            self._idle_since = now
        idle = self._idle_since >= 0 and now - self._idle_since >= self.traits.choke_idle_s
        if idle or now - self.choked_since >= self.traits.max_choke_s:
            self.choked_since = self._congested_since = -1.0

    def _count_cold_arrival(self, now: float, job: Job) -> None:
        """Count what reaches a server that is warming up, also what it rejects; too much collapses it."""
        if self.warm_fraction >= 1 or self.collapsed:
            return
        window_s = self.traits.collapse_window_s
        self._cold_arrivals.append(_ColdArrival(now, job.work, job.sidecar))
        self._cold_work += job.work
        while self._cold_arrivals and self._cold_arrivals[0].at < now - window_s:
            self._cold_work -= self._cold_arrivals.popleft().work
        # Some slack for chance: the budget of the window, and two requests of that size.
        if self._cold_work > self.traits.collapse_multiple * self.capacity * window_s + 2 * job.work:
            self._collapse(now)

    def _collapse(self, now: float) -> None:
        self.collapsed, self.collapsed_at = True, now
        by_sidecar = self.collapse_work_by_sidecar
        for arrival in self._cold_arrivals:
            by_sidecar[arrival.sidecar] = by_sidecar.get(arrival.sidecar, 0.0) + arrival.work
