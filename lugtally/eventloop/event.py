"""The auto-reset event that tasks wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lugtally.eventloop.task import Waiter, WakeReason

if TYPE_CHECKING:
    from lugtally.eventloop.loop import EventLoop


class Event:
    """An auto-reset event: like ``threading.Event``, but cleared when a task has been woken.

    :meth:`set` wakes all waiting tasks.  If no task waits, the next call of :meth:`wait` returns without blocking.
    """

    __slots__ = ("_is_set", "_loop", "_waiters")

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._waiters: list[Waiter] = []
        self._is_set = False

    def set(self) -> None:
        """Wake all waiting tasks; if there are none, let the next :meth:`wait` return immediately."""
        # A waiter that timed out in this turn of the loop is still in the list; it must not consume the event.
        waiters = [waiter for waiter in self._waiters if not waiter.done]
        self._is_set = not waiters
        for waiter in waiters:
            self._loop.resume(waiter, WakeReason.READY)
        self._waiters = []

    def wait(self, deadline_ns: int | None = None) -> WakeReason:
        """Block the running task until the event is set, ``deadline_ns`` passes or the task is interrupted."""
        if self._is_set:
            self._is_set = False
            return WakeReason.READY
        waiter = self._loop.new_waiter()
        if waiter is None:
            return WakeReason.INTERRUPTED
        self._waiters.append(waiter)
        reason = self._loop.block(waiter, deadline_ns)
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        return reason
