"""Tests of requests without a usable endpoint, and of polls of the endpoint list while discovery fails."""

from __future__ import annotations

from lugtally import balancing
from lugtally.units import NS_PER_S
from tests.balancing.harness import make_endpoints, make_settings, start_harness


def test_no_usable_endpoint_rejects_request_immediately() -> None:
    for servers in ([], make_endpoints(3, state=balancing.EndpointState.DRAINING)):
        harness = start_harness(make_settings(), servers)
        assert [type(action) for action in harness.send_request("a")] == [balancing.RejectRequest]


def test_failed_endpoint_update_is_followed_by_a_new_watch() -> None:
    harness = start_harness(make_settings(subscribe_to_endpoints=True), make_endpoints(4))
    assert balancing.WatchEndpoints() in harness.actions
    harness.actions.clear()
    harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
    harness.pass_time(3 * NS_PER_S)
    assert balancing.WatchEndpoints() in harness.actions


def test_failed_discovery_is_polled_at_the_configured_interval() -> None:
    """The backoff after a failed poll is random and never longer than ``max_poll_interval_ns``."""
    for max_poll_interval_ns, max_backoff_ns in (
        (NS_PER_S, NS_PER_S),
        (0, 8 * NS_PER_S),
        (60 * NS_PER_S, 8 * NS_PER_S),
    ):
        harness = start_harness(
            make_settings(subscribe_to_endpoints=True, max_poll_interval_ns=max_poll_interval_ns), make_endpoints(4)
        )
        delays = []
        for _ in range(60):
            harness.timers.clear()
            harness.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, []))
            delays += [due_ns - harness.now_ns for due_ns, timer in harness.timers if timer == balancing.PollTimer()]
        assert len(delays) == 60
        assert 0.7 * max_backoff_ns < max(delays) <= max_backoff_ns
        assert len(set(delays)) > 50, "sidecars must not all poll at the same time"
