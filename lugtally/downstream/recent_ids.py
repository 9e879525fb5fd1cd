"""The correlation ids of recent requests that must not run twice.

The ids are stored in a table of fixed size, which the processes of one sidecar share while one replaces the other.  An
id occupies one entry of the set that its hash selects; if the set is full, the oldest entry is replaced.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would also load OpenSSL
from collections.abc import Callable
from enum import Enum
from struct import Struct
from typing import NamedTuple, Protocol

from lugtally.units import NS_PER_S

REMEMBERED_NS = 60 * NS_PER_S
"""How long an id is remembered, unless its entry is replaced earlier."""
ENTRIES_PER_SET = 8
SET_COUNT = 2048
"""With 8 entries for each set, this remembers 270 ids per second for 60 s."""
_ENTRY = Struct("<QQ")  # hash of the id, and when it was added, on the system's monotonic clock; both 0 if unused
_SET = Struct(f"<{2 * ENTRIES_PER_SET}Q")
SET_BYTES = _SET.size
TABLE_BYTES = SET_COUNT * SET_BYTES
"""Size of the table."""
_HASH_BYTES = 8


class _IdSet(NamedTuple):
    """The entries of a set: the hash of each id, and when it was added."""

    hashes: tuple[int, ...]
    added_ns: tuple[int, ...]


class AddResult(Enum):
    """The result of adding an id."""

    ADDED = "the id was added"
    REPEATED = "the id is in the set already"
    UNAVAILABLE = "another process keeps the entries locked, or they cannot be read or written now"


class IdTable(Protocol):
    """The bytes that store the ids, of which a range can be locked against other processes."""

    def try_lock(self, start: int, byte_count: int) -> bool:
        """Lock a range; return false, without waiting, if another process keeps it locked."""

    def unlock(self, start: int, byte_count: int) -> None:
        """Unlock a range that was locked."""

    def read(self, start: int, byte_count: int) -> bytes:
        """Return the bytes of a range.

        Raises:
            OSError: They cannot be read.
        """

    def write(self, start: int, data: bytes) -> None:
        """Replace the bytes of a range.

        Raises:
            OSError: They cannot be written completely.
        """


class PrivateTable:
    """A table of this process alone, which needs no locks."""

    def __init__(self) -> None:
        self._data = bytearray(TABLE_BYTES)

    def try_lock(self, start: int, byte_count: int) -> bool:
        """Return true."""
        return True

    def unlock(self, start: int, byte_count: int) -> None:
        """Do nothing."""

    def read(self, start: int, byte_count: int) -> bytes:
        """Return the bytes of a range."""
        return bytes(self._data[start : start + byte_count])

    def write(self, start: int, data: bytes) -> None:
        """Replace the bytes of a range."""
        self._data[start : start + len(data)] = data


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
            return self._add(id_hash, set_start)
        except OSError:
            return AddResult.UNAVAILABLE
        finally:
            self._table.unlock(set_start, SET_BYTES)

    def _add(self, id_hash: int, set_start: int) -> AddResult:
        now_ns = self._now()
        hashes, added_ns = self._read_set(set_start)
        if id_hash in hashes and any(
            entry_hash == id_hash and now_ns - entry_added_ns < REMEMBERED_NS
            for entry_hash, entry_added_ns in zip(hashes, added_ns, strict=True)
        ):
            return AddResult.REPEATED
        oldest_index = added_ns.index(min(added_ns))
        self._table.write(set_start + oldest_index * _ENTRY.size, _ENTRY.pack(id_hash, now_ns))
        return AddResult.ADDED

    def remove(self, correlation_id: str) -> None:
        """Remove an id, because no endpoint processed its request.

        It stays until it expires if it cannot be removed now, as when :meth:`add` returns ``UNAVAILABLE``.
        """
        id_hash = _hash(correlation_id)
        set_start = _set_start(id_hash)
        if not self._table.try_lock(set_start, SET_BYTES):
            return
        try:
            for index, entry_hash in enumerate(self._read_set(set_start).hashes):
                if entry_hash == id_hash:
                    self._table.write(set_start + index * _ENTRY.size, _ENTRY.pack(0, 0))
        except OSError:
            pass  # the id stays, and a further request with it gets 409
        finally:
            self._table.unlock(set_start, SET_BYTES)

    def _read_set(self, set_start: int) -> _IdSet:
        """Return the entries of a set.

        Raises:
            OSError: They cannot be read.
        """
        values = _SET.unpack(self._table.read(set_start, SET_BYTES))
        return _IdSet(values[::2], values[1::2])


def _hash(correlation_id: str) -> int:
    """Return the hash of an id, which is equal in all processes and never 0."""
    digest = blake2b(correlation_id.encode(errors="surrogateescape"), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") | 1


def _set_start(id_hash: int) -> int:
    """Return the position of the set of an id."""
    return (id_hash >> 1) % SET_COUNT * SET_BYTES
