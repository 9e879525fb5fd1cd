"""Which connection is evicted: depends on its state and on how long it has waited for its client."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from lugtally.downstream.connection import DownstreamConnection
from lugtally.downstream.connection_policy import may_evict, select_for_eviction
from lugtally.downstream.connection_state import ConnectionState, TransitionCause
from lugtally.eventloop import EventLoop
from lugtally.units import NS_PER_MS, NS_PER_S

LONG_WAIT_NS = 60 * NS_PER_S
"""A waiting time after which a connection in any evictable state may be evicted."""


@pytest.fixture
def sock() -> Iterator[socket.socket]:
    local, remote = socket.socketpair()
    with local, remote:
        yield local


def connection_in(state: ConnectionState, sock: socket.socket, waiting_since_ns: int = 0) -> DownstreamConnection:
    connection = DownstreamConnection(sock, EventLoop())
    connection.state = state
    connection.waiting_since_ns = waiting_since_ns
    return connection


@pytest.mark.parametrize(
    ("state", "min_time_ns"),
    [
        (ConnectionState.LINGERING, 20 * NS_PER_MS),
        (ConnectionState.AWAITING_FIRST_REQUEST, 100 * NS_PER_MS),
        (ConnectionState.READING_REQUEST, 500 * NS_PER_MS),
        (ConnectionState.DISCARDING, 500 * NS_PER_MS),
    ],
)
def test_connection_is_evictable_after_min_time(sock: socket.socket, state: ConnectionState, min_time_ns: int) -> None:
    connection = connection_in(state, sock)
    assert not may_evict(connection, min_time_ns - 1)
    assert may_evict(connection, min_time_ns)


def test_idle_connection_is_evictable_immediately(sock: socket.socket) -> None:
    assert may_evict(connection_in(ConnectionState.IDLE, sock), 0)


@pytest.mark.parametrize(
    "state",
    [
        ConnectionState.ACCEPTED,
        ConnectionState.PROCESSING,
        ConnectionState.WRITING_RESPONSE,
        ConnectionState.LINGERING_WITH_UNREAD_INPUT,
        ConnectionState.CLOSED,
    ],
)
def test_connection_is_never_evictable(sock: socket.socket, state: ConnectionState) -> None:
    assert not may_evict(connection_in(state, sock), LONG_WAIT_NS)


def test_evicted_connection_is_not_selected_again_in_its_state(sock: socket.socket) -> None:
    connection = connection_in(ConnectionState.IDLE, sock)
    connection.evict()
    assert connection.close_requested
    assert not may_evict(connection, LONG_WAIT_NS)
    connection.transition(TransitionCause.FIRST_BYTES_RECEIVED)
    assert not connection.close_requested
    assert may_evict(connection, LONG_WAIT_NS)


def test_selection_prefers_state_then_age(sock: socket.socket) -> None:
    reading = connection_in(ConnectionState.READING_REQUEST, sock, waiting_since_ns=1)
    idle = connection_in(ConnectionState.IDLE, sock, waiting_since_ns=3)
    waiting_longer = connection_in(ConnectionState.AWAITING_FIRST_REQUEST, sock, waiting_since_ns=2)
    lingering = connection_in(ConnectionState.LINGERING, sock, waiting_since_ns=4)
    connections = [reading, idle, waiting_longer, lingering]
    for expected in (lingering, waiting_longer, idle, reading):
        assert select_for_eviction(connections, LONG_WAIT_NS) is expected
        connections.remove(expected)
    assert select_for_eviction(connections, LONG_WAIT_NS) is None


@pytest.mark.parametrize(
    ("state", "close_requested", "evictable"),
    [
        (ConnectionState.READING_REQUEST, False, True),
        (ConnectionState.READING_REQUEST, True, False),
        (ConnectionState.WRITING_RESPONSE, False, False),
    ],
    ids=["read directly", "timed out or evicted", "pipelined"],
)
def test_evictability_while_discarding(
    sock: socket.socket, state: ConnectionState, close_requested: bool, evictable: bool
) -> None:
    connection = connection_in(state, sock)
    connection.close_requested_in = state if close_requested else None
    connection.start_discarding()
    assert connection.state is ConnectionState.DISCARDING
    assert may_evict(connection, LONG_WAIT_NS) is evictable


@pytest.mark.parametrize(
    ("state", "close_requested_in"),
    [
        (ConnectionState.AWAITING_FIRST_REQUEST, None),
        (ConnectionState.IDLE, ConnectionState.IDLE),
        (ConnectionState.READING_REQUEST, None),
        (ConnectionState.PROCESSING, ConnectionState.IDLE),
        (ConnectionState.WRITING_RESPONSE, ConnectionState.IDLE),
        (ConnectionState.LINGERING, None),
    ],
)
def test_close_when_idle_spares_new_and_busy_connections(
    sock: socket.socket, state: ConnectionState, close_requested_in: ConnectionState | None
) -> None:
    connection = connection_in(state, sock)
    connection.close_when_idle()
    assert connection.close_requested_in is close_requested_in
