"""Deduplication of requests by their idempotency keys, at the emulated servers."""

from __future__ import annotations

from typing import NamedTuple

ALL_ZONES = ""  # scope of the keys of a class that is deduplicated across zones


class _ScopedKey(NamedTuple):
    """An idempotency key, and the zone in which it is unique or ALL_ZONES."""

    scope: str
    key: str


class IdempotencyStore:
    """Stores the idempotency keys that the servers of a fleet have seen.

    A duplicate is recognized within the deduplication window of its class, by the servers of the same zone or of all
    zones.
    """

    def __init__(self, window_s: dict[str, float], fleet_scoped: frozenset[str]) -> None:
        """Deduplicate the classes in ``window_s``, and across all zones those that are in ``fleet_scoped``."""
        self._window_s = window_s
        self._fleet_scoped = fleet_scoped
        self._last_effect_at: dict[_ScopedKey, float] = {}

    def requires_key(self, class_name: str) -> bool:
        """Return whether requests of this class carry an idempotency key."""
        return class_name in self._window_s

    def record_execution(self, class_name: str, key: str, zone: str, arrived_at: float) -> bool:
        """Record the execution of a request and return whether it has an effect.

        It has none if it is a duplicate within the deduplication window.
        """
        window_s = self._window_s.get(class_name)
        if window_s is None or not key:
            return True
        scope = ALL_ZONES if class_name in self._fleet_scoped else zone
        scoped_key = _ScopedKey(scope, key)
        last_effect_at = self._last_effect_at.get(scoped_key)
        if last_effect_at is not None and arrived_at - last_effect_at <= window_s:
            return False
        self._last_effect_at[scoped_key] = arrived_at
        return True
