"""Tests of admission control, the concurrency limit and class priority."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.harness import IDEMPOTENT, make_endpoints, make_settings, serve_requests, start_harness


def test_latency_baseline_stays_through_congestion() -> None:
    """The baseline rises by less than 30% while responses take ten times as long."""
    harness = start_harness(make_settings(), make_endpoints(10))
    serve_requests(harness, 100, duration_ns=40 * NS_PER_MS)
    before = harness.balancer.latency.baselines_ns[0]
    serve_requests(harness, 20, duration_ns=400 * NS_PER_MS)
    assert before <= harness.balancer.latency.baselines_ns[0] < 1.3 * before


def test_concurrency_limit_rejects_when_no_attempt_finishes() -> None:
    """The limit counts all attempts in flight: at most four for each server of the balancer's share of the fleet."""
    harness = start_harness(make_settings(max_attempts=1, fleet_size=6), make_endpoints(54))
    serve_requests(harness, 150)
    sends = len(harness.sends)
    for number in range(400):  # no attempt finishes any more
        harness.send_request(f"queued{number}", time_left_ns=20 * NS_PER_S)
        harness.pass_time(5 * NS_PER_MS)
    assert len(harness.sends) - sends <= 4 * 54 / 6
    rejected = [action for action in harness.actions if isinstance(action, balancing.RejectRequest)]
    assert rejected
    assert all(action.retry_after_ns > 0 for action in rejected)


def test_lost_responses_do_not_lower_admission() -> None:
    """Servers that lose one response in four but answer the others quickly do not count as congested."""
    harness = start_harness(make_settings(max_attempts=1, fleet_size=2), make_endpoints(10))
    serve_requests(harness, 100)
    for number in range(60):
        harness.send_request(f"x{number}", time_left_ns=2 * NS_PER_S)
        harness.pass_time(20 * NS_PER_MS)
        if number % 4 and harness.requests[f"x{number}"].attempts:
            harness.finish_attempt(f"x{number}", 0, balancing.AttemptResult.OK)
    sent = sum(bool(harness.requests[f"x{number}"].attempts) for number in range(60))
    assert sent == 60
    assert harness.balancer.attempts.lost_responses >= 4
    assert harness.balancer.admission.log_probability > 0
    harness.pass_time(3 * NS_PER_S)
    assert harness.balancer.attempts.lost_responses == 0
    assert not any(endpoint.lost_responses for endpoint in harness.balancer.subset.members)


def test_concurrency_limit_follows_the_latency_objective() -> None:
    """Responses in 2 ms with a latency objective of 300 ms raise the limit above its minimum."""
    harness = start_harness(make_settings(max_attempts=1, fleet_size=2), make_endpoints(10))
    for number in range(600):
        harness.send_request(f"x{number}")
        harness.now_ns += 2 * NS_PER_MS
        harness.finish_attempt(f"x{number}", 0, balancing.AttemptResult.OK)
    assert harness.balancer.limiter.limit > 30, "the minimum is 20"


def test_late_responses_shed_low_priority_classes_first() -> None:
    """In a large fleet no sidecar reaches its concurrency limit, so late responses must lower admission."""
    valuable = replace(IDEMPOTENT, name="valuable", priority_weight=20.0)
    harness = start_harness(make_settings(IDEMPOTENT, valuable, max_attempts=1, fleet_size=100), make_endpoints(12))
    admitted = [0, 0]
    for number in range(120):
        for class_index in (0, 1):
            harness.send_request(f"{class_index}-{number}", class_index)
            if harness.requests[f"{class_index}-{number}"].attempts and number > 40:
                admitted[class_index] += 1
        harness.pass_time(240 * NS_PER_MS if number > 20 else 40 * NS_PER_MS)
        for class_index in (0, 1):
            if (
                harness.requests[f"{class_index}-{number}"].attempts
                and not harness.requests[f"{class_index}-{number}"].finished
            ):
                harness.finish_attempt(f"{class_index}-{number}", 0, balancing.AttemptResult.OK)
    assert admitted[0] < 30
    assert admitted[1] > 60
    serve_requests(harness, 60)
    assert all(harness.requests[f"warm{len(harness.requests) - 1 - number}"].attempts for number in range(5)), (
        "admission does not recover"
    )


def test_latency_increase_within_objective_is_not_congestion() -> None:
    """Responses at eight times the baseline are no sign of congestion while they take a thirtieth of the objective."""
    relaxed = replace(IDEMPOTENT, latency_objective_ns=500 * NS_PER_MS, deadline_ns=2 * NS_PER_S)
    harness = start_harness(make_settings(relaxed, max_attempts=1), make_endpoints(10))
    serve_requests(harness, 100, duration_ns=2 * NS_PER_MS)
    for turn in range(200):  # the number in flight grows slowly
        names = [f"busy{turn}.{number}" for number in range(min(24, 2 + turn // 5))]
        for name in names:
            harness.send_request(name)
        harness.pass_time(16 * NS_PER_MS)  # eight times the baseline, and a thirtieth of the objective
        for name in names:
            for index in range(len(harness.requests[name].attempts)):
                if not harness.requests[name].finished:
                    harness.finish_attempt(name, index, balancing.AttemptResult.OK)
    rejected = sum(isinstance(action, balancing.RejectRequest) for action in harness.actions)
    assert rejected <= 10, f"{rejected} of {len(harness.requests)} rejected though every response met its objective"
    assert all(endpoint.ejected_until_ns <= harness.now_ns for endpoint in harness.balancer.subset.members)


def test_class_demand_stays_positive_after_a_long_idle_time() -> None:
    """The demand of a class is used as a divisor, so it must not decay to zero."""
    harness = start_harness(
        make_settings(IDEMPOTENT, tenants=(balancing.Tenant("a", 10.0),), load_report_fields=("inflight",)),
        make_endpoints(4),
    )
    serve_requests(harness, 20)
    harness.balancer.quota.own_load = harness.balancer.quota.fleet_load_per_endpoint = 1.0  # as set by load reports
    harness.now_ns += 100 * 3600 * NS_PER_S
    serve_requests(harness, 5)
    assert all(demand > 0 for demand in harness.balancer.priority.demand.values())
    assert 0 < harness.balancer.priority.lowest <= 1.0
