"""Blocking socket operations of a task."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from lugtally.eventloop import READABLE, EventLoop, send_all
from lugtally.units import NS_PER_MS, NS_PER_S

DATA = b"x" * 4_000_000  # more than the kernel buffers for a socket pair
READ_BYTES = 65536


class SocketPair(NamedTuple):
    """Both ends of a connection; both are non-blocking."""

    sender: socket.socket
    receiver: socket.socket


@pytest.fixture
def sockets() -> Iterator[SocketPair]:
    sender, receiver = socket.socketpair()
    sender.setblocking(False)
    receiver.setblocking(False)
    yield SocketPair(sender, receiver)
    sender.close()
    receiver.close()


def test_send_all_waits_for_a_slow_receiver(loop: EventLoop, sockets: SocketPair) -> None:
    sender, receiver = sockets
    results: list[bool] = []
    received = bytearray()

    def send() -> None:
        results.append(send_all(loop, sender, DATA, loop.now() + 10 * NS_PER_S))
        sender.shutdown(socket.SHUT_WR)

    def receive() -> None:
        loop.wait(receiver.fileno(), READABLE)
        while data := receiver.recv(READ_BYTES):
            received.extend(data)
            loop.wait(receiver.fileno(), READABLE)
        loop.stop()

    loop.spawn(send)
    loop.spawn(receive)
    loop.run(lambda: None)
    assert results == [True]
    assert received == DATA


def test_send_all_ends_at_its_deadline(loop: EventLoop, sockets: SocketPair) -> None:
    sender, _ = sockets
    results: list[bool] = []

    def send() -> None:
        results.append(send_all(loop, sender, DATA, loop.now() + 20 * NS_PER_MS))
        loop.stop()

    loop.spawn(send)
    loop.run(lambda: None)
    assert results == [False]


def test_send_all_raises_if_the_connection_failed(loop: EventLoop, sockets: SocketPair) -> None:
    sender, receiver = sockets
    errors: list[OSError] = []

    def send() -> None:
        try:
            send_all(loop, sender, DATA, loop.now() + 10 * NS_PER_S)
        except OSError as error:
            errors.append(error)
        loop.stop()

    loop.spawn(send)
    loop.spawn(receiver.close)
    loop.run(lambda: None)
    assert len(errors) == 1
