"""The endpoint list as this balancer last received it, and the backoff after failed polls."""

from __future__ import annotations

from random import Random

from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lugtally.balancing.settings import Settings
from lugtally.units import NS_PER_S

MAX_POLL_BACKOFF_NS = 8 * NS_PER_S
"""Longest delay before the next poll; the settings may lower it."""
MAX_COUNTED_POLL_FAILURES = 5
"""Consecutive failed polls that are counted; more would not lengthen the backoff beyond its maximum."""
MIN_POLL_JITTER = 0.2
"""Lowest fraction of the backoff that is waited: an immediate poll would meet the same failure."""
INITIAL_CONCURRENCY_LIMIT = 2.0
"""Initial limit on this balancer's requests in flight at an endpoint: enough to show if it keeps up."""
INITIAL_TOKENS_SCALE = 1e6
"""The initial tokens are the rank times this, modulo 1.

The digits of the rank after the sixth are independent of the order of the endpoints by rank.
"""


class EndpointTable:
    """All endpoints that were ever listed, except removed ones that were deleted."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._poll_failures = 0
        self.by_id: dict[int, EndpointStats] = {}
        self.usable: list[EndpointStats] = []
        """Endpoints that requests may be sent to, ordered by rank."""

    def draw_poll_backoff_ns(self) -> int:
        """Record a failed poll; return a random delay before the next one."""
        self._poll_failures = min(self._poll_failures + 1, MAX_COUNTED_POLL_FAILURES)
        max_backoff_ns = min(MAX_POLL_BACKOFF_NS, NS_PER_S << self._poll_failures)
        # A delay longer than the settings allow between two polls would miss that an endpoint is draining.
        allowed_ns = min(max_backoff_ns, self._settings.max_poll_interval_ns or max_backoff_ns)
        return int(self._rng.uniform(MIN_POLL_JITTER, 1) * allowed_ns)

    def apply_update(self, now_ns: int, update: EndpointUpdate) -> None:
        """Apply an update that discovery has delivered."""
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
        if known is None or entry.started_ns > known.started_ns:  # new, or restarted
            # In a large fleet a balancer sends so rarely that an empty bucket would take too long to gain
            # one token.
            endpoint.reset(now_ns, INITIAL_CONCURRENCY_LIMIT, tokens=endpoint.rank * INITIAL_TOKENS_SCALE % 1)
        endpoint.update(entry)
        self.by_id[entry.id] = endpoint

    def _remove_unlisted(self, listed_ids: set[int]) -> None:
        """Mark endpoints missing from a full list as removed; draining ones only if removal is binding."""
        for endpoint in self.by_id.values():
            is_ready = endpoint.state is EndpointState.READY
            if endpoint.id not in listed_ids and (is_ready or self._settings.removal_is_binding):
                endpoint.state = EndpointState.REMOVED

    def _select_usable(self) -> None:
        usable = [endpoint for endpoint in self.by_id.values() if endpoint.state is EndpointState.READY]
        removed = [endpoint for endpoint in self.by_id.values() if endpoint.state is EndpointState.REMOVED]
        if self._settings.removal_is_binding:
            self._delete_unused(removed)
        elif not usable:
            usable = removed
        self.usable = sorted(usable, key=lambda endpoint: endpoint.rank)

    def _delete_unused(self, removed: list[EndpointStats]) -> None:
        """Delete removed endpoints with nothing in flight: ids are never reused, so they would accumulate."""
        for endpoint in removed:
            if not endpoint.in_flight:
                del self.by_id[endpoint.id]
