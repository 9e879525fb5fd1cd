"""Graceful shutdown of a real process: signals that arrive together, and SIGSTOP during the shutdown.

The player names each connection: a name that begins with ``d`` is a connection that an endpoint accepts, and each other
name in this module is that of a client.
"""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from lugtally.units import NS_PER_S
from tests.downstream.test_shutdown import ACCEPTING_NS, IDLE_SHUTDOWN_NS
from tests.fakes import request
from tests.integration.player import Player
from tests.sidecar_program import ROOT

CPU_MARGIN_S = 0.5
"""How much longer than the shutdown of its event loop a real process may take to end."""


@pytest.fixture
def player(tmp_path: Path) -> Iterator[Player]:
    """The peers of a real sidecar process, which is ended after the test."""
    player = Player(tmp_path)
    try:
        yield player
    finally:
        if player.program is not None:
            player.program.send_signal(signal.SIGCONT)
        player.end()


@pytest.fixture
def endpoint(player: Player) -> Iterator[None]:
    """Let endpoint A respond to each request."""
    stopped = threading.Event()
    thread = threading.Thread(target=respond_to_all, args=(player.upstream["A"], stopped))
    thread.start()
    yield
    stopped.set()
    thread.join(10)


def respond_to_all(listener: socket.socket, stopped: threading.Event) -> None:
    """Respond to each request on each connection of a listening socket, until ``stopped`` is set."""
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


def send_request(player: Player, name: str) -> None:
    player.connection(name).sendall(request("campaign-read", name))


def first_line(player: Player, name: str) -> bytes:
    """Return the first line that a client receives, or all that it received if its connection ended earlier."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while b"\r\n" not in received and (data := player.connection(name).recv(4096)):
            received += data
    return received.partition(b"\r\n")[0]


def pid_of(player: Player) -> int:
    assert player.program is not None
    return player.program.pid


def wait_until_draining(player: Player) -> None:
    """Poll the health path until it reports that the process is draining."""
    test_deadline_s = time.monotonic() + 10
    while True:
        player.on_send("health", "GET /_health HTTP/1.1|Host: x||")
        if first_line(player, "health") == b"HTTP/1.1 503 Service Unavailable":
            return
        assert time.monotonic() < test_deadline_s, "the process is not draining"


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
    for name in ("d2", "d1"):
        player.connection(name).sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    for name in ("c1", "c2"):
        assert first_line(player, name) == b"HTTP/1.1 200 OK"
        player.on_shut(name, "")
    player.do_exit("0")


@pytest.mark.usefixtures("endpoint")
def test_process_stopped_during_shutdown_answers_requests(player: Player) -> None:
    """When the process continues its timers are overdue: they must not fire before the bytes that arrived are read."""
    player.do_serve()
    for name in ("idle1", "idle2"):
        send_request(player, name)
        assert first_line(player, name) == b"HTTP/1.1 200 OK"
    player.connection("new")
    send_request(player, "incomplete")
    assert first_line(player, "incomplete") == b"HTTP/1.1 200 OK"
    player.connection("incomplete").sendall(request("campaign-read", "incomplete2")[:30])
    player.do_term()
    wait_until_draining(player)  # by then the process has accepted "new", which connected before
    stop_process(player)
    for name in ("idle1", "idle2", "new", "waiting"):  # "waiting" connects now and waits in the backlog
        send_request(player, name)
    player.connection("incomplete").sendall(request("campaign-read", "incomplete2")[30:])
    time.sleep(1)
    os.kill(pid_of(player), signal.SIGCONT)
    responses = {name: first_line(player, name) for name in ("idle1", "idle2", "new", "waiting", "incomplete")}
    # The balancer may reject part of this burst to its only endpoint; a rejection is a final response, too.
    assert set(responses.values()) <= {b"HTTP/1.1 200 OK", b"HTTP/1.1 503 Service Unavailable"}, responses
    assert b"HTTP/1.1 200 OK" in responses.values(), responses
    for name in responses:
        player.on_shut(name, "")
    player.do_exit("0")


@pytest.mark.usefixtures("endpoint")
def test_process_with_idle_connections_ends_in_time(player: Player) -> None:
    player.do_serve()
    for name in ("idle1", "idle2"):
        send_request(player, name)
        assert first_line(player, name) == b"HTTP/1.1 200 OK"
    started_s = time.monotonic()
    player.do_term()
    player.do_exit("0")
    duration_s = time.monotonic() - started_s
    assert duration_s <= (ACCEPTING_NS + IDLE_SHUTDOWN_NS) / NS_PER_S + CPU_MARGIN_S, (
        f"the shutdown took {duration_s:.1f} s"
    )


def test_shutdown_before_first_endpoint_list_answers_503(player: Player, tmp_path: Path) -> None:
    """Discovery never responds and no endpoint is cached; SIGTERM still ends the process."""
    player.known_endpoints = []
    (tmp_path / "config.json").write_text(json.dumps(player.config()))
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)},
    )
    try:
        assert process.stderr is not None
        assert b" serves at " in process.stderr.readline()
        player.on_send("c1", request("campaign-read").decode().replace("\r\n", "|"))
        player.on_want("c1", "HTTP/1.1 503 Service Unavailable|Retry-After: *|Content-Length: 5||busy~")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
