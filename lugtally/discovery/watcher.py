"""The server list: the list of destinations as discovery tells it, kept up to date by a watch."""

from __future__ import annotations

import socket

import ujson
from loguru import logger

from lugtally.address import Address
from lugtally.balancing import EndpointUpdateKind
from lugtally.config.endpoint_list import EndpointList, EndpointRecord, parse_endpoint_list
from lugtally.dispatch.dispatcher import Dispatcher
from lugtally.dispatch.endpoint_registry import ListedEndpoint
from lugtally.eventloop import READABLE, WRITABLE, Event, EventLoop, Task, WakeReason
from lugtally.http1 import Message, MessageParser, ProtocolError, serialize_get
from lugtally.units import NS_PER_MS
from lugtally.upstream.pool import UpstreamPool

# A change counts as told this long after discovery had it and could be reached, whether it arrived or not.
TOLD_NS = 6000 * NS_PER_MS
# The times that a call may take.  Together they keep that term, as the two sums below say; the rest of it is margin.
HOLD_MS = 2500  # a watch without news; 200 sidecars make 80 such calls a second
ANSWER_NS = 1000 * NS_PER_MS  # beyond the hold, for an answer to come
CONNECT_NS = 500 * NS_PER_MS
MAX_BACKOFF_NS = 1500 * NS_PER_MS  # after a failure: the module draws a part of it
# A watch falls silent as it begins: that is noticed, then the call is made anew at once.
SILENCE_TO_LIST_NS = HOLD_MS * NS_PER_MS + ANSWER_NS + CONNECT_NS + ANSWER_NS
# Discovery comes back just as a connection to it was begun that never comes up: that, and twice a pause and a call.
RETURN_TO_LIST_NS = CONNECT_NS + 2 * (MAX_BACKOFF_NS + CONNECT_NS) + ANSWER_NS
EMPTY_PAUSE_NS = 100 * NS_PER_MS  # where answers come at once without news; well under the 200 ms of a watch
CHUNK = 64 * 1024
MOST_LIST = 4 * 1024 * 1024
PATH = "/catalog/members"


