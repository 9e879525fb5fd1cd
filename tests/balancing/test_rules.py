"""One example a rule; each fails when its guard is taken out."""

from __future__ import annotations

from dataclasses import replace

from lugtally import balancing
from lugtally.balancing import rules
from tests.balancing.world import MS, SAFE, UNSAFE, S, World, age_connections, keyed, lines, sent, settings, started


def test_a_request_whose_client_left_is_not_sent_again() -> None:
    world = started(settings(), lines(12))
    world.send_request("a")
    world.end("a", 0, balancing.AttemptResult.ERROR)
    world.feed(balancing.ClientDisconnected("a"))
    world.pass_time(S)
    assert len(world.tracks["a"].copies) == 1 and world.tracks["a"].finals == 0


def test_outcome_that_ends_a_request_may_be_followed_by_its_end() -> None:
    world = started(settings(), lines(12))
    world.send_request("a")
    world.end("a", 0, balancing.AttemptResult.TIMEOUT, over=True)
    assert world.feed(balancing.ClientDisconnected("a")) == []


def test_timeout_at_the_deadline_still_gets_its_answer() -> None:
    world = started(settings(UNSAFE), lines(12))
    world.send_request("a", left=200 * MS)
    world.pass_time(300 * MS)
    assert world.tracks["a"].finals == 1


def test_unsafe_is_repeated_only_after_proof_that_it_never_ran() -> None:
    for result, again in (
        (balancing.AttemptResult.ERROR, 1),
        (balancing.AttemptResult.RESET, 1),
        (balancing.AttemptResult.REJECTED, 2),
        (balancing.AttemptResult.NO_CONNECTION, 2),
    ):
        world = started(settings(UNSAFE), lines(12))
        world.send_request("a")
        world.end("a", 0, result)
        world.pass_time(120 * MS)
        assert len(world.tracks["a"].copies) == again, result


def test_keyed_stays_in_its_group_and_window() -> None:
    for group, name in ((balancing.DeduplicationScope.ZONE, "zone"), (balancing.DeduplicationScope.CELL, "cell")):
        for seed in range(20):
            world = started(settings(keyed(group)), lines(12), seed)
            world.send_request("a")
            world.end("a", 0, balancing.AttemptResult.ERROR)
            world.pass_time(120 * MS)
            used = [getattr(world.lines[c.server], name) for c in world.tracks["a"].copies]
            assert len(used) == 2 and len(set(used)) == 1
    world = started(settings(keyed(balancing.DeduplicationScope.ALL, 200 * MS)), lines(12))
    world.send_request("a")
    world.pass_time(195 * MS)
    world.end("a", 0, balancing.AttemptResult.ERROR)
    world.pass_time(300 * MS)
    assert len(world.tracks["a"].copies) == 1 and world.tracks["a"].finals == 1


def test_no_second_copy_where_forbidden() -> None:
    for allowed in (False, True):
        world = started(settings(hedging_allowed=allowed), lines(12))
        age_connections(world)
        world.send_request("a")
        world.pass_time(900 * MS)
        assert (len(world.tracks["a"].copies) > 1) is allowed


def test_where_copies_are_forbidden_the_first_attempt_is_called_off_before_the_second() -> None:
    world = started(settings(hedging_allowed=False), lines(12))
    age_connections(world)
    world.send_request("a")
    actions = len(world.log)
    world.pass_time(200 * MS)
    assert balancing.CancelAttempt("a", 0) in world.log[actions:]
    world.end("a", 0, balancing.AttemptResult.CANCELLED)
    world.pass_time(150 * MS)
    assert len(world.tracks["a"].copies) == 2


def test_drained_and_removed_servers_get_nothing_new() -> None:
    world = started(settings(), lines(4))
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.DRAINING)]
        )
    )
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, [x for x in lines(4) if x.id not in (1, 2)]))
    for n in range(6):
        world.send_request(f"a{n}")
    assert {where for _, where in world.sends} <= {3, 4}


