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

from lugtally.ending import Ending
from lugtally.hub.scheduler import MS, READ, WRITE, Hub, Woken
from lugtally.net.http1 import MOST_BODY, BadMessage, BodyFrame, Forward, Message, Parser

STREAM_STALL_NS = 5000 * MS  # a streamed answer that does not move for this long is broken off

CHUNK = 64 * 1024
# An answer may bring more than belongs to it, some milliseconds behind.  A connection is used again only after this
# long without a byte, as what comes later would be taken for the next request's answer.  Second answers came up to
# 3.8 ms late where it was measured.
SETTLE_NS = 8 * MS
NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Link:
    """One connection to a destination."""

    __slots__ = ("sock", "fd", "address", "parser", "idle_since")

    def __init__(self, sock: socket.socket, address: tuple[str, int], most_answer: int) -> None:
        self.sock = sock
        self.address = address
        self.fd = sock.fileno()
        self.parser = Parser(responses=True, most_body=most_answer, streams=True)
        self.idle_since = 0


class Sink(Protocol):
    """Where a streamed answer goes: the client's front socket."""

    def send(self, data: bytes | memoryview) -> bool:
        """Write all of it, waiting as long as the client takes; false where it has gone or does not read."""


Claim = Callable[[Message], "Sink | None"]
"""Asked with the head of a long answer: where to pass it on, or none where the request is not this step's."""


May = Callable[[], bool]
"""Asked right before bytes of a request go out: may they still?  Much may have changed since the step was chosen."""


def _always() -> bool:
    return True


