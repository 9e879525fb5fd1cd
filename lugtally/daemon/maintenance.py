"""Periodic tasks of a running sidecar: expired connections, readiness, timer lag."""

from __future__ import annotations

from loguru import logger

from lugtally.discovery.watcher import EndpointWatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from lugtally.upstream import UpstreamPool

MAINTENANCE_INTERVAL_NS = 1000 * NS_PER_MS
READINESS_CHECK_INTERVAL_NS = 10 * NS_PER_MS
"""Maintenance interval until the sidecar is ready."""
TIMER_LAG_WARNING_NS = 50 * NS_PER_MS
"""Smallest delay of a timer that is logged."""


def maintain_connections(
    loop: EventLoop, upstream: UpstreamPool, endpoint_watcher: EndpointWatcher, downstream: DownstreamServer
) -> None:
    """Periodically update the readiness, close expired connections and log late timers, while the loop runs.

    The sidecar becomes ready with its first ready endpoint, and then remains ready.
    """
    while True:
        downstream.ready = downstream.ready or endpoint_watcher.ready_count > 0
        loop.sleep(MAINTENANCE_INTERVAL_NS if downstream.ready else READINESS_CHECK_INTERVAL_NS)
        upstream.close_expired()
        _report_timer_lag(loop)


def _report_timer_lag(loop: EventLoop) -> None:
    """Log the largest delay of a timer since the last call.

    A delay is caused by the machine, a garbage collection or a long turn of the event loop, and delays responses too.
    """
    if loop.max_timer_lag_ns > TIMER_LAG_WARNING_NS:
        logger.warning(
            "timers fired up to {lag_ms:.0f} ms late",
            event="sidecar.timer_lag",
            lag_ms=loop.max_timer_lag_ns / NS_PER_MS,
        )
    loop.max_timer_lag_ns = 0
