"""The timing budget of the watch: the timeouts of a call, and the worst cases that must not exceed the delivery limit.

Read the constants as ``timing.NAME``, because tests replace them in this module to run faster.
"""

from __future__ import annotations

from lugtally.units import NS_PER_MS

UPDATE_DELIVERY_LIMIT_NS = 6000 * NS_PER_MS
"""Time in which a sidecar must receive a change from a reachable discovery.

After this time, the change counts as delivered, even if it was not received.
"""

WATCH_HOLD_MS = 2500
"""Time for which discovery delays its response while there is no change.  200 sidecars make 80 calls per second."""
RESPONSE_TIMEOUT_NS = 1000 * NS_PER_MS
"""Timeout of a response after the ``WATCH_HOLD_MS`` for which discovery may delay it."""
CONNECT_TIMEOUT_NS = 500 * NS_PER_MS
"""Time that connecting to discovery may take."""
MAX_BACKOFF_NS = 1500 * NS_PER_MS
"""Upper limit of the backoff after a failed call.  The balancer selects a random part of it."""

SILENT_DISCOVERY_WORST_CASE_NS = (
    WATCH_HOLD_MS * NS_PER_MS + RESPONSE_TIMEOUT_NS + CONNECT_TIMEOUT_NS + RESPONSE_TIMEOUT_NS
)
"""Worst case if discovery stops responding when a call starts: the call times out and is retried immediately."""
RETURNING_DISCOVERY_WORST_CASE_NS = CONNECT_TIMEOUT_NS + 2 * (MAX_BACKOFF_NS + CONNECT_TIMEOUT_NS) + RESPONSE_TIMEOUT_NS
"""Worst case if discovery becomes reachable just after the start of a connect that times out.

The sum of that timeout, two times a backoff and a connect, and one response.  The rest of the delivery limit is margin.
"""

EMPTY_RESPONSE_PAUSE_NS = 100 * NS_PER_MS
"""Pause after a response without a change that took less than this time; below the 200 ms of a watch."""
