"""Watches the endpoint list at the discovery service.

The package owns the watch, its timeouts, and the records and start times of the endpoints.  It must not know requests,
nor how an endpoint is selected.
"""

from lugtally.discovery.timing import MAX_BACKOFF_NS
from lugtally.discovery.watcher import EndpointWatcher

__all__ = ["MAX_BACKOFF_NS", "EndpointWatcher"]
