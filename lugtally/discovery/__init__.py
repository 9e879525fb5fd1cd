"""The watch of the endpoint list at the discovery service.

This package owns the watch, its timeouts, and the records and start times of the endpoints.  It must not know requests,
nor how an endpoint is chosen.
"""

from lugtally.discovery.timing import MAX_BACKOFF_NS
from lugtally.discovery.watcher import EndpointWatcher

__all__ = ["MAX_BACKOFF_NS", "EndpointWatcher"]
