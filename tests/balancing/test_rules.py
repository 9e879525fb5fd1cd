"""Tests of the four rules by example: if the check of a rule is removed, its test fails."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.harness import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    BalancerHarness,
    leave_unanswered_on_idle_connections,
    make_endpoints,
    make_settings,
    sent_endpoint_ids,
    start_harness,
    with_idempotency_key,
)


def test_request_is_not_retried_after_client_disconnect() -> None:
    harness = start_harness(make_settings(), make_endpoints(12))
    harness.send_request("a")
    harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR)
    harness.feed(balancing.ClientDisconnected("a"))
    harness.pass_time(NS_PER_S)
    assert len(harness.requests["a"].attempts) == 1
    assert harness.requests["a"].final_answers == 0


def test_disconnect_after_the_last_attempt_has_no_effect() -> None:
    harness = start_harness(make_settings(), make_endpoints(12))
    harness.send_request("a")
    harness.finish_attempt("a", 0, balancing.AttemptResult.TIMEOUT, finishes_request=True)
    assert harness.feed(balancing.ClientDisconnected("a")) == []


def test_timeout_at_the_deadline_gets_one_final_answer() -> None:
    harness = start_harness(make_settings(NON_IDEMPOTENT), make_endpoints(12))
    harness.send_request("a", time_left_ns=200 * NS_PER_MS)
    harness.pass_time(300 * NS_PER_MS)
    assert harness.requests["a"].final_answers == 1


def test_non_idempotent_request_is_retried_only_if_unprocessed() -> None:
    for result, attempts in (
        (balancing.AttemptResult.ERROR, 1),
        (balancing.AttemptResult.RESET, 1),
        (balancing.AttemptResult.REJECTED, 2),
        (balancing.AttemptResult.NO_CONNECTION, 2),
    ):
        harness = start_harness(make_settings(NON_IDEMPOTENT), make_endpoints(12))
        harness.send_request("a")
        harness.finish_attempt("a", 0, result)
        harness.pass_time(120 * NS_PER_MS)
        assert len(harness.requests["a"].attempts) == attempts, result


def test_keyed_retry_stays_in_deduplication_scope_and_window() -> None:
    for scope, field in ((balancing.DeduplicationScope.ZONE, "zone"), (balancing.DeduplicationScope.CELL, "cell")):
        for seed in range(20):
            harness = start_harness(make_settings(with_idempotency_key(scope)), make_endpoints(12), seed)
            harness.send_request("a")
            harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR)
            harness.pass_time(120 * NS_PER_MS)
            used = [
                getattr(harness.endpoints[attempt.endpoint_id], field) for attempt in harness.requests["a"].attempts
            ]
            assert len(used) == 2
            assert len(set(used)) == 1
    harness = start_harness(
        make_settings(with_idempotency_key(balancing.DeduplicationScope.ALL, 200 * NS_PER_MS)), make_endpoints(12)
    )
    harness.send_request("a")
    harness.pass_time(195 * NS_PER_MS)
    harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR)
    harness.pass_time(300 * NS_PER_MS)
    assert len(harness.requests["a"].attempts) == 1
    assert harness.requests["a"].final_answers == 1


def test_hedged_request_is_sent_only_where_allowed() -> None:
    for allowed in (False, True):
        harness = start_harness(make_settings(hedging_allowed=allowed), make_endpoints(12))
        leave_unanswered_on_idle_connections(harness)
        harness.send_request("a")
        harness.pass_time(900 * NS_PER_MS)
        assert (len(harness.requests["a"].attempts) > 1) is allowed


def test_retry_without_hedging_cancels_the_first_attempt() -> None:
    harness = start_harness(make_settings(hedging_allowed=False), make_endpoints(12))
    leave_unanswered_on_idle_connections(harness)
    harness.send_request("a")
    actions_before = len(harness.actions)
    harness.pass_time(200 * NS_PER_MS)
    assert balancing.CancelAttempt("a", 0) in harness.actions[actions_before:]
    harness.finish_attempt("a", 0, balancing.AttemptResult.CANCELLED)
    harness.pass_time(150 * NS_PER_MS)
    assert len(harness.requests["a"].attempts) == 2


def test_draining_and_removed_servers_get_no_attempts() -> None:
    harness = start_harness(make_settings(), make_endpoints(4))
    harness.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.DRAINING)]
        )
    )
    harness.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.FULL, [endpoint for endpoint in make_endpoints(4) if endpoint.id not in (1, 2)]
        )
    )
    for number in range(6):
        harness.send_request(f"a{number}")
    assert {endpoint_id for _, endpoint_id in harness.sends} <= {3, 4}


def test_non_binding_removal_still_excludes_draining_servers() -> None:
    harness = start_harness(make_settings(removal_is_binding=False), make_endpoints(3))
    harness.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.DRAINING)]
        )
    )
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, []))
    for number in range(4):
        harness.send_request(f"a{number}")
    assert {endpoint_id for _, endpoint_id in harness.sends} == {2, 3}


def test_removed_server_is_used_after_it_is_ready_again() -> None:
    harness = start_harness(make_settings(), make_endpoints(1))
    harness.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.REMOVED)]
        )
    )
    assert not sent_endpoint_ids(harness.send_request("a"))
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1)]))
    assert sent_endpoint_ids(harness.send_request("b")) == [1]


def test_new_balancer_sends_nothing_to_a_cold_server() -> None:
    harness = BalancerHarness(make_settings(), 1)
    cold = [
        replace(endpoint, started_ns=harness.now_ns - 10 * NS_PER_MS) if endpoint.id == 1 else endpoint
        for endpoint in make_endpoints(10)
    ]
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, cold))
    for number in range(15):
        harness.send_request(f"a{number}")
        harness.pass_time(20 * NS_PER_MS)
    assert 1 not in {endpoint_id for _, endpoint_id in harness.sends}


def test_retry_is_not_sent_to_the_only_other_draining_server() -> None:
    harness = start_harness(make_settings(IDEMPOTENT), make_endpoints(2))
    first = sent_endpoint_ids(harness.send_request("a"))[0]
    other = 3 - first
    harness.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(other, state=balancing.EndpointState.DRAINING)]
        )
    )
    harness.finish_attempt("a", 0, balancing.AttemptResult.ERROR)
    harness.pass_time(150 * NS_PER_MS)
    assert len(harness.requests["a"].attempts) == 1
    assert harness.requests["a"].final_answers == 1


def test_streamed_response_is_not_hedged() -> None:
    harness = start_harness(make_settings(replace(IDEMPOTENT, stream=True)), make_endpoints(12))
    leave_unanswered_on_idle_connections(harness)
    harness.send_request("a")
    harness.feed(balancing.ResponseStarted("a", 0, harness.requests["a"].attempts[0].endpoint_id))
    harness.pass_time(900 * NS_PER_MS)
    assert len(harness.requests["a"].attempts) == 1
    assert harness.requests["a"].final_answers == 0


def test_keyed_request_is_hedged_only_in_its_window() -> None:
    """A request is not hedged if its deduplication window ends before its attempt is overdue."""
    harness = start_harness(
        make_settings(with_idempotency_key(balancing.DeduplicationScope.ALL, 120 * NS_PER_MS)), make_endpoints(12)
    )
    leave_unanswered_on_idle_connections(harness)
    harness.send_request("a")
    harness.pass_time(900 * NS_PER_MS)
    assert len(harness.requests["a"].attempts) == 1
    longer = start_harness(
        make_settings(with_idempotency_key(balancing.DeduplicationScope.ALL, 800 * NS_PER_MS)), make_endpoints(12)
    )
    leave_unanswered_on_idle_connections(longer)
    longer.send_request("a")
    longer.pass_time(900 * NS_PER_MS)
    assert len(longer.requests["a"].attempts) == 2, "not hedged although the window is long enough"


def test_late_retry_timer_sends_nothing_after_the_deadline() -> None:
    harness = start_harness(make_settings(), make_endpoints(12))
    harness.send_request("a", time_left_ns=100 * NS_PER_MS)
    harness.finish_attempt("a", 0, balancing.AttemptResult.REJECTED)
    harness.now_ns += 105 * NS_PER_MS
    for _, timer in list(harness.timers):
        harness.feed(balancing.TimerFired(timer))
    assert len(harness.requests["a"].attempts) == 1
    assert harness.requests["a"].final_answers == 1


def test_may_send_to_requires_ready_server_and_open_request() -> None:
    """The rule must not rely on the picker, which never passes it a draining or removed server, or an ended request."""
    harness = start_harness(make_settings(), make_endpoints(4))
    harness.send_request("a")
    balancer = harness.balancer
    request = balancer.requests["a"]
    assert balancer.rules.may_send_to(harness.now_ns, request, balancer.endpoints.by_id[1])
    for state in (balancing.EndpointState.DRAINING, balancing.EndpointState.REMOVED):
        balancer.endpoints.by_id[1].state = state
        assert not balancer.rules.may_send_to(harness.now_ns, request, balancer.endpoints.by_id[1])
    del balancer.requests["a"]
    assert not balancer.rules.may_send_to(harness.now_ns, request, balancer.endpoints.by_id[2])
