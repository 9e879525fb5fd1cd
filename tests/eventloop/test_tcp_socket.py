"""Creation and inspection of TCP sockets."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from lugtally.eventloop.tcp_socket import create_tcp_socket, is_open_without_input


class Connection(NamedTuple):
    """Both ends of a connection; ``sock`` is non-blocking."""

    sock: socket.socket
    peer: socket.socket


@pytest.fixture
def connection() -> Iterator[Connection]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        sock, _ = server.accept()
    sock.setblocking(False)
    with sock, peer:
        yield Connection(sock, peer)


def wait_readable(sock: socket.socket) -> None:
    """Wait until bytes or the end of the connection have been received."""
    sock.settimeout(5)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except ConnectionResetError:
        pass
    sock.setblocking(False)


@pytest.mark.parametrize(("host", "family"), [("127.0.0.1", socket.AF_INET), ("::1", socket.AF_INET6)])
def test_created_socket_is_non_blocking_and_of_the_family(host: str, family: socket.AddressFamily) -> None:
    with create_tcp_socket(host) as sock:
        assert sock.family == family
        assert sock.type == socket.SOCK_STREAM
        assert not sock.getblocking()


def test_open_connection_without_unread_bytes_is_recognized(connection: Connection) -> None:
    sock, _ = connection
    assert is_open_without_input(sock)


def test_connection_with_unread_bytes_has_input(connection: Connection) -> None:
    sock, peer = connection
    peer.sendall(b"x")
    wait_readable(sock)
    assert not is_open_without_input(sock)
    assert sock.recv(2) == b"x", "the check must not consume bytes"
    assert is_open_without_input(sock)


def test_closed_connection_is_not_open(connection: Connection) -> None:
    sock, peer = connection
    peer.close()
    wait_readable(sock)
    assert not is_open_without_input(sock)


def test_reset_connection_is_not_open(connection: Connection) -> None:
    sock, peer = connection
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    assert not is_open_without_input(sock)
