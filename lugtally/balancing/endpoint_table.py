"""The endpoint list as this balancer knows it, and the backoff between failed polls of it."""

from __future__ import annotations

from random import Random

from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lugtally.balancing.settings import Settings
from lugtally.units import NS_PER_S

MAX_POLL_BACKOFF_NS = 8 * NS_PER_S
"""Longest delay before the next poll, where the settings give none."""
MAX_POLL_FAILURES = 5
"""Failed polls in a row that lengthen the backoff; more would not, because of ``MAX_POLL_BACKOFF_NS``."""
MIN_POLL_JITTER = 0.2
"""Least part of the backoff that is waited: a poll at once would meet the same failure."""
INITIAL_CONCURRENCY_LIMIT = 2.0
"""First limit on own requests in flight at an endpoint: enough to see whether it keeps up."""
TOKEN_DIGITS = 1e6
"""The digits of the rank behind the sixth seed the tokens: independent of the order that the rank gives."""


class EndpointTable:
    """All endpoints that were ever listed and are not yet forgotten."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._poll_failures = 0
        self.by_id: dict[int, EndpointStats] = {}
        self.usable: list[EndpointStats] = []
        """Endpoints that may be sent to, in the order of their ranks."""

    def draw_poll_backoff_ns(self) -> int:
        """Record a failed poll; draw the delay before the next one."""
        self._poll_failures = min(self._poll_failures + 1, MAX_POLL_FAILURES)
        bound_ns = min(MAX_POLL_BACKOFF_NS, NS_PER_S << self._poll_failures)
        # A longer delay than the settings allow between two polls would overlook a drain.
        allowed_ns = min(bound_ns, self._settings.max_poll_interval_ns or bound_ns)
        return int(self._rng.uniform(MIN_POLL_JITTER, 1) * allowed_ns)

    def apply_update(self, now_ns: int, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list."""
        self._poll_failures = 0
        for entry in update.endpoints:
            self._apply_entry(now_ns, entry)
        if update.kind is not EndpointUpdateKind.DELTA:
            self._remove_unlisted({entry.id for entry in update.endpoints})
        self._select_usable()

    def ejected_count(self, now_ns: int) -> int:
        """Return how many usable endpoints are ejected at ``now_ns``."""
        return sum(endpoint.is_ejected(now_ns) for endpoint in self.usable)

    def _apply_entry(self, now_ns: int, entry: Endpoint) -> None:
        known = self.by_id.get(entry.id)
        endpoint = known or EndpointStats(entry.id, self._rng.random())
        if known is None or entry.started_ns > known.started_ns:  # another process
            # In a large fleet each balancer sends so rarely that waiting for a complete token takes too long.
            endpoint.reset(now_ns, INITIAL_CONCURRENCY_LIMIT, tokens=endpoint.rank * TOKEN_DIGITS % 1)
        endpoint.update(entry)
        self.by_id[entry.id] = endpoint

    def _remove_unlisted(self, listed_ids: set[int]) -> None:
        """Mark endpoints that a complete list does not contain; draining ones only where that is binding."""
        for endpoint in self.by_id.values():
            is_ready = endpoint.state is EndpointState.READY
            if endpoint.id not in listed_ids and (is_ready or self._settings.removal_is_binding):
                endpoint.state = EndpointState.REMOVED

    def _select_usable(self) -> None:
        usable = [endpoint for endpoint in self.by_id.values() if endpoint.state is EndpointState.READY]
        removed = [endpoint for endpoint in self.by_id.values() if endpoint.state is EndpointState.REMOVED]
        if self._settings.removal_is_binding:
            self._forget(removed)
        elif not usable:
            usable = removed
        self.usable = sorted(usable, key=lambda endpoint: endpoint.rank)

    def _forget(self, removed: list[EndpointStats]) -> None:
        """Forget endpoints with nothing in flight; ids are never reused, so they would add up."""
        for endpoint in removed:
            if not endpoint.in_flight:
                del self.by_id[endpoint.id]
