"""The correlation ids of recent requests that must not run twice.

The ids are stored in a table of fixed size, which the processes of one sidecar share while one replaces the other.  An
id occupies one entry of the set that its hash selects; if the set is full, the oldest entry is replaced.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would also load OpenSSL
from collections.abc import Callable
from enum import Enum
from mmap import mmap
from struct import Struct
from typing import Protocol

from lugtally.units import NS_PER_S

REMEMBERED_NS = 60 * NS_PER_S
"""How long an id is remembered, unless its entry is replaced earlier."""
ENTRIES_PER_SET = 8
SET_COUNT = 2048
"""With 8 entries for each set, this remembers 270 ids per second for 60 s."""
_ENTRY = Struct("<QQ")  # hash of the id, and when it was added, on the system's monotonic clock; both 0 if unused
SET_BYTES = ENTRIES_PER_SET * _ENTRY.size
TABLE_BYTES = SET_COUNT * SET_BYTES
"""Size of the table."""
_HASH_BYTES = 8


class AddResult(Enum):
    """The result of adding an id."""

    ADDED = "the id was added"
    REPEATED = "the id is in the set already"
    UNAVAILABLE = "another process keeps a part of the set locked"


class IdTable(Protocol):
    """The bytes that store the ids, of which a range can be locked against other processes."""

    data: bytearray | mmap

    def try_lock(self, start: int, byte_count: int) -> bool:
        """Lock a range; return false, without waiting, if another process keeps it locked."""

    def unlock(self, start: int, byte_count: int) -> None:
        """Unlock a range that was locked."""


class PrivateTable:
    """A table of this process alone, which needs no locks."""

    def __init__(self) -> None:
        self.data: bytearray | mmap = bytearray(TABLE_BYTES)

    def try_lock(self, start: int, byte_count: int) -> bool:
        """Return true."""
        return True

    def unlock(self, start: int, byte_count: int) -> None:
        """Do nothing."""


class RecentRequestIds:
    """A set of correlation ids, each of which is forgotten after ``REMEMBERED_NS``.

    Two processes may add one id in the same moment: looking for it and adding it are one step under a lock.
    """

    def __init__(self, now: Callable[[], int], table: IdTable | None = None) -> None:
        """``now`` is the monotonic clock; ``table`` has ``TABLE_BYTES``, by default memory of this process alone."""
        self._now = now
        self._table = table or PrivateTable()

    def add(self, correlation_id: str) -> AddResult:
        """Add an id, unless it is in the set already."""
        id_hash = _hash(correlation_id)
        set_start = _set_start(id_hash)
        if not self._table.try_lock(set_start, SET_BYTES):
            return AddResult.UNAVAILABLE
        try:
            is_new = self._add(id_hash, set_start)
        finally:
            self._table.unlock(set_start, SET_BYTES)
        return AddResult.ADDED if is_new else AddResult.REPEATED

    def _add(self, id_hash: int, set_start: int) -> bool:
        now_ns = self._now()
        oldest_position, oldest_ns = 0, now_ns + 1
        for position in _positions(set_start):
            entry_hash, added_ns = _ENTRY.unpack_from(self._table.data, position)
            if entry_hash == id_hash and now_ns - added_ns < REMEMBERED_NS:
                return False
            if added_ns < oldest_ns:
                oldest_position, oldest_ns = position, added_ns
        _ENTRY.pack_into(self._table.data, oldest_position, id_hash, now_ns)
        return True

    def remove(self, correlation_id: str) -> None:
        """Remove an id, because no endpoint processed its request.

        It stays until it expires if another process keeps a part of the set locked.
        """
        id_hash = _hash(correlation_id)
        set_start = _set_start(id_hash)
        if not self._table.try_lock(set_start, SET_BYTES):
            return
        try:
            self._remove(id_hash, set_start)
        finally:
            self._table.unlock(set_start, SET_BYTES)

    def _remove(self, id_hash: int, set_start: int) -> None:
        for position in _positions(set_start):
            entry_hash, _ = _ENTRY.unpack_from(self._table.data, position)
            if entry_hash == id_hash:
                _ENTRY.pack_into(self._table.data, position, 0, 0)


def _hash(correlation_id: str) -> int:
    """Return the hash of an id, which is equal in all processes and never 0."""
    digest = blake2b(correlation_id.encode(errors="surrogateescape"), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") | 1


def _set_start(id_hash: int) -> int:
    """Return the position of the set of an id."""
    return (id_hash >> 1) % SET_COUNT * SET_BYTES


def _positions(set_start: int) -> range:
    """Return the positions of the entries in a set."""
    return range(set_start, set_start + SET_BYTES, _ENTRY.size)
