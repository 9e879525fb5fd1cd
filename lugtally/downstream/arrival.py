"""A lower bound of the time at which the bytes of a connection arrived.

The kernel does not report arrival times.  A process that was busy, starved of CPU or stopped reads bytes late and knows
only a time at which they had not arrived.  The bound combines what reads and the event loop's polls observed.
"""

from __future__ import annotations

from lugtally.eventloop import EventLoop


class ArrivalBound:
    """The bound for one connection."""

    __slots__ = ("_drained_ns", "_loop", "arrived_after_ns")

    def __init__(self, loop: EventLoop, drained_ns: int) -> None:
        """``drained_ns`` is a time at which no byte had arrived."""
        self._loop = loop
        self._drained_ns = drained_ns
        """The last time at which no byte was known to be unread."""
        self.arrived_after_ns = drained_ns
        """A time before which the bytes of the last read had not arrived."""

    def note_empty(self, called_ns: int) -> None:
        """Record that a read at ``called_ns`` found no bytes."""
        self._drained_ns = called_ns

    def note_received(self, called_ns: int, is_drained: bool) -> None:
        """Record that a read at ``called_ns`` returned bytes; ``is_drained`` means all that were available."""
        self.arrived_after_ns = self._drained_ns
        if is_drained:
            self._drained_ns = called_ns

    def note_readable(self, watched_since_ns: int) -> None:
        """Record that the event loop reported bytes; the descriptor is registered since ``watched_since_ns``."""
        self._drained_ns = max(self._drained_ns, self._loop.not_ready_before_ns(watched_since_ns))

    def note_unreadable(self, watched_since_ns: int) -> None:
        """Record that the event loop reported no bytes; the descriptor is registered since ``watched_since_ns``."""
        if watched_since_ns <= self._loop.last_poll_ns:
            self._drained_ns = max(self._drained_ns, self._loop.last_poll_ns)
