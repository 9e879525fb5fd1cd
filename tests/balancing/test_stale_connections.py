"""Tests of stale connections: idle connections that a server dropped without the sidecar noticing."""

from __future__ import annotations

from lugtally import balancing
from lugtally.units import NS_PER_MS
from tests.balancing.harness import leave_unanswered_on_idle_connections, make_endpoints, make_settings, start_harness


def test_stale_idle_connections_are_closed_before_a_send() -> None:
    """After attempts without a response on idle connections, an endpoint's idle ones are closed before a send."""
    harness = start_harness(make_settings(), make_endpoints(12))
    leave_unanswered_on_idle_connections(harness)
    assert not [action for action in harness.actions if isinstance(action, balancing.CloseIdleConnections)]
    harness.send_request("a")
    harness.pass_time(1200 * NS_PER_MS)
    harness.actions.clear()
    for number in range(6):
        harness.send_request(f"b{number}")
        harness.pass_time(10 * NS_PER_MS)
    closed = [action.endpoint_id for action in harness.actions if isinstance(action, balancing.CloseIdleConnections)]
    assert closed
    assert (
        closed
        == [action.endpoint_id for action in harness.actions if isinstance(action, balancing.SendAttempt)][
            : len(closed)
        ]
    )
