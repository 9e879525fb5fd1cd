"""One example for each rule; each fails when its check is taken out."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.balancing.world import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    World,
    age_connections,
    make_endpoints,
    sent_endpoint_ids,
    settings,
    start_world,
    with_idempotency_key,
)


def test_a_request_whose_client_left_is_not_sent_again() -> None:
    world = start_world(settings(), make_endpoints(12))
    world.send_request("a")
    world.end("a", 0, balancing.AttemptResult.ERROR)
    world.feed(balancing.ClientDisconnected("a"))
    world.pass_time(NS_PER_S)
    assert len(world.requests["a"].attempts) == 1
    assert world.requests["a"].final_answers == 0


def test_outcome_that_ends_a_request_may_be_followed_by_its_end() -> None:
    world = start_world(settings(), make_endpoints(12))
    world.send_request("a")
    world.end("a", 0, balancing.AttemptResult.TIMEOUT, over=True)
    assert world.feed(balancing.ClientDisconnected("a")) == []


def test_timeout_at_the_deadline_still_gets_its_answer() -> None:
    world = start_world(settings(NON_IDEMPOTENT), make_endpoints(12))
    world.send_request("a", time_left_ns=200 * NS_PER_MS)
    world.pass_time(300 * NS_PER_MS)
    assert world.requests["a"].final_answers == 1


def test_a_non_idempotent_request_is_repeated_only_after_proof_that_it_never_ran() -> None:
    for result, attempts in (
        (balancing.AttemptResult.ERROR, 1),
        (balancing.AttemptResult.RESET, 1),
        (balancing.AttemptResult.REJECTED, 2),
        (balancing.AttemptResult.NO_CONNECTION, 2),
    ):
        world = start_world(settings(NON_IDEMPOTENT), make_endpoints(12))
        world.send_request("a")
        world.end("a", 0, result)
        world.pass_time(120 * NS_PER_MS)
        assert len(world.requests["a"].attempts) == attempts, result


def test_a_request_with_a_key_stays_in_its_deduplication_scope_and_window() -> None:
    for scope, field in ((balancing.DeduplicationScope.ZONE, "zone"), (balancing.DeduplicationScope.CELL, "cell")):
        for seed in range(20):
            world = start_world(settings(with_idempotency_key(scope)), make_endpoints(12), seed)
            world.send_request("a")
            world.end("a", 0, balancing.AttemptResult.ERROR)
            world.pass_time(120 * NS_PER_MS)
            used = [getattr(world.endpoints[attempt.endpoint_id], field) for attempt in world.requests["a"].attempts]
            assert len(used) == 2
            assert len(set(used)) == 1
    world = start_world(
        settings(with_idempotency_key(balancing.DeduplicationScope.ALL, 200 * NS_PER_MS)), make_endpoints(12)
    )
    world.send_request("a")
    world.pass_time(195 * NS_PER_MS)
    world.end("a", 0, balancing.AttemptResult.ERROR)
    world.pass_time(300 * NS_PER_MS)
    assert len(world.requests["a"].attempts) == 1
    assert world.requests["a"].final_answers == 1


def test_no_hedged_request_where_forbidden() -> None:
    for allowed in (False, True):
        world = start_world(settings(hedging_allowed=allowed), make_endpoints(12))
        age_connections(world)
        world.send_request("a")
        world.pass_time(900 * NS_PER_MS)
        assert (len(world.requests["a"].attempts) > 1) is allowed


def test_where_hedging_is_forbidden_the_first_attempt_is_cancelled_before_the_second() -> None:
    world = start_world(settings(hedging_allowed=False), make_endpoints(12))
    age_connections(world)
    world.send_request("a")
    actions_before = len(world.actions)
    world.pass_time(200 * NS_PER_MS)
    assert balancing.CancelAttempt("a", 0) in world.actions[actions_before:]
    world.end("a", 0, balancing.AttemptResult.CANCELLED)
    world.pass_time(150 * NS_PER_MS)
    assert len(world.requests["a"].attempts) == 2


def test_drained_and_removed_servers_get_nothing_new() -> None:
    world = start_world(settings(), make_endpoints(4))
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.DRAINING)]
        )
    )
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.FULL, [endpoint for endpoint in make_endpoints(4) if endpoint.id not in (1, 2)]
        )
    )
    for number in range(6):
        world.send_request(f"a{number}")
    assert {endpoint_id for _, endpoint_id in world.sends} <= {3, 4}


def test_removed_servers_serve_where_removal_does_not_bind_but_draining_ones_never() -> None:
    world = start_world(settings(removal_is_binding=False), make_endpoints(3))
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.DRAINING)]
        )
    )
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, []))
    for number in range(4):
        world.send_request(f"a{number}")
    assert {endpoint_id for _, endpoint_id in world.sends} == {2, 3}


def test_drained_server_that_comes_back_is_used_again() -> None:
    world = start_world(settings(), make_endpoints(1))
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.REMOVED)]
        )
    )
    assert not sent_endpoint_ids(world.send_request("a"))
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1)]))
    assert sent_endpoint_ids(world.send_request("b")) == [1]


def test_a_cold_server_gets_nothing_from_a_balancer_that_has_just_started() -> None:
    world = World(settings(), 1)
    cold = [
        replace(endpoint, started_ns=world.now - 10 * NS_PER_MS) if endpoint.id == 1 else endpoint
        for endpoint in make_endpoints(10)
    ]
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, cold))
    for number in range(15):
        world.send_request(f"a{number}")
        world.pass_time(20 * NS_PER_MS)
    assert 1 not in {endpoint_id for _, endpoint_id in world.sends}


def test_a_retry_is_not_sent_to_the_only_other_server_when_that_drains() -> None:
    world = start_world(settings(IDEMPOTENT), make_endpoints(2))
    first = sent_endpoint_ids(world.send_request("a"))[0]
    other = 3 - first
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(other, state=balancing.EndpointState.DRAINING)]
        )
    )
    world.end("a", 0, balancing.AttemptResult.ERROR)
    world.pass_time(150 * NS_PER_MS)
    assert len(world.requests["a"].attempts) == 1
    assert world.requests["a"].final_answers == 1


def test_no_hedged_request_of_a_streamed_response() -> None:
    world = start_world(settings(replace(IDEMPOTENT, stream=True)), make_endpoints(12))
    age_connections(world)
    world.send_request("a")
    world.feed(balancing.ResponseStarted("a", 0, world.requests["a"].attempts[0].endpoint_id))
    world.pass_time(900 * NS_PER_MS)
    assert len(world.requests["a"].attempts) == 1
    assert world.requests["a"].final_answers == 0


def test_no_hedged_request_after_the_deduplication_window() -> None:
    """An attempt is overdue only after the window of the key has passed."""
    world = start_world(
        settings(with_idempotency_key(balancing.DeduplicationScope.ALL, 120 * NS_PER_MS)), make_endpoints(12)
    )
    age_connections(world)
    world.send_request("a")
    world.pass_time(900 * NS_PER_MS)
    assert len(world.requests["a"].attempts) == 1
    longer = start_world(
        settings(with_idempotency_key(balancing.DeduplicationScope.ALL, 800 * NS_PER_MS)), make_endpoints(12)
    )
    age_connections(longer)
    longer.send_request("a")
    longer.pass_time(900 * NS_PER_MS)
    assert len(longer.requests["a"].attempts) == 2, "the same with a longer window: a hedged request goes out"


def test_nothing_is_sent_after_the_deadline_by_a_late_timer() -> None:
    world = start_world(settings(), make_endpoints(12))
    world.send_request("a", time_left_ns=100 * NS_PER_MS)
    world.end("a", 0, balancing.AttemptResult.REJECTED)
    world.now += 105 * NS_PER_MS
    for _, timer in list(world.timers):
        world.feed(balancing.TimerFired(timer))
    assert len(world.requests["a"].attempts) == 1
    assert world.requests["a"].final_answers == 1


def test_the_rule_itself_forbids_draining_and_removed_servers_and_finished_requests() -> None:
    """The picker offers no such servers or requests; the rule must not depend on that."""
    world = start_world(settings(), make_endpoints(4))
    world.send_request("a")
    balancer = world.balancer
    request = balancer.requests["a"]
    assert balancer.rules.may_send_to(world.now, request, balancer.endpoints.by_id[1])
    for state in (balancing.EndpointState.DRAINING, balancing.EndpointState.REMOVED):
        balancer.endpoints.by_id[1].state = state
        assert not balancer.rules.may_send_to(world.now, request, balancer.endpoints.by_id[1])
    del balancer.requests["a"]
    assert not balancer.rules.may_send_to(world.now, request, balancer.endpoints.by_id[2])
