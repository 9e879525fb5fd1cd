"""The judge catches each offender under its own name, and acquits the true sidecar on the same day."""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

from lugtally.testbed.experiments import runner
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario_file, schedule
from lugtally.testbed.verification import records, verifier
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientOutcome, ProcessEventKind, ServerOutcome
from lugtally.testbed.verification.violations import ViolationName
from tests.testbed.offender import FAULTS

DAY = """
name = "offences"
about = "A drain, and a crash with a cold return, for the judge's own tests."
length_s = 7
[fleet]
servers = 5
sidecars = 2
cold_s = 7.5
error_rate = 0
[discovery]
notice_s = 0.3
[load]
rate_per_s = 50
shape = "steady"
sidecar_cv = 0
[clients]
retries = 0
impatient = 0
[[troubles]]
kind = "drain"
at_s = 0.5
servers = 1
takes_s = 5.5
[[troubles]]
kind = "crash"
at_s = 0.3
servers = 1
takes_s = 0.7
"""
CAUGHT = {
    "drop": ViolationName.DROPPED,
    "late": ViolationName.LATE,
    "twice": ViolationName.DUPLICATE_RESPONSE,
    "receipt-twice": ViolationName.NON_IDEMPOTENT_REPEATED,
    "pledge-late": ViolationName.REPEATED_AFTER_WINDOW,
    "pledge-elsewhere": ViolationName.REPEATED_OUT_OF_SCOPE,
    "refuse-ran": ViolationName.REJECTED_AFTER_RUN,
    "drained": ViolationName.SENT_TO_DRAINED,
    "push-over": ViolationName.COLD_SERVER_OVERLOADED,
    "forge": ViolationName.FOREIGN_RESPONSE,
}


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Report]:
    """All offenders and the true sidecar on the same day, some at a time."""
    day = scenario_file.decode(DAY, "offences.toml")

    def play(fault: str) -> Report:
        command = None if fault == "true" else [sys.executable, "-B", "-m", "tests.testbed.offender", fault]
        for _ in range(3):  # a busy machine gives no verdict: ask again
            report = runner.Run(day, 4, command=command).play()
            if report.verdict != Verdict.VOID:
                break
        return report

    with ThreadPoolExecutor(4) as pool:
        names = ["true", *FAULTS]
        return dict(zip(names, pool.map(play, names), strict=True))


@pytest.mark.parametrize("fault", CAUGHT)
def test_an_offender_is_caught_under_its_own_name(verdicts: dict[str, Report], fault: str) -> None:
    report = verdicts[fault]
    assert CAUGHT[fault] in report.violations_by_name, (report.verdict, report.reasons)
    if fault == "pledge-late":
        assert ViolationName.TWO_EFFECTS in report.violations_by_name, (
            "the repeat came after the time in which it is dropped"
        )
    others = set(report.violations_by_name) - {CAUGHT[fault], ViolationName.TWO_EFFECTS}
    assert not others, f"accused of more than it did: {report.violations_by_name}"
    one = next(b for b in report.findings.violations if b.name == CAUGHT[fault])
    assert one.subject and one.description and -0.5 < one.at < 12


@pytest.mark.parametrize("sidecar", ["true", "honest"])
def test_who_keeps_the_rules_is_acquitted(verdicts: dict[str, Report], sidecar: str) -> None:
    assert verdicts[sidecar].verdict == Verdict.PASSED, verdicts[sidecar].reasons


# ---------------------------------------------------------------- the judge alone, record by record

SCENARIO = scenario_file.decode("name='x'\nabout='y'\n[fleet]\nsidecars=1\n[discovery]\nask_within_s=1\n", "x")
PLAN = schedule.make_schedule(SCENARIO, 1)
READ, PLEDGE, RECEIPT = range(3)


def tried(
    request_id: str, cls: int, outcome: str = "served", ended: float = 1.1, until: float = 2.0
) -> records.ClientAttempt:
    return records.ClientAttempt(
        request_id,
        request_id,
        0,
        0,
        cls,
        1.0,
        1.0,
        until,
        ended,
        ClientOutcome(outcome),
        200 if outcome == "served" else 503,
    )


def sent(
    request_id: str, last: float, outcome: str = "served", zone: str = "east", effect: bool = False
) -> records.ServerAttempt:
    return records.ServerAttempt(
        request_id, f"s-{zone}", zone, 0, last, last, outcome=ServerOutcome(outcome), had_effect=effect
    )


def names(*recorded: records.Record) -> list[str]:
    return [b.name for b in verifier.verify(EventLog(recorded), PLAN, 0.0).violations]


