"""A priority queue of attempts, ordered by the time at which each is due."""

from __future__ import annotations

from collections.abc import Container
from heapq import heappop, heappush
from typing import NamedTuple

from lugtally.balancing.attempt_id import AttemptId


class DueAttempt(NamedTuple):
    """An attempt and the time at which it is due; earlier ones sort first."""

    due_ns: int
    attempt_id: AttemptId


class DeadlineQueue:
    """Attempts, of which the one that is due first is removed first."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[DueAttempt] = []

    def push(self, due_ns: int, attempt_id: AttemptId) -> None:
        """Add an attempt that is due at ``due_ns``."""
        heappush(self._heap, DueAttempt(due_ns, attempt_id))

    def pop_due(self, now_ns: int) -> AttemptId | None:
        """Remove and return the first attempt that is due by ``now_ns``, or ``None`` if there is none."""
        if self._heap and self._heap[0].due_ns <= now_ns:
            return heappop(self._heap).attempt_id
        return None

    def next_due_ns(self, in_flight: Container[AttemptId]) -> int | None:
        """Return when the first attempt in ``in_flight`` is due, or ``None`` if there is none.

        Finished attempts before it are removed.
        """
        while self._heap and self._heap[0].attempt_id not in in_flight:
            heappop(self._heap)
        return self._heap[0].due_ns if self._heap else None
