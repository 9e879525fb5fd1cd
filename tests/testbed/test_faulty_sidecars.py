"""The verifier reports the violation of each faulty sidecar, and none of the shipped sidecar in the same scenario."""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

from lugtally.testbed.experiments import runner
from lugtally.testbed.reporting.report import Report, Verdict
from lugtally.testbed.scenario import scenario_file
from lugtally.testbed.verification.violations import ViolationName
from tests.testbed.faulty_sidecar import Fault

SCENARIO = """
name = "violations"
about = "A drain, and a crash with a cold restart, for the tests of the verifier."
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
EXPECTED_VIOLATION = {
    Fault.DROP: ViolationName.DROPPED,
    Fault.LATE: ViolationName.LATE,
    Fault.DUPLICATE_RESPONSE: ViolationName.DUPLICATE_RESPONSE,
    Fault.REPEAT_NON_IDEMPOTENT: ViolationName.NON_IDEMPOTENT_REPEATED,
    Fault.REPEAT_AFTER_WINDOW: ViolationName.REPEATED_AFTER_WINDOW,
    Fault.REPEAT_OUT_OF_SCOPE: ViolationName.REPEATED_OUT_OF_SCOPE,
    Fault.REJECT_AFTER_RUN: ViolationName.REJECTED_AFTER_RUN,
    Fault.IGNORE_DRAINS: ViolationName.SENT_TO_DRAINED,
    Fault.OVERLOAD_COLD_SERVER: ViolationName.COLD_SERVER_OVERLOADED,
    Fault.FORGE_RESPONSE: ViolationName.FOREIGN_RESPONSE,
}
SHIPPED_SIDECAR = "real"  # the sidecar of this project, in place of a fault


@pytest.fixture(scope="module")
def reports() -> dict[str, Report]:
    """Execute the same scenario with each faulty sidecar and with the shipped one, four runs in parallel."""
    scenario = scenario_file.decode(SCENARIO, "violations.toml")

    def run_until_valid(sidecar: str) -> Report:
        command = (
            None
            if sidecar == SHIPPED_SIDECAR
            else [sys.executable, "-B", "-m", "tests.testbed.faulty_sidecar", sidecar]
        )
        for _ in range(3):  # a run on a busy machine may be void and is repeated
            report = runner.Run(scenario, 4, command=command).execute()
            if report.verdict != Verdict.VOID:
                break
        return report

    with ThreadPoolExecutor(4) as pool:
        sidecars = [SHIPPED_SIDECAR, *Fault]
        return dict(zip(sidecars, pool.map(run_until_valid, sidecars), strict=True))


@pytest.mark.parametrize("fault", EXPECTED_VIOLATION)
def test_faulty_sidecar_is_reported_by_its_violation(reports: dict[str, Report], fault: Fault) -> None:
    report = reports[fault]
    assert EXPECTED_VIOLATION[fault] in report.violations_by_name, (report.verdict, report.reasons)
    if fault is Fault.REPEAT_AFTER_WINDOW:
        assert ViolationName.TWO_EFFECTS in report.violations_by_name, "the repeat came after the deduplication window"
    other_names = set(report.violations_by_name) - {EXPECTED_VIOLATION[fault], ViolationName.TWO_EFFECTS}
    assert not other_names, f"violations other than that of the fault: {report.violations_by_name}"
    violation = next(found for found in report.findings.violations if found.name == EXPECTED_VIOLATION[fault])
    assert violation.subject
    assert violation.description
    assert -0.5 < violation.at < 12


@pytest.mark.parametrize("sidecar", [SHIPPED_SIDECAR, Fault.NONE])
def test_correct_sidecar_passes(reports: dict[str, Report], sidecar: str) -> None:
    assert reports[sidecar].verdict == Verdict.PASSED, reports[sidecar].reasons
