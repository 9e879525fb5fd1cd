"""The endpoint list, kept up to date from the discovery service.

It owns the watch, its timeouts and what is known of the endpoints.  It must not know requests, nor how an endpoint is
chosen.
"""

from lugtally.discovery.timing import MAX_BACKOFF_NS
from lugtally.discovery.watcher import EndpointWatcher

__all__ = ["MAX_BACKOFF_NS", "EndpointWatcher"]
