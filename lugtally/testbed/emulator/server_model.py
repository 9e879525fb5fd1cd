"""Model of a server, without I/O, clock or random draws: the caller passes the time in, in seconds.

Requests take slots in the order of their arrival; the others wait in the queue.  Requests in service share the cores.
The speed of a core is the product of the server's speed, its congestion, the choke, its warm-up, its connection table
and the share of the machine that other programs use.  The model counts all of these as constant between two calls.
The caller therefore advances it at :meth:`ServerModel.next_due`, at most :data:`MAX_INTERVAL_S` ahead while the speed
changes over time.

Source: processor sharing and M/M/c in Kleinrock, Queueing Systems I (1975), 3.5 and 4.4.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from lugtally.testbed.emulator.cold_overload import ColdOverloadDetector
from lugtally.testbed.emulator.congestion_choke import CongestionChoke

MAX_INTERVAL_S = 0.05  # over which a changing speed counts as constant
MIN_INTERVAL_S = 1e-7  # guards against intervals of 0 after rounding, which would stop the model's time
NEGLIGIBLE_WORK = 1e-9  # core-seconds that count as none


@dataclass(frozen=True, slots=True)
class ServerTraits:
    """Constant properties of a server.

    Work is in core-seconds, ``speed`` in core-seconds of work a second and core; shares are between 0 and 1.
    """

    cores: int = 2
    slots: int = 2  # requests in service at once
    max_queue: int = 76
    speed: float = 1.0
    congestion_threshold: float = 4.0  # requests a core above which the speed falls
    congestion_loss: float = 0.4
    choke_threshold: float = inf  # requests a core above which the server chokes
    choke_onset_s: float = 2.0  # of sustained congestion
    choke_slowdown: float = 2.8  # factor
    choke_idle_s: float = 3.5  # of idleness that ends the choke
    max_choke_s: float = 25.0
    initial_capacity: float = 1.0  # share of the full capacity at a cold start
    warm_up_s: float = 5.0
    warms_up_by_work: bool = False
    collapse_multiple: float = 2.5  # of the present capacity, above which a server that warms up collapses
    collapse_window_s: float = 1.0
    max_connections: int = 68
    full_table_loss: float = 0.0  # share of the capacity that a full connection table costs
    handshake_work: float = 0.0
    drops_expired: bool = True  # rejects a request that is past its deadline when it leaves the queue


class Admission(Enum):
    """Whether a request is admitted, and the reason if not."""

    ADMITTED = "admitted"
    FULL = "the queue is full"
    DRAINING = "the server is draining"
    EXPIRED = "past its deadline"


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server.  ``work`` and ``remaining`` are in core-seconds, times in the model's time."""

    name: str
    work: float
    deadline: float = inf
    sidecar: int = 0
    remaining: float = field(init=False)
    arrived_at: float = 0.0
    started_at: float = -1.0  # when it took a slot; -1 if it did not
    ended_at: float = -1.0  # -1 if it has not ended
    expired: bool = False  # dropped without work, as it left the queue past its deadline

    def __post_init__(self) -> None:
        self.remaining = self.work


