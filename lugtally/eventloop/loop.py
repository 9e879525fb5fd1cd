"""The event loop: greenlets over ``select.poll``.

The loop runs in the main greenlet.  Every other greenlet is a :class:`~lugtally.eventloop.task.Task`, which may block
only in :meth:`EventLoop.wait`, :meth:`EventLoop.sleep` or ``Event.wait``.  One turn of the loop runs all runnable
tasks, polls the descriptors, calls the handlers of the descriptors that are ready, and fires the timers that are due.
"""

from __future__ import annotations

import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet
from loguru import logger

from lugtally.eventloop.clock import monotonic_ns, wall_clock_ns
from lugtally.eventloop.task import Task, TaskRun, Waiter, WakeReason
from lugtally.eventloop.timers import TimerHeap
from lugtally.units import NS_PER_MS

MAX_POLL_NS = 50 * NS_PER_MS
"""Longest timeout of one poll.  If a poll takes longer, the process was stopped while it waited."""
MAX_POLL_OVERRUN_NS = 10 * NS_PER_MS
"""A poll that returns later than this after its timeout was delayed, and the time of its events is unknown."""
MIN_BLOCKED_POLL_NS = 100_000
"""A poll that took this long or longer found no descriptor ready at first, and blocked."""
POLL_ERROR_PAUSE_S = 0.001
"""Pause after a poll that failed, which does not wait itself."""
MAX_SHORT_TURN_NS = 10 * NS_PER_MS
"""After a longer turn, a poll that seems to have blocked may have been preempted instead."""
READABLE = select.POLLIN
WRITABLE = select.POLLOUT
PEER_CLOSED = select.POLLRDHUP
"""The peer closed the connection or its sending side."""


