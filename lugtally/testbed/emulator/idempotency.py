"""Deduplication by idempotency key on the emulated servers."""

from __future__ import annotations

from typing import NamedTuple

ALL_ZONES = ""


class _ScopedKey(NamedTuple):
    """An idempotency key within a zone or within all zones."""

    scope: str
    key: str


class IdempotencyStore:
    """Idempotency keys that the servers of a fleet have seen.

    A repeat is recognized within the window of its class, by the servers of the same zone or of all zones.
    """

    def __init__(self, window_s: dict[str, float], fleet_scoped: frozenset[str]) -> None:
        """Deduplicate the classes of ``window_s``; those in ``fleet_scoped`` across all zones."""
        self._window_s = window_s
        self._fleet_scoped = fleet_scoped
        self._first_seen_at: dict[_ScopedKey, float] = {}

    def requires_key(self, class_name: str) -> bool:
        """Return whether requests of this class carry an idempotency key."""
        return class_name in self._window_s

    def record_execution(self, class_name: str, key: str, zone: str, at: float) -> bool:
        """Return whether an execution has an effect of its own, and store its key if so."""
        window_s = self._window_s.get(class_name)
        if window_s is None or not key:
            return True
        scope = ALL_ZONES if class_name in self._fleet_scoped else zone
        scoped_key = _ScopedKey(scope, key)
        first_seen_at = self._first_seen_at.get(scoped_key)
        if first_seen_at is not None and at - first_seen_at <= window_s:
            return False
        self._first_seen_at[scoped_key] = at
        return True