def test_what_never_ran_may_be_sent_again_and_refused() -> None:
    assert names(tried("a", RECEIPT), sent("a", 1.0, "turned-away"), sent("a", 1.05)) == []
    assert names(tried("a", RECEIPT, "refused"), sent("a", 1.0, "turned-away")) == []
    assert names(tried("a", RECEIPT, "refused"), sent("a", 1.0, "gone")) == [ViolationName.REJECTED_AFTER_RUN]
    assert names(tried("a", READ, "refused"), sent("a", 1.0, "gone")) == []


def test_a_pledge_may_be_repeated_within_its_time_and_zone_only() -> None:
    assert names(tried("a", PLEDGE), sent("a", 1.0, "reset"), sent("a", 1.64)) == []
    assert names(tried("a", PLEDGE), sent("a", 1.0, "reset"), sent("a", 1.66)) == [ViolationName.REPEATED_AFTER_WINDOW]
    assert names(tried("a", PLEDGE), sent("a", 1.0, "reset"), sent("a", 1.1, zone="west")) == [
        ViolationName.REPEATED_OUT_OF_SCOPE
    ]
    assert names(tried("a", PLEDGE), sent("a", 1.0, "turned-away"), sent("a", 1.9, zone="west")) == []
    # Counted from the first that may have run, however many came after it.
    assert names(tried("a", PLEDGE), sent("a", 1.0, "gone"), sent("a", 1.5, "gone"), sent("a", 1.8)) == [
        ViolationName.REPEATED_AFTER_WINDOW
    ]


def test_an_answer_is_due_with_its_slack_and_a_killed_sidecar_owes_none() -> None:
    served = sent("a", 1.0)
    assert names(tried("a", READ, ended=2.149), served) == []
    assert names(tried("a", READ, ended=2.151), served) == [ViolationName.LATE]
    assert names(tried("a", READ, "none", 2.4), served) == [ViolationName.DROPPED]
    kill = records.ProcessEvent(1.05, 0, ProcessEventKind.KILL)
    assert names(tried("a", READ, "dropped", 1.1), served, kill) == []
    assert names(tried("a", READ), served, records.ProcessEvent(0.5, 0, ProcessEventKind.ENDED, 1)) == [
        ViolationName.SIDECAR_CRASHED
    ]
    term = records.ProcessEvent(0.9, 0, ProcessEventKind.TERM)
    assert names(tried("a", READ, "dropped", 1.1), term) == [], "it crossed the end, and nothing was sent on"
    assert names(tried("a", READ, "dropped", 1.1), served, term) == [ViolationName.DROPPED]
    assert names(tried("a", READ)) == [ViolationName.FOREIGN_RESPONSE], "served, but no server has it in its book"


def test_a_drain_binds_from_its_notification_on_or_where_nobody_polled() -> None:
    change = records.EndpointChanged(1.0, "s-east", "draining")
    notified = records.EndpointNotified(2.0, 0, "s-east", "draining")
    watched = records.DiscoveryCall(0, 0.0, 30.0, True)
    assert names(change, notified, watched, tried("a", READ, until=9), sent("a", 3.54)) == []
    assert names(change, notified, watched, tried("a", READ, until=9), sent("a", 3.56)) == [
        ViolationName.SENT_TO_DRAINED
    ]
    back = records.EndpointNotified(3.0, 0, "s-east", "ready", 2.9)
    assert names(change, notified, back, watched, tried("a", READ, until=9), sent("a", 4.0)) == []
    # It stopped asking at 0.5: from 1.55 on it counts as told of what was in the list a second before.
    stopped = records.DiscoveryCall(0, 0.0, 0.5, True)
    early = records.EndpointChanged(0.4, "s-east", "draining")
    assert names(early, stopped, tried("a", READ, until=9), sent("a", 3.0)) == []
    assert names(early, stopped, tried("a", READ, until=9), sent("a", 3.2)) == [ViolationName.SENT_TO_DRAINED]


def test_a_fall_is_the_sidecars_fault_only_where_they_knew() -> None:
    fall = records.ColdServerOverloaded(5.0, "s-east", 3.0, {"0": 2.0, "1": 1.0})
    knew = records.EndpointNotified(4.0, 0, "s-east", "ready", 3.0)
    assert names(fall) == [] and names(fall, knew) == [ViolationName.COLD_SERVER_OVERLOADED]
    assert names(records.ColdServerOverloaded(5.0, "s-east", 3.0, {"0": 1.9, "1": 1.1}), knew) == []