def test_gone_servers_serve_where_gone_does_not_bind_but_drained_ones_never() -> None:
    world = started(settings(removal_is_binding=False), lines(3))
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.DRAINING)]
        )
    )
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, []))
    for n in range(4):
        world.send_request(f"a{n}")
    assert {where for _, where in world.sends} == {2, 3}


def test_drained_server_that_comes_back_is_used_again() -> None:
    world = started(settings(), lines(1))
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1, state=balancing.EndpointState.REMOVED)]
        )
    )
    assert not sent(world.send_request("a"))
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(1)]))
    assert sent(world.send_request("b")) == [1]


def test_cold_server_gets_nothing_from_a_balancer_that_has_just_started() -> None:
    world = World(settings(), 1)
    cold = [replace(x, started_ns=world.now - 10 * MS) if x.id == 1 else x for x in lines(10)]
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, cold))
    for n in range(15):
        world.send_request(f"a{n}")
        world.pass_time(20 * MS)
    assert 1 not in {where for _, where in world.sends}


def test_draining_a_held_request_sends_it_elsewhere() -> None:
    world = started(settings(SAFE), lines(2))
    first = sent(world.send_request("a"))[0]
    other = 3 - first
    world.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, [balancing.Endpoint(other, state=balancing.EndpointState.DRAINING)]
        )
    )
    world.end("a", 0, balancing.AttemptResult.ERROR)
    world.pass_time(150 * MS)
    assert len(world.tracks["a"].copies) == 1 and world.tracks["a"].finals == 1


def test_no_second_copy_of_a_streamed_answer() -> None:
    world = started(settings(replace(SAFE, stream=True)), lines(12))
    age_connections(world)
    world.send_request("a")
    world.feed(balancing.ResponseStarted("a", 0, world.tracks["a"].copies[0].server))
    world.pass_time(900 * MS)
    assert len(world.tracks["a"].copies) == 1 and world.tracks["a"].finals == 0


def test_no_second_copy_after_the_window() -> None:
    """An attempt is overdue only after the window of the key has passed."""
    world = started(settings(keyed(balancing.DeduplicationScope.ALL, 120 * MS)), lines(12))
    age_connections(world)
    world.send_request("a")
    world.pass_time(900 * MS)
    assert len(world.tracks["a"].copies) == 1
    longer = started(settings(keyed(balancing.DeduplicationScope.ALL, 800 * MS)), lines(12))
    age_connections(longer)
    longer.send_request("a")
    longer.pass_time(900 * MS)
    assert len(longer.tracks["a"].copies) == 2, "the same with a longer window: a copy goes out"


def test_nothing_is_sent_after_the_deadline_by_a_late_timer() -> None:
    world = started(settings(), lines(12))
    world.send_request("a", left=100 * MS)
    world.end("a", 0, balancing.AttemptResult.REJECTED)
    world.now += 105 * MS
    for _, token in list(world.wakes):
        world.feed(balancing.TimerFired(token))
    assert len(world.tracks["a"].copies) == 1 and world.tracks["a"].finals == 1


def test_the_guard_itself_turns_down_drained_gone_and_ended() -> None:
    """The draw holds no such servers or requests; the guard must not depend on that."""
    world = started(settings(), lines(4))
    world.send_request("a")
    balancer = world.balancer
    request = balancer.state.requests["a"]
    assert rules.may_send_to(balancer.state, world.now, request, balancer.state.endpoints[1])
    for state in (balancing.EndpointState.DRAINING, balancing.EndpointState.REMOVED):
        balancer.state.endpoints[1].state = state
        assert not rules.may_send_to(balancer.state, world.now, request, balancer.state.endpoints[1])
    del balancer.state.requests["a"]
    assert not rules.may_send_to(balancer.state, world.now, request, balancer.state.endpoints[2])
