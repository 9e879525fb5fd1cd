"""Connections to destinations, and one attempt over one of them.

A connection carries one request at a time.  It is used again only where the whole answer, and nothing more,
has been read from it.
"""

from __future__ import annotations

import errno
import os
import socket
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol

import ujson
from loguru import logger

from lugtally.address import Address
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.eventloop import READABLE, WRITABLE, EventLoop, WakeReason
from lugtally.http1 import MAX_BODY_BYTES, BodyFraming, ForwardedRequest, Message, MessageParser, ProtocolError
from lugtally.units import NS_PER_MS

STREAM_STALL_NS = 5000 * NS_PER_MS  # a streamed answer that does not move for this long is broken off

CHUNK = 64 * 1024
# An answer may bring more than belongs to it, some milliseconds behind.  A connection is used again only after this
# long without a byte, as what comes later would be taken for the next request's answer.  Second answers came up to
# 3.8 ms late where it was measured.
SETTLE_NS = 8 * NS_PER_MS
NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class UpstreamConnection:
    """One connection to a destination."""

    __slots__ = ("sock", "fd", "address", "parser", "idle_since")

    def __init__(self, sock: socket.socket, address: Address, most_answer: int) -> None:
        self.sock = sock
        self.address = address
        self.fd = sock.fileno()
        self.parser = MessageParser(responses=True, max_body_bytes=most_answer, streams=True)
        self.idle_since = 0


class ResponseSink(Protocol):
    """Where a streamed answer goes: the client's front socket."""

    def send(self, data: bytes | memoryview) -> bool:
        """Write all of it, waiting as long as the client takes; false where it has gone or does not read."""


ClaimStream = Callable[[Message], "ResponseSink | None"]
"""Asked with the head of a long answer: where to pass it on, or none where the request is not this step's."""


MayProceed = Callable[[], bool]
"""Asked right before bytes of a request go out: may they still?  Much may have changed since the step was chosen."""


def _always() -> bool:
    return True


class AttemptAborted(Exception):
    """Ends an attempt from inside."""

    def __init__(self, ending: AttemptOutcome) -> None:
        super().__init__(ending.name)
        self.ending = ending


@dataclass(slots=True)
class ConnectionLimits:
    """What the settings and the machine allow for connections."""

    connect_ns: int
    idle_ns: int  # an idle connection is retired after this; the server closes it a little later
    most: int  # connections to all destinations together
    most_answer: int = MAX_BODY_BYTES  # the longest body of an answer: it is held whole until it is passed on


