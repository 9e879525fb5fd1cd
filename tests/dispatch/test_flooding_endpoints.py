"""Endpoints that send endless or very small parts of a body must not delay the requests of other clients."""

from __future__ import annotations

import pytest

from lugtally import balancing
from lugtally.eventloop import WRITABLE
from lugtally.units import NS_PER_MS, NS_PER_S
from tests.dispatch.streaming import HEADS
from tests.fakes import PeerConnection, Sidecar, request
from tests.flooding import LoopDelays

FLOOD_NS = NS_PER_S


def send_repeatedly(connection: PeerConnection, repeated: bytes, until_ns: int) -> None:
    """Send as fast as the sidecar reads."""
    data = memoryview(repeated * (128 * 1024 // len(repeated)))
    unsent = data
    while connection.loop.now() < until_ns:
        try:
            unsent = unsent[connection.sock.send(unsent) :] or data
        except BlockingIOError:
            connection.loop.wait(connection.sock.fileno(), WRITABLE, until_ns)
        except OSError:
            return  # the sidecar closed the connection


def discard_all(client: PeerConnection) -> None:
    """Read until the connection ends."""
    while client.read():
        pass


@pytest.mark.usefixtures("frozen_objects")
@pytest.mark.parametrize("streams", [1, 8])
def test_small_chunks_of_endpoints_do_not_delay_event_loop(streams: int, sidecar: Sidecar) -> None:
    """Regression: all chunks of a read were parsed without yielding, which took 100 ms for chunks of one byte."""
    delays = LoopDelays(sidecar.loop)

    def script() -> None:
        address = sidecar.listen_with_one_endpoint()
        until_ns = sidecar.loop.now() + FLOOD_NS
        for number in range(streams):
            client = sidecar.client(address)
            client.send(request("read", f"r{number}"))
            connection = sidecar.server.accept_request()
            connection.send(HEADS["chunked"])
            sidecar.loop.spawn(send_repeatedly, connection, b"1\r\nx\r\n", until_ns)
            sidecar.loop.spawn(discard_all, client)
        sidecar.loop.spawn(delays.record)
        sidecar.loop.sleep(FLOOD_NS)
        delays.stopped = True

    sidecar.run(script)
    delays.assert_within_slack()


def test_endless_trailers_fail_the_response(sidecar: Sidecar) -> None:
    """Regression: the client got no byte of them, and the stream was never idle, so that it did not end."""

    def script() -> None:
        client = sidecar.client(sidecar.listen_with_one_endpoint())
        client.send(request("read"))
        connection = sidecar.server.accept_request()
        body = b"%x\r\n%b\r\n" % (100_000, bytes(100_000))
        connection.send(HEADS["chunked"] + body + b"0\r\n")
        sidecar.loop.spawn(send_repeatedly, connection, b"X-More: 1\r\n", sidecar.loop.now() + 10 * NS_PER_S)
        started_ns = sidecar.loop.now()
        sidecar.loop.spawn(discard_all, client)
        sidecar.wait_until(lambda: bool(sidecar.balancer.attempt_results()))
        assert sidecar.loop.now() - started_ns < 1_000 * NS_PER_MS

    sidecar.run(script)
    assert sidecar.balancer.attempt_results() != [balancing.AttemptResult.OK]