class ServerModel:
    """A server process on a machine."""

    def __init__(self, traits: ServerTraits, now_s: float, *, cold: bool = False) -> None:
        self.traits = traits
        self.now = now_s
        self.started_at = now_s if cold else -inf
        self.in_service: list[Job] = []
        self.queue: deque[Job] = deque()
        self._ended: list[Job] = []  # to be returned by ``advance``; jobs also end between two calls of it
        self.draining = False
        self.silent = False  # admits every request, works on none
        self.neighbour_share = 0.0  # share of the machine that other programs use
        self.slowdown = 1.0  # factor, due to a resource that all servers share
        self.collapsed = False
        self.connections = 0
        self.work_done = 0.0  # core-seconds, since the start
        self.overhead_work = 0.0  # remaining core-seconds of handshakes and health checks
        self.choke = CongestionChoke(
            traits.choke_threshold, traits.choke_onset_s, traits.choke_idle_s, traits.max_choke_s
        )
        self._cold_overload = ColdOverloadDetector(traits.collapse_multiple, traits.collapse_window_s)
        self.collapsed_at = -1.0
        self.collapse_work_by_sidecar: dict[int, float] = {}  # in the window before the collapse

    @property
    def in_flight(self) -> int:
        """Number of requests in service or in the queue."""
        return len(self.in_service) + len(self.queue)

    @property
    def warm_fraction(self) -> float:
        """Present share of the full capacity; 1 after the warm-up."""
        traits = self.traits
        age = self.now - self.started_at
        if traits.initial_capacity >= 1 or age >= traits.warm_up_s:
            return 1.0
        progress = age / traits.warm_up_s
        if traits.warms_up_by_work:
            # At least linear in time, so that idle servers warm up as well.
            progress = max(progress, self.work_done / (traits.warm_up_s * traits.cores * traits.speed))
        return min(1.0, traits.initial_capacity + (1 - traits.initial_capacity) * progress)

    @property
    def capacity(self) -> float:
        """Core-seconds of work a second with all cores busy and without congestion."""
        return self.traits.cores * self.traits.speed * self.warm_fraction

    def _core_speed(self) -> float:
        """Return the core-seconds of work a second that one busy core does now."""
        if self.silent or self.collapsed:
            return 0.0
        traits = self.traits
        congestion = self.in_flight / traits.cores / traits.congestion_threshold
        speed = traits.speed * self.warm_fraction * (1 - self.neighbour_share) / self.slowdown
        if congestion > 1:
            speed /= 1 + traits.congestion_loss * (congestion - 1)
        if self.choke.is_active:
            speed /= traits.choke_slowdown
        return speed * (1 - traits.full_table_loss * min(1.0, self.connections / traits.max_connections))

    def _speed_of_each(self) -> float:
        """Return the speed of each item in service.  Items share the cores if they outnumber them."""
        items = len(self.in_service) + (self.overhead_work > 0)
        return self._core_speed() * min(1.0, self.traits.cores / items) if items else 0.0

    def offer(self, now_s: float, job: Job) -> Admission:
        """Admit or reject a request that arrived completely.  Call :meth:`advance` with ``now_s`` first."""
        assert now_s >= self.now - NEGLIGIBLE_WORK, "time runs forward"
        self._count_cold_arrival(now_s, job)
        if self.silent or self.collapsed:
            # Such a server sends no response, so it cannot reject a request either.
            job.arrived_at = now_s
            self.queue.append(job)
            return Admission.ADMITTED
        if now_s >= job.deadline and self.traits.drops_expired:
            return Admission.EXPIRED
        if self.draining:
            return Admission.DRAINING
        if len(self.in_service) >= self.traits.slots and len(self.queue) >= self.traits.max_queue:
            return Admission.FULL
        job.arrived_at = now_s
        self.queue.append(job)
        self._fill_slots(now_s)
        self._update_choke(now_s)
        return Admission.ADMITTED

    def cancel(self, now_s: float, job: Job) -> None:
        """Stop work on a request whose client disconnected.  Does nothing if the request has ended."""
        if job in self.in_service:
            self.in_service.remove(job)
            self._fill_slots(now_s)
        elif job in self.queue:
            self.queue.remove(job)
        self._update_choke(now_s)

    def connect(self) -> bool:
        """Add a connection to the table; return False if the table is full."""
        if self.connections >= self.traits.max_connections:
            return False
        self.connections += 1
        self.overhead_work += self.traits.handshake_work
        return True

    def disconnect(self) -> None:
        """Remove a connection from the table."""
        self.connections -= 1
        assert self.connections >= 0, "more connections ended than began"

    def health_check(self, work: float) -> None:
        """Add the work of a health check, in core-seconds."""
        self.overhead_work += work

    def advance(self, now_s: float) -> list[Job]:
        """Work until ``now_s`` and return the requests that ended, in order, done or ``expired``."""
        self._fill_slots(self.now)  # the server may have been silent until now
        while self.now < now_s:
            self._work_for(min(now_s, self._constant_until(self.now)) - self.now)
            self._end_finished_jobs()
            self._fill_slots(self.now)
            self._update_choke(self.now)
        self.now = max(self.now, now_s)
        ended, self._ended = self._ended, []
        return ended

    def _work_for(self, duration: float) -> None:
        """Work at constant speed for some seconds."""
        speed = self._speed_of_each()
        for job in self.in_service:
            job.remaining -= speed * duration
        self.work_done += speed * duration * len(self.in_service)
        if self.overhead_work > 0:
            self.overhead_work = max(0.0, self.overhead_work - speed * duration)
        self.now += duration

    def _end_finished_jobs(self) -> None:
        finished = [job for job in self.in_service if job.remaining <= NEGLIGIBLE_WORK]
        for job in finished:
            job.ended_at = self.now
            self.in_service.remove(job)
        self._ended += finished

    def next_due(self) -> float:
        """Return when to call :meth:`advance` next, infinite if nothing changes without a further call."""
        if self._ended:
            return self.now
        if not self.in_service and self.overhead_work <= 0 and not self.choke.is_active:
            return inf
        return self._constant_until(self.now)

    def _constant_until(self, now_s: float) -> float:
        """Return the time until which the speed counts as constant."""
        speed = self._speed_of_each()
        due = inf
        if speed > 0:
            if self.in_service:
                due = now_s + max(min(job.remaining for job in self.in_service) / speed, MIN_INTERVAL_S)
            if self.overhead_work > 0:
                due = min(due, now_s + max(self.overhead_work / speed, MIN_INTERVAL_S))
        if self.warm_fraction < 1 or self.choke.may_change:
            due = min(due, now_s + MAX_INTERVAL_S)
        return due

    def _fill_slots(self, now_s: float) -> None:
        """Move queued requests to free slots, oldest first.  Those past their deadline end without work."""
        while self.queue and len(self.in_service) < self.traits.slots and not self.silent:
            job = self.queue.popleft()
            if now_s >= job.deadline and self.traits.drops_expired:
                job.expired, job.ended_at = True, now_s
                self._ended.append(job)
                continue
            job.started_at = now_s
            self.in_service.append(job)

    def _update_choke(self, now_s: float) -> None:
        self.choke.update(now_s, self.in_flight / self.traits.cores)

    def _count_cold_arrival(self, now_s: float, job: Job) -> None:
        """Count a request that reaches the server as it warms up, admitted or not, and collapse under too many."""
        if self.warm_fraction >= 1 or self.collapsed:
            return
        if self._cold_overload.add_arrival_and_check(now_s, job.work, job.sidecar, self.capacity):
            self.collapsed, self.collapsed_at = True, now_s
            self.collapse_work_by_sidecar = self._cold_overload.work_by_sidecar()
