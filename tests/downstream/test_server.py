"""The downstream server alone: exceptions while it responds, tenants, and inherited listening sockets."""

from __future__ import annotations

import os
import socket
from typing import Any

import pytest

from lugtally import balancing, dispatch
from lugtally.address import Address
from lugtally.config.balancing_settings import read_settings
from lugtally.downstream.server import DownstreamConnection, DownstreamServer
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS
from lugtally.upstream import ConnectionLimits, UpstreamPool
from tests.dispatch.scripted_balancer import TwoAttemptBalancer
from tests.sidecar_program import SETTINGS
from tests.sockets import listener


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop()


@pytest.fixture
def upstream(loop: EventLoop) -> UpstreamPool:
    return UpstreamPool(loop, ConnectionLimits(NS_PER_MS, NS_PER_MS, 9), ())


def test_exception_while_responding_gives_one_500(loop: EventLoop) -> None:
    """Regression: the connection was closed without a response to the received request."""
    downstream = DownstreamServer(loop, Any, Any, (), 9)  # type: ignore[arg-type]
    downstream._respond = lambda *_: 1 / 0  # type: ignore[method-assign,assignment]
    server = listener()
    client = socket.create_connection(server.getsockname())
    accepted, _ = server.accept()
    accepted.setblocking(False)
    client.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")

    def serve() -> None:
        try:
            downstream._handle_connection(DownstreamConnection(accepted, loop))
        finally:
            loop.stop()

    loop.spawn(serve)
    loop.run(lambda: None)
    assert client.recv(4096).startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    client.close()
    server.close()


def test_tenant_of_each_request_reaches_balancer(
    loop: EventLoop, upstream: UpstreamPool, balancer: TwoAttemptBalancer
) -> None:
    """Regression: the balancer received every request as one of the first tenant."""
    dispatcher = dispatch.Dispatcher(balancing.Settings(), 1, loop)
    classes = (
        balancing.RequestClass("first", deadline_ns=50 * NS_PER_MS),
        balancing.RequestClass("second", deadline_ns=50 * NS_PER_MS),
    )
    tenants = (balancing.Tenant("a"), balancing.Tenant("b"))
    downstream = DownstreamServer(loop, dispatcher, upstream, classes, 8, tenants)
    downstream.listen(Address("127.0.0.1", 0))
    assert downstream.listener is not None
    address = downstream.listener.getsockname()

    def send_requests() -> None:
        for number, account in enumerate(("X-Account: b", "X-Account: a", "X-Account: nobody", "X-Other: b")):
            with socket.create_connection(address) as client:
                client.sendall(f"GET /second HTTP/1.1\r\nX-Correlation-Id: r{number}\r\n{account}\r\n\r\n".encode())
                loop.wait(client.fileno(), 1)
                assert client.recv(4096).startswith(b"HTTP/1.1 503")
        loop.stop()

    loop.spawn(send_requests)
    loop.run(dispatcher.run_due_timers)
    assert [event.tenant_index for event in balancer.events if isinstance(event, balancing.Request)] == [
        1,
        0,
        dispatch.UNKNOWN_TENANT,
        dispatch.UNKNOWN_TENANT,
    ]


def test_only_listening_tcp_socket_is_adopted(loop: EventLoop, upstream: UpstreamPool) -> None:
    dispatcher = dispatch.Dispatcher(read_settings(SETTINGS), 1, loop)
    downstream = DownstreamServer(loop, dispatcher, upstream, (), 8)
    for sock in (socket.socket(), socket.socket(type=socket.SOCK_DGRAM), *socket.socketpair()):
        with sock:
            with pytest.raises(ValueError, match=r"PROXY_SOCKET_FD: .* is not a listening TCP socket"):
                downstream.adopt(sock.fileno())
            os.fstat(sock.fileno())  # raises if the rejected descriptor was closed
    with listener() as inherited:
        downstream.adopt(inherited.fileno())
        assert downstream.listener is not None
        assert downstream.listener.fileno() == inherited.fileno()
        downstream.listener.detach()
