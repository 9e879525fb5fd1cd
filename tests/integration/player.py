"""Replays a recorded exchange with a sidecar process.

A file in ``exchanges`` has one step per line.  In BYTES, ``|`` stands for CRLF and ``~`` for a line feed alone, ``*``
matches anything within a line, ``{x20}`` repeats the character before it (20 in all), and ``@A`` is the address of A.

Steps that configure or control the sidecar process:

    known A B           set its cached endpoint list (A and B listen, C refuses connections, S never accepts any)
    files 20            set its limit on open files
    sockets 64          set the number of sockets in its configuration
    inherit             open its listening socket here, and pass it as descriptor 7 in ``$PROXY_SOCKET_FD``
    serve               start it and wait until it is ready
    hup NAME VALUE      change a field of its configuration and send SIGHUP
    term                send SIGTERM
    exit 0              wait until it has exited with this status
    patience 6          set the timeout of each later step, in seconds
    crowd 40 CLIENT     open the connections CLIENT0 to CLIENT39

A step on a connection begins with the name of the connection, which its first step opens or accepts.  The first letter
of the name sets the kind: ``d`` is the next connection that an endpoint accepts, ``p`` and ``q`` are the next ones
that the first and the second discovery service accept (the second is at @Q), ``o`` is a connection to the admin
address, and any other letter is a client connection:

    c1 send BYTES       send bytes
    c1 want BYTES       receive exactly these bytes
    p list JSON         send a response with this body
    c1 none 0.3         receive nothing for this many seconds
    c1 closed           receive the end of the connection
    c1 broken           receive a reset
    c1 half             shut down the sending side
    c1 shut             close the connection
    c1 reset            reset the connection
    c1 pause 0.3        wait for this many seconds
    d1 at B             check that B accepted it
    d2 elsewhere d1     check that it and d1 were accepted by different endpoints
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.sidecar_program import ROOT, SETTINGS, endpoint_record, serve_command, serve_environment
from tests.sockets import address, listener, reset_on_close

DEFAULT_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
INHERITED_DESCRIPTOR = 7
LOG_NAME = "stderr.log"
MAX_UNEXPECTED_BYTES = 300
MAX_SHOWN_BYTES = 500


class Player:
    """One sidecar process, and the sockets of its peers: clients, endpoints and discovery services."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.upstream = {name: listener() for name in "AB"}
        self.discovery, self.second_discovery = listener(), listener()
        self.addresses = {f"@{name}": address(sock) for name, sock in self.upstream.items()}
        self.addresses["@Q"] = address(self.second_discovery)
        # The backlog of this listener is filled, so that connections to it are never established.
        self.unresponsive = listener(0)
        self.addresses["@S"] = address(self.unresponsive)
        self.backlog_connections = [socket.socket() for _ in range(4)]
        for sock in self.backlog_connections:
            sock.setblocking(False)
            sock.connect_ex(self.unresponsive.getsockname())
        # These ports are chosen and released last, so that none of the sockets above takes them.
        refusing_address, self.listen_address, self.admin_address = _unused_addresses(3)
        self.addresses |= {"@C": refusing_address, "@O": self.admin_address}
        self.timeout_s = DEFAULT_TIMEOUT_S
        self.known_endpoints: list[str] = ["A"]
        self.max_descriptors = self.max_sockets = 1024
        self.connections: dict[str, socket.socket] = {}
        self.accepted_by: dict[str, str] = {}
        self.program: subprocess.Popen[bytes] | None = None
        self.inherited_listener: socket.socket | None = None  # set by the step ``inherit``

    def play(self, script: str) -> None:
        """Run each step of a script, which is the content of a file in ``exchanges``.

        Raises:
            AssertionError: a step failed; the message names its line.
        """
        for line_number, line in enumerate(script.splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            try:
                self._run_step(line)
            except (AssertionError, OSError) as error:
                raise AssertionError(f"line {line_number}: {line[:90]}: {error}") from error

    def _run_step(self, line: str) -> None:
        first_word, *arguments = line.split()
        if (run_program_step := PROGRAM_STEPS.get(first_word)) is not None:
            run_program_step(self, *arguments)
            return
        connection, step, *text = line.split(" ", 2)
        CONNECTION_STEPS[step](self, connection, text[0] if text else "")

    def end(self) -> None:
        """Kill the program and close every socket."""
        if self.program is not None:
            self.program.kill()
            self.program.wait()
        listeners = [*self.upstream.values(), self.discovery, self.second_discovery, self.unresponsive]
        for sock in [
            *self.connections.values(),
            *self.backlog_connections,
            *listeners,
            *([self.inherited_listener] if self.inherited_listener else []),
        ]:
            sock.close()

    # ------------------------------------------------------------ the sidecar process

    def config(self) -> dict[str, Any]:
        """Return the content of ``config.json``."""
        records = [endpoint_record(f"s-{name}", self.addresses[f"@{name}"]) for name in self.known_endpoints]
        return {
            "name": "n1",
            "listen": self.listen_address,
            "discovery": address(self.discovery),
            "seed": "5e",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.max_sockets},
            "settings": SETTINGS,
            "known": {"version": 1, "full": True, "servers": records},
            "operator": self.admin_address,
        }

    def do_known(self, *names: str) -> None:
        self.known_endpoints = list(names)

    def do_set_timeout(self, seconds: str) -> None:
        self.timeout_s = float(seconds)

    def do_files(self, limit: str) -> None:
        self.max_descriptors = int(limit)

    def do_sockets(self, limit: str) -> None:
        self.max_sockets = int(limit)

    def do_connect_clients(self, count: str, name: str) -> None:
        for number in range(int(count)):
            self.connection(f"{name}{number}")

    def do_inherit(self) -> None:
        host, port = self.listen_address.split(":")
        self.inherited_listener = socket.socket()
        self.inherited_listener.bind((host, int(port)))
        self.inherited_listener.listen(64)

    def do_serve(self) -> None:
        (self.folder / "config.json").write_text(json.dumps(self.config()))
        environment = serve_environment(self.folder, address(self.discovery))
        if self.inherited_listener is not None:
            environment["PROXY_SOCKET_FD"] = str(INHERITED_DESCRIPTOR)
        with (self.folder / LOG_NAME).open("ab") as log:
            self.program = subprocess.Popen(
                serve_command(self.max_descriptors),
                cwd=ROOT,
                stderr=log,
                env=environment,
                close_fds=False,
                preexec_fn=self._pass_inherited,  # noqa: PLW1509  one thread, and the number of the descriptor is fixed
            )
        self._wait_until_ready()

    def _pass_inherited(self) -> None:
        """Duplicate the listening socket: Python's sockets are not inheritable, but the duplicate is."""
        if self.inherited_listener is not None:
            os.dup2(self.inherited_listener.fileno(), INHERITED_DESCRIPTOR)

    def _wait_until_ready(self) -> None:
        assert self.program is not None
        deadline = time.monotonic() + DEFAULT_TIMEOUT_S
        while time.monotonic() < deadline:
            assert self.program.poll() is None, f"exited with {self.program.returncode}: {self._log_end()}"
            try:
                self.on_send("ready", "GET /_health HTTP/1.1|Host: x||")
                self.on_want("ready", "HTTP/1.1 200 OK|Content-Length: 3||ok\n")
                return
            except (OSError, AssertionError):
                self.connections.pop("ready", None)
                time.sleep(READY_POLL_S)
        raise AssertionError(f"the sidecar did not become ready: {self._log_end()}")

    def _log_end(self) -> str:
        """Return the end of the program's standard error."""
        return (self.folder / LOG_NAME).read_text(errors="replace")[-MAX_SHOWN_BYTES:]

    def do_hup(self, name: str, value: str) -> None:
        assert self.program is not None
        (self.folder / "config.json").write_text(json.dumps({**self.config(), name: self._expand(value)}))
        self.program.send_signal(signal.SIGHUP)

    def do_term(self) -> None:
        assert self.program is not None
        self.program.send_signal(signal.SIGTERM)

    def do_exit(self, status: str) -> None:
        assert self.program is not None
        assert self.program.wait(DEFAULT_TIMEOUT_S) == int(status)

    # ------------------------------------------------------------ the connections

    def _expand(self, text: str) -> str:
        """Return the text of a step with its placeholders replaced, as Latin-1 text."""
        for name, listen_address in self.addresses.items():
            text = text.replace(name, listen_address)
        text = re.sub(r"(.)\{x(\d+)\}", lambda match: match[1] * int(match[2]), text)
        return text.replace("|", "\r\n").replace("~", "\n")

    def connection(self, name: str) -> socket.socket:
        """Return the connection with that name; the first call accepts or opens it."""
        if name not in self.connections:
            self.connections[name] = self._accept(name) if name[0] in "dpq" else self._connect(name)
            self.connections[name].settimeout(self.timeout_s)
        return self.connections[name]

    def _accept(self, name: str) -> socket.socket:
        discovery = {"p": self.discovery, "q": self.second_discovery}.get(name[0])
        listeners = [discovery] if discovery else list(self.upstream.values())
        ready, _, _ = select.select(listeners, [], [], self.timeout_s)
        assert ready, "no connection arrived"
        connection: socket.socket = ready[0].accept()[0]
        self.accepted_by[name] = address(ready[0])
        return connection

    def _connect(self, name: str) -> socket.socket:
        host, port = (self.admin_address if name[0] == "o" else self.listen_address).split(":")
        return socket.create_connection((host, int(port)), self.timeout_s)

    def on_send(self, name: str, text: str) -> None:
        self.connection(name).sendall(self._expand(text).encode("latin-1"))

    def on_want(self, name: str, text: str) -> None:
        expected = self._expand(text)
        pattern = re.compile(re.escape(expected).replace(r"\*", "[^\r\n]*"))
        text_after_last_wildcard = expected.rpartition("*")[2]
        received = ""
        while not (received.endswith(text_after_last_wildcard) and pattern.fullmatch(received)):
            data = self.connection(name).recv(1 if "*" in text else max(1, len(expected) - len(received)))
            received += data.decode("latin-1")
            assert data, f"the connection ended after {received[-MAX_SHOWN_BYTES:]!r}"
            assert len(received) <= len(expected) + MAX_UNEXPECTED_BYTES, f"received {received[-MAX_SHOWN_BYTES:]!r}"

    def on_list(self, name: str, text: str) -> None:
        body = self._expand(text)
        self.connection(name).sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    def on_none(self, name: str, text: str) -> None:
        assert not select.select([self.connection(name)], [], [], float(text or 0.3))[0], (
            "received bytes or the end of the connection"
        )

    def on_closed(self, name: str, _: str) -> None:
        with contextlib.suppress(ConnectionResetError):
            assert self.connection(name).recv(1) == b"", "received bytes instead of the end of the connection"

    def on_broken(self, name: str, _: str) -> None:
        try:
            data = self.connection(name).recv(1)
        except ConnectionResetError:
            return
        raise AssertionError(f"received no reset but {data!r}")

    def on_half(self, name: str, _: str) -> None:
        self.connection(name).shutdown(socket.SHUT_WR)

    def on_shut(self, name: str, _: str) -> None:
        self.connection(name).close()
        del self.connections[name]

    def on_reset(self, name: str, _: str) -> None:
        reset_on_close(self.connection(name))
        self.on_shut(name, "")

    def on_elsewhere(self, name: str, other: str) -> None:
        self.connection(name)
        assert self.accepted_by[name] != self.accepted_by[other], "accepted by the same endpoint"

    def on_at(self, name: str, endpoint: str) -> None:
        self.connection(name)
        assert self.accepted_by[name] == self.addresses[f"@{endpoint}"], "accepted by another endpoint"

    def on_pause(self, name: str, seconds: str) -> None:
        time.sleep(float(seconds))


PROGRAM_STEPS: dict[str, Callable[..., None]] = {
    "known": Player.do_known,
    "serve": Player.do_serve,
    "term": Player.do_term,
    "hup": Player.do_hup,
    "exit": Player.do_exit,
    "files": Player.do_files,
    "sockets": Player.do_sockets,
    "crowd": Player.do_connect_clients,
    "patience": Player.do_set_timeout,
    "inherit": Player.do_inherit,
}
CONNECTION_STEPS: dict[str, Callable[[Player, str, str], None]] = {
    "send": Player.on_send,
    "want": Player.on_want,
    "list": Player.on_list,
    "none": Player.on_none,
    "closed": Player.on_closed,
    "broken": Player.on_broken,
    "half": Player.on_half,
    "shut": Player.on_shut,
    "reset": Player.on_reset,
    "elsewhere": Player.on_elsewhere,
    "at": Player.on_at,
    "pause": Player.on_pause,
}


def _unused_addresses(count: int) -> list[str]:
    """Return different addresses at which nothing listens."""
    with contextlib.ExitStack() as sockets:
        return [address(sockets.enter_context(listener())) for _ in range(count)]