class DiscoveryClient:
    """One discovery service: its address, the version last heard from it, and the connection to it."""

    def __init__(self, loop: EventLoop, address: Address, version: int | None) -> None:
        self._loop = loop
        self._address = address
        self._sock: socket.socket | None = None
        self._parser = MessageParser(responses=True, max_body_bytes=MOST_LIST)
        self.version = version
        self.wanted = Event(loop)  # its own: a follower of an earlier one must not take the wake-up of this one

    def ask(self) -> EndpointList:
        """What is new since the version at hand, or the whole list where there is none.

        After a silence, a reset or a refusal it is asked for changes as well: a whole list is work for discovery by
        the line, and it comes back with all sidecars asking at once.  One that has begun its versions anew shows it
        by a lower one; only then is its whole list needed.
        """
        target = PATH if self.version is None else f"{PATH}?from={self.version}&hold_ms={HOLD_MS}"
        answer = self._exchange(target)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        return parse_endpoint_list(ujson.loads(answer.body), "server list", lenient=True)

    def drop(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._parser = MessageParser(responses=True, max_body_bytes=MOST_LIST)

    def _exchange(self, target: str) -> Message:
        """One call; once more at once, on a new connection, where the one at hand turns out to be dead.

        A kept connection may have been closed between two calls, and a watch that is silent past its hold has
        been cut off: neither says that discovery itself fails, and a pause would use up the time that is left.
        """
        used = self._sock is not None
        try:
            return self._once(target)
        except TimeoutError as silence:
            logger.info(
                "the watch of the server list fell silent: {reason}",
                event="discovery.watch_silent",
                reason=str(silence),
            )
        except ConnectionError:
            if not used:
                raise
        self.drop()
        return self._once(target)

    def _once(self, target: str) -> Message:
        sock = self._sock or self._connect()
        until = self._loop.now() + HOLD_MS * NS_PER_MS + ANSWER_NS
        sock.send(serialize_get(f"{self._address[0]}:{self._address[1]}", target))
        while True:
            self._await(sock, READABLE, until, TimeoutError("no answer in time"))
            try:
                data = sock.recv(CHUNK)
            except BlockingIOError:
                continue
            answer = self._parser.feed(data) if data else self._parser.end_of_input()
            if answer is None and not data:
                raise ConnectionResetError("the connection ended")
            if answer is not None:
                if not answer.keep_alive or not data:
                    self.drop()
                return answer

    def _connect(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        self._sock = sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex(self._address)
        self._await(sock, WRITABLE, self._loop.now() + CONNECT_NS, OSError("no connection in time"))
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "no connection")
        return sock

    def _await(self, sock: socket.socket, events: int, until: int, late: OSError) -> None:
        why = self._loop.wait(sock.fileno(), events, until)
        if why is WakeReason.INTERRUPTED:
            raise InterruptedError("the watch has moved")
        if why is WakeReason.TIMEOUT:
            raise late


class EndpointWatcher:
    """Follows the server list and tells the facade and the destinations what it says."""

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        upstream: UpstreamPool,
        discovery: Address,
        zones: tuple[str, ...],
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._discovery = DiscoveryClient(loop, discovery, None)
        self._task: Task | None = None
        self._zones = {name: at for at, name in enumerate(zones)}
        self._started: dict[int, tuple[int, int]] = {}  # started_ms as last told, and on the hub's clock
        self._known: dict[int, ListedEndpoint] = {}  # the known list

    @property
    def ready_count(self) -> int:
        """How many destinations are listed as ready."""
        return sum(line.state == "ready" for line in self._known.values())

    def start(self, kept: EndpointList) -> None:
        """Begin with the list kept over a restart, then watch whenever the module asks for it."""
        self._take(kept, EndpointUpdateKind.CACHED)
        self._discovery.version = kept.version
        self._task = self._loop.spawn(self._follow, self._discovery)

    def watch(self) -> None:
        """The module wants to be told of changes; it paces this after a failure."""
        self._discovery.wanted.set()

    def move_to(self, address: Address) -> None:
        """Watch at another address from now on; the list at hand stays in force until it answers.

        It is asked for its whole list: nothing says that its versions continue those of the old one.
        """
        if self._task is not None:
            self._loop.interrupt(self._task)
        self._discovery = DiscoveryClient(self._loop, address, None)
        self._discovery.wanted.set()  # at once, whatever pause the module keeps after a failure of the old one
        self._task = self._loop.spawn(self._follow, self._discovery)

    # ------------------------------------------------------------ the list

    def _take(self, pool: EndpointList, kind: EndpointUpdateKind) -> None:
        if pool.rejected:
            logger.warning(
                "{count} rows of the server list cannot be read: {reason}",
                event="discovery.records_rejected",
                count=len(pool.rejected),
                reason=next(iter(pool.rejected.values())),
            )
        # What is known of a row that cannot be read stays in force: the others must not be hidden by it, nor it go.
        listed = [self._known[number] for number in pool.rejected if number in self._known]
        gone = {row.endpoint_id for row in pool.records if row.state == "gone"}
        if kind is not EndpointUpdateKind.DELTA:  # a full list lacks them
            gone |= self._known.keys() - {row.endpoint_id for row in pool.records} - pool.rejected.keys()
        for number in gone:
            # Nothing may be kept of them: on a long day ids are always new.
            self._known.pop(number, None)
            self._started.pop(number, None)
            self._upstream.remove(number)
        for row in pool.records:
            # Servers whose zone is not told are no group that drops repeats: each is by itself.
            zone = self._zones.setdefault(row.zone, len(self._zones)) if row.zone else ~row.endpoint_id
            line = ListedEndpoint(row.endpoint_id, zone, row.cell, row.state, self._started_ns(row))
            if row.state != "gone":
                self._known[row.endpoint_id] = line
                self._upstream.set_address(row.endpoint_id, row.address)
            listed.append(line)
        self._dispatcher.update_endpoints(kind, listed)

    def _started_ns(self, row: EndpointRecord) -> int:
        """Unix time to the module's clock; 0 stays "long ago".

        Converted once for each start: converting it again after a step of the wall clock would look like
        another start, and make a warm server cold.
        """
        if row.started_ms <= 0:
            return 0
        told, started = self._started.get(row.endpoint_id, (0, 0))
        if told != row.started_ms:
            started = max(1, row.started_ms * NS_PER_MS - (self._loop.wall_clock() - self._loop.now()))
            if row.state != "gone":
                self._started[row.endpoint_id] = row.started_ms, started
        return started

    # ------------------------------------------------------------ the watch

    def _follow(self, discovery: DiscoveryClient) -> None:
        while discovery is self._discovery:
            discovery.wanted.wait()
            try:
                while discovery is self._discovery:
                    self._ask(discovery)
            except (OSError, ProtocolError, ValueError) as error:
                logger.info(
                    "the watch of the server list ended: {reason}", event="discovery.watch_ended", reason=str(error)
                )
            except Exception:
                # Whatever discovery sends, the watch goes on: without it the list would grow old unseen.
                logger.exception("the watch of the server list failed", event="discovery.failed")
            discovery.drop()
            if discovery is self._discovery:
                # The list at hand stays in force; the module says when to try again.  A wake-up from before this
                # failure would let the next call go without a pause.
                discovery.wanted = Event(self._loop)
                self._dispatcher.update_endpoints(EndpointUpdateKind.FAILED)

    def _ask(self, discovery: DiscoveryClient) -> None:
        begun = self._loop.now()
        pool = discovery.ask()
        if discovery is not self._discovery:
            return  # moved meanwhile: only the new one counts
        before = discovery.version
        if before is not None and pool.version < before and not pool.full:
            discovery.version = None  # it has begun anew: what it calls changes does not follow what we hold
            return
        self._take(pool, EndpointUpdateKind.FULL if pool.full else EndpointUpdateKind.DELTA)
        discovery.version = pool.version
        if pool.version == before and self._loop.now() - begun < EMPTY_PAUSE_NS:
            self._loop.sleep(EMPTY_PAUSE_NS)
