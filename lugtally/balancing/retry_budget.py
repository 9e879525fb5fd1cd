"""Retry budget: limits retries to a fraction of the requests in a sliding window.

Each retry waits for an exponential backoff with full jitter.
"""

from __future__ import annotations

from random import Random

from lugtally.balancing.latency import LatencyTracker
from lugtally.balancing.request import RequestState
from lugtally.balancing.settings import Settings
from lugtally.balancing.sliding_counter import SlidingCounter
from lugtally.units import NS_PER_MS, NS_PER_S

RETRY_RATIO = 0.1
"""Retries allowed in a window, as a fraction of its requests."""
MIN_RETRIES = 1.0
"""Retries allowed in a window even if it has few requests."""
WINDOW_S = 10
"""Length of the sliding window in seconds."""
BASE_BACKOFF_NS = 100 * NS_PER_MS
"""Upper bound of the first backoff; doubles with each retry."""
RETRY_AFTER_BASELINES = 2
"""Retry delay that rejected clients are advised, in latency baselines: about when a queue has drained."""
MIN_RETRY_AFTER_JITTER = 0.5
"""Lowest random factor of that delay, which varies so that clients do not all return at the same time."""
MAX_RETRY_AFTER_JITTER = 1.5
"""Highest random factor of that delay."""


class RetryBudget:
    """Counts requests and retries in the window, and draws the delays before retries."""

    def __init__(self, settings: Settings, rng: Random, latency: LatencyTracker) -> None:
        self._settings = settings
        self._rng = rng
        self._latency = latency
        self._requests = SlidingCounter(WINDOW_S, NS_PER_S)
        self._retries = SlidingCounter(WINDOW_S, NS_PER_S)
        self._next_advance_ns = 0

    def advance(self, now_ns: int) -> None:
        """Move the window to ``now_ns``.

        Called for each event.  Most calls are in the same second as the previous one and return early.
        """
        if now_ns < self._next_advance_ns:
            return
        self._requests.advance(now_ns)
        self._retries.advance(now_ns)
        second = now_ns // NS_PER_S
        # In second 0 the counters restart at each call, because 0 also means that they have not started.
        self._next_advance_ns = (second + 1) * NS_PER_S if second else 0

    @property
    def requests_per_ns(self) -> float:
        """Mean rate of requests over the window, without retries by clients."""
        return self._requests.rate_per_ns

    def count_request(self) -> None:
        """Count a request that is not a retry by its client."""
        self._requests.add(1)

    def allows_retry(self) -> bool:
        """Return whether the budget allows another retry, without spending it."""
        return self._retries.total + 1 <= max(MIN_RETRIES, RETRY_RATIO * self._requests.total)

    def try_spend(self) -> bool:
        """Spend a retry from the budget; return whether it allowed one."""
        if not self.allows_retry():
            return False
        self._retries.add(1)
        return True

    def draw_backoff_ns(self, now_ns: int, request: RequestState) -> int | None:
        """Return a random delay before the next retry, ``None`` if too little time would remain."""
        time_left_ns = request.deadline_ns - now_ns
        if request.has_idempotency_key and request.possibly_processed:
            window_end_ns = request.deduplication_end_ns - self._settings.timer_resolution_ns
            time_left_ns = min(time_left_ns, window_end_ns - now_ns)
        max_delay_ns = max(0, min(time_left_ns // 2, BASE_BACKOFF_NS << request.retries))
        delay_ns = int(self._rng.uniform(0, max_delay_ns))
        leaves_enough_time = time_left_ns - delay_ns > self._latency.baseline_ns(request.class_index) / 2
        return delay_ns if leaves_enough_time else None

    def draw_retry_after_ns(self, request: RequestState) -> int:
        """Return the random retry delay to suggest to a rejected client; 0 if none is suggested."""
        if not self._settings.retry_after_allowed:
            return 0
        mean_delay_ns = max(
            BASE_BACKOFF_NS, RETRY_AFTER_BASELINES * self._latency.baseline_ns(request.class_index)
        )
        jitter = self._rng.uniform(MIN_RETRY_AFTER_JITTER, MAX_RETRY_AFTER_JITTER)
        return min(int(mean_delay_ns * jitter), self._settings.max_retry_after_ns)
