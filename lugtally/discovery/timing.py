"""The timing budget of the watch: what each part of a call may take, and the sums that must fit the delivery limit.

Read these as ``timing.NAME``: tests replace them here to play the same races in a fraction of their time.
"""

from __future__ import annotations

from lugtally.units import NS_PER_MS

UPDATE_DELIVERY_LIMIT_NS = 6000 * NS_PER_MS
"""This long after discovery had a change and could be reached, the change counts as delivered, arrived or not."""

WATCH_HOLD_MS = 2500
"""How long discovery holds a watch without a change; 200 sidecars make 80 such calls a second."""
RESPONSE_TIMEOUT_NS = 1000 * NS_PER_MS
"""How long a response may take beyond the hold."""
CONNECT_TIMEOUT_NS = 500 * NS_PER_MS
"""How long a connection to discovery may take to come up."""
MAX_BACKOFF_NS = 1500 * NS_PER_MS
"""The longest backoff after a failed call; the balancer draws a random part of it."""

SILENT_WATCH_TO_UPDATE_NS = WATCH_HOLD_MS * NS_PER_MS + RESPONSE_TIMEOUT_NS + CONNECT_TIMEOUT_NS + RESPONSE_TIMEOUT_NS
"""The worst case of a watch that falls silent as it begins: that is noticed, then the call is made again at once."""
DISCOVERY_RETURN_TO_UPDATE_NS = CONNECT_TIMEOUT_NS + 2 * (MAX_BACKOFF_NS + CONNECT_TIMEOUT_NS) + RESPONSE_TIMEOUT_NS
"""The worst case of a discovery that returns just after a connection to it was begun that never comes up.

That connection's timeout, then twice a backoff and a call.  What the limit leaves beyond either sum is margin.
"""

EMPTY_RESPONSE_PAUSE_NS = 100 * NS_PER_MS
"""The pause where responses without a change come at once; well under the 200 ms of a watch."""
