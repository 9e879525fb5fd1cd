"""The endpoint list: no usable endpoint in it, and how it is watched while discovery fails."""

from __future__ import annotations

from lugtally import balancing
from lugtally.units import NS_PER_S
from tests.balancing.world import make_endpoints, settings, start_world


def test_no_usable_server_is_answered_immediately() -> None:
    for servers in ([], make_endpoints(3, state=balancing.EndpointState.DRAINING)):
        world = start_world(settings(), servers)
        assert [type(action) for action in world.send_request("a")] == [balancing.RejectRequest]


def test_list_failure_is_followed_by_a_new_subscription() -> None:
    world = start_world(settings(subscribe_to_endpoints=True), make_endpoints(4))
    assert balancing.WatchEndpoints() in world.actions
    world.actions.clear()
    world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
    world.pass_time(3 * NS_PER_S)
    assert balancing.WatchEndpoints() in world.actions


def test_in_an_outage_the_list_is_polled_as_often_as_the_settings_want() -> None:
    """Between two failed calls up to 8 s went by: where a second is configured, a drain was overlooked."""
    for max_poll_interval_ns, max_backoff_ns in (
        (NS_PER_S, NS_PER_S),
        (0, 8 * NS_PER_S),
        (60 * NS_PER_S, 8 * NS_PER_S),
    ):
        world = start_world(
            settings(subscribe_to_endpoints=True, max_poll_interval_ns=max_poll_interval_ns), make_endpoints(4)
        )
        delays = []
        for _ in range(60):
            world.timers.clear()
            world.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
            delays += [due_ns - world.now for due_ns, timer in world.timers if timer == balancing.PollTimer()]
        assert len(delays) == 60
        assert 0.7 * max_backoff_ns < max(delays) <= max_backoff_ns
        assert len(set(delays)) > 50, "forty sidecars must not poll at the same moments"
