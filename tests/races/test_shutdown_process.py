"""From SIGTERM to the end of a real process: signals that come together, and a stop within the shutdown."""

from __future__ import annotations

import contextlib
import os
import select
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from lugtally.units import NS_PER_S
from tests.integration.player import Player
from tests.races.fakes import request
from tests.races.test_shutdown import ACCEPTING_NS, IDLE_END_NS

CPU_MARGIN_S = 0.5
"""How much longer a real process may take to end: its loop's end is not its own."""


@pytest.fixture
def player(tmp_path: Path) -> Iterator[Player]:
    """The peers of a real process, which is ended at last whatever happens."""
    one = Player(tmp_path)
    try:
        yield one
    finally:
        if one.program is not None:
            one.program.send_signal(signal.SIGCONT)
        one.end()


@pytest.fixture
def endpoint(player: Player) -> Iterator[None]:
    """Let the endpoint A answer each request."""
    stopped = threading.Event()
    thread = threading.Thread(target=answer_all, args=(player.upstream["A"], stopped))
    thread.start()
    yield
    stopped.set()
    thread.join(10)


def answer_all(listener: socket.socket, stopped: threading.Event) -> None:
    """Answer each request on each connection of a listening socket, until told to stop."""
    received: dict[socket.socket, bytes] = {}
    while not stopped.is_set():
        for sock in select.select([listener, *received], [], [], 0.05)[0]:
            if sock is listener:
                received[listener.accept()[0]] = b""
                continue
            try:
                data = sock.recv(65536)
            except ConnectionResetError:
                data = b""
            if not data:
                del received[sock]
                sock.close()
                continue
            *heads, received[sock] = (received[sock] + data).split(b"\r\n\r\n")
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" * len(heads))
    for sock in received:
        sock.close()


def send_request(player: Player, who: str) -> None:
    player.connection(who).sendall(request("campaign-read", who))


def first_line(player: Player, who: str) -> bytes:
    """Return the first line that a client gets; what has come where its connection ends before."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while b"\r\n" not in received and (data := player.connection(who).recv(4096)):
            received += data
    return received.partition(b"\r\n")[0]


def pid_of(player: Player) -> int:
    assert player.program is not None
    return player.program.pid


def wait_until_draining(player: Player) -> None:
    """Ask for the health until it is that of a process that drains."""
    give_up = time.monotonic() + 10
    while True:
        player.on_send("health", "GET /_health HTTP/1.1|Host: x||")
        if first_line(player, "health") == b"HTTP/1.1 503 Service Unavailable":
            return
        assert time.monotonic() < give_up, "it does not drain"


def stop_process(player: Player) -> None:
    """Stop the process, and wait until it has stopped."""
    os.kill(pid_of(player), signal.SIGSTOP)
    _, status = os.waitpid(pid_of(player), os.WUNTRACED)
    assert os.WIFSTOPPED(status)


def test_sigterm_and_sighup_in_one_poll_answer_all_requests(player: Player) -> None:
    player.do_serve()
    send_request(player, "c1")
    player.connection("d1").recv(4096)
    stop_process(player)
    os.kill(pid_of(player), signal.SIGTERM)
    os.kill(pid_of(player), signal.SIGHUP)
    send_request(player, "c2")
    os.kill(pid_of(player), signal.SIGCONT)
    player.connection("d2").recv(4096)
    for who in ("d2", "d1"):
        player.connection(who).sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    for who in ("c1", "c2"):
        assert first_line(player, who) == b"HTTP/1.1 200 OK"
        player.on_shut(who, "")
    player.do_exit("0")


@pytest.mark.usefixtures("endpoint")
def test_process_stopped_during_shutdown_answers_requests(player: Player) -> None:
    """Its timers are overdue when it continues: they must not run before the arrived bytes are read."""
    player.do_serve()
    for who in ("kept1", "kept2"):
        send_request(player, who)
        assert first_line(player, who) == b"HTTP/1.1 200 OK"
    player.connection("new")
    send_request(player, "half")
    assert first_line(player, "half") == b"HTTP/1.1 200 OK"
    player.connection("half").sendall(request("campaign-read", "half2")[:30])
    player.do_term()
    wait_until_draining(player)  # by then it has accepted "new", which connected before
    stop_process(player)
    for who in ("kept1", "kept2", "new", "waiting"):  # the last lies in the backlog
        send_request(player, who)
    player.connection("half").sendall(request("campaign-read", "half2")[30:])
    time.sleep(1)
    os.kill(pid_of(player), signal.SIGCONT)
    answers = {who: first_line(player, who) for who in ("kept1", "kept2", "new", "waiting", "half")}
    # The balancer may refuse some of a burst to its only endpoint: a refusal is a final answer too.
    assert set(answers.values()) <= {b"HTTP/1.1 200 OK", b"HTTP/1.1 503 Service Unavailable"}, answers
    assert b"HTTP/1.1 200 OK" in answers.values(), answers
    for who in answers:
        player.on_shut(who, "")
    player.do_exit("0")


@pytest.mark.usefixtures("endpoint")
def test_process_with_idle_connections_ends_in_time(player: Player) -> None:
    player.do_serve()
    for who in ("kept1", "kept2"):
        send_request(player, who)
        assert first_line(player, who) == b"HTTP/1.1 200 OK"
    began = time.monotonic()
    player.do_term()
    player.do_exit("0")
    took = time.monotonic() - began
    assert took <= (ACCEPTING_NS + IDLE_END_NS) / NS_PER_S + CPU_MARGIN_S, f"the end took {took:.1f} s"
