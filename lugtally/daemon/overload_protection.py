"""Overload protection of the sidecar: limits from the operator's file, and periodic readings of its resource usage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from lugtally import balancing
from lugtally.eventloop import EventLoop
from lugtally.overload.admission import MAX_RETRY_AFTER_NS, AdmissionController, OverloadLimits
from lugtally.overload.resource_monitor import ResourceMonitor
from lugtally.units import NS_PER_MS

if TYPE_CHECKING:
    from lugtally.config.operator_file import OverloadSection

RESOURCE_READ_INTERVAL_NS = 250 * NS_PER_MS


def overload_limits(section: OverloadSection, settings: balancing.Settings) -> OverloadLimits | None:
    """Convert the ``[overload]`` section to limits of the admission controller; ``None`` if it is disabled."""
    if not section.enabled:
        return None
    max_retry_after_ns = min(settings.max_retry_after_ns, MAX_RETRY_AFTER_NS) if settings.retry_after_allowed else 0
    return OverloadLimits(
        target_ns=int(section.target_ms * NS_PER_MS),
        memory_fraction=section.memory,
        descriptors_fraction=section.descriptors,
        shed_first=section.refuse_first,
        max_retry_after_ns=max_retry_after_ns,
    )


def monitor_resources(loop: EventLoop, admission: AdmissionController, monitor: ResourceMonitor) -> None:
    """Read the resource usage of the process, periodically and without end; log when load shedding starts or stops."""
    shedding = False
    while True:
        loop.sleep(RESOURCE_READ_INTERVAL_NS)
        admission.record_usage(monitor.read())
        admission.update_when_idle(loop.now())
        if shedding != admission.is_shedding:
            shedding = admission.is_shedding
            _log_shedding(admission, shedding)


def _log_shedding(admission: AdmissionController, shedding: bool) -> None:
    usage = admission.meter.usage
    logger.warning(
        "{what}: {shed_fraction:.0%} of the requests, delay {delay_ms:.1f} ms, "
        "{cpu:.0%} of the cores, {memory:.0%} of the memory, {descriptors:.0%} of the descriptors",
        event="overload.shedding",
        what="shedding load" if shedding else "no longer shedding load",
        shedding=shedding,
        shed_fraction=admission.shed_fraction,
        delay_ms=admission.meter.mean_delay_ns / NS_PER_MS,
        cpu=usage.cpu_fraction,
        memory=usage.memory_fraction,
        descriptors=usage.descriptors_fraction,
    )
