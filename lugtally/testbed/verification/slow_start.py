"""Rule 4: sidecars that were notified of a server's restart do not overload it while it is warming up."""

from __future__ import annotations

from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ColdServerOverloaded
from lugtally.testbed.verification.violations import Rule, Violation, ViolationName

MIN_NOTIFIED_SHARE = 2 / 3  # share of the overloading work that notified sidecars must have sent for a violation


def check_slow_start(log: EventLog, start: float) -> list[Violation]:
    """Report each cold server that collapsed mostly from work of sidecars that were notified of its start."""
    violations: list[Violation] = []
    for overload in log.cold_overloads:
        notified_sidecars = _notified_sidecars(log, overload)
        total_work = sum(overload.work_by_sidecar.values())
        notified_work = sum(
            work for sidecar, work in overload.work_by_sidecar.items() if int(sidecar) in notified_sidecars
        )
        if total_work and notified_work / total_work >= MIN_NOTIFIED_SHARE:
            violations.append(_slow_start_violation(overload, notified_work / total_work, start))
    return violations


def _notified_sidecars(log: EventLog, overload: ColdServerOverloaded) -> set[int]:
    """Return the sidecars that were notified of the server's start before the overload."""
    return {
        notification.sidecar
        for notification in log.notifications
        if notification.server == overload.server
        and notification.started_at is not None
        and notification.at <= overload.at
    }


def _slow_start_violation(overload: ColdServerOverloaded, notified_share: float, start: float) -> Violation:
    return Violation(
        ViolationName.COLD_SERVER_OVERLOADED,
        Rule.SLOW_START,
        overload.at - start,
        overload.server,
        f"{overload.at - overload.started_at:.3f} s after its start; {notified_share:.0%} of the work "
        "was sent by notified sidecars",
    )
