"""A task of the event loop, and the blocking call that it waits in."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple


class WakeReason(Enum):
    """Why a blocking call returned."""

    READY = "ready"
    TIMEOUT = "timeout"
    INTERRUPTED = "interrupted"


class Task:
    """A greenlet of the event loop."""

    __slots__ = ("function", "greenlet", "interrupted", "waiter")

    def __init__(self, function: Callable[..., object]) -> None:
        self.function = function
        """What the task runs."""
        self.greenlet: Any = None
        self.waiter: Waiter | None = None
        """The blocking call in progress; ``None`` while the task runs."""
        self.interrupted = False
        """Never cleared: every later blocking call of the task returns ``INTERRUPTED`` immediately."""


class TaskRun(NamedTuple):
    """The time between two blocking calls of a task.  No other task runs in it."""

    function: str
    """The name of the function that the task runs; empty if no task has run."""
    duration_ns: int


class Waiter:
    """One blocking call of a task.  The first reason to wake the task ends the call; later reasons are ignored."""

    __slots__ = ("done", "has_timer", "task", "wake_reason")

    def __init__(self, task: Task) -> None:
        self.task = task
        self.done = False
        self.wake_reason: WakeReason | None = None
        """Why the call ended; ``None`` until it is done."""
        self.has_timer = False
        """Whether the timer heap contains this waiter."""
