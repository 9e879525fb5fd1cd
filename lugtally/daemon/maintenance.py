"""Periodic maintenance of a running sidecar: readiness, expired connections and timer lag."""

from __future__ import annotations

from loguru import logger

from lugtally.discovery.watcher import EndpointWatcher
from lugtally.downstream.server import DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from lugtally.upstream import UpstreamPool

MAINTENANCE_INTERVAL_NS = 1000 * NS_PER_MS
READINESS_CHECK_INTERVAL_NS = 10 * NS_PER_MS
"""Interval in place of ``MAINTENANCE_INTERVAL_NS`` until the sidecar is ready."""
TIMER_LAG_WARNING_NS = 50 * NS_PER_MS
"""Delay of a timer above which it is logged."""


def run_maintenance(
    loop: EventLoop, upstream: UpstreamPool, endpoint_watcher: EndpointWatcher, downstream: DownstreamServer
) -> None:
    """Update the readiness, close expired connections and log late timers, periodically and without end.

    The sidecar becomes ready when its first endpoint is listed as ready, and then remains ready.
    """
    while True:
        downstream.ready = downstream.ready or endpoint_watcher.ready_count > 0
        loop.sleep(MAINTENANCE_INTERVAL_NS if downstream.ready else READINESS_CHECK_INTERVAL_NS)
        upstream.close_expired()
        _log_timer_lag(loop)


def _log_timer_lag(loop: EventLoop) -> None:
    """Log the largest delay of a timer since the last call, and the longest run of a task.

    The delay is caused by the machine, a garbage collection or a long iteration of the event loop, and also delays
    responses.  If the longest run takes most of the delay, that task did not yield to the others.
    """
    longest_run = loop.reset_longest_run()
    if loop.max_timer_lag_ns > TIMER_LAG_WARNING_NS:
        logger.warning(
            "timers fired up to {lag_ms:.0f} ms late; {task} ran for {task_ms:.0f} ms without yielding",
            event="sidecar.timer_lag",
            lag_ms=loop.max_timer_lag_ns / NS_PER_MS,
            task=longest_run.function,
            task_ms=longest_run.duration_ns / NS_PER_MS,
        )
    loop.max_timer_lag_ns = 0
