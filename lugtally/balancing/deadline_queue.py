"""A queue of attempts by the instant at which each is due."""

from __future__ import annotations

from collections.abc import Container
from heapq import heappop, heappush
from typing import NamedTuple

from lugtally.balancing.attempt_id import AttemptId


class DueAttempt(NamedTuple):
    """An attempt and the instant at which it is due."""

    due_ns: int
    attempt_id: AttemptId


class DeadlineQueue:
    """Attempts, the one that is due first at the head."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[DueAttempt] = []

    def push(self, due_ns: int, attempt_id: AttemptId) -> None:
        """Add an attempt."""
        heappush(self._heap, DueAttempt(due_ns, attempt_id))

    def pop_due(self, now_ns: int) -> AttemptId | None:
        """Remove and return the first attempt that is due at ``now_ns``, ``None`` if there is none."""
        if self._heap and self._heap[0].due_ns <= now_ns:
            return heappop(self._heap).attempt_id
        return None

    def next_due_ns(self, in_flight: Container[AttemptId]) -> int | None:
        """Return when the first attempt that is in flight is due; drop the others before it."""
        while self._heap and self._heap[0].attempt_id not in in_flight:
            heappop(self._heap)
        return self._heap[0].due_ns if self._heap else None
