"""The request reader alone: the states that it moves a connection through."""

from __future__ import annotations

import socket

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_state import ConnectionState, TransitionCause
from lugtally.downstream.input_throttle import InputThrottle
from lugtally.downstream.request_reader import RequestReader
from lugtally.eventloop import EventLoop

REQUEST = b"GET /%d HTTP/1.1\r\n\r\n"


def test_buffered_request_clears_write_stall() -> None:
    """Only the write of the last response matters: input that arrived during an earlier one has been noticed since."""
    loop = EventLoop()
    local, remote = socket.socketpair()
    local.setblocking(False)
    connection = DownstreamConnection(local, loop)
    targets: list[str] = []
    states: list[ConnectionState] = []
    stalls: list[bool] = []

    def script() -> None:
        reader = RequestReader(connection, InputThrottle(loop))
        remote.sendall(REQUEST % 1 + REQUEST % 2)
        for _ in range(2):
            request = reader.read_request()
            assert request is not None
            targets.append(request.message.target)
            states.append(connection.state)
            stalls.append(connection.write_stalled)
            connection.transition(TransitionCause.RESPONSE_STARTED)
            connection.write_stalled = True
        remote.close()
        assert reader.read_request() is None
        loop.stop()

    loop.spawn(script)
    loop.run(lambda: None)
    local.close()
    assert targets == ["/1", "/2"]
    assert states == [ConnectionState.PROCESSING] * 2
    assert stalls == [False, False]
    assert connection.state is ConnectionState.IDLE
