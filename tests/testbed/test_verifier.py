"""The verifier: the violations that it finds in a few records."""

from __future__ import annotations

from lugtally.testbed.scenario import scenario_file, schedule
from lugtally.testbed.verification import records, verifier
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, ProcessEventKind, ServerOutcome
from lugtally.testbed.verification.violations import ViolationName

SCENARIO = scenario_file.decode("name='x'\nabout='y'\n[fleet]\nsidecars=1\n[discovery]\nask_within_s=1\n", "x")
SCHEDULE = schedule.make_schedule(SCENARIO, 1)
READ, PLEDGE, RECEIPT = range(3)


def client_attempt(
    request_id: str, class_index: int, outcome: str = "served", ended_at: float = 1.1, deadline_at: float = 2.0
) -> records.ClientAttempt:
    return records.ClientAttempt(
        request_id,
        request_id,
        0,
        0,
        class_index,
        1.0,
        1.0,
        deadline_at,
        ended_at,
        ClientOutcome(outcome),
        200 if outcome == "served" else 503,
    )


def server_attempt(
    request_id: str, last_byte_at: float, outcome: str = "served", zone: str = "east", effect: bool = False
) -> records.ServerAttempt:
    return records.ServerAttempt(
        request_id, f"s-{zone}", zone, 0, last_byte_at, last_byte_at, outcome=ServerOutcome(outcome), had_effect=effect
    )


def violations(*recorded: records.Record) -> list[str]:
    """Return the names of the violations that the verifier finds in these records."""
    return [violation.name for violation in verifier.verify(EventLog(recorded), SCHEDULE, 0.0).violations]


def test_request_that_never_ran_may_be_retried_or_rejected() -> None:
    assert (
        violations(client_attempt("a", RECEIPT), server_attempt("a", 1.0, "turned-away"), server_attempt("a", 1.05))
        == []
    )
    assert violations(client_attempt("a", RECEIPT, "refused"), server_attempt("a", 1.0, "turned-away")) == []
    assert violations(client_attempt("a", RECEIPT, "refused"), server_attempt("a", 1.0, "gone")) == [
        ViolationName.REJECTED_AFTER_RUN
    ]
    assert violations(client_attempt("a", READ, "refused"), server_attempt("a", 1.0, "gone")) == []


def test_keyed_request_repeats_only_within_window_and_zone() -> None:
    assert violations(client_attempt("a", PLEDGE), server_attempt("a", 1.0, "reset"), server_attempt("a", 1.64)) == []
    assert violations(client_attempt("a", PLEDGE), server_attempt("a", 1.0, "reset"), server_attempt("a", 1.66)) == [
        ViolationName.REPEATED_AFTER_WINDOW
    ]
    assert violations(
        client_attempt("a", PLEDGE), server_attempt("a", 1.0, "reset"), server_attempt("a", 1.1, zone="west")
    ) == [ViolationName.REPEATED_OUT_OF_SCOPE]
    assert (
        violations(
            client_attempt("a", PLEDGE), server_attempt("a", 1.0, "turned-away"), server_attempt("a", 1.9, zone="west")
        )
        == []
    )
    # The window starts at the first attempt that may have run.
    assert violations(
        client_attempt("a", PLEDGE),
        server_attempt("a", 1.0, "gone"),
        server_attempt("a", 1.5, "gone"),
        server_attempt("a", 1.8),
    ) == [ViolationName.REPEATED_AFTER_WINDOW]


def test_response_is_due_in_time_unless_sidecar_was_killed() -> None:
    served = server_attempt("a", 1.0)
    assert violations(client_attempt("a", READ, ended_at=2.149), served) == []
    assert violations(client_attempt("a", READ, ended_at=2.151), served) == [ViolationName.LATE]
    assert violations(client_attempt("a", READ, "none", 2.4), served) == [ViolationName.DROPPED]
    kill = records.ProcessEvent(1.05, 0, ProcessEventKind.KILL)
    assert violations(client_attempt("a", READ, "dropped", 1.1), served, kill) == []
    assert violations(client_attempt("a", READ), served, records.ProcessEvent(0.5, 0, ProcessEventKind.ENDED, 1)) == [
        ViolationName.SIDECAR_CRASHED
    ]
    term = records.ProcessEvent(0.9, 0, ProcessEventKind.TERM)
    assert violations(client_attempt("a", READ, "dropped", 1.1), term) == [], (
        "it met the planned stop, and no server received it"
    )
    assert violations(client_attempt("a", READ, "dropped", 1.1), served, term) == [ViolationName.DROPPED]
    assert violations(client_attempt("a", READ)) == [ViolationName.FOREIGN_RESPONSE], (
        "served, but no server has a record of it"
    )


def test_drain_counts_from_notification_or_missed_poll() -> None:
    change = records.EndpointChanged(1.0, "s-east", "draining")
    notified = records.EndpointNotified(2.0, 0, "s-east", "draining")
    polling = records.DiscoveryCall(0, 0.0, 30.0, True)
    assert (
        violations(change, notified, polling, client_attempt("a", READ, deadline_at=9), server_attempt("a", 3.54)) == []
    )
    assert violations(
        change, notified, polling, client_attempt("a", READ, deadline_at=9), server_attempt("a", 3.56)
    ) == [ViolationName.SENT_TO_DRAINED]
    ready_again = records.EndpointNotified(3.0, 0, "s-east", "ready", 2.9)
    assert (
        violations(
            change, notified, ready_again, polling, client_attempt("a", READ, deadline_at=9), server_attempt("a", 4.0)
        )
        == []
    )
    # It stopped polling at 0.5: from 1.55 on it counts as notified of the changes until a second before.
    stopped = records.DiscoveryCall(0, 0.0, 0.5, True)
    earlier_change = records.EndpointChanged(0.4, "s-east", "draining")
    assert violations(earlier_change, stopped, client_attempt("a", READ, deadline_at=9), server_attempt("a", 3.0)) == []
    assert violations(earlier_change, stopped, client_attempt("a", READ, deadline_at=9), server_attempt("a", 3.2)) == [
        ViolationName.SENT_TO_DRAINED
    ]


def test_cold_overload_counts_only_for_notified_sidecars() -> None:
    collapse = records.ColdServerOverloaded(5.0, "s-east", 3.0, {"0": 2.0, "1": 1.0})
    notified = records.EndpointNotified(4.0, 0, "s-east", "ready", 3.0)
    assert violations(collapse) == []
    assert violations(collapse, notified) == [ViolationName.COLD_SERVER_OVERLOADED]
    assert violations(records.ColdServerOverloaded(5.0, "s-east", 3.0, {"0": 1.9, "1": 1.1}), notified) == []
