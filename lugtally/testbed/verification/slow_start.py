"""Rule 4: sidecars that know of a restart do not overload the server while it is warming up."""

from __future__ import annotations

from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ColdServerOverloaded
from lugtally.testbed.verification.violations import Rule, Violation, ViolationName

INFORMED_SHARE = 2 / 3  # of the work that overloaded the server


def check_slow_start(log: EventLog, start: float) -> list[Violation]:
    """Report each cold server that was overloaded mostly by sidecars notified of its start."""
    violations: list[Violation] = []
    for overload in log.cold_overloads:
        informed = _informed_sidecars(log, overload)
        total = sum(overload.work_by_sidecar.values())
        informed_work = sum(work for sidecar, work in overload.work_by_sidecar.items() if int(sidecar) in informed)
        if total and informed_work / total >= INFORMED_SHARE:
            violations.append(_cold_server_overloaded(overload, informed_work / total, start))
    return violations


def _informed_sidecars(log: EventLog, overload: ColdServerOverloaded) -> set[int]:
    """Return the sidecars that were notified of the server's start before the overload."""
    return {
        notified.sidecar
        for notified in log.notifications
        if notified.server == overload.server and notified.started_at is not None and notified.at <= overload.at
    }


def _cold_server_overloaded(overload: ColdServerOverloaded, informed_share: float, start: float) -> Violation:
    return Violation(
        ViolationName.COLD_SERVER_OVERLOADED,
        Rule.SLOW_START,
        overload.at - start,
        overload.server,
        f"{overload.at - overload.started_at:.3f} s after its start; {informed_share:.0%} of the work "
        "was sent by notified sidecars",
    )
