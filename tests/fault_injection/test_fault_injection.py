"""Tests of real sidecars under short seeded schedules of faults; ``__main__`` runs longer ones."""

from __future__ import annotations

import pytest

from tests.fault_injection.behaviour import (
    ALL_FAULTS,
    ClientBehaviour,
    EndpointBehaviour,
    Fault,
    ProcessCondition,
    TimedFault,
)
from tests.fault_injection.checker import check
from tests.fault_injection.faults import draw_schedule
from tests.fault_injection.report import describe
from tests.fault_injection.response_plan import plan_response
from tests.fault_injection.scenario import Scenario, run_scenario

SEED = 35
DURATION_S = 5.0
MIN_COMPLETE_REQUESTS = 200
"""With fewer requests, a run without violations would prove nothing."""
FAULT_GROUPS: dict[str, tuple[Fault, ...]] = {
    "sidecars": (
        TimedFault.STOP,
        TimedFault.TERMINATE,
        TimedFault.KILL,
        TimedFault.RELOAD,
        TimedFault.STARVE,
        TimedFault.IDLE_FLOOD,
        ClientBehaviour.PIPELINE,
        ClientBehaviour.ABANDON,
        ClientBehaviour.SHORT_DEADLINE,
    ),
    "endpoints": (
        *(
            behaviour
            for behaviour in EndpointBehaviour
            if behaviour not in (EndpointBehaviour.NORMAL, EndpointBehaviour.SLOW_BODY, EndpointBehaviour.PAUSING_BODY)
        ),
        TimedFault.RELOAD,
        TimedFault.DRAIN,
        TimedFault.ENDPOINT_KILL,
        TimedFault.DISCOVERY_RESET,
        TimedFault.DISCOVERY_SILENCE,
        TimedFault.SLOW_CONNECT,
        ClientBehaviour.PIECES,
        ClientBehaviour.SLOW_READER,
        ClientBehaviour.MALFORMED_REQUEST,
    ),
    "limits": (
        ProcessCondition.LOW_MEMORY,
        ProcessCondition.FAILING_CALLS,
        ProcessCondition.STEPPED_CLOCK,
        TimedFault.BUFFER_FLOOD,
        TimedFault.SIGNAL_SERIES,
        EndpointBehaviour.SLOW_BODY,
        ClientBehaviour.PIECES,
        ClientBehaviour.PIPELINE,
    ),
    "pauses": (
        EndpointBehaviour.PAUSING_BODY,
        EndpointBehaviour.UNPROCESSED,
        TimedFault.TERMINATE,
        TimedFault.STOP,
        ClientBehaviour.PIECES,
        ClientBehaviour.PIPELINE,
        ClientBehaviour.ABANDON,
    ),
}


@pytest.mark.parametrize("fault_group", FAULT_GROUPS)
def test_requests_under_faults_violate_no_rule(fault_group: str) -> None:
    scenario = Scenario(SEED, DURATION_S, sidecars=2, clients=30, endpoints=5, faults=FAULT_GROUPS[fault_group])
    result = run_scenario(scenario)
    verdict = check(result.records)
    report = "\n".join(describe(scenario, result, verdict))
    assert verdict.complete_requests >= MIN_COMPLETE_REQUESTS, report
    assert not verdict.violations, report


def test_fault_schedule_depends_only_on_the_seed() -> None:
    timed_faults = tuple(TimedFault)
    assert draw_schedule(SEED, 60, timed_faults) == draw_schedule(SEED, 60, timed_faults)
    assert draw_schedule(SEED, 60, timed_faults) != draw_schedule(SEED + 1, 60, timed_faults)


def test_response_plans_depend_only_on_the_seed() -> None:
    """The plans of 200 requests also contain every behaviour of an endpoint."""
    enabled = tuple(behaviour for behaviour in EndpointBehaviour if behaviour is not EndpointBehaviour.NORMAL)
    plans = [plan_response(SEED, f"r{number}", 0, 1.0, enabled) for number in range(200)]
    assert plans == [plan_response(SEED, f"r{number}", 0, 1.0, enabled) for number in range(200)]
    assert {plan.behaviour for plan in plans} == set(EndpointBehaviour)


def test_groups_contain_every_fault() -> None:
    grouped_faults = {fault for faults in FAULT_GROUPS.values() for fault in faults}
    assert grouped_faults == set(ALL_FAULTS.values())