class UpstreamPool:
    """All connections of this sidecar to destinations."""

    def __init__(self, loop: EventLoop, limits: ConnectionLimits, load_fields: tuple[str, ...]) -> None:
        self._loop = loop
        self._limits = limits
        self._load_fields = load_fields
        self._addresses: dict[int, Address] = {}
        self._idle: dict[int, list[UpstreamConnection]] = {}  # the most recently used last
        self._settling: set[int] = set()  # destinations where a step waits for a connection to settle
        self.open_connections = 0

    def set_address(self, number: int, address: Address) -> None:
        """Where a destination is; idle connections to where it was are closed."""
        if self._addresses.get(number) != address:
            self.close_idle_connections(number)
            self._addresses[number] = address

    def remove(self, number: int) -> None:
        """A destination is gone for good: on a long day thousands come and go."""
        self.close_idle_connections(number)
        self._addresses.pop(number, None)

    def close_idle_connections(self, number: int) -> None:
        """Close the idle connections to a destination."""
        for connection in self._idle.pop(number, []):
            self._close(connection, watched=True)

    def close_expired(self) -> None:
        """Close what has been idle for long, before the other side does."""
        before = self._loop.now() - self._limits.idle_ns
        for connections in self._idle.values():
            while connections and connections[0].idle_since < before:
                self._close(connections.pop(0), watched=True)

    def execute_attempt(
        self,
        number: int,
        forward: ForwardedRequest,
        until: int,
        claim: ClaimStream | None = None,
        may: MayProceed = _always,
    ) -> tuple[AttemptOutcome, Message | None]:
        """One attempt, in its own task; interrupting the task calls the step off.

        A 200 with a long, chunked or unbounded body is passed on as it comes, where ``claim`` gives a sink; its
        answer is returned with ``streamed`` set and no body.  Without a sink that step is called off.
        """
        connection: UpstreamConnection | None = None
        written = False
        try:
            connection = self._reuse(number, until) or self._connect(number, until)
            left = until - self._loop.now()
            if left <= 0:
                raise AttemptAborted(AttemptOutcome.TIMEOUT_BEFORE_SENT)  # the connection came up too late to send
            if not may():
                self._give_back(number, connection)
                return AttemptOutcome.CANCELLED_BEFORE_SENT, None
            self._write(connection, forward.write(left), until, may)
            written = True
            answer = self._read(connection, until)
            ending = self._pass_on(connection, answer, claim, until) if answer.streamed else _judge(answer)
        except AttemptAborted as over:
            ending, answer = over.ending, None
            if ending is AttemptOutcome.RESET and not written:
                ending = AttemptOutcome.RESET_BEFORE_SENT
        if connection is not None:
            if answer is not None and answer.keep_alive and not answer.streamed and connection.parser.is_idle:
                connection.idle_since = self._loop.now()
                self._give_back(number, connection)
            else:
                self._close(connection)
        return ending, answer

    def load_report(self, answer: Message | None) -> tuple[float, ...] | None:
        """The load report that came with an answer, where the settings say that answers carry one."""
        text = answer.header_map.get("x-backend-load") if answer is not None and self._load_fields else None
        if text is None:
            return None
        try:
            report = ujson.loads(text)
            load = tuple(float(report[name]) for name in self._load_fields)
        except (ValueError, KeyError, TypeError, ArithmeticError):
            return None  # a report that cannot be read is as good as none
        return load if all(0 <= value < inf for value in load) else None

    # ------------------------------------------------------------ connections

    def _reuse(self, number: int, until: int) -> UpstreamConnection | None:
        """The most recently used idle connection that the other side has not closed meanwhile."""
        connections = self._idle.get(number)
        while connections:
            settled = self._loop.now() - SETTLE_NS
            calm = sum(connection.idle_since <= settled for connection in connections)  # they stand first
            if not calm and number in self._settling:
                return None  # a second one would wait as well: this rate of requests needs another connection
            connection = connections.pop(max(0, calm - 1))
            self._loop.unregister(connection.fd)
            if connection.idle_since < settled - self._limits.idle_ns:
                self._close(connection)  # the other side closes it about now: a request would end as a reset
                continue
            try:
                if connection.idle_since > settled:
                    # A new connection would cost the destination more work than this costs time.
                    self._settling.add(number)
                    why = self._loop.wait(connection.fd, READABLE, min(until, connection.idle_since + SETTLE_NS))
                    self._settling.discard(number)
                    if why is WakeReason.INTERRUPTED:
                        self._give_back(number, connection)
                        raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)
                connection.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return connection
            except OSError:
                pass
            self._close(connection)  # it has ended, or holds bytes that belong to no answer
        return None

    def _give_back(self, number: int, connection: UpstreamConnection) -> None:
        """Keep the connection for later; whatever comes on it meanwhile ends it."""
        if connection.address != self._addresses.get(number):  # the destination is gone or has moved meanwhile
            self._close(connection)
            return
        connection.idle_since = (
            connection.idle_since or self._loop.now()
        )  # one that was taken and not used is as old as before
        insort(self._idle.setdefault(number, []), connection, key=lambda other: other.idle_since)

        def ended(_: int) -> None:
            self._idle[number].remove(connection)
            self._close(connection, watched=True)

        self._loop.register(connection.fd, READABLE, ended)

    def _close(self, connection: UpstreamConnection, *, watched: bool = False) -> None:
        if watched:
            self._loop.unregister(connection.fd)
        connection.sock.close()
        self.open_connections -= 1

    def _make_room(self) -> None:
        """Close the connection that has been idle longest, so that a step is not refused a descriptor."""
        oldest = min(
            (connections for connections in self._idle.values() if connections),
            key=lambda ls: ls[0].idle_since,
            default=None,
        )
        if oldest is not None:
            self._close(oldest.pop(0), watched=True)

    def _connect(self, number: int, until: int) -> UpstreamConnection:
        if self.open_connections >= self._limits.most:
            self._make_room()
            if self.open_connections >= self._limits.most:
                raise AttemptAborted(AttemptOutcome.NO_DESCRIPTOR)
        address = self._addresses.get(number)
        if address is None:
            raise AttemptAborted(AttemptOutcome.CONNECTION_REFUSED)  # it went while the step was on its way
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            logger.warning(
                "no socket for a destination: {reason}", event="upstream.no_descriptor", reason=error.strerror
            )
            raise AttemptAborted(AttemptOutcome.NO_DESCRIPTOR) from error
        self.open_connections += 1
        connection = UpstreamConnection(sock, address, self._limits.most_answer)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code == errno.EINPROGRESS:
                limit = self._loop.now() + self._limits.connect_ns
                late = AttemptOutcome.CONNECT_TIMEOUT if limit < until else AttemptOutcome.TIMEOUT_BEFORE_SENT
                self._await(connection, WRITABLE, min(limit, until), late, AttemptOutcome.CANCELLED_BEFORE_SENT)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                logger.debug(
                    "connecting to {host}:{port}: {reason}",
                    event="upstream.connect_failed",
                    host=address[0],
                    port=address[1],
                    reason=os.strerror(code),
                )
                raise AttemptAborted(AttemptOutcome.CONNECTION_REFUSED)
        except BaseException:
            self._close(connection)
            raise
        return connection

    # ------------------------------------------------------------ the exchange

    def _await(
        self, connection: UpstreamConnection, events: int, until: int, late: AttemptOutcome, called_off: AttemptOutcome
    ) -> None:
        why = self._loop.wait(connection.fd, events, until)
        if why is not WakeReason.READY:
            raise AttemptAborted(late if why is WakeReason.TIMEOUT else called_off)

    def _write(self, connection: UpstreamConnection, data: bytes, until: int, may: MayProceed) -> None:
        view = memoryview(data)
        while view:
            if not may():
                raise AttemptAborted(AttemptOutcome.CANCELLED_BEFORE_SENT)
            try:
                view = view[connection.sock.send(view) :]
            except BlockingIOError:
                self._await(
                    connection,
                    WRITABLE,
                    until,
                    AttemptOutcome.TIMEOUT_BEFORE_SENT,
                    AttemptOutcome.CANCELLED_BEFORE_SENT,
                )
            except OSError as error:
                raise AttemptAborted(AttemptOutcome.RESET_BEFORE_SENT) from error

    def _read(self, connection: UpstreamConnection, until: int) -> Message:
        while True:
            self._await(connection, READABLE, until, AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)
            try:
                data = connection.sock.recv(CHUNK)
                answer = connection.parser.feed(data) if data else connection.parser.end_of_input()
            except BlockingIOError:
                continue
            except OSError as error:
                raise AttemptAborted(AttemptOutcome.RESET) from error
            except ProtocolError as error:
                # A destination's garbage costs this connection and this step, nothing else.
                raise AttemptAborted(AttemptOutcome.MALFORMED_RESPONSE) from error
            if answer is not None:
                answer.keep_alive = answer.keep_alive and bool(data)
                return answer
            if not data:
                raise AttemptAborted(AttemptOutcome.RESET)

    def _pass_on(
        self, connection: UpstreamConnection, answer: Message, claim: ClaimStream | None, until: int
    ) -> AttemptOutcome:
        """Pump a long answer's body to the client as it comes; beyond its beginning a read of it at most is held."""
        frame, data = connection.parser.detach_body()
        held = b""
        try:
            if "content-length" not in answer.header_map:
                held, ended = self._hold(connection, frame, data, until)
                data = b""
                if ended and frame.until_close:
                    answer.body, answer.streamed = held, False  # whole: an answer like any other
                    return AttemptOutcome.SERVED
            sink = claim(answer) if claim is not None else None
            if sink is None or not sink.send(held):
                return AttemptOutcome.CANCELLED
            while True:
                count = frame.feed(data)
                if count and not sink.send(memoryview(data)[:count]):
                    return AttemptOutcome.CANCELLED  # the client went, or stopped reading
                if frame.done:
                    return AttemptOutcome.SERVED
                why = self._loop.wait(connection.fd, READABLE, self._loop.now() + STREAM_STALL_NS)
                if why is not WakeReason.READY:
                    return AttemptOutcome.TIMEOUT if why is WakeReason.TIMEOUT else AttemptOutcome.CANCELLED
                try:
                    data = connection.sock.recv(CHUNK)
                except BlockingIOError:
                    data = b""
                    continue
                if not data:
                    return AttemptOutcome.SERVED if frame.until_close else AttemptOutcome.RESET
        except OSError:
            return AttemptOutcome.RESET
        except ProtocolError:
            return AttemptOutcome.MALFORMED_RESPONSE

    def _hold(self, connection: UpstreamConnection, frame: BodyFraming, data: bytes, until: int) -> tuple[bytes, bool]:
        """The beginning of a body of untold length, as far as other answers are held, and whether that is all of it.

        Nothing of it has reached the client yet: where the connection breaks, or the body does not end in time, the
        request can still be tried elsewhere or answered as failed.
        """
        told = bytearray(data[: frame.feed(data)])
        while not frame.done and len(told) <= MAX_BODY_BYTES:
            self._await(connection, READABLE, until, AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)
            try:
                data = connection.sock.recv(CHUNK)
            except BlockingIOError:
                continue
            if not data:
                if frame.until_close:
                    return bytes(told), True
                raise AttemptAborted(AttemptOutcome.RESET)
            told += data[: frame.feed(data)]
        return bytes(told), frame.done


