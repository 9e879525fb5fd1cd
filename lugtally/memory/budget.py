"""One memory budget for the process, which all of its buffers and connections share.

Each use of memory may grow only while the total is below the share of that use.  The shares are the order in which uses
give way when memory becomes scarce; ``docs/memory.md`` describes what happens instead of each of them.
"""

from __future__ import annotations

from enum import IntEnum

BYTES_PER_MB = 1024 * 1024
"""Bytes in one unit of the configured memory limit."""
MARGIN_FRACTION = 0.1
"""The fraction of the memory limit that is left to the allocator and to short-lived objects."""
MIN_MARGIN_BYTES = 3 * BYTES_PER_MB
MIN_CAPACITY_BYTES = 2 * BYTES_PER_MB
"""The capacity of a budget whose limit is hardly above the resident memory of an idle process."""
DEFAULT_IDLE_BYTES = 24 * BYTES_PER_MB
"""Assumed resident memory of an idle process while it is unknown."""
UNLIMITED_BYTES = 1 << 62


class MemoryUse(IntEnum):
    """What memory is used for, in the order in which uses give way."""

    READ_AHEAD = 0
    """Requests that were received while an earlier request of their connection is in progress."""
    BUFFERED_STREAMS = 1
    """Parts of streamed responses that are buffered before the client receives them."""
    REQUESTS = 2
    """The heads and bodies of requests that are being received or are in progress."""
    EXCHANGES = 3
    """The tasks and the state of requests in progress."""
    CONNECTIONS = 4
    """Connections, without what they buffer."""
    RESPONSES = 5
    """Responses that are buffered completely, and the unsent bytes of responses to slow clients."""


SHARES = {
    MemoryUse.READ_AHEAD: 0.4,
    MemoryUse.BUFFERED_STREAMS: 0.4,
    MemoryUse.REQUESTS: 0.6,
    MemoryUse.EXCHANGES: 0.7,
    MemoryUse.CONNECTIONS: 0.8,
    MemoryUse.RESPONSES: 0.9,
}
"""The fraction of the capacity that all uses together may take for this use to grow."""


class MemoryBudget:
    """Counts the memory that is used for buffers and connections.

    Attributes:
        used_bytes: The memory that is used now.
        peak_bytes: The largest value of ``used_bytes`` so far.
        capacity_bytes: The memory that may be used.
        refusals: How often each use was refused memory, by use.
    """

    __slots__ = (
        "_idle_bytes",
        "_limit_bytes",
        "_limits",
        "_used_by",
        "capacity_bytes",
        "peak_bytes",
        "refusals",
        "used_bytes",
    )

    def __init__(self, limit_bytes: int) -> None:
        """``limit_bytes`` is the memory limit of the process.

        Until :meth:`record_idle` is called, an idle process is assumed to take ``DEFAULT_IDLE_BYTES``.
        """
        self._limit_bytes = limit_bytes
        self._used_by = [0] * len(MemoryUse)
        self.refusals = [0] * len(MemoryUse)
        self.used_bytes = 0
        self.peak_bytes = 0
        self.record_idle(0)

    def record_idle(self, resident_bytes: int) -> None:
        """Set the resident memory of the idle process; 0 if it is unknown."""
        self._idle_bytes = resident_bytes or DEFAULT_IDLE_BYTES
        self._set_capacity(0)

    def can_reserve(self, use: MemoryUse, byte_count: int = 0) -> bool:
        """Return whether this use may grow by ``byte_count``."""
        return self.used_bytes + byte_count <= self._limits[use]

    def reserve(self, use: MemoryUse, byte_count: int) -> bool:
        """Count ``byte_count`` more bytes for this use, unless it may not grow; return whether they were counted."""
        if self.used_bytes + byte_count > self._limits[use]:
            self.refusals[use] += 1
            return False
        self.add(use, byte_count)
        return True

    def add(self, use: MemoryUse, byte_count: int) -> None:
        """Count memory that is in use already; a negative number was freed."""
        self._used_by[use] += byte_count
        self.used_bytes += byte_count
        if self.used_bytes > self.peak_bytes:
            self.peak_bytes = self.used_bytes

    def used_by(self, use: MemoryUse) -> int:
        """Return the memory in bytes that this use takes."""
        return self._used_by[use]

    @property
    def usage(self) -> float:
        """The fraction of the capacity that is used; above 1 if it was exceeded."""
        return self.used_bytes / self.capacity_bytes

    def correct(self, resident_bytes: int) -> None:
        """Reduce the capacity by the memory that the process has taken beyond the counted bytes.

        Memory that was counted at its peak and freed since is usually not returned to the system, but it is used again.
        """
        self._set_capacity(max(0, resident_bytes - self._idle_bytes - self.peak_bytes))

    def used_by_name(self) -> dict[str, int]:
        """Return the bytes that each use takes now, by its name in lower case."""
        return {use.name.lower(): self._used_by[use] for use in MemoryUse}

    def refusals_by_name(self) -> dict[str, int]:
        """Return how often each use was refused memory since the start, by its name in lower case."""
        return {use.name.lower(): self.refusals[use] for use in MemoryUse}

    def _set_capacity(self, uncounted_bytes: int) -> None:
        margin_bytes = max(MIN_MARGIN_BYTES, int(MARGIN_FRACTION * self._limit_bytes))
        available_bytes = self._limit_bytes - margin_bytes - self._idle_bytes - uncounted_bytes
        self.capacity_bytes = max(MIN_CAPACITY_BYTES, available_bytes)
        self._limits = [int(SHARES[use] * self.capacity_bytes) for use in MemoryUse]


class Reservation:
    """The memory of one owner for one use.  The owner must release it."""

    __slots__ = ("_budget", "_use", "byte_count")

    def __init__(self, budget: MemoryBudget, use: MemoryUse) -> None:
        self._budget = budget
        self._use = use
        self.byte_count = 0

    def resize(self, byte_count: int) -> bool:
        """Change the reservation to ``byte_count``; return false, without a change, if it may not grow so far."""
        growth = byte_count - self.byte_count
        if growth > 0:
            if not self._budget.reserve(self._use, growth):
                return False
        elif growth:
            self._budget.add(self._use, growth)
        self.byte_count = byte_count
        return True

    def force(self, byte_count: int) -> None:
        """Change the reservation to ``byte_count``, for memory that is in use already."""
        if byte_count == self.byte_count:
            return
        self._budget.add(self._use, byte_count - self.byte_count)
        self.byte_count = byte_count

    def release(self) -> None:
        """Give back all of the memory."""
        if self.byte_count:
            self.force(0)


def unlimited_budget() -> MemoryBudget:
    """Return a budget that never refuses memory."""
    return MemoryBudget(UNLIMITED_BYTES)