class EventLoop:
    """The scheduler of one process: tasks, timers and descriptors."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._handlers: dict[int, Callable[[int], None]] = {}
        self._timers = TimerHeap()
        self._runnable: deque[Waiter] = deque()
        self._main_greenlet = greenlet.getcurrent()
        self._current_task: Task | None = None
        self._stopped = False
        self._last_poll_ns = 0
        self._previous_poll_ns = 0  # ``last_poll_ns`` of the poll before the last
        self._poll_blocked = False  # whether the last poll found no descriptor ready at first, and blocked
        self.max_timer_lag_ns = 0
        """Largest delay of a timer after its deadline.  The code that reads the value resets it to 0."""
        self._longest_run_ns = 0
        self._longest_run_function: Callable[..., object] | None = None

    now = staticmethod(monotonic_ns)
    wall_clock = staticmethod(wall_clock_ns)

    def scheduling_delay_ns(self) -> int:
        """Return an upper bound of the time that has passed since an event that is handled now became ready.

        An event that became ready during the previous turn has waited for the rest of that turn and for this turn until
        now.  If the last poll blocked, no event was ready before that poll returned.
        """
        return self.now() - (self._last_poll_ns if self._poll_blocked else self._previous_poll_ns)

    def reset_longest_run(self) -> TaskRun:
        """Return the longest run of a task between two blocking calls, and start a new measurement."""
        function, duration_ns = self._longest_run_function, self._longest_run_ns
        self._longest_run_function, self._longest_run_ns = None, 0
        return TaskRun("" if function is None else _function_name(function), duration_ns)

    @property
    def last_poll_ns(self) -> int:
        """The time of the last poll; every descriptor that was registered and ready by then has been reported."""
        return self._last_poll_ns

    def not_ready_before_ns(self, watched_since_ns: int) -> int:
        """Return the time until which a descriptor that the last poll reported was not ready, or 0 if unknown.

        The descriptor must have been registered since ``watched_since_ns``.  The result is approximate: the descriptor
        may have become ready earlier, by at most ``MAX_POLL_NS`` and a few milliseconds, even if the process was busy,
        starved of CPU or stopped for longer.
        """
        if self._poll_blocked:
            return self._last_poll_ns
        return self._previous_poll_ns if watched_since_ns <= self._previous_poll_ns else 0

    # ------------------------------------------------------------ tasks

    def spawn(self, function: Callable[..., object], *arguments: Any) -> Task:
        """Start a task, in this turn or the next.  An exception ends only this task, and is logged."""
        task = Task(function)

        def run(_: WakeReason) -> None:
            try:
                function(*arguments)
            except Exception:
                # A bug in the handling of one connection must not stop the process.
                logger.exception("a task failed", event="eventloop.task_failed")

        task.greenlet = greenlet.greenlet(run, self._main_greenlet)
        task.waiter = Waiter(task)
        self.resume(task.waiter, WakeReason.READY)
        return task

    def interrupt(self, task: Task) -> None:
        """End the task's current blocking call, and every later one immediately, with ``INTERRUPTED``."""
        task.interrupted = True
        if task.waiter is not None:
            self.resume(task.waiter, WakeReason.INTERRUPTED)

    def wait(self, fd: int, poll_events: int, deadline_ns: int | None = None) -> WakeReason:
        """Block the running task until the descriptor is ready, ``deadline_ns`` passes or the task is interrupted."""
        waiter = self.new_waiter()
        if waiter is None:
            return WakeReason.INTERRUPTED
        self.register(fd, poll_events, lambda _: self.resume(waiter, WakeReason.READY))
        try:
            return self.block(waiter, deadline_ns)
        finally:
            self.unregister(fd)

    def sleep(self, duration_ns: int) -> WakeReason:
        """Block the running task for ``duration_ns``; a duration of 0 lets all other runnable tasks run first."""
        waiter = self.new_waiter()
        return WakeReason.INTERRUPTED if waiter is None else self.block(waiter, self.now() + duration_ns)

    # ------------------------------------------------------------ waiters, only for the primitives of this package

    def new_waiter(self) -> Waiter | None:
        """Return a waiter for a blocking call of the running task, or ``None`` if the task was interrupted."""
        task = self._current_task
        assert task is not None, "only a task may block"
        if task.interrupted:
            return None
        task.waiter = Waiter(task)
        return task.waiter

    def resume(self, waiter: Waiter, reason: WakeReason) -> None:
        """End a blocking call and schedule its task for this turn or the next.  Does nothing if the call has ended."""
        if not waiter.done:
            waiter.done = True
            waiter.wake_reason = reason
            if waiter.has_timer:
                self._timers.waiter_done()
            self._runnable.append(waiter)

    def block(self, waiter: Waiter, deadline_ns: int | None) -> WakeReason:
        """Switch to the loop until the waiter is resumed or ``deadline_ns`` passes."""
        if deadline_ns is not None:
            self._timers.add(deadline_ns, waiter)
        reason: WakeReason = self._main_greenlet.switch()
        waiter.task.waiter = None
        # The task may have been interrupted after it was resumed and before it ran.  Without this check it could, for
        # example, still write a request that has already finished.
        return WakeReason.INTERRUPTED if waiter.task.interrupted else reason

    # ------------------------------------------------------------ descriptors

    def register(self, fd: int, poll_events: int, handler: Callable[[int], None]) -> None:
        """Call ``handler`` with the poll events whenever the descriptor is ready.  Replaces an earlier registration."""
        self._handlers[fd] = handler
        self._poll.register(fd, poll_events)

    def unregister(self, fd: int) -> None:
        """Stop calling the descriptor's handler.  Does nothing if there is none."""
        if self._handlers.pop(fd, None) is not None:
            self._poll.unregister(fd)

    @staticmethod
    def is_ready(fd: int, poll_events: int) -> bool:
        """Poll the descriptor without blocking and return whether it is ready, including events since the last turn."""
        poll = select.poll()
        poll.register(fd, poll_events)
        return bool(poll.poll(0))

    # ------------------------------------------------------------ the loop

    def stop(self) -> None:
        """Return from :meth:`run` once the runnable tasks of this turn have run."""
        self._stopped = True

    def run(self, run_timers: Callable[[], int | None]) -> None:
        """Run until :meth:`stop` is called.

        ``run_timers`` is called in each turn.  It returns the time by which it must be called again, or ``None`` if no
        timer is set.
        """
        while True:
            self._run_tasks()
            if self._stopped:
                return  # before the poll, which could block for ``MAX_POLL_NS``
            due_ns = run_timers()
            if self._runnable:
                continue
            deadline_ns = self._timers.next_deadline()
            if deadline_ns is not None and (due_ns is None or deadline_ns < due_ns):
                due_ns = deadline_ns
            self._poll_descriptors(due_ns)
            self._fire_timers()

    def _poll_descriptors(self, due_ns: int | None) -> None:
        """Poll the descriptors until ``due_ns`` at the latest; call the handlers of the descriptors that are ready."""
        before_ns = self.now()
        timeout_ns = MAX_POLL_NS if due_ns is None else min(MAX_POLL_NS, max(0, due_ns - before_ns))
        try:
            ready = self._poll.poll(timeout_ns / NS_PER_MS)
        except OSError as error:  # the kernel is short of memory
            logger.warning("polling failed: {reason}", event="eventloop.poll_failed", reason=error.strerror)
            time.sleep(POLL_ERROR_PAUSE_S)
            return
        self._record_poll(before_ns, timeout_ns, self.now())
        for fd, poll_events in ready:
            if (handler := self._handlers.get(fd)) is None:
                continue
            try:
                handler(poll_events)
            except Exception:
                # A bug in the handling of one descriptor must not stop the process.
                logger.exception("a handler of a descriptor failed", event="eventloop.handler_failed")

    def _record_poll(self, before_ns: int, timeout_ns: int, returned_ns: int) -> None:
        """Record when the poll checked the descriptors, and whether it blocked."""
        duration_ns = returned_ns - before_ns
        was_delayed = duration_ns > timeout_ns + MAX_POLL_OVERRUN_NS
        turn_ns = before_ns - self._last_poll_ns
        self._poll_blocked = not was_delayed and duration_ns >= MIN_BLOCKED_POLL_NS and turn_ns <= MAX_SHORT_TURN_NS
        self._previous_poll_ns = self._last_poll_ns
        # A delayed poll may have checked the descriptors right after it was called.
        self._last_poll_ns = before_ns if was_delayed else returned_ns

    def _run_tasks(self) -> None:
        started_ns = self.now()
        while self._runnable:
            waiter = self._runnable.popleft()
            self._current_task = waiter.task
            waiter.task.greenlet.switch(waiter.wake_reason)
            ended_ns = self.now()
            if ended_ns - started_ns > self._longest_run_ns:
                self._longest_run_ns = ended_ns - started_ns
                self._longest_run_function = waiter.task.function
            started_ns = ended_ns
        self._current_task = None

    def _fire_timers(self) -> None:
        now_ns = self.now()
        for timer in self._timers.pop_due(now_ns):
            self.max_timer_lag_ns = max(self.max_timer_lag_ns, now_ns - timer.deadline_ns)
            self.resume(timer.waiter, WakeReason.TIMEOUT)


def _function_name(function: Callable[..., object]) -> str:
    return str(getattr(function, "__qualname__", function))
