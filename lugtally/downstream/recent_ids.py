"""The correlation ids of recent requests that must not run twice.

The ids are stored in a table of fixed size, which the processes of one sidecar share while one replaces the other.  An
id occupies one entry of the set that its hash selects; if the set is full, the oldest entry is replaced.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would also load OpenSSL
from collections.abc import Callable
from mmap import mmap
from struct import Struct

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


class RecentRequestIds:
    """A set of correlation ids, each of which is forgotten after ``REMEMBERED_NS``."""

    def __init__(self, now: Callable[[], int], table: bytearray | mmap | None = None) -> None:
        """``now`` is the monotonic clock; ``table`` has ``TABLE_BYTES``, by default memory of this process alone."""
        self._now = now
        self._table = table if table is not None else bytearray(TABLE_BYTES)

    def add(self, correlation_id: str) -> bool:
        """Add an id; return false if it is in the set already."""
        now_ns = self._now()
        id_hash = _hash(correlation_id)
        oldest_position, oldest_ns = 0, now_ns + 1
        for position in _positions(id_hash):
            entry_hash, added_ns = _ENTRY.unpack_from(self._table, position)
            if entry_hash == id_hash and now_ns - added_ns < REMEMBERED_NS:
                return False
            if added_ns < oldest_ns:
                oldest_position, oldest_ns = position, added_ns
        _ENTRY.pack_into(self._table, oldest_position, id_hash, now_ns)
        return True

    def remove(self, correlation_id: str) -> None:
        """Remove an id, because no endpoint processed its request."""
        id_hash = _hash(correlation_id)
        for position in _positions(id_hash):
            entry_hash, _ = _ENTRY.unpack_from(self._table, position)
            if entry_hash == id_hash:
                _ENTRY.pack_into(self._table, position, 0, 0)


def _hash(correlation_id: str) -> int:
    """Return the hash of an id, which is equal in all processes and never 0."""
    digest = blake2b(correlation_id.encode(errors="surrogateescape"), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") | 1


def _positions(id_hash: int) -> range:
    """Return the positions of the entries in the set of an id."""
    set_start = (id_hash >> 1) % SET_COUNT * SET_BYTES
    return range(set_start, set_start + SET_BYTES, _ENTRY.size)
