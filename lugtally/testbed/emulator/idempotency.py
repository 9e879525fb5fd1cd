"""Deduplication by idempotency key, as the emulated servers do it."""

from __future__ import annotations


class IdempotencyStore:
    """Keys seen by all servers: a repeat is recognized within its window, in its zone or in the whole fleet."""

    def __init__(self, window_s: dict[str, float], fleet_scoped: frozenset[str]) -> None:
        """``window_s`` is by class name; ``fleet_scoped`` are the classes whose repeats all servers recognize."""
        self._window_s = window_s
        self._fleet_scoped = fleet_scoped
        self._first_seen_at: dict[tuple[str, str], float] = {}  # by scope and key

    def requires_key(self, class_name: str) -> bool:
        """Whether requests of this class carry an idempotency key."""
        return class_name in self._window_s

    def is_first(self, class_name: str, key: str, zone: str, at: float) -> bool:
        """Whether an execution has an effect of its own; remembers its key if so."""
        window_s = self._window_s.get(class_name)
        if window_s is None or not key:
            return True
        scope = "" if class_name in self._fleet_scoped else zone
        first_seen_at = self._first_seen_at.get((scope, key))
        if first_seen_at is not None and at - first_seen_at <= window_s:
            return False
        self._first_seen_at[scope, key] = at
        return True
