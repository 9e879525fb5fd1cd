"""Rule 1 for processes: a sidecar exits only after SIGTERM or SIGKILL, and after SIGTERM with status 0."""

from __future__ import annotations

from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ProcessEvent, ProcessEventKind
from lugtally.testbed.verification.responses import STOP_SIGNALS
from lugtally.testbed.verification.violations import Rule, Violation, ViolationName


def check_crashes(log: EventLog, start: float) -> list[Violation]:
    """Report each exit of a sidecar without SIGTERM or SIGKILL, and each with a status other than 0 after SIGTERM."""
    violations: list[Violation] = []
    last_signals: dict[int, ProcessEventKind] = {}  # by sidecar
    for event in sorted(log.process_events, key=lambda event: event.at):
        if event.kind in STOP_SIGNALS:
            last_signals[event.sidecar] = event.kind
        elif event.kind == ProcessEventKind.ENDED:
            signal = last_signals.pop(event.sidecar, None)
            if signal is None or (signal == ProcessEventKind.TERM and event.exit_status != 0):
                violations.append(_crash_violation(event, signal, start))
    return violations


def _crash_violation(event: ProcessEvent, signal: ProcessEventKind | None, start: float) -> Violation:
    condition = "without a signal" if signal is None else "after SIGTERM"
    return Violation(
        ViolationName.SIDECAR_CRASHED,
        Rule.RESPONSES,
        event.at - start,
        f"sidecar {event.sidecar}",
        f"ended with status {event.exit_status} {condition}",
    )
