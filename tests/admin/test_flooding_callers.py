"""Callers of the admin address that keep their sockets full must not delay the requests of clients."""

from __future__ import annotations

import sys

import pytest

from lugtally.address import Address
from lugtally.admin import server
from lugtally.admin.server import AdminServer
from lugtally.units import NS_PER_MS
from tests.fakes import PeerConnection, Sidecar
from tests.flooding import LoopDelays, start_flood
from tests.flooding_clients import INPUTS, Flood


class NoCalls:
    """The backend of an admin address that receives no complete call."""

    def is_ready(self) -> bool:
        raise NotImplementedError

    def counters(self) -> dict[str, object]:
        raise NotImplementedError

    def start_drain(self, endpoint_name: str) -> bool:
        raise NotImplementedError

    def end_drain(self, endpoint_name: str) -> bool:
        raise NotImplementedError


def open_admin_server(sidecar: Sidecar) -> tuple[AdminServer, Address]:
    admin_server = AdminServer(sidecar.loop, Address("127.0.0.1", 0), NoCalls())
    host, port = admin_server._listener.getsockname()
    return admin_server, Address(host, port)


@pytest.mark.usefixtures("frozen_objects")
@pytest.mark.parametrize("connections", [1, 8])
@pytest.mark.parametrize("flood", [Flood.EMPTY_LINES, Flood.SMALL_CHUNKS], ids=lambda flood: flood.value)
def test_flooding_callers_do_not_delay_event_loop(flood: Flood, connections: int, sidecar: Sidecar) -> None:
    """Regression: the server read a caller's bytes without yielding for as long as there were any."""
    delays = LoopDelays(sidecar.loop)

    def script() -> None:
        admin_server, address = open_admin_server(sidecar)
        process = start_flood(address, connections, flood)
        sidecar.loop.spawn(delays.record)
        sidecar.wait_until(lambda: process.poll() is not None)
        delays.stopped = True
        admin_server.close()
        assert process.stdout is not None
        process.stdout.close()

    sidecar.run(script)
    delays.assert_within_slack()


def test_full_socket_does_not_extend_call_timeout(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    monkeypatch.setattr(server, "CALL_TIMEOUT_NS", 50 * NS_PER_MS)
    monkeypatch.setattr(server, "READ_BYTES", 1)
    monkeypatch.setattr("lugtally.http1.parser.MAX_HEAD_BYTES", sys.maxsize)  # else the call is malformed

    def script() -> None:
        admin_server, address = open_admin_server(sidecar)
        caller: PeerConnection = sidecar.client(address)
        started_ns = sidecar.loop.now()
        caller.send(INPUTS[Flood.EMPTY_LINES].repeated * 30_000)
        assert caller.read().startswith(b"HTTP/1.1 408")
        assert sidecar.loop.now() - started_ns <= 200 * NS_PER_MS
        admin_server.close()

    sidecar.run(script)
