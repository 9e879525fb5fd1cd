"""Verifier: the violations that it reports for small sets of records."""

from __future__ import annotations

from lugtally.testbed.scenario import scenario_file, schedule
from lugtally.testbed.verification import records, verifier
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, ProcessEventKind, ServerOutcome
from lugtally.testbed.verification.violations import ViolationName

SCENARIO = scenario_file.decode("name='x'\nabout='y'\n[fleet]\nsidecars=1\n[discovery]\nask_within_s=1\n", "x")
SCHEDULE = schedule.make_schedule(SCENARIO, 1)
IDEMPOTENT, KEYED, NON_IDEMPOTENT = range(3)  # indices of the default request classes


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
        violations(
            client_attempt("a", NON_IDEMPOTENT), server_attempt("a", 1.0, "turned-away"), server_attempt("a", 1.05)
        )
        == []
    )
    assert violations(client_attempt("a", NON_IDEMPOTENT, "refused"), server_attempt("a", 1.0, "turned-away")) == []
    assert violations(client_attempt("a", NON_IDEMPOTENT, "refused"), server_attempt("a", 1.0, "gone")) == [
        ViolationName.REJECTED_AFTER_RUN
    ]
    assert violations(client_attempt("a", IDEMPOTENT, "refused"), server_attempt("a", 1.0, "gone")) == []


def test_keyed_request_repeats_only_within_window_and_zone() -> None:
    assert violations(client_attempt("a", KEYED), server_attempt("a", 1.0, "reset"), server_attempt("a", 1.64)) == []
    assert violations(client_attempt("a", KEYED), server_attempt("a", 1.0, "reset"), server_attempt("a", 1.66)) == [
        ViolationName.REPEATED_AFTER_WINDOW
    ]
    assert violations(
        client_attempt("a", KEYED), server_attempt("a", 1.0, "reset"), server_attempt("a", 1.1, zone="west")
    ) == [ViolationName.REPEATED_OUT_OF_SCOPE]
    assert (
        violations(
            client_attempt("a", KEYED), server_attempt("a", 1.0, "turned-away"), server_attempt("a", 1.9, zone="west")
        )
        == []
    )
    # The window starts at the first attempt that may have run.
    assert violations(
        client_attempt("a", KEYED),
        server_attempt("a", 1.0, "gone"),
        server_attempt("a", 1.5, "gone"),
        server_attempt("a", 1.8),
    ) == [ViolationName.REPEATED_AFTER_WINDOW]


def test_response_is_due_in_time_unless_sidecar_was_killed() -> None:
    served_attempt = server_attempt("a", 1.0)
    assert violations(client_attempt("a", IDEMPOTENT, ended_at=2.149), served_attempt) == []
    assert violations(client_attempt("a", IDEMPOTENT, ended_at=2.151), served_attempt) == [ViolationName.LATE]
    assert violations(client_attempt("a", IDEMPOTENT, "none", 2.4), served_attempt) == [ViolationName.DROPPED]
    kill = records.ProcessEvent(1.05, 0, ProcessEventKind.KILL)
    assert violations(client_attempt("a", IDEMPOTENT, "dropped", 1.1), served_attempt, kill) == []
    assert violations(
        client_attempt("a", IDEMPOTENT), served_attempt, records.ProcessEvent(0.5, 0, ProcessEventKind.ENDED, 1)
    ) == [ViolationName.SIDECAR_CRASHED]
    term = records.ProcessEvent(0.9, 0, ProcessEventKind.TERM)
    assert violations(client_attempt("a", IDEMPOTENT, "dropped", 1.1), term) == [], (
        "it was dropped while the sidecar was stopping, and no server received it"
    )
    assert violations(client_attempt("a", IDEMPOTENT, "dropped", 1.1), served_attempt, term) == [ViolationName.DROPPED]
    assert violations(client_attempt("a", IDEMPOTENT)) == [ViolationName.FOREIGN_RESPONSE], (
        "a served request of which no server has a record"
    )


def test_drain_counts_from_notification_or_missed_poll() -> None:
    change = records.EndpointChanged(1.0, "s-east", "draining")
    notified = records.EndpointNotified(2.0, 0, "s-east", "draining")
    polling = records.DiscoveryCall(0, 0.0, 30.0, True)
    assert (
        violations(change, notified, polling, client_attempt("a", IDEMPOTENT, deadline_at=9), server_attempt("a", 3.54))
        == []
    )
    assert violations(
        change, notified, polling, client_attempt("a", IDEMPOTENT, deadline_at=9), server_attempt("a", 3.56)
    ) == [ViolationName.SENT_TO_DRAINED]
    ready_again = records.EndpointNotified(3.0, 0, "s-east", "ready", 2.9)
    assert (
        violations(
            change,
            notified,
            ready_again,
            polling,
            client_attempt("a", IDEMPOTENT, deadline_at=9),
            server_attempt("a", 4.0),
        )
        == []
    )
    # The sidecar stopped polling at 0.5 s: from 1.55 s on it counts as notified of the changes up to 1 s earlier.
    stopped_polling = records.DiscoveryCall(0, 0.0, 0.5, True)
    earlier_change = records.EndpointChanged(0.4, "s-east", "draining")
    assert (
        violations(
            earlier_change, stopped_polling, client_attempt("a", IDEMPOTENT, deadline_at=9), server_attempt("a", 3.0)
        )
        == []
    )
    assert violations(
        earlier_change, stopped_polling, client_attempt("a", IDEMPOTENT, deadline_at=9), server_attempt("a", 3.2)
    ) == [ViolationName.SENT_TO_DRAINED]


def test_cold_overload_counts_only_for_notified_sidecars() -> None:
    collapse = records.ColdServerOverloaded(5.0, "s-east", 3.0, {"0": 2.0, "1": 1.0})
    notified = records.EndpointNotified(4.0, 0, "s-east", "ready", 3.0)
    assert violations(collapse) == []
    assert violations(collapse, notified) == [ViolationName.COLD_SERVER_OVERLOADED]
    assert violations(records.ColdServerOverloaded(5.0, "s-east", 3.0, {"0": 1.9, "1": 1.1}), notified) == []
