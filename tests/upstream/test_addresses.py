"""Endpoints that are replaced by others at the same address."""

from __future__ import annotations

from typing import Any

from lugtally import balancing
from lugtally.config.endpoint_list import parse_endpoint_list
from lugtally.units import NS_PER_MS
from tests.fakes import Sidecar, request


def apply_update(sidecar: Sidecar, version: int, *rows: dict[str, Any]) -> None:
    """Apply changes of the endpoint list."""
    update = parse_endpoint_list({"version": version, "full": False, "servers": list(rows)}, "update")
    sidecar.endpoint_watcher._apply_update(update, balancing.EndpointUpdateKind.DELTA)


def test_replaced_endpoint_gets_no_requests_at_its_address(sidecar: Sidecar) -> None:
    """Guards against a new endpoint at the address of an old one that gets the requests for the old one."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        sidecar.serve(client)
        successor = sidecar.endpoint_row("s-b", started_ms=sidecar.loop.wall_clock() // NS_PER_MS, zone="b")
        apply_update(sidecar, 2, successor)
        client.send(request("once", "r2", method="POST"))
        assert client.read().startswith(b"HTTP/1.1 502")
        apply_update(sidecar, 3, {**successor, "state": "gone"})
        sidecar.serve(client, "r3")

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [
        balancing.AttemptResult.OK,
        balancing.AttemptResult.NO_CONNECTION,
        balancing.AttemptResult.OK,
    ]


def test_restarted_endpoint_gets_a_new_connection(sidecar: Sidecar) -> None:
    """Guards against a request on a connection to a process that no longer exists."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        old_connection = sidecar.serve(client)
        restarted = sidecar.endpoint_row("s-a", started_ms=sidecar.loop.wall_clock() // NS_PER_MS)
        apply_update(sidecar, 2, restarted)
        assert old_connection.read_to_end() == b""
        sidecar.serve(client, "r2")

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() == [balancing.AttemptResult.OK] * 2
