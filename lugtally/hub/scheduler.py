"""The hub: greenlets over ``select.poll``, a heap of timers, wake-ups, and the two clocks.

One hub runs in the main greenlet.  Every other greenlet is a :class:`Task`; it blocks in :meth:`Hub.wait`,
:meth:`Hub.sleep` or :meth:`Signal.wait`, and the hub resumes it.  Nothing else may block.
"""

from __future__ import annotations

import select
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from heapq import heapify, heappop, heappush
from typing import Any

import greenlet
from loguru import logger

MS = 1_000_000
LONGEST_POLL_NS = 1000 * MS
WAITED_NS = 100_000  # a poll that took longer found nothing ready and waited
FEW_TIMERS = 256  # not worth clearing of those that have ended
READ = select.POLLIN
WRITE = select.POLLOUT
LEFT = select.POLLRDHUP


class Woken(Enum):
    """Why a blocked task goes on."""

    READY = "ready"
    TIMEOUT = "timeout"
    INTERRUPTED = "interrupted"


class _Wait:
    """One blocking call of a task; it ends once, by whatever comes first."""

    __slots__ = ("task", "done", "timed")

    def __init__(self, task: Task) -> None:
        self.task = task
        self.done = False
        self.timed = False  # it stands in the heap of timers


class Task:
    """A greenlet of the hub."""

    __slots__ = ("greenlet", "wait", "interrupted")

    def __init__(self) -> None:
        self.greenlet: Any = None
        self.wait: _Wait | None = None
        self.interrupted = False


