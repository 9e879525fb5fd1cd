"""A lower bound of the time at which the bytes of a connection arrived.

The kernel does not report when bytes arrive.  A process that was busy, starved of CPU or stopped reads them late, and
knows only an earlier time at which they had not arrived.  The bound is the latest such time, found by the reads and by
the polls of the event loop.
"""

from __future__ import annotations

from lugtally.eventloop import EventLoop


class ArrivalBound:
    """The arrival bound of one connection, updated by each read and poll."""

    __slots__ = ("_last_empty_ns", "_loop", "_may_have_unread", "arrived_after_ns")

    def __init__(self, loop: EventLoop, empty_ns: int) -> None:
        """``empty_ns`` is a time at which no byte of the connection had arrived."""
        self._loop = loop
        self._last_empty_ns = empty_ns
        """The last time at which the socket is known to have had no unread bytes."""
        self._may_have_unread = False
        """Whether bytes may have arrived that were not read yet, so that later polls do not show when they arrived."""
        self.arrived_after_ns = empty_ns
        """Lower bound of the time at which the bytes of the last read arrived."""

    def note_empty(self, called_ns: int) -> None:
        """Record that a read at ``called_ns`` found no bytes."""
        self._last_empty_ns = called_ns
        self._may_have_unread = False

    def note_received(self, called_ns: int, is_emptied: bool) -> None:
        """Record that a read at ``called_ns`` returned bytes; ``is_emptied`` says that none were left unread."""
        self.arrived_after_ns = self._last_empty_ns
        self._may_have_unread = not is_emptied
        if is_emptied:
            self._last_empty_ns = called_ns

    def note_readable(self, watched_since_ns: int) -> None:
        """Record that the event loop reported input; the descriptor has been registered since ``watched_since_ns``."""
        if not self._may_have_unread:
            self._last_empty_ns = max(self._last_empty_ns, self._loop.not_ready_before_ns(watched_since_ns))
        self._may_have_unread = True

    def note_unreadable(self, watched_since_ns: int) -> None:
        """Record that the event loop reported no input since the descriptor was registered at ``watched_since_ns``."""
        if watched_since_ns <= self._loop.last_poll_ns:
            self._last_empty_ns = max(self._last_empty_ns, self._loop.last_poll_ns)
            self._may_have_unread = False
