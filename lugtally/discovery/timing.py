"""The timing budget of the watch: the timeouts of a call, and the worst cases that must fit the delivery limit.

Read the constants as ``timing.NAME``, as tests replace them here to run faster.
"""

from __future__ import annotations

from lugtally.units import NS_PER_MS

UPDATE_DELIVERY_LIMIT_NS = 6000 * NS_PER_MS
"""A change counts as delivered this long after a reachable discovery had it, even if it was not received."""

WATCH_HOLD_MS = 2500
"""How long discovery delays its response if there is no change.  200 sidecars make 80 such calls a second."""
RESPONSE_TIMEOUT_NS = 1000 * NS_PER_MS
"""How long a response may take beyond that delay."""
CONNECT_TIMEOUT_NS = 500 * NS_PER_MS
"""How long the establishment of a connection to discovery may take."""
MAX_BACKOFF_NS = 1500 * NS_PER_MS
"""The upper limit of the backoff after a failed call.  The balancer draws a random part of it."""

SILENT_WATCH_TO_UPDATE_NS = WATCH_HOLD_MS * NS_PER_MS + RESPONSE_TIMEOUT_NS + CONNECT_TIMEOUT_NS + RESPONSE_TIMEOUT_NS
"""The worst case if discovery stops responding when a call starts: the call times out and is retried at once."""
DISCOVERY_RETURN_TO_UPDATE_NS = CONNECT_TIMEOUT_NS + 2 * (MAX_BACKOFF_NS + CONNECT_TIMEOUT_NS) + RESPONSE_TIMEOUT_NS
"""The worst case if discovery becomes reachable just after a connect that will time out has started.

It consists of that timeout, and twice a backoff and a call.  The rest of the delivery limit is margin.
"""

EMPTY_RESPONSE_PAUSE_NS = 100 * NS_PER_MS
"""The pause after a response without a change that was received sooner than this; below the 200 ms of a watch."""
