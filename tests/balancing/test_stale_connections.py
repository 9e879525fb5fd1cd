"""Stale connections: idle connections that servers have dropped unseen."""

from __future__ import annotations

from lugtally import balancing
from lugtally.units import NS_PER_MS
from tests.balancing.world import age_connections, make_endpoints, settings, start_world


def test_idle_connections_are_closed_first_where_they_went_stale() -> None:
    """A quiet sidecar took sound servers for dead: its connections had been dropped while unused."""
    world = start_world(settings(), make_endpoints(12))
    age_connections(world)
    assert not [action for action in world.actions if isinstance(action, balancing.CloseIdleConnections)]
    world.send_request("a")
    world.pass_time(1200 * NS_PER_MS)
    world.actions.clear()
    for number in range(6):
        world.send_request(f"b{number}")
        world.pass_time(10 * NS_PER_MS)
    closed = [action.endpoint_id for action in world.actions if isinstance(action, balancing.CloseIdleConnections)]
    assert closed
    assert (
        closed
        == [action.endpoint_id for action in world.actions if isinstance(action, balancing.SendAttempt)][: len(closed)]
    )
