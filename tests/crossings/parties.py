"""The parties round the network code, played by tasks of its own hub: an event is held back until the test lets it go.

A test is one task, ``script``; nothing in it guesses at a time.  What must come is waited for; a step that does not
come within ``PATIENCE_NS`` fails the test.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import ujson

from lugtally import api, facade
from lugtally.hub.scheduler import MS, READ, Hub, Woken
from lugtally.net.destination import Destinations, Limits
from lugtally.net.front import Front
from lugtally.net.server_list import ListWatch
from tests.player import listener

PATIENCE_NS = 10_000 * MS
CLASSES = (
    api.RequestClass("read", api.Effect.SAFE, api.Group.ALL, 0, 2 * api.SECOND, 8 * api.SECOND),
    api.RequestClass("write", api.Effect.KEYED, api.Group.ALL, 4 * api.SECOND, 2 * api.SECOND, 8 * api.SECOND),
    api.RequestClass("once", api.Effect.UNSAFE, api.Group.ALL, 0, 2 * api.SECOND, 8 * api.SECOND),
)


class Scripted:
    """In the place of the module: it remembers what it was told, and does what ``orders`` says about an event."""

    def __init__(self) -> None:
        self.told: list[api.Event] = []
        self.orders: Callable[[api.Event], list[api.Action]] = lambda _: []
        self.allowed = True

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.told.append(event)
        return self.orders(event)

    def may_begin(self, now: int, id: str, attempt: int) -> bool:
        """What the module says right before the bytes of an attempt go out."""
        return self.allowed

    def lists(self) -> list[tuple[str, dict[int, str]]]:
        """What it was told of the list: the kind, and the states by server."""
        return [
            (e.kind.value, {s.id: s.state.value for s in e.servers}) for e in self.told if isinstance(e, api.ServerList)
        ]

    def results(self) -> list[api.Result]:
        """How attempts ended."""
        return [e.result for e in self.told if isinstance(e, api.Outcome)]


class Link:
    """The far end of one connection."""

    def __init__(self, hub: Hub, sock: socket.socket) -> None:
        self.hub, self.sock = hub, sock
        sock.setblocking(False)
        self.got = b""

    def read(self) -> bytes:
        """What has come, waited for; empty where the connection has ended, even by a reset."""
        assert self.hub.wait(self.sock.fileno(), READ, self.hub.now() + PATIENCE_NS) is Woken.READY, "nothing came"
        try:
            return self.sock.recv(65536)
        except ConnectionResetError:
            return b""

    def read_on(self) -> bool:
        """Wait for more; false where the connection has ended instead."""
        data = self.read()
        self.got += data
        return bool(data)

    def head(self) -> str:
        """The first line of the next message without a body."""
        while b"\r\n\r\n" not in self.got:
            assert self.read_on(), "the connection ended"
        head, _, self.got = self.got.partition(b"\r\n\r\n")
        return head.partition(b"\r\n")[0].decode()

    def all(self) -> bytes:
        """Everything until the connection ends."""
        got = self.got
        while data := self.read():
            got += data
        return got

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def answer(self, body: bytes = b"ok", status: str = "200 OK") -> None:
        self.send(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status.encode(), len(body)) + body)

    def list(self, version: int, full: bool, *rows: dict[str, Any]) -> None:
        """Answer as discovery does, indented."""
        self.answer(ujson.dumps({"version": version, "full": full, "servers": rows}, indent=2).encode())


class Party:
    """Somebody who listens: a pledge server or discovery."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self.sock = listener()
        self.sock.setblocking(False)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.sock.getsockname()
        return host, port

    def link(self) -> Link:
        """The next connection that comes."""
        assert self.hub.wait(self.sock.fileno(), READ, self.hub.now() + PATIENCE_NS) is Woken.READY, "nobody came"
        return Link(self.hub, self.sock.accept()[0])

    def idle(self) -> bool:
        """Whether nobody has come, as far as the system knows by now."""
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return True
        return False


class Sidecar:
    """The network code round a scripted module (or the real one), with one party of each kind."""

    def __init__(self, module: Any = None, *, most: int = 64) -> None:
        self.hub = Hub()
        self.module = module or Scripted()
        settings = api.Settings(CLASSES, max_attempts=4)
        self.facade = facade.Facade(settings, 1, self.hub, lambda *_: self.module)
        self.limits = Limits(2000 * MS, 60_000 * MS, 64)
        self.destinations = Destinations(self.hub, self.limits, ())
        self.discovery, self.second = Party(self.hub), Party(self.hub)
        self.server = Party(self.hub)
        self.watch = ListWatch(self.hub, self.facade, self.destinations, self.discovery.address, ("a",))
        self.facade.register(self.destinations.close_idle, self.watch.watch)
        self.front = Front(self.hub, self.facade, self.destinations, CLASSES, most)
        self.stopped = False

    def row(self, name: str, state: str = "ready", **more: Any) -> dict[str, Any]:
        """One row of a list; every server is the one that listens here."""
        host, port = self.server.address
        return {"id": name, "addr": f"{host}:{port}", "zone": "a", "cell": 1, "state": state, "started_ms": 0, **more}

    def listen(self) -> tuple[str, int]:
        """Accept clients; returns where."""
        self.front.listen(("127.0.0.1", 0))
        assert self.front._listener is not None
        host, port = self.front._listener.getsockname()
        return host, port

    def client(self, where: tuple[str, int]) -> Link:
        """A new connection of the application's."""
        return Link(self.hub, socket.create_connection(where))

    def until(self, done: Callable[[], bool]) -> None:
        """Let the other tasks go on until something holds."""
        late = self.hub.now() + PATIENCE_NS
        while not done():
            assert self.hub.now() < late, "it never came to that"
            self.hub.sleep(MS)

    def play(self, script: Callable[[], None]) -> None:
        """Run the script as a task until it ends; the hub may stop before, where the sidecar ends itself."""
        failed: list[BaseException] = []

        def body() -> None:
            try:
                script()
            except BaseException as error:
                failed.append(error)
            finally:
                self.stopped = True
                self.hub.stop()

        self.hub.spawn(body)
        self.hub.run(self.facade.tick)
        for party in (self.discovery, self.second, self.server):
            party.sock.close()
        if failed:
            raise failed[0]
        assert self.stopped, "the hub stopped before the script was over"


def request(path: str, id: str = "r1", *, method: str = "GET", more: str = "", left: str = "5.000") -> bytes:
    """A sound request."""
    return (
        f"{method} /{path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\n{more}\r\n"
    ).encode()
