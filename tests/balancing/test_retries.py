"""Tests of retries: the backoff, the retry budget, and the answer to a request that is not retried."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.harness import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    make_endpoints,
    make_settings,
    serve_requests,
    start_harness,
    with_idempotency_key,
)


def retry_delays_ns(actions: list[balancing.Action]) -> list[int]:
    """Return the delays of the retry timers among the actions."""
    return [
        action.delay_ns
        for action in actions
        if isinstance(action, balancing.SetTimer) and isinstance(action.timer, balancing.RetryTimer)
    ]


def test_backoff_is_full_jitter_up_to_half_the_time_left() -> None:
    delays = []
    for seed in range(200):
        harness = start_harness(make_settings(), make_endpoints(12), seed)
        harness.send_request("a")
        delays += retry_delays_ns(harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR))
    assert len(delays) == 200
    assert max(delays) <= 100 * NS_PER_MS
    assert min(delays) < 10 * NS_PER_MS, "full jitter covers the entire range"
    assert max(delays) > 90 * NS_PER_MS, "full jitter covers the entire range"
    short = []
    for seed in range(100):
        harness = start_harness(make_settings(), make_endpoints(12), seed)
        harness.send_request("a", time_left_ns=80 * NS_PER_MS)
        short += retry_delays_ns(harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR))
    assert short
    assert max(short) <= 40 * NS_PER_MS


def test_backoff_doubles_and_each_retry_goes_to_another_server() -> None:
    late = []
    for seed in range(60):
        harness = start_harness(make_settings(replace(IDEMPOTENT, deadline_ns=10 * NS_PER_S)), make_endpoints(12), seed)
        serve_requests(harness, 40)
        harness.send_request("a", time_left_ns=10 * NS_PER_S)
        harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR)
        harness.pass_time(110 * NS_PER_MS)
        late += retry_delays_ns(harness.finish_attempt("a", 1, balancing.AttemptResult.ERROR))
        harness.pass_time(210 * NS_PER_MS)
        used = [attempt.endpoint_id for attempt in harness.requests["a"].attempts]
        assert len(used) == len(set(used))
    assert max(late) > 120 * NS_PER_MS
    assert max(late) <= 200 * NS_PER_MS


def test_retries_of_a_request_are_limited_to_three() -> None:
    harness = start_harness(make_settings(max_attempts=9), make_endpoints(12))
    serve_requests(harness, 100, gap_ns=5 * NS_PER_MS)
    harness.send_request("a", time_left_ns=10 * NS_PER_S)
    for attempt in range(4):
        harness.finish_attempt("a", attempt, balancing.AttemptResult.ERROR)
        harness.pass_time(NS_PER_S)
    assert len(harness.requests["a"].attempts) == 4
    assert harness.requests["a"].finished


def test_retry_budget_is_ten_percent_with_a_minimum_of_one() -> None:
    harness = start_harness(make_settings(), make_endpoints(12))
    retried = 0
    for number in range(60):
        harness.send_request(f"q{number}")
        if harness.requests[f"q{number}"].attempts:
            retried += bool(retry_delays_ns(harness.finish_attempt(f"q{number}", 0, balancing.AttemptResult.ERROR)))
        harness.pass_time(100 * NS_PER_MS)
    assert 1 <= retried <= 6
    quiet = start_harness(make_settings(), make_endpoints(12))
    quiet.send_request("one")
    assert retry_delays_ns(quiet.finish_attempt("one", 0, balancing.AttemptResult.ERROR))
    quiet.send_request("two")
    answer = quiet.finish_attempt("two", 0, balancing.AttemptResult.ERROR)
    assert not retry_delays_ns(answer)
    assert any(isinstance(action, balancing.RejectRequest) for action in answer)


def test_blocked_retry_is_rejected_or_failed_by_idempotency() -> None:
    for request_class, kind in (
        (IDEMPOTENT, balancing.RejectRequest),
        (NON_IDEMPOTENT, balancing.FailRequest),
        (with_idempotency_key(balancing.DeduplicationScope.ZONE), balancing.FailRequest),
        (with_idempotency_key(balancing.DeduplicationScope.ALL), balancing.RejectRequest),
    ):
        harness = start_harness(make_settings(request_class, max_attempts=1), make_endpoints(12))
        harness.send_request("a")
        answer = [
            action
            for action in harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR)
            if isinstance(action, balancing.RejectRequest | balancing.FailRequest)
        ]
        assert [type(action) for action in answer] == [kind]
        if isinstance(answer[0], balancing.RejectRequest):
            assert answer[0].retry_after_ns > 0
