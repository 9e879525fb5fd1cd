"""Periodic work of a running sidecar: expired connections, readiness, timer lag."""

from __future__ import annotations

from loguru import logger

from lugtally.discovery.watcher import EndpointWatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from lugtally.upstream import UpstreamPool

MAINTENANCE_INTERVAL_NS = 1000 * NS_PER_MS
READINESS_CHECK_INTERVAL_NS = 10 * NS_PER_MS
TIMER_LAG_WARNING_NS = 50 * NS_PER_MS


def maintain_connections(
    loop: EventLoop, upstream: UpstreamPool, endpoint_watcher: EndpointWatcher, downstream: DownstreamServer
) -> None:
    """Close expired connections, and report late timers, for as long as the loop runs.

    The sidecar becomes ready once an endpoint is, and stays so.
    """
    while True:
        downstream.ready = downstream.ready or endpoint_watcher.ready_count > 0
        loop.sleep(MAINTENANCE_INTERVAL_NS if downstream.ready else READINESS_CHECK_INTERVAL_NS)
        upstream.close_expired()
        _report_timer_lag(loop)


def _report_timer_lag(loop: EventLoop) -> None:
    """Log how late timers ran since the last call: the machine or a garbage collection held the process up.

    Whoever looks for the cause of a late response should look here before blaming a decision.
    """
    if loop.max_timer_lag_ns > TIMER_LAG_WARNING_NS:
        logger.warning(
            "timers ran {lag_ms:.0f} ms late", event="sidecar.timer_lag", lag_ms=loop.max_timer_lag_ns / NS_PER_MS
        )
    loop.max_timer_lag_ns = 0
