"""The event loop: greenlets over ``select.poll``.

The loop runs in the main greenlet.  Every other greenlet is a :class:`~lugtally.eventloop.task.Task`; it blocks in
:meth:`EventLoop.wait`, :meth:`EventLoop.sleep` or ``Event.wait``, and the loop resumes it.  Nothing else may block.
"""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet
from loguru import logger

from lugtally.eventloop.clock import monotonic_ns, wall_clock_ns
from lugtally.eventloop.task import Task, Waiter, WakeReason
from lugtally.eventloop.timers import TimerHeap
from lugtally.units import NS_PER_MS

MAX_POLL_NS = 50 * NS_PER_MS
"""The longest poll: a process that was stopped while it waited learns of that, as its poll took longer."""
POLL_OVERRUN_NS = 10 * NS_PER_MS
"""A poll that returned this long after its timeout was held up: when its events came is not known."""
MIN_BLOCKED_POLL_NS = 100_000
"""A poll that took longer found nothing ready and waited."""
MAX_SHORT_TURN_NS = 10 * NS_PER_MS
"""After a longer turn a poll that seems to have waited may just as well have been preempted."""
READABLE = select.POLLIN
WRITABLE = select.POLLOUT
PEER_CLOSED = select.POLLRDHUP


class EventLoop:
    """The scheduler of one process."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._handlers: dict[int, Callable[[int], None]] = {}
        self._timers = TimerHeap()
        self._runnable: deque[tuple[Waiter, WakeReason]] = deque()
        self._main_greenlet = greenlet.getcurrent()
        self._current_task: Task | None = None
        self._stopped = False
        self._last_poll_ns = 0  # the last poll saw every descriptor that was ready by then
        self._previous_poll_ns = 0  # the same of the poll before
        self._poll_waited = False  # whether the last poll found nothing ready and waited
        self.max_timer_lag_ns = 0
        """The longest that a timer fired late, since the reader last set it to 0."""

    now = staticmethod(monotonic_ns)
    wall_clock = staticmethod(wall_clock_ns)

    def scheduling_delay_ns(self) -> int:
        """Return the longest that what is handled now may have been ready.

        What came during the last turn was ready for its rest, then for this one until now.  Where the poll had to
        wait, nothing was ready before it returned.
        """
        return self.now() - (self._last_poll_ns if self._poll_waited else self._previous_poll_ns)

    @property
    def last_poll_ns(self) -> int:
        """A time by which every descriptor that was registered and ready has been reported."""
        return self._last_poll_ns

    def not_ready_before_ns(self, watched_since_ns: int) -> int:
        """Return a time before which a descriptor that the last poll reported was not ready; 0 where none is known.

        The caller has registered it since ``watched_since_ns``.  The time is at most ``MAX_POLL_NS`` and a few
        milliseconds too late, however long the process was busy, starved of the processor or stopped.
        """
        if self._poll_waited:
            return self._last_poll_ns
        return self._previous_poll_ns if watched_since_ns <= self._previous_poll_ns else 0

    # ------------------------------------------------------------ tasks

    def spawn(self, function: Callable[..., object], *arguments: Any) -> Task:
        """Start a task at the next turn.  What it raises ends it alone, with a line in the log."""
        task = Task()

        def run(_: WakeReason) -> None:
            try:
                function(*arguments)
            except Exception:
                # A fault in the handling of one connection must never end the process.
                logger.exception("a task failed", event="eventloop.task_failed")

        task.greenlet = greenlet.greenlet(run, self._main_greenlet)
        task.waiter = Waiter(task)
        self.resume(task.waiter, WakeReason.READY)
        return task

    def interrupt(self, task: Task) -> None:
        """End the task's present blocking call, and every later one, with ``INTERRUPTED``."""
        task.interrupted = True
        if task.waiter is not None:
            self.resume(task.waiter, WakeReason.INTERRUPTED)

    def wait(self, fd: int, poll_events: int, deadline_ns: int | None = None) -> WakeReason:
        """Block the running task until the descriptor is ready."""
        waiter = self.new_waiter()
        if waiter is None:
            return WakeReason.INTERRUPTED
        self.register(fd, poll_events, lambda _: self.resume(waiter, WakeReason.READY))
        try:
            return self.block(waiter, deadline_ns)
        finally:
            self.unregister(fd)

    def sleep(self, duration_ns: int) -> WakeReason:
        """Block the running task for that long; 0 lets all others that can run go first."""
        waiter = self.new_waiter()
        return WakeReason.INTERRUPTED if waiter is None else self.block(waiter, self.now() + duration_ns)

    # ------------------------------------------------------------ waiters, for the package's own primitives

    def new_waiter(self) -> Waiter | None:
        """Begin a blocking call of the running task; ``None`` where it has been interrupted."""
        task = self._current_task
        assert task is not None, "only a task may block"
        if task.interrupted:
            return None
        task.waiter = Waiter(task)
        return task.waiter

    def resume(self, waiter: Waiter, reason: WakeReason) -> None:
        """End a blocking call, unless it has ended already; its task goes on in this turn or the next."""
        if not waiter.done:
            waiter.done = True
            if waiter.has_timer:
                self._timers.waiter_done()
            self._runnable.append((waiter, reason))

    def block(self, waiter: Waiter, deadline_ns: int | None) -> WakeReason:
        """Switch to the loop until the waiter is resumed."""
        if deadline_ns is not None:
            self._timers.add(deadline_ns, waiter)
        reason: WakeReason = self._main_greenlet.switch()
        waiter.task.waiter = None
        # Interrupted while it was about to go on: it must not, say, write a request that is over by now.
        return WakeReason.INTERRUPTED if waiter.task.interrupted else reason

    # ------------------------------------------------------------ descriptors

    def register(self, fd: int, poll_events: int, handler: Callable[[int], None]) -> None:
        """Call ``handler`` whenever the descriptor is ready; one handler a descriptor."""
        self._handlers[fd] = handler
        self._poll.register(fd, poll_events)

    def unregister(self, fd: int) -> None:
        """Stop calling the descriptor's handler; harmless where there is none."""
        if self._handlers.pop(fd, None) is not None:
            self._poll.unregister(fd)

    @staticmethod
    def is_ready(fd: int, poll_events: int) -> bool:
        """Return whether the descriptor is ready now, also by what has come since the loop's last poll."""
        poll = select.poll()
        poll.register(fd, poll_events)
        return bool(poll.poll(0))

    # ------------------------------------------------------------ the loop

    def stop(self) -> None:
        """Leave :meth:`run` at the end of this turn."""
        self._stopped = True

    def run(self, run_timers: Callable[[], int | None]) -> None:
        """Run until stopped.

        ``run_timers`` is called each turn and returns when it wants to be called again, or ``None``.
        """
        while True:
            self._run_tasks()
            if self._stopped:
                return  # before the poll, which might last a second longer
            due_ns = run_timers()
            if self._runnable:
                continue
            deadline_ns = self._timers.next_deadline()
            if deadline_ns is not None and (due_ns is None or deadline_ns < due_ns):
                due_ns = deadline_ns
            self._poll_once(due_ns)
            self._fire_timers()

    def _poll_once(self, due_ns: int | None) -> None:
        """Wait for descriptors until ``due_ns`` at most, and call their handlers."""
        before_ns = self.now()
        timeout_ns = MAX_POLL_NS if due_ns is None else min(MAX_POLL_NS, max(0, due_ns - before_ns))
        ready = self._poll.poll(timeout_ns / NS_PER_MS)
        self._note_poll(before_ns, timeout_ns, self.now())
        for fd, poll_events in ready:
            if (handler := self._handlers.get(fd)) is not None:
                handler(poll_events)

    def _note_poll(self, before_ns: int, timeout_ns: int, returned_ns: int) -> None:
        """Take down by when what this poll reported was not ready yet."""
        duration_ns = returned_ns - before_ns
        was_held_up = duration_ns > timeout_ns + POLL_OVERRUN_NS
        turn_ns = before_ns - self._last_poll_ns
        self._poll_waited = not was_held_up and duration_ns >= MIN_BLOCKED_POLL_NS and turn_ns <= MAX_SHORT_TURN_NS
        self._previous_poll_ns = self._last_poll_ns
        # Held up, it may have looked at the descriptors as early as it began.
        self._last_poll_ns = before_ns if was_held_up else returned_ns

    def _run_tasks(self) -> None:
        while self._runnable:
            waiter, reason = self._runnable.popleft()
            self._current_task = waiter.task
            waiter.task.greenlet.switch(reason)
        self._current_task = None

    def _fire_timers(self) -> None:
        now_ns = self.now()
        for deadline_ns, waiter in self._timers.pop_due(now_ns):
            self.max_timer_lag_ns = max(self.max_timer_lag_ns, now_ns - deadline_ns)
            self.resume(waiter, WakeReason.TIMEOUT)
