"""Tests of outlier detection: which failures eject a server, for how long, and how many at the same time."""

from __future__ import annotations

from lugtally import balancing
from lugtally.balancing.latency import CONGESTED_RATIO
from lugtally.balancing.outlier_detection import MAX_EJECTED_SHARE
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.harness import BalancerHarness, make_endpoints, make_settings, serve_requests, start_harness


def time_out_attempts_at(harness: BalancerHarness, endpoint_id: int, count: int) -> None:
    """Send 12 x ``count`` requests with a deadline of 400 ms; answer all attempts but those at ``endpoint_id``."""
    for _ in range(count * 12):
        name = f"s{len(harness.requests)}"
        harness.send_request(name, time_left_ns=400 * NS_PER_MS)
        for index, attempt in enumerate(harness.requests[name].attempts):
            if attempt.endpoint_id != endpoint_id:
                harness.pass_time(30 * NS_PER_MS)
                if not harness.requests[name].finished:
                    harness.finish_attempt(name, index, balancing.AttemptResult.OK)
        harness.pass_time(10 * NS_PER_MS)


def test_silent_server_is_ejected_and_retried_after_ejection() -> None:
    """The ejection ends even though no request to the server is in flight."""
    harness = start_harness(make_settings(hedging_allowed=False), make_endpoints(10))
    serve_requests(harness, 60)
    start = harness.now_ns
    time_out_attempts_at(harness, 3, 20)
    sent = [sent_ns for sent_ns, endpoint_id in harness.sends if endpoint_id == 3 and sent_ns > start]
    assert 1 <= len(sent) <= 5, "of 240 requests; an equal share would be 24"
    harness.pass_time(60 * NS_PER_S)
    serve_requests(harness, 120)
    assert any(endpoint_id == 3 for sent_ns, endpoint_id in harness.sends if sent_ns > harness.now_ns - 20 * NS_PER_S)


def test_repeated_ejection_is_limited_to_five_seconds() -> None:
    """An ejection lasts 5 s at most, however often the server was ejected before."""
    harness = start_harness(make_settings(max_attempts=1), make_endpoints(10))
    endpoint = harness.balancer.subset.members[0]
    for _ in range(9):
        harness.now_ns = max(harness.now_ns, endpoint.ejected_until_ns)
        harness.balancer.outliers.record_failure(harness.now_ns, endpoint)
        assert harness.now_ns < endpoint.ejected_until_ns <= harness.now_ns + 5 * NS_PER_S


def test_failing_server_is_ejected_with_half_the_fleet_ejected() -> None:
    """A server that refuses connections or rejects all requests is ejected beyond the maximum share."""
    for result in balancing.AttemptResult.NO_CONNECTION, balancing.AttemptResult.REJECTED:
        harness = start_harness(make_settings(max_attempts=1), make_endpoints(10))
        for endpoint in harness.balancer.subset.members[:5]:
            endpoint.ejected_until_ns = harness.now_ns + 60 * NS_PER_S
        dead = harness.balancer.subset.members[5].id
        for number in range(60):
            harness.send_request(f"x{number}")
            harness.now_ns += 5 * NS_PER_MS
            for attempt in harness.requests[f"x{number}"].attempts:
                harness.finish_attempt(
                    f"x{number}", 0, result if attempt.endpoint_id == dead else balancing.AttemptResult.OK
                )
        assert sum(endpoint_id == dead for _, endpoint_id in harness.sends) <= 2


def test_late_responses_of_all_servers_eject_none() -> None:
    """Late responses are a sign of congestion, not of outliers, if each server still responds to other requests."""
    harness = start_harness(make_settings(hedging_allowed=False, max_attempts=1), make_endpoints(10))
    serve_requests(harness, 40)
    for number in range(30):
        harness.send_request(f"late{number}", time_left_ns=100 * NS_PER_MS)
        harness.send_request(f"good{number}", time_left_ns=NS_PER_S)
        harness.pass_time(60 * NS_PER_MS)
        for attempt in harness.requests[f"good{number}"].attempts:
            harness.balancer.endpoints.by_id[attempt.endpoint_id].last_response_ns = harness.now_ns
        for name in [f"late{number}"]:
            for attempt in harness.requests[name].attempts:  # its server responds to another request in the meantime
                harness.balancer.endpoints.by_id[attempt.endpoint_id].last_response_ns = harness.now_ns
        harness.pass_time(60 * NS_PER_MS)
    assert not any(endpoint.ejected_until_ns > harness.now_ns for endpoint in harness.balancer.subset.members)


def test_consecutive_errors_eject_up_to_the_maximum_share() -> None:
    harness = start_harness(make_settings(max_attempts=1), make_endpoints(10))
    for number in range(200):
        name = f"e{number}"
        harness.send_request(name)
        if harness.requests[name].attempts:
            harness.finish_attempt(name, 0, balancing.AttemptResult.RESET)
        harness.pass_time(5 * NS_PER_MS)
    ejected = sum(endpoint.ejected_until_ns > harness.now_ns for endpoint in harness.balancer.subset.members)
    assert 0 < ejected <= MAX_EJECTED_SHARE * 10


def test_single_resets_among_good_responses_eject_none() -> None:
    """One reset in twenty responses, spread over all servers, hardly ever ejects one."""
    harness = start_harness(make_settings(max_attempts=1), make_endpoints(10))
    ejected = 0
    for number in range(300):
        harness.send_request(f"x{number}")
        harness.now_ns += 20 * NS_PER_MS
        harness.finish_attempt(
            f"x{number}", 0, balancing.AttemptResult.RESET if number % 20 == 0 else balancing.AttemptResult.OK
        )
        ejected += any(endpoint.ejected_until_ns > harness.now_ns for endpoint in harness.balancer.subset.members)
    assert ejected < 15


def test_refused_connection_ejects_for_about_a_second() -> None:
    harness = start_harness(make_settings(max_attempts=1), make_endpoints(10))
    harness.send_request("a")
    harness.finish_attempt("a", 0, balancing.AttemptResult.NO_CONNECTION)
    until = [endpoint.ejected_until_ns for endpoint in harness.balancer.subset.members if endpoint.ejected_until_ns]
    assert len(until) == 1
    assert until[0] <= harness.now_ns + 1.2 * NS_PER_S


def test_slow_servers_are_ejected_lowest_id_first() -> None:
    """Servers that are slow with one request at a time are ejected by ascending id: the same ones at all balancers."""
    harness = start_harness(make_settings(), make_endpoints(10))
    serve_requests(harness, 40)
    for endpoint in harness.balancer.subset.members:
        endpoint.concurrency_limit, endpoint.slowness, endpoint.samples, endpoint.last_response_ns = (
            1.0,
            2 * CONGESTED_RATIO,
            20,
            harness.now_ns,
        )
    harness.balancer._refresh(harness.now_ns)
    assert {
        endpoint.id for endpoint in harness.balancer.subset.members if endpoint.ejected_until_ns > harness.now_ns
    } == {
        1,
        2,
        3,
        4,
        5,
    }