class Hub:
    """The scheduler of one process."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._handlers: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[int, int, _Wait]] = []
        self._count = 0
        self._ended = 0  # timers in the heap whose wait is over
        self._ready: deque[tuple[_Wait, Woken]] = deque()
        self._main = greenlet.getcurrent()
        self._current: Task | None = None
        self._stopped = False
        self.latest_ns = 0  # the most that a timer was late since it was last read
        self._polled = 0  # when the last poll returned
        self._turn_ns = 0  # how long the turn before it took; 0 where the poll had to wait

    # ------------------------------------------------------------ clocks

    @staticmethod
    def now() -> int:
        """Monotonic time in nanoseconds: the clock of timers and of the decision module."""
        return time.monotonic_ns()

    @staticmethod
    def wall() -> int:
        """Unix time in nanoseconds."""
        return time.time_ns()

    def delay(self) -> int:
        """The longest that what is handled now may have been ready, in nanoseconds.

        What came during the last turn was ready for its rest, then for this one until now.  Where the poll had to
        wait, nothing was ready before it returned.
        """
        return self.now() - self._polled + self._turn_ns

    # ------------------------------------------------------------ tasks

    def spawn(self, work: Callable[..., object], *values: Any) -> Task:
        """Start a task at the next turn.  What it raises ends it alone, with a line in the log."""
        task = Task()

        def body(_: Woken) -> None:
            try:
                work(*values)
            except Exception:
                # A fault in the handling of one connection must never end the process.
                logger.exception("a task failed", event="hub.task-failed")

        task.greenlet = greenlet.greenlet(body, self._main)
        self._resume(self._begin(task), Woken.READY)
        return task

    def interrupt(self, task: Task) -> None:
        """End the task's present or next blocking call with ``INTERRUPTED``."""
        task.interrupted = True
        if task.wait is not None:
            self._resume(task.wait, Woken.INTERRUPTED)

    def _begin(self, task: Task) -> _Wait:
        task.wait = _Wait(task)
        return task.wait

    def _resume(self, wait: _Wait, why: Woken) -> None:
        if not wait.done:
            wait.done = True
            if wait.timed:
                self._ended += 1
            self._ready.append((wait, why))

    def _block(self, wait: _Wait, until: int | None) -> Woken:
        """Switch to the hub until the wait ends."""
        if until is not None:
            self._count += 1
            wait.timed = True
            heappush(self._timers, (until, self._count, wait))
            if self._ended > FEW_TIMERS and self._ended > len(self._timers) // 2:
                # Nearly every wait ends long before its time: at thousands of requests a second with deadlines
                # of 8 s dead timers held 15 MB.  Clearing half at a time costs a constant for each on average.
                self._timers = [timer for timer in self._timers if not timer[2].done]
                heapify(self._timers)
                self._ended = 0
        why: Woken = self._main.switch()
        wait.task.wait = None
        # Interrupted while it was about to go on: it must not, say, write a request that is over by now.
        return Woken.INTERRUPTED if wait.task.interrupted else why

    def _starting(self) -> _Wait | None:
        """A wait of the running task, or none where it has been interrupted."""
        task = self._current
        assert task is not None, "only a task may block"
        return None if task.interrupted else self._begin(task)

    def wait(self, fd: int, events: int, until: int | None = None) -> Woken:
        """Block until the descriptor is ready."""
        wait = self._starting()
        if wait is None:
            return Woken.INTERRUPTED
        self.watch(fd, events, lambda _: self._resume(wait, Woken.READY))
        try:
            return self._block(wait, until)
        finally:
            self.unwatch(fd)

    def sleep(self, span_ns: int) -> Woken:
        """Block for a while."""
        wait = self._starting()
        return Woken.INTERRUPTED if wait is None else self._block(wait, self.now() + span_ns)

    # ------------------------------------------------------------ descriptors

    def watch(self, fd: int, events: int, handler: Callable[[int], None]) -> None:
        """Call ``handler`` whenever the descriptor is ready; one handler a descriptor."""
        self._handlers[fd] = handler
        self._poll.register(fd, events)

    def unwatch(self, fd: int) -> None:
        """Stop that; harmless where nothing is watched."""
        if self._handlers.pop(fd, None) is not None:
            self._poll.unregister(fd)

    @staticmethod
    def ready(fd: int, events: int) -> bool:
        """Whether the descriptor is ready at this moment; what came since the last poll is not yet handled."""
        poll = select.poll()
        poll.register(fd, events)
        return bool(poll.poll(0))

    # ------------------------------------------------------------ the loop

    def stop(self) -> None:
        """Leave :meth:`run` at the end of this turn."""
        self._stopped = True

    def run(self, tick: Callable[[], int | None]) -> None:
        """Run until stopped.  ``tick`` is called each turn and says when it wants to be called again."""
        while True:
            self._run_ready()
            if self._stopped:
                return  # before the poll, which might last a second longer
            due = tick()
            if self._ready:
                continue
            while self._timers and self._timers[0][2].done:
                heappop(self._timers)
                self._ended -= 1
            if self._timers and (due is None or self._timers[0][0] < due):
                due = self._timers[0][0]
            before = self.now()
            left = LONGEST_POLL_NS if due is None else min(LONGEST_POLL_NS, max(0, due - before))
            ready = self._poll.poll(left / MS)
            polled = self.now()
            self._turn_ns = before - self._polled if polled - before < WAITED_NS else 0
            self._polled = polled
            for fd, events in ready:
                if (handler := self._handlers.get(fd)) is not None:
                    handler(events)
            self._run_timers()

    def _run_ready(self) -> None:
        while self._ready:
            wait, why = self._ready.popleft()
            self._current = wait.task
            wait.task.greenlet.switch(why)
        self._current = None

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            due, _, wait = heappop(self._timers)
            if wait.done:
                self._ended -= 1
            else:
                wait.timed = False
                self.latest_ns = max(self.latest_ns, now - due)
                self._resume(wait, Woken.TIMEOUT)


class Signal:
    """Something that tasks wait for and anything may set; setting it wakes all that wait."""

    __slots__ = ("_hub", "_waits", "_set")

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._waits: list[_Wait] = []
        self._set = False

    def set(self) -> None:
        """Wake the waiting tasks, or let the next wait pass."""
        live = [wait for wait in self._waits if not wait.done]  # one that timed out in this turn was not woken
        self._set = not live
        for wait in live:
            self._hub._resume(wait, Woken.READY)
        self._waits = []

    def wait(self, until: int | None = None) -> Woken:
        """Block until set; clears it."""
        if self._set:
            self._set = False
            return Woken.READY
        wait = self._hub._starting()
        if wait is None:
            return Woken.INTERRUPTED
        self._waits.append(wait)
        why = self._hub._block(wait, until)
        if wait in self._waits:
            self._waits.remove(wait)
        return why