class _StepOver(Exception):
    """Ends an attempt from inside."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.name)
        self.ending = ending


@dataclass(slots=True)
class Limits:
    """What the settings and the machine allow for connections."""

    connect_ns: int
    idle_ns: int  # an idle connection is retired after this; the server closes it a little later
    most: int  # connections to all destinations together
    most_answer: int = MOST_BODY  # the longest body of an answer: it is held whole until it is passed on


class Destinations:
    """All connections of this sidecar to destinations."""

    def __init__(self, hub: Hub, limits: Limits, load_fields: tuple[str, ...]) -> None:
        self._hub = hub
        self._limits = limits
        self._load_fields = load_fields
        self._addresses: dict[int, tuple[str, int]] = {}
        self._idle: dict[int, list[Link]] = {}  # the most recently used last
        self._settling: set[int] = set()  # destinations where a step waits for a connection to settle
        self.open = 0

    def place(self, number: int, address: tuple[str, int]) -> None:
        """Where a destination is; idle connections to where it was are closed."""
        if self._addresses.get(number) != address:
            self.close_idle(number)
            self._addresses[number] = address

    def forget(self, number: int) -> None:
        """A destination is gone for good: on a long day thousands come and go."""
        self.close_idle(number)
        self._addresses.pop(number, None)

    def close_idle(self, number: int) -> None:
        """Close the idle connections to a destination."""
        for link in self._idle.pop(number, []):
            self._close(link, watched=True)

    def retire(self) -> None:
        """Close what has been idle for long, before the other side does."""
        before = self._hub.now() - self._limits.idle_ns
        for links in self._idle.values():
            while links and links[0].idle_since < before:
                self._close(links.pop(0), watched=True)

    def run(
        self, number: int, forward: Forward, until: int, claim: Claim | None = None, may: May = _always
    ) -> tuple[Ending, Message | None]:
        """One attempt, in its own task; interrupting the task calls the step off.

        A 200 with a long, chunked or unbounded body is passed on as it comes, where ``claim`` gives a sink; its
        answer is returned with ``streamed`` set and no body.  Without a sink that step is called off.
        """
        link: Link | None = None
        written = False
        try:
            link = self._reuse(number, until) or self._connect(number, until)
            left = until - self._hub.now()
            if left <= 0:
                raise _StepOver(Ending.TIMED_OUT_UNSENT)  # the connection came up too late to send
            if not may():
                self._give_back(number, link)
                return Ending.CANCELLED_UNSENT, None
            self._write(link, forward.write(left), until, may)
            written = True
            answer = self._read(link, until)
            ending = self._pass_on(link, answer, claim, until) if answer.streamed else _judge(answer)
        except _StepOver as over:
            ending, answer = over.ending, None
            if ending is Ending.BROKEN and not written:
                ending = Ending.BROKEN_UNSENT
        if link is not None:
            if answer is not None and answer.keep and not answer.streamed and link.parser.idle:
                link.idle_since = self._hub.now()
                self._give_back(number, link)
            else:
                self._close(link)
        return ending, answer

    def load_of(self, answer: Message | None) -> tuple[float, ...] | None:
        """The load report that came with an answer, where the settings say that answers carry one."""
        text = answer.names.get("x-backend-load") if answer is not None and self._load_fields else None
        if text is None:
            return None
        try:
            report = ujson.loads(text)
            load = tuple(float(report[name]) for name in self._load_fields)
        except (ValueError, KeyError, TypeError, ArithmeticError):
            return None  # a report that cannot be read is as good as none
        return load if all(0 <= value < inf for value in load) else None

    # ------------------------------------------------------------ connections

    def _reuse(self, number: int, until: int) -> Link | None:
        """The most recently used idle connection that the other side has not closed meanwhile."""
        links = self._idle.get(number)
        while links:
            settled = self._hub.now() - SETTLE_NS
            calm = sum(link.idle_since <= settled for link in links)  # they stand first
            if not calm and number in self._settling:
                return None  # a second one would wait as well: this rate of requests needs another connection
            link = links.pop(max(0, calm - 1))
            self._hub.unwatch(link.fd)
            if link.idle_since < settled - self._limits.idle_ns:
                self._close(link)  # the other side closes it about now: a request would end as a reset
                continue
            try:
                if link.idle_since > settled:
                    # A new connection would cost the destination more work than this costs time.
                    self._settling.add(number)
                    why = self._hub.wait(link.fd, READ, min(until, link.idle_since + SETTLE_NS))
                    self._settling.discard(number)
                    if why is Woken.INTERRUPTED:
                        self._give_back(number, link)
                        raise _StepOver(Ending.CANCELLED_UNSENT)
                link.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return link
            except OSError:
                pass
            self._close(link)  # it has ended, or holds bytes that belong to no answer
        return None

    def _give_back(self, number: int, link: Link) -> None:
        """Keep the connection for later; whatever comes on it meanwhile ends it."""
        if link.address != self._addresses.get(number):  # the destination is gone or has moved meanwhile
            self._close(link)
            return
        link.idle_since = link.idle_since or self._hub.now()  # one that was taken and not used is as old as before
        insort(self._idle.setdefault(number, []), link, key=lambda other: other.idle_since)

        def ended(_: int) -> None:
            self._idle[number].remove(link)
            self._close(link, watched=True)

        self._hub.watch(link.fd, READ, ended)

    def _close(self, link: Link, *, watched: bool = False) -> None:
        if watched:
            self._hub.unwatch(link.fd)
        link.sock.close()
        self.open -= 1

    def _make_room(self) -> None:
        """Close the connection that has been idle longest, so that a step is not refused a descriptor."""
        oldest = min((links for links in self._idle.values() if links), key=lambda ls: ls[0].idle_since, default=None)
        if oldest is not None:
            self._close(oldest.pop(0), watched=True)

    def _connect(self, number: int, until: int) -> Link:
        if self.open >= self._limits.most:
            self._make_room()
            if self.open >= self._limits.most:
                raise _StepOver(Ending.NO_SOCKET)
        address = self._addresses.get(number)
        if address is None:
            raise _StepOver(Ending.REFUSED)  # it went while the step was on its way
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            logger.warning("no socket for a destination: {why}", event="destination.no-socket", why=error.strerror)
            raise _StepOver(Ending.NO_SOCKET) from error
        self.open += 1
        link = Link(sock, address, self._limits.most_answer)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code == errno.EINPROGRESS:
                limit = self._hub.now() + self._limits.connect_ns
                late = Ending.CONNECT_SLOW if limit < until else Ending.TIMED_OUT_UNSENT
                self._await(link, WRITE, min(limit, until), late, Ending.CANCELLED_UNSENT)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                logger.debug(
                    "connecting to {host}:{port}: {why}",
                    event="destination.refused",
                    host=address[0],
                    port=address[1],
                    why=os.strerror(code),
                )
                raise _StepOver(Ending.REFUSED)
        except BaseException:
            self._close(link)
            raise
        return link

    # ------------------------------------------------------------ the exchange

    def _await(self, link: Link, events: int, until: int, late: Ending, called_off: Ending) -> None:
        why = self._hub.wait(link.fd, events, until)
        if why is not Woken.READY:
            raise _StepOver(late if why is Woken.TIMEOUT else called_off)

    def _write(self, link: Link, data: bytes, until: int, may: May) -> None:
        view = memoryview(data)
        while view:
            if not may():
                raise _StepOver(Ending.CANCELLED_UNSENT)
            try:
                view = view[link.sock.send(view) :]
            except BlockingIOError:
                self._await(link, WRITE, until, Ending.TIMED_OUT_UNSENT, Ending.CANCELLED_UNSENT)
            except OSError as error:
                raise _StepOver(Ending.BROKEN_UNSENT) from error

    def _read(self, link: Link, until: int) -> Message:
        while True:
            self._await(link, READ, until, Ending.TIMED_OUT, Ending.CANCELLED)
            try:
                data = link.sock.recv(CHUNK)
                answer = link.parser.feed(data) if data else link.parser.end()
            except BlockingIOError:
                continue
            except OSError as error:
                raise _StepOver(Ending.BROKEN) from error
            except BadMessage as error:
                # A destination's garbage costs this connection and this step, nothing else.
                raise _StepOver(Ending.GARBLED) from error
            if answer is not None:
                answer.keep = answer.keep and bool(data)
                return answer
            if not data:
                raise _StepOver(Ending.BROKEN)

    def _pass_on(self, link: Link, answer: Message, claim: Claim | None, until: int) -> Ending:
        """Pump a long answer's body to the client as it comes; beyond its beginning a read of it at most is held."""
        frame, data = link.parser.rest()
        held = b""
        try:
            if "content-length" not in answer.names:
                held, ended = self._hold(link, frame, data, until)
                data = b""
                if ended and frame.until_close:
                    answer.body, answer.streamed = held, False  # whole: an answer like any other
                    return Ending.SERVED
            sink = claim(answer) if claim is not None else None
            if sink is None or not sink.send(held):
                return Ending.CANCELLED
            while True:
                count = frame.feed(data)
                if count and not sink.send(memoryview(data)[:count]):
                    return Ending.CANCELLED  # the client went, or stopped reading
                if frame.done:
                    return Ending.SERVED
                why = self._hub.wait(link.fd, READ, self._hub.now() + STREAM_STALL_NS)
                if why is not Woken.READY:
                    return Ending.TIMED_OUT if why is Woken.TIMEOUT else Ending.CANCELLED
                try:
                    data = link.sock.recv(CHUNK)
                except BlockingIOError:
                    data = b""
                    continue
                if not data:
                    return Ending.SERVED if frame.until_close else Ending.BROKEN
        except OSError:
            return Ending.BROKEN
        except BadMessage:
            return Ending.GARBLED

    def _hold(self, link: Link, frame: BodyFrame, data: bytes, until: int) -> tuple[bytes, bool]:
        """The beginning of a body of untold length, as far as other answers are held, and whether that is all of it.

        Nothing of it has reached the client yet: where the connection breaks, or the body does not end in time, the
        request can still be tried elsewhere or answered as failed.
        """
        told = bytearray(data[: frame.feed(data)])
        while not frame.done and len(told) <= MOST_BODY:
            self._await(link, READ, until, Ending.TIMED_OUT, Ending.CANCELLED)
            try:
                data = link.sock.recv(CHUNK)
            except BlockingIOError:
                continue
            if not data:
                if frame.until_close:
                    return bytes(told), True
                raise _StepOver(Ending.BROKEN)
            told += data[: frame.feed(data)]
        return bytes(told), frame.done


def _judge(answer: Message) -> Ending:
    if answer.status == 200:
        return Ending.SERVED
    if answer.status in (503, 504) and answer.names.get("x-unprocessed") == "1":
        return Ending.TURNED_AWAY  # only the mark proves that the request never ran
    if 400 <= answer.status < 500 and answer.status not in (408, 425, 429):
        return Ending.DECLINED
    return Ending.ERRORED


def shares(sockets: int) -> tuple[int, int]:
    """How many descriptors front sockets and destinations may take: four to three of all but an eighth.

    The rest, 16 at least, is for all else.  Discovery must be reached, and a listener kept, however many clients
    rest and however many connections are in use.
    """
    free = sockets - max(16, sockets // 8)
    front = free * 4 // 7
    return front, free - front


def answer_limit(memory_mb: int) -> int:
    """The longest body of an answer: destinations send longer ones than they take, but memory is short."""
    return max(MOST_BODY, min(memory_mb * 16 * 1024, 1024 * 1024))


def idle_limit(keepalive_ns: int) -> int:
    """When to retire an idle connection: early enough that no request crosses the other side's closing."""
    return keepalive_ns - min(2000 * MS, keepalive_ns // 5)
