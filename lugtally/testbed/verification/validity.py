"""Validity of a run.

If the testbed's own timers ran late, the measurements describe the load of the machine and not the sidecar.
"""

from __future__ import annotations

from lugtally.testbed.verification.event_log import EventLog

MAX_P99_LAG_MS = 15.0
MAX_LAG_MS = 250.0
REQUIRED_PROCESSES = ("load", "stand-ins")  # each writes its timer lag at the end of its event log


def void_reasons(log: EventLog) -> list[str]:
    """Return why a run is void; empty if it is valid."""
    reasons: list[str] = []
    for lag in log.timer_lags:
        if lag.p99_ms > MAX_P99_LAG_MS:
            reasons.append(
                f"{lag.process} ran late: {lag.p99_ms:.1f} ms at the 99th percentile, {MAX_P99_LAG_MS:g} allowed"
            )
        if lag.worst_ms > MAX_LAG_MS:
            reasons.append(f"{lag.process} ran late: {lag.worst_ms:.0f} ms at worst, {MAX_LAG_MS:g} allowed")
    reported_processes = {lag.process for lag in log.timer_lags}
    reasons += [
        f"the event log of {name} is incomplete" for name in REQUIRED_PROCESSES if name not in reported_processes
    ]
    return reasons
