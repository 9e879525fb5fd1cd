"""The pool config: the list of destinations as discovery tells it, kept up to date by a watch."""

from __future__ import annotations

import socket

import ujson
from loguru import logger

from lugtally.config.pool import PoolConfig, Row, read_pool
from lugtally.facade import Facade, Listed, PoolNews
from lugtally.hub.scheduler import MS, READ, WRITE, Hub, Signal, Task, Woken
from lugtally.net.destination import Destinations
from lugtally.net.http1 import BadMessage, Message, Parser, write_get

HOLD_MS = 10_000
ANSWER_NS = 1500 * MS       # beyond the hold, for the answer to come
CONNECT_NS = 1500 * MS
EMPTY_PAUSE_NS = 100 * MS   # where answers come at once without news; well under the 200 ms of a watch
CHUNK = 64 * 1024
MOST_LIST = 4 * 1024 * 1024
PATH = "/catalog/members"


class _Discovery:
    """One discovery service: its address, the version last heard from it, and the connection to it."""

    def __init__(self, hub: Hub, address: tuple[str, int], version: int | None) -> None:
        self._hub = hub
        self._address = address
        self._sock: socket.socket | None = None
        self._parser = Parser(responses=True, most_body=MOST_LIST)
        self.version = version

    def ask(self) -> PoolConfig:
        """What is new since the version at hand, or the whole list where there is none."""
        target = PATH if self.version is None else f"{PATH}?from={self.version}&hold_ms={HOLD_MS}"
        answer = self._exchange(target, self._hub.now() + HOLD_MS * MS + ANSWER_NS)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        return read_pool(ujson.loads(answer.body), "pool config")

    def drop(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._parser = Parser(responses=True, most_body=MOST_LIST)

    def _exchange(self, target: str, until: int) -> Message:
        used = self._sock is not None
        try:
            return self._once(self._sock or self._connect(), target, until)
        except ConnectionError:
            if not used or not self._parser.idle:
                raise
            # A kept connection may have been closed between two calls: that is no failure of discovery.
            self.drop()
            return self._once(self._connect(), target, until)

    def _once(self, sock: socket.socket, target: str, until: int) -> Message:
        sock.send(write_get(f"{self._address[0]}:{self._address[1]}", target))
        while True:
            if self._hub.wait(sock.fileno(), READ, until) is not Woken.READY:
                raise TimeoutError("no answer in time")
            data = sock.recv(CHUNK)
            answer = self._parser.feed(data) if data else self._parser.end()
            if answer is None and not data:
                raise ConnectionResetError("the connection ended")
            if answer is not None:
                if not answer.keep or not data:
                    self.drop()
                return answer

    def _connect(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        self._sock = sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(self._address)
        if self._hub.wait(sock.fileno(), WRITE, self._hub.now() + CONNECT_NS) is not Woken.READY:
            raise TimeoutError("no connection in time")
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "no connection")
        return sock

class PoolWatch:
    """Follows the pool config and tells the facade and the destinations what it says."""

    def __init__(self, hub: Hub, facade: Facade, destinations: Destinations, discovery: tuple[str, int],
                 zones: tuple[str, ...]) -> None:
        self._hub = hub
        self._facade = facade
        self._destinations = destinations
        self._discovery = _Discovery(hub, discovery, None)
        self._task: Task | None = None
        self._zones = {name: at for at, name in enumerate(zones)}
        self._started: dict[int, tuple[int, int]] = {}  # started_ms as last told, and on the hub's clock
        self._known: dict[int, str] = {}        # the known list: what is listed, in which state
        self._wanted = Signal(hub)

    @property
    def usable(self) -> int:
        """How many destinations are listed as ready."""
        return sum(state == "ready" for state in self._known.values())

    def start(self, kept: PoolConfig) -> None:
        """Begin with the list kept over a restart, then watch whenever the module asks for it."""
        self._take(kept, "kept")
        self._discovery.version = kept.version
        self._task = self._hub.spawn(self._follow, self._discovery)

    def watch(self) -> None:
        """The module wants to be told of changes; it paces this after a failure."""
        self._wanted.set()

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on; the list at hand stays in force until it answers.

        It is asked for its whole list: nothing says that its versions continue those of the old one.
        """
        if self._task is not None:
            self._hub.interrupt(self._task)
        self._discovery = _Discovery(self._hub, address, None)
        self._wanted.set()      # at once, whatever pause the module keeps after a failure of the old one
        self._task = self._hub.spawn(self._follow, self._discovery)

    # ------------------------------------------------------------ the list

    def _take(self, pool: PoolConfig, kind: str) -> None:
        listed = []
        gone = {row.number for row in pool.rows if row.state == "gone"}
        if kind != "changes":
            gone |= self._known.keys() - {row.number for row in pool.rows}      # a full list lacks them
        for number in gone:
            # Nothing may be kept of them: on a long day ids are always new.
            self._known.pop(number, None)
            self._started.pop(number, None)
            self._destinations.forget(number)
        for row in pool.rows:
            if row.state != "gone":
                self._known[row.number] = row.state
                self._destinations.place(row.number, row.address)
            zone = self._zones.setdefault(row.zone, len(self._zones))
            listed.append(Listed(row.number, zone, row.cell, row.state, self._started_ns(row)))
        self._facade.report(PoolNews(kind, listed))

    def _started_ns(self, row: Row) -> int:
        """Unix time to the module's clock; 0 stays "long ago".

        Converted once for each start: converting it again after a step of the wall clock would look like
        another start, and make a warm server cold.
        """
        if row.started_ms <= 0:
            return 0
        told, started = self._started.get(row.number, (0, 0))
        if told != row.started_ms:
            started = max(1, row.started_ms * MS - (self._hub.wall() - self._hub.now()))
            if row.state != "gone":
                self._started[row.number] = row.started_ms, started
        return started

    # ------------------------------------------------------------ the watch

    def _follow(self, discovery: _Discovery) -> None:
        while discovery is self._discovery:
            self._wanted.wait()
            try:
                while discovery is self._discovery:
                    self._ask(discovery)
            except (OSError, BadMessage, ValueError) as error:
                logger.info("the watch of the pool config ended: {why}", event="pool.watch-ended", why=str(error))
            except Exception:
                # Whatever discovery sends, the watch goes on: without it the list would grow old unseen.
                logger.exception("the watch of the pool config failed", event="pool.fault")
            discovery.drop()
            if discovery is self._discovery:
                # The list at hand stays in force; the module says when to try again.
                self._facade.report(PoolNews("failed", []))

    def _ask(self, discovery: _Discovery) -> None:
        begun = self._hub.now()
        pool = discovery.ask()
        if discovery is not self._discovery:
            return      # moved meanwhile: only the new one counts
        self._take(pool, "whole" if pool.full else "changes")
        discovery.version = pool.version
        if not pool.rows and self._hub.now() - begun < EMPTY_PAUSE_NS:
            self._hub.sleep(EMPTY_PAUSE_NS)
