"""How the file descriptors of the process are divided: some are reserved for discovery, whatever clients open."""

from __future__ import annotations

from pathlib import Path

import pytest

from lugtally.upstream import split_descriptors
from tests.fakes import Sidecar, request


def open_descriptors() -> int:
    """Return how many descriptors this process has open."""
    return len(list(Path("/proc/self/fd").iterdir()))


@pytest.mark.parametrize("sockets", [64, 100, 256, 1024, 65536])
def test_descriptor_shares_leave_a_reserve(sockets: int) -> None:
    """Besides connections, the standard streams, signals, listeners, discovery and the drain file use 9 descriptors."""
    max_clients, max_upstream = split_descriptors(sockets)
    assert max_clients + max_clients // 8 + max_upstream <= sockets - 10, "a shutdown accepts further clients"
    assert max_clients >= 16
    assert max_upstream >= 16


def test_discovery_connects_at_client_connection_limit() -> None:
    """Idle clients use up their share of descriptors while discovery disconnects; its descriptor stays reserved."""
    max_clients, _ = split_descriptors(64)
    sidecar = Sidecar(max_clients=max_clients)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.endpoint_watcher.watch()
        connection = sidecar.discovery.accept_request()
        connection.send_endpoint_list(1, False)
        connection.read_head()
        idle_clients = [sidecar.client(address) for _ in range(max_clients + 20)]
        sidecar.wait_until(lambda: sidecar.downstream.open_connections >= max_clients - 1)
        descriptors = open_descriptors()
        connection.sock.close()
        reconnected = sidecar.discovery.accept()
        assert "from=1&" in reconnected.read_head()
        assert sidecar.downstream.open_connections <= max_clients
        assert open_descriptors() <= descriptors + 2
        late_client = sidecar.client(address)  # is served, because an idle connection is evicted
        late_client.send(request("read"))
        upstream_connection = sidecar.server.accept_request()
        upstream_connection.respond()
        assert late_client.read().startswith(b"HTTP/1.1 200")
        for client in idle_clients:
            client.sock.close()

    sidecar.run(script)
