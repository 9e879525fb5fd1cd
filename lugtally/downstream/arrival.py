"""When the bytes of a connection came: a bound from what its reads and the event loop's polls saw.

The kernel does not say when bytes came.  Whoever reads them late, as the process was busy, starved of the processor or
stopped, knows only a time at which they were not there yet.
"""

from __future__ import annotations

from lugtally.eventloop import EventLoop


class ArrivalBound:
    """The bound for one connection."""

    __slots__ = ("_drained_ns", "_loop", "received_after_ns")

    def __init__(self, loop: EventLoop, drained_ns: int) -> None:
        """``drained_ns`` is a time at which nothing had come."""
        self._loop = loop
        self._drained_ns = drained_ns
        """The last time at which no byte was known to be unread."""
        self.received_after_ns = drained_ns
        """No earlier than this the bytes that were read last have come."""

    def note_empty(self, called_ns: int) -> None:
        """Take it that a read at that time found nothing."""
        self._drained_ns = called_ns

    def note_received(self, called_ns: int, is_drained: bool) -> None:
        """Take it that a read at that time found bytes; ``is_drained``: and took all of them."""
        self.received_after_ns = self._drained_ns
        if is_drained:
            self._drained_ns = called_ns

    def note_readable(self, watched_since_ns: int) -> None:
        """Take it that the loop has reported bytes, for which it has been watching since then."""
        self._drained_ns = max(self._drained_ns, self._loop.not_ready_before_ns(watched_since_ns))

    def note_unreadable(self, watched_since_ns: int) -> None:
        """Take it that the loop has reported no bytes, for which it has been watching since then."""
        if watched_since_ns <= self._loop.last_poll_ns:
            self._drained_ns = max(self._drained_ns, self._loop.last_poll_ns)
