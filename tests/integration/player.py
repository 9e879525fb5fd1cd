"""Plays a recorded exchange against the started program; the one helper of the tests that start it.

A file in ``exchanges`` has one step a line: who, what, and bytes.  In bytes ``|`` stands for CRLF,
``~`` for a bare line feed, ``*`` matches anything within a line, ``{x20}`` repeats the character before it,
and ``@A`` is the address of A.

    known A B       what the program knows at its start (A and B listen, C refuses, S never comes up)
    patience 6      how many seconds each step may take
    files 20        its limit of open files; ``sockets 64`` what its configuration says of that
    crowd 40 CLIENT     as many clients, CLIENT0 on, connect and say nothing
    serve           start it; it must become ready
    c1 send BYTES   a client (``o1``: an operator, at @O), opened by its first step, sends; ``want`` must
                    receive just this, ``closed`` must see the end, ``broken`` a reset in its place, ``none`` must
                    see nothing; ``shut``, ``half`` (its sending alone) and ``reset`` close, ``pause`` waits
    d1 want BYTES   the same for the next connection that any destination accepts
    d2 elsewhere d1     accepted by another destination than d1; ``d1 at B`` by B
    p list JSON     the same for the server list's connections, with answers of that body
    hup NAME VALUE      a field of the configuration changes, SIGHUP; ``q`` is a second server list, at @Q
    term            SIGTERM; ``exit 0`` waits for the end
    inherit         the player opens the listening socket and passes it as descriptor 7 in ``$PROXY_SOCKET_FD``
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
PATIENCE_S = 20.0
LIMIT = {"slo_ns": 2_000_000_000, "hard_limit_ns": 8_000_000_000}
SETTINGS: dict[str, Any] = {
    "grades": [
        {"name": "campaign-read", "effect": "idempotent", **LIMIT},
        {"name": "pledge-record", "effect": "deduplicated", "key_scope": "zone", "key_ttl_ns": 6_000_000_000, **LIMIT},
        {"name": "receipt-issue", "effect": "at_most_once", **LIMIT},
    ],
    "ceilings": {
        "most_tries": 4,
        "cancel": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ns": 2_000_000_000,
        "keepalive_ns": 60_000_000_000,
        "connect_timeout_ns": 150_000_000,
    },
    "contract": {"cold_from": 0.31, "warm_within_ns": 7_500_000_000, "fall_multiple": 2.5},
    "instances": 1,
    "zones": ["a", "b"],
    "membership_mode": "subscribe",
    "report": {"how": "probe"},
}


def listener(backlog: int = 64) -> socket.socket:
    """A listening socket on a port of its own."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def address(sock: socket.socket) -> str:
    """``host:port`` of a listening socket."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


class Player:
    """The peers of one sidecar, and the sidecar."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.upstream = {name: listener() for name in "AB"}
        refusing = listener()
        self.discovery, self.second_discovery = listener(), listener()
        self.addresses = {f"@{name}": address(sock) for name, sock in self.upstream.items()} | {
            "@C": address(refusing),
            "@Q": address(self.second_discovery),
        }
        refusing.close()
        # A listener that accepts nothing and whose backlog is full: connections to it never come up.
        self.unresponsive = listener(0)
        self.addresses["@S"] = address(self.unresponsive)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.unresponsive.getsockname())
        reserve, other = listener(), listener()
        self.listen, self.operator = address(reserve), address(other)
        self.addresses["@O"] = self.operator
        reserve.close()
        other.close()
        self.patience = PATIENCE_S
        self.known: list[str] = ["A"]
        self.files = self.sockets = 1024
        self.links: dict[str, socket.socket] = {}
        self.accepted_by: dict[str, str] = {}
        self.program: subprocess.Popen[bytes] | None = None
        self.inherited: socket.socket | None = None  # the program's listening socket, where the player opens it

    def play(self, script: str) -> None:
        """Run each step; an ``AssertionError`` names the line that went wrong."""
        for line_number, line in enumerate(script.splitlines(), 1):
            words = line.split(" ", 2)
            if not line.strip() or line.startswith("#"):
                continue
            try:
                if (program_step := PROGRAM_STEPS.get(words[0])) is not None:
                    program_step(self, *line.split()[1:])
                else:
                    getattr(self, f"on_{words[1]}")(words[0], words[2] if len(words) > 2 else "")
            except (AssertionError, OSError) as error:
                raise AssertionError(f"line {line_number}: {line[:90]}: {error}") from error

    def end(self) -> None:
        """Stop the program and close every socket."""
        if self.program is not None:
            self.program.kill()
            self.program.wait()
        listeners = [*self.upstream.values(), self.discovery, self.second_discovery, self.unresponsive]
        for sock in [*self.links.values(), *self.fillers, *listeners, *([self.inherited] if self.inherited else [])]:
            sock.close()

    # ------------------------------------------------------------ the program

    def config(self) -> dict[str, Any]:
        """What config.json holds."""
        rows = [
            {
                "id": f"s-{name}",
                "addr": self.addresses[f"@{name}"],
                "zone": "a",
                "kind": "m",
                "cell": 0,
                "weight": 1.0,
                "state": "ready",
                "started_ms": 0,
            }
            for name in self.known
        ]
        return {
            "name": "n1",
            "listen": self.listen,
            "discovery": address(self.discovery),
            "seed": "5e",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "settings": SETTINGS,
            "known": {"version": 1, "full": True, "servers": rows},
            "operator": self.operator,
        }

    def do_known(self, *names: str) -> None:
        self.known = list(names)

    def do_patience(self, seconds: str) -> None:
        self.patience = float(seconds)

    def do_files(self, limit: str) -> None:
        self.files = int(limit)

    def do_sockets(self, limit: str) -> None:
        self.sockets = int(limit)

    def do_connect_clients(self, count: str, name: str) -> None:
        for number in range(int(count)):
            self.link(f"{name}{number}")

    def do_inherit(self) -> None:
        host, port = self.listen.split(":")
        self.inherited = socket.socket()
        self.inherited.bind((host, int(port)))
        self.inherited.listen(64)

    def do_serve(self) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config()))
        env = {
            **os.environ,
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "PROXY_DISCOVERY": address(self.discovery),
        }
        descriptor = -1
        if self.inherited is not None:
            descriptor, env["PROXY_SOCKET_FD"] = self.inherited.fileno(), "7"

        def duplicate_to_seven() -> None:
            # Python opens descriptors not to be inherited: this copy alone goes to the program.
            if descriptor >= 0:
                os.dup2(descriptor, 7)

        self.program = subprocess.Popen(
            ["sh", "-c", f'ulimit -n {self.files}; exec "$0" -B -m lugtally serve', sys.executable],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env=env,
            close_fds=False,
            preexec_fn=duplicate_to_seven,  # noqa: PLW1509  one thread, and descriptor 7 is wanted by its number
        )
        deadline = time.monotonic() + PATIENCE_S
        while time.monotonic() < deadline:
            try:
                self.on_send("ready", "GET /_health HTTP/1.1|Host: x||")
                self.on_want("ready", "HTTP/1.1 200 OK|Content-Length: 3||ok\n")
                return
            except (OSError, AssertionError):
                self.links.pop("ready", None)
                time.sleep(0.05)
        raise AssertionError("the program did not become ready")

    def do_hup(self, name: str, value: str) -> None:
        assert self.program is not None
        (self.folder / "config.json").write_text(json.dumps({**self.config(), name: self.bytes_of(value)}))
        self.program.send_signal(signal.SIGHUP)

    def do_term(self) -> None:
        assert self.program is not None
        self.program.send_signal(signal.SIGTERM)

    def do_exit(self, status: str) -> None:
        assert self.program is not None
        assert self.program.wait(PATIENCE_S) == int(status)

    # ------------------------------------------------------------ the peers

    def bytes_of(self, text: str) -> str:
        """The bytes that a step names, as text."""
        for name, listen_address in self.addresses.items():
            text = text.replace(name, listen_address)
        text = re.sub(r"(.)\{x(\d+)\}", lambda match: match[1] * int(match[2]), text)
        return text.replace("|", "\r\n").replace("~", "\n")

    def link(self, who: str) -> socket.socket:
        """The connection of that name, opened or accepted when it is first named."""
        if who not in self.links:
            if who[0] in "dpq":
                discovery = {"p": self.discovery, "q": self.second_discovery}.get(who[0])
                listeners = [discovery] if discovery else list(self.upstream.values())
                ready, _, _ = select.select(listeners, [], [], self.patience)
                assert ready, "nothing connected"
                self.links[who], _ = ready[0].accept()
                self.accepted_by[who] = address(ready[0])
            else:
                host, port = (self.operator if who[0] == "o" else self.listen).split(":")
                self.links[who] = socket.create_connection((host, int(port)), self.patience)
            self.links[who].settimeout(self.patience)
        return self.links[who]

    def on_send(self, who: str, text: str) -> None:
        self.link(who).sendall(self.bytes_of(text).encode("latin-1"))

    def on_want(self, who: str, text: str) -> None:
        wanted = self.bytes_of(text)
        pattern = re.compile(re.escape(wanted).replace(r"\*", "[^\r\n]*"))
        tail = wanted.rpartition("*")[2]
        got = ""
        while not (got.endswith(tail) and pattern.fullmatch(got)):
            data = self.link(who).recv(1 if "*" in text else max(1, len(wanted) - len(got)))
            got += data.decode("latin-1")
            assert data, f"the connection ended after {got[-500:]!r}"
            assert len(got) <= len(wanted) + 300, f"got {got[-500:]!r}"

    def on_list(self, who: str, text: str) -> None:
        body = self.bytes_of(text)
        self.link(who).sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    def on_none(self, who: str, text: str) -> None:
        assert not select.select([self.link(who)], [], [], float(text or 0.3))[0], "something came"

    def on_closed(self, who: str, _: str) -> None:
        with contextlib.suppress(ConnectionResetError):
            assert self.link(who).recv(1) == b"", "it is open and sends"

    def on_broken(self, who: str, _: str) -> None:
        try:
            data = self.link(who).recv(1)
        except ConnectionResetError:
            return
        raise AssertionError(f"no reset, but {data!r}")

    def on_half(self, who: str, _: str) -> None:
        self.link(who).shutdown(socket.SHUT_WR)

    def on_shut(self, who: str, _: str) -> None:
        self.link(who).close()
        del self.links[who]

    def on_reset(self, who: str, _: str) -> None:
        self.link(who).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.on_shut(who, "")

    def on_elsewhere(self, who: str, other: str) -> None:
        self.link(who)
        assert self.accepted_by[who] != self.accepted_by[other], "it came to the same destination"

    def on_at(self, who: str, name: str) -> None:
        self.link(who)
        assert self.accepted_by[who] == self.addresses[f"@{name}"], "it came to another destination"

    def on_pause(self, who: str, seconds: str) -> None:
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
    "patience": Player.do_patience,
    "inherit": Player.do_inherit,
}
