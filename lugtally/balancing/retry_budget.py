"""Retry budget: retries are a small part of the requests of a sliding window, each after a backoff.

The backoff is exponential with full jitter.
"""

from __future__ import annotations

from random import Random

from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.request import RequestState
from lugtally.balancing.settings import Settings
from lugtally.balancing.sliding_counter import SlidingCounter
from lugtally.units import NS_PER_MS, NS_PER_S

RETRY_RATIO = 0.1
"""Retries as a part of the requests of the window."""
MIN_RETRIES = 1.0
"""Retries that are always allowed in a window, however few requests it has."""
WINDOW_S = 10
"""Length of the window in seconds."""
BASE_BACKOFF_NS = 100 * NS_PER_MS
"""Upper bound of the first backoff; doubles with each retry."""
QUEUE_BASELINES = 2
"""Baselines that a queue takes to drain, as advised to clients."""
MIN_RETRY_AFTER_JITTER = 0.5
"""Lowest factor of that advice, which is drawn so that clients do not return together."""
MAX_RETRY_AFTER_JITTER = 1.5
"""Highest factor of that advice."""


class RetryBudget:
    """Requests and retries of the window, and the delays before retries."""

    def __init__(self, settings: Settings, rng: Random, latency: LatencyTracker) -> None:
        self._settings = settings
        self._rng = rng
        self._latency = latency
        self._requests = SlidingCounter(WINDOW_S, NS_PER_S)
        self._retries = SlidingCounter(WINDOW_S, NS_PER_S)
        self._current_until_ns = 0

    def advance(self, now_ns: int) -> None:
        """Move the window to ``now_ns``; called for each event, and few of them are in another second."""
        if now_ns < self._current_until_ns:
            return
        self._requests.advance(now_ns)
        self._retries.advance(now_ns)
        second = now_ns // NS_PER_S
        # In second 0 the counters start again at each call: 0 also means that they have not started.
        self._current_until_ns = (second + 1) * NS_PER_S if second else 0

    @property
    def requests_per_ns(self) -> float:
        """Mean rate of requests over the window."""
        return self._requests.rate_per_ns

    def count_request(self) -> None:
        """Count a request that is no retry of a client."""
        self._requests.add(1)

    def allows_retry(self) -> bool:
        """Return whether the budget allows another retry."""
        return self._retries.total + 1 <= max(MIN_RETRIES, RETRY_RATIO * self._requests.total)

    def try_spend(self) -> bool:
        """Take a retry from the budget; return whether it allowed one."""
        if not self.allows_retry():
            return False
        self._retries.add(1)
        return True

    def draw_backoff_ns(self, now_ns: int, request: RequestState) -> int | None:
        """Draw the delay before the next retry with full jitter; ``None`` if too little time would remain."""
        left_ns = request.deadline_ns - now_ns
        if request.has_idempotency_key and request.possibly_processed:
            window_end_ns = request.deduplication_end_ns - self._settings.timer_resolution_ns
            left_ns = min(left_ns, window_end_ns - now_ns)
        bound_ns = max(0, min(left_ns // 2, BASE_BACKOFF_NS << request.retries))
        delay_ns = int(self._rng.uniform(0, bound_ns))
        is_enough = left_ns - delay_ns > self._latency.baseline_ns(request.class_index) / 2
        return delay_ns if is_enough else None

    def draw_retry_after_ns(self, request: RequestState) -> int:
        """Draw when to advise a rejected client to retry: about when a queue has drained; 0: no advice."""
        if not self._settings.retry_after_allowed:
            return 0
        queue_ns = max(BASE_BACKOFF_NS, QUEUE_BASELINES * self._latency.baseline_ns(request.class_index))
        jitter = self._rng.uniform(MIN_RETRY_AFTER_JITTER, MAX_RETRY_AFTER_JITTER)
        return min(int(queue_ns * jitter), self._settings.max_retry_after_ns)
