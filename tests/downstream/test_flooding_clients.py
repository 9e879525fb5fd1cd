"""Clients that keep their sockets full of input that completes no request must not delay the requests of others."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from lugtally.address import Address
from lugtally.downstream import input_throttle, request_reader
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fakes import PeerConnection, Sidecar, request
from tests.flooding import ANSWER_SLACK_NS, PROCESS_SLACK_NS, LoopDelays, start_flood
from tests.flooding_clients import INPUTS, Flood

REQUEST_INTERVAL_NS = 25 * NS_PER_MS
TIME_LEFT_S = 0.44


@dataclass(slots=True)
class OtherClient:
    """Sends one request after another, each on a new connection, and records how late each response is."""

    sidecar: Sidecar
    address: Address
    statuses: list[bytes] = field(default_factory=list)
    latenesses_ns: list[int] = field(default_factory=list)
    stopped: bool = False

    def run(self) -> None:
        """Run as a task until ``stopped`` is set."""
        loop = self.sidecar.loop
        while not self.stopped:
            due_ns = loop.now() + int(TIME_LEFT_S * NS_PER_S)
            client = self.sidecar.client(self.address)
            client.send(request("read", f"other{len(self.statuses)}", time_left_s=TIME_LEFT_S))
            self.statuses.append(client.read()[:12])
            self.latenesses_ns.append(loop.now() - due_ns)
            client.sock.close()
            loop.sleep(REQUEST_INTERVAL_NS)


def respond_to_all(sidecar: Sidecar) -> None:
    """Let the endpoint respond to each request."""

    def serve(connection: PeerConnection) -> None:
        while connection.read_more():
            connection.read_head()
            connection.respond()

    while True:
        sidecar.loop.spawn(serve, sidecar.server.accept())


@pytest.mark.usefixtures("frozen_objects")
@pytest.mark.parametrize("connections", [1, 8])
@pytest.mark.parametrize("flood", Flood, ids=lambda flood: flood.value)
def test_flooding_clients_do_not_delay_requests_of_others(flood: Flood, connections: int, sidecar: Sidecar) -> None:
    """Regression: a client that kept its socket full stalled the event loop, and requests of others were lost."""
    delays = LoopDelays(sidecar.loop)
    others: list[OtherClient] = []

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        sidecar.loop.spawn(respond_to_all, sidecar)
        others.append(OtherClient(sidecar, address))
        process = start_flood(address, connections, flood)
        sidecar.loop.spawn(others[0].run)
        sidecar.loop.spawn(delays.record)
        sidecar.wait_until(lambda: process.poll() is not None)
        delays.stopped = others[0].stopped = True
        assert process.stdout is not None
        with process.stdout as output:
            assert int(output.read()) >= connections

    sidecar.run(script)
    assert set(others[0].statuses) == {b"HTTP/1.1 200"}
    assert max(others[0].latenesses_ns) <= ANSWER_SLACK_NS + PROCESS_SLACK_NS
    delays.assert_within_slack()


@pytest.mark.parametrize("flood", [Flood.SMALL_CHUNKS, Flood.EMPTY_LINES], ids=lambda flood: flood.value)
def test_full_socket_does_not_extend_request_timeout(
    flood: Flood, monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar
) -> None:
    """The socket is never read empty, so that no later arrival time of its bytes is known."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_NS", 100 * NS_PER_MS)
    monkeypatch.setattr(request_reader, "RECEIVE_BYTES", 16)
    monkeypatch.setattr(input_throttle, "MIN_READ_COST_NS", NS_PER_MS)

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        started_ns = sidecar.loop.now()
        start, repeated = INPUTS[flood]
        client.send(start + repeated * 2000)
        assert client.read().startswith(b"HTTP/1.1 408")
        assert sidecar.loop.now() - started_ns <= 300 * NS_PER_MS

    sidecar.run(script)


def test_eviction_ends_discarding() -> None:
    """A client that keeps sending after its 400 must not keep others in the backlog at the connection limit."""
    sidecar = Sidecar(max_clients=1)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        bad_client = sidecar.client(address)
        bad_client.send(b"malformed\r\n\r\n")
        assert bad_client.read().startswith(b"HTTP/1.1 400")
        sidecar.loop.spawn(keep_sending, sidecar, bad_client)
        started_ns = sidecar.loop.now()
        client = sidecar.client(address)
        client.send(request("read"))
        sidecar.server.accept_request().respond()
        assert client.read().startswith(b"HTTP/1.1 200")
        assert sidecar.loop.now() - started_ns < NS_PER_S

    sidecar.run(script)


def keep_sending(sidecar: Sidecar, connection: PeerConnection) -> None:
    """Send a byte each millisecond until the connection ends."""
    while not sidecar.script_ended:
        try:
            connection.send(b"x")
        except OSError:
            return
        sidecar.loop.sleep(NS_PER_MS)
