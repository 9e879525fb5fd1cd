"""Model of a server, without I/O, clock or random draws: the caller passes the time in, in seconds.

Requests take free slots in the order of their arrival, and wait in the queue while all slots are taken.  Requests in
service share the cores.  The speed of a core is the speed of the server, reduced by congestion, the choke, an
incomplete warm-up, the connection table and other programs on the machine.  The model treats the speed as constant
between two calls.  The caller therefore advances it at the time :meth:`ServerModel.next_due`, which is at most
:data:`MAX_TIME_STEP_S` ahead while the speed changes over time.

Source: processor sharing and M/M/c in Kleinrock, Queueing Systems I (1975), 3.5 and 4.4.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from lugtally.testbed.emulator.cold_overload import ColdOverloadDetector
from lugtally.testbed.emulator.congestion_choke import CongestionChoke

MAX_TIME_STEP_S = 0.05  # longest time for which a changing speed is treated as constant
MIN_TIME_STEP_S = 1e-7  # a step rounded to 0 would never advance the time of the model
NEGLIGIBLE_WORK = 1e-9  # core-seconds; a request with this much work left, or less, is done


@dataclass(frozen=True, slots=True)
class ServerTraits:
    """Constant properties of a server.

    Work is in core-seconds, ``speed`` in core-seconds of work per second and core; shares are between 0 and 1.
    """

    cores: int = 2
    slots: int = 2  # maximum number of requests in service
    max_queue: int = 76
    speed: float = 1.0
    congestion_threshold: float = 4.0  # requests per core above which the speed falls
    congestion_loss: float = 0.4  # speed factor: 1 / (1 + loss * (requests / threshold - 1))
    choke_threshold: float = inf  # requests per core above which the server chokes
    choke_onset_s: float = 2.0  # of sustained congestion that starts the choke
    choke_slowdown: float = 2.8  # factor by which a choked server is slower
    choke_idle_s: float = 3.5  # of idleness that ends the choke
    max_choke_s: float = 25.0
    initial_capacity: float = 1.0  # share of the full capacity at a cold start
    warm_up_s: float = 5.0
    warms_up_by_work: bool = False
    collapse_multiple: float = 2.5  # of the present capacity, above which a server collapses during its warm-up
    collapse_window_s: float = 1.0  # over which the arriving work is averaged
    max_connections: int = 68  # in the connection table
    full_table_loss: float = 0.0  # share of the capacity that a full connection table costs
    handshake_work: float = 0.0  # of a new connection
    drops_expired: bool = True  # drops a request that is past its deadline when it arrives or leaves the queue


class Admission(Enum):
    """Whether a request is admitted, and the reason if not."""

    ADMITTED = "admitted"
    FULL = "the queue is full"
    DRAINING = "the server is draining"
    EXPIRED = "past its deadline"


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server.  ``work`` and ``remaining`` are in core-seconds; times are those of the model."""

    name: str
    work: float
    deadline: float = inf
    sidecar: int = 0
    remaining: float = field(init=False)
    arrived_at: float = 0.0
    started_at: float = -1.0  # when it took a slot; -1 if it has not
    ended_at: float = -1.0  # -1 if it has not ended
    expired: bool = False  # dropped without work, as it was past its deadline when it left the queue

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
        self._ended: list[Job] = []  # returned by the next ``advance``; jobs also end between two calls of it
        self.draining = False
        self.silent = False  # admits every request but works on none
        self.neighbour_share = 0.0  # share of the machine that other programs use
        self.slowdown = 1.0  # factor by which a resource that all servers share slows this one down
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
        """Present capacity as a share of the full one; 1 after the warm-up."""
        traits = self.traits
        age = self.now - self.started_at
        if traits.initial_capacity >= 1 or age >= traits.warm_up_s:
            return 1.0
        progress = age / traits.warm_up_s
        if traits.warms_up_by_work:
            # Linear progress in time is the minimum, so that an idle server warms up as well.
            progress = max(progress, self.work_done / (traits.warm_up_s * traits.cores * traits.speed))
        return min(1.0, traits.initial_capacity + (1 - traits.initial_capacity) * progress)

    @property
    def capacity(self) -> float:
        """Core-seconds of work per second with all cores busy and without congestion."""
        return self.traits.cores * self.traits.speed * self.warm_fraction

    def _core_speed(self) -> float:
        """Return the core-seconds of work per second that one busy core does now."""
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

    def _speed_per_item(self) -> float:
        """Return the speed at which each request in service, and the overhead as one more item, is processed now.

        The items share the cores if there are more items than cores.
        """
        items = len(self.in_service) + (self.overhead_work > 0)
        return self._core_speed() * min(1.0, self.traits.cores / items) if items else 0.0

    def offer(self, now_s: float, job: Job) -> Admission:
        """Admit or reject a request that arrived completely.  Call :meth:`advance` with ``now_s`` first."""
        assert now_s >= self.now - NEGLIGIBLE_WORK, "the time must not go backwards"
        self._check_cold_overload(now_s, job)
        if self.silent or self.collapsed:
            # In this state the server sends no responses, and a rejection would be one.
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
        assert self.connections >= 0, "more connections were closed than opened"

    def health_check(self, work: float) -> None:
        """Add the work of a health check, in core-seconds."""
        self.overhead_work += work

    def advance(self, now_s: float) -> list[Job]:
        """Work until ``now_s`` and return the requests that ended, done or ``expired``, in the order of their ends."""
        self._fill_slots(self.now)  # the server may have been silent until now
        while self.now < now_s:
            self._work_for(min(now_s, self._speed_constant_until(self.now)) - self.now)
            self._end_finished_jobs()
            self._fill_slots(self.now)
            self._update_choke(self.now)
        self.now = max(self.now, now_s)
        ended, self._ended = self._ended, []
        return ended

    def _work_for(self, duration: float) -> None:
        """Work at constant speed for ``duration`` seconds."""
        speed = self._speed_per_item()
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
        """Return when to call :meth:`advance` next, infinite if nothing changes until another method is called."""
        if self._ended:
            return self.now
        if not self.in_service and self.overhead_work <= 0 and not self.choke.is_active:
            return inf
        return self._speed_constant_until(self.now)

    def _speed_constant_until(self, now_s: float) -> float:
        """Return the time until which the speed is treated as constant."""
        speed = self._speed_per_item()
        due = inf
        if speed > 0:
            if self.in_service:
                due = now_s + max(min(job.remaining for job in self.in_service) / speed, MIN_TIME_STEP_S)
            if self.overhead_work > 0:
                due = min(due, now_s + max(self.overhead_work / speed, MIN_TIME_STEP_S))
        if self.warm_fraction < 1 or self.choke.may_change:
            due = min(due, now_s + MAX_TIME_STEP_S)
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

    def _check_cold_overload(self, now_s: float, job: Job) -> None:
        """Collapse if too much work arrives during the warm-up, in admitted and rejected requests together."""
        if self.warm_fraction >= 1 or self.collapsed:
            return
        if self._cold_overload.add_arrival_and_check(now_s, job.work, job.sidecar, self.capacity):
            self.collapsed, self.collapsed_at = True, now_s
            self.collapse_work_by_sidecar = self._cold_overload.work_by_sidecar()
