"""The timers that the balancer sets: tokens by the time at which they come due."""

from __future__ import annotations

from heapq import heappop, heappush


class BalancerTimers:
    """A heap of tokens; those of the same time come due in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, str]] = []
        self._sequence = 0

    def add(self, due_ns: int, token: str) -> None:
        """Let the token come due at that time."""
        self._sequence += 1
        heappush(self._heap, (due_ns, self._sequence, token))

    def pop_due(self, now_ns: int) -> str | None:
        """Remove and return a token that has come due, or ``None``."""
        if self._heap and self._heap[0][0] <= now_ns:
            return heappop(self._heap)[2]
        return None

    def next_due_ns(self) -> int | None:
        """Return when the next token comes due, or ``None``."""
        return self._heap[0][0] if self._heap else None