def _judge(answer: Message) -> AttemptOutcome:
    if answer.status == 200:
        return AttemptOutcome.SERVED
    if answer.status in (503, 504) and answer.header_map.get("x-unprocessed") == "1":
        return AttemptOutcome.REJECTED  # only the mark proves that the request never ran
    if 400 <= answer.status < 500 and answer.status not in (408, 425, 429):
        return AttemptOutcome.DECLINED
    return AttemptOutcome.ERRORED


def split_descriptors(sockets: int) -> tuple[int, int]:
    """How many descriptors front sockets and destinations may take: four to three of all but an eighth.

    The rest, 16 at least, is for all else.  Discovery must be reached, and a listener kept, however many clients
    rest and however many connections are in use.
    """
    free = sockets - max(16, sockets // 8)
    downstream = free * 4 // 7
    return downstream, free - downstream


def max_response_body_bytes(memory_mb: int) -> int:
    """The longest body of an answer: destinations send longer ones than they take, but memory is short."""
    return max(MAX_BODY_BYTES, min(memory_mb * 16 * 1024, 1024 * 1024))


def safe_idle_timeout_ns(keepalive_ns: int) -> int:
    """When to retire an idle connection: early enough that no request crosses the other side's closing."""
    return keepalive_ns - min(2000 * NS_PER_MS, keepalive_ns // 5)
