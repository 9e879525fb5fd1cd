"""The load tool: an open loop of clients, one application beside each sidecar.

Arrivals are drawn ahead and never wait for answers: a latency counts from the time at which its request was to be
sent, so a stall shows in full (no coordinated omission; G. Tene, "How not to measure latency", 2013).  A client's own
retries belong to its first try.  Each late sending is written down: a run whose load tool was late is void.
"""

from __future__ import annotations

import asyncio
import gc
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httptools
import uvloop

from lugtally.testbed.emulator import loopback
from lugtally.testbed.emulator.fleet import METHODS, Specification, mark_of, read_specification
from lugtally.testbed.emulator.server import made_by
from lugtally.testbed.emulator.timer_lag import Lateness
from lugtally.testbed.scenario import schedule
from lugtally.testbed.scenario.random_streams import unit
from lugtally.testbed.scenario.schedule import Arrival, Schedule
from lugtally.testbed.verification.event_log import EventLogWriter
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome

WATCHED_S = 0.4  # beyond a client's patience, to see whether an answer comes late or never
BODY = b"v" * 200  # of a POST
CONNECT_S = 2.0
TAIL_S = 0.3  # after the last answer, for bytes that come behind it


class Link(asyncio.Protocol):
    """One connection of an application to its sidecar."""

    def __init__(self, ended: Callable[[Link], None]) -> None:
        self._ended = ended
        self.open = False
        self.used = False
        self.keep = True
        self.answered: Callable[[int, bytes, float], None] | None = None
        self.broke: Callable[[bool], None] | None = None
        self.extra: Callable[[], None] | None = None
        self.made_for: Callable[[bytes], bool] | None = None  # whether a body was made for the request out now
        # The same two of the request before: a second answer to it may come while another request is out.
        self._extra_before: Callable[[], None] | None = None
        self._made_for_before: Callable[[bytes], bool] | None = None
        self._transport: Any = None
        self._parser: Any = None
        self._body = b""
        self._advice = -1.0
        self._bytes = False
        self._whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport, self.open = transport, True

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended; a request that was out on it got no whole answer."""
        self.open = False
        self._ended(self)
        if self.broke is not None:
            broke, self.broke, self.answered = self.broke, None, None
            broke(self._bytes)

    def send(
        self,
        data: bytes,
        answered: Callable[[int, bytes, float], None],
        broke: Callable[[bool], None],
        extra: Callable[[], None],
        made_for: Callable[[bytes], bool],
    ) -> None:
        """Write a request; ``answered`` or ``broke`` is called once, ``extra`` for a second answer to it.

        ``made_for`` tells whether the body of an answer was made for this request.
        """
        self._extra_before, self._made_for_before = self.extra, self.made_for
        self.answered, self.broke, self.extra, self.made_for = answered, broke, extra, made_for
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._advice, self._bytes, self._whole, self.keep = b"", -1.0, False, False, True
        self._transport.write(data)

    def close(self) -> None:
        """End it; what is out on it is given up."""
        self.broke = self.answered = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer, or of something else."""
        if self._whole or self._parser is None:
            self._superfluous()
            return
        self._bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._whole:
                self._superfluous()
            else:
                self._transport.abort()

    def _is_second_answer(self) -> bool:
        """Whether the whole answer at hand belongs to the request before: its own answer came before this.

        A second answer may come after this request was written.  It is told to the request that it was made for;
        this one goes on waiting for its own, and the connection is of no further use after that.
        """
        if self._made_for_before is None or not self._made_for_before(self._body):
            return False
        self.keep = False
        self._body, self._advice, self._bytes = b"", -1.0, False
        if self._extra_before is not None:
            extra, self._extra_before = self._extra_before, None
            extra()
        return True

    def _superfluous(self) -> None:
        """Bytes that belong to no request: the connection is of no further use."""
        self.keep = False
        if self.extra is not None:
            extra, self.extra = self.extra, None
            extra()
        self._transport.abort()

    def on_message_begin(self) -> None:
        """A head begins; behind a whole answer, in the same segment, it is one too many."""
        if self._whole:
            self._superfluous()

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        lower = name.lower()
        if lower == b"connection" and value.lower() == b"close":
            self.keep = False
        elif lower == b"retry-after":
            try:
                self._advice = float(value)
            except ValueError:
                self._advice = -1.0

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """The answer is whole."""
        status = self._parser.get_status_code()
        if self._whole or self.answered is None or status < 200:
            return
        if status == 200 and self._is_second_answer():
            return
        self._whole, self.used = True, True
        answered, self.answered, self.broke = self.answered, None, None
        answered(status, self._body, self._advice)


class Application:
    """The clients beside one sidecar: a pool of connections, most recently used first."""

    def __init__(self, tool: LoadTool, sidecar: int) -> None:
        self.tool = tool
        self.sidecar = sidecar
        self.host = loopback.front(tool.told.block, sidecar)
        self._idle: list[Link] = []
        self._open = 0
        self._queue: deque[Callable[[Link | None], None]] = deque()

    def take(self, use: Callable[[Link | None], None]) -> None:
        """Give a connection to ``use``, or none where the sidecar cannot be reached."""
        while self._idle:
            link = self._idle.pop()
            if link.open:
                use(link)
                return
        self.fresh(use)

    def fresh(self, use: Callable[[Link | None], None]) -> None:
        """The same over a new connection."""
        if self._open >= self.tool.told.scenario.clients.connections:
            self._queue.append(use)  # counted from its intended time all the same
            return
        self._open += 1
        asyncio.get_running_loop().create_task(self._connect(use))

    async def _connect(self, use: Callable[[Link | None], None]) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, link = await loop.create_connection(
                    lambda: Link(self._ended), self.host, loopback.PORT, family=socket.AF_INET
                )
        except (OSError, TimeoutError):
            self._open -= 1
            use(None)
            return
        if link.open:
            use(link)
        else:
            use(None)

    def _ended(self, link: Link) -> None:
        self._open -= 1
        if link in self._idle:
            self._idle.remove(link)
        if self._queue:
            self.fresh(self._queue.popleft())

    def give_back(self, link: Link) -> None:
        """The answer is whole: another request may use it."""
        if not link.keep or not link.open:
            link.close()
        elif self._queue:
            self._queue.popleft()(link)
        else:
            self._idle.append(link)

    def close(self) -> None:
        """The end of the run."""
        for link in list(self._idle):
            link.close()


class Client:
    """One request of a donor, with the retries that the application makes of it."""

    __slots__ = ("tool", "arrival", "serial", "first", "number", "over")

    def __init__(self, tool: LoadTool, serial: int, arrival: Arrival) -> None:
        self.tool = tool
        self.arrival = arrival
        self.serial = serial
        self.first = self.id(0)
        self.number = 0
        self.over = False  # served

    def id(self, number: int) -> str:
        """A try's own id: the place among the arrivals, the try, and the run's mark."""
        return f"{self.serial:08x}{number:02x}{self.tool.mark}"

    def begin(self, intended: float) -> None:
        """Send the next try.  Times are seconds since the base."""
        tool, cls = self.tool, self.tool.classes[self.arrival.cls]
        end = tool.start + self.arrival.at + cls.deadline_ms / 1000
        left = min(cls.deadline_ms / 1000 * tool.told.scenario.clients.try_share, end - intended)
        number, self.number = self.number, self.number + 1
        one = ClientAttempt(
            self.id(number),
            self.first,
            number,
            self.arrival.sidecar,
            self.arrival.cls,
            intended,
            intended,
            intended + left,
        )
        tool.pending += 1
        _Sending(self, one, cls.name, METHODS[cls.effect], cls.effect == "keyed").go()

    def ended(self, one: ClientAttempt, gave_up: bool) -> None:
        """A try came to its end, or the client stopped waiting for it: ask again where that is allowed."""
        if self.over:
            return
        tool, cls = self.tool, self.tool.classes[self.arrival.cls]
        clients = tool.told.scenario.clients
        end = tool.start + self.arrival.at + cls.deadline_ms / 1000
        if one.outcome == ClientOutcome.SERVED and not gave_up:
            self.over = True
            return
        harmless = one.outcome in (ClientOutcome.REJECTED, ClientOutcome.UNREACHABLE) and not gave_up
        wide = cls.effect == "safe" or (
            cls.effect == "keyed"
            and cls.key_scope == "all"
            and tool.clock() - tool.start - self.arrival.at < cls.key_ttl_ms / 1000
        )
        wait = clients.wait_ms / 1000
        if one.retry_after_s >= 0 and unit(tool.told.seed, "honour", self.first) < clients.honour:
            wait = max(wait, one.retry_after_s)
        again = tool.clock() + wait
        if not (harmless or wide) or self.number > clients.retries or again >= end - 0.005:
            return
        tool.pending += 1
        asyncio.get_running_loop().call_later(wait, self._again, again)

    def _again(self, intended: float) -> None:
        self.tool.pending -= 1
        if not self.over:
            self.tool.lateness.add(self.tool.clock() - intended)
            self.begin(intended)


class _Sending:
    """One try on its way: sent once, and once more only where the connection closed across it."""

    __slots__ = ("client", "one", "data", "link", "timer", "told", "done")

    def __init__(self, client: Client, one: ClientAttempt, name: str, method: str, keyed: bool) -> None:
        self.client = client
        self.one = one
        body = b"" if method == "GET" else BODY
        lines = [
            f"{method} /{name}?n={client.serial} HTTP/1.1",
            "Host: service.internal",
            f"X-Correlation-Id: {one.request_id}",
            f"X-Service-Class: {name}",
            f"X-Time-Left: {one.deadline_at - one.intended_at:.3f}",
        ]
        if one.number:
            lines.append("X-Repeat: 1")
        if keyed:
            lines.append(f"Idempotency-Key: {client.first}{client.tool.mark}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.link: Link | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.told = False
        self.done = False

    def go(self) -> None:
        """Over an idle connection, or a new one."""
        tool = self.client.tool
        tool.applications[self.one.sidecar].take(self.use)
        wait = max(0.0, self.one.deadline_at - tool.clock())
        self.timer = asyncio.get_running_loop().call_later(wait, self.patience_over)

    def use(self, link: Link | None) -> None:
        """Send over this connection."""
        tool = self.client.tool
        if self.done or self.told:
            if link is not None:
                tool.applications[self.one.sidecar].give_back(link)
            if not self.done:
                self.finish(ClientOutcome.UNREACHABLE)
            return
        if link is None:
            self.finish(ClientOutcome.UNREACHABLE)
            return
        self.link = link
        self.one.sent_at = tool.clock()
        link.send(self.data, self.answered, self.broke, self.extra, self.genuine)

    def extra(self) -> None:
        """Bytes came behind the answer."""
        self.one.duplicate_response = True
        if self.done:
            self.client.tool.book.write(
                ClientAttempt(
                    self.one.request_id,
                    self.one.first_id,
                    self.one.number,
                    self.one.sidecar,
                    self.one.class_index,
                    self.one.intended_at,
                    self.one.sent_at,
                    self.one.deadline_at,
                    self.client.tool.clock(),
                    ClientOutcome.DUPLICATE,
                    0,
                    True,
                )
            )

    def answered(self, status: int, body: bytes, advice: float) -> None:
        """A whole answer has come."""
        tool, one = self.client.tool, self.one
        one.status, one.retry_after_s = status, advice
        link, self.link = self.link, None
        assert link is not None
        ending = ClientOutcome.FAILED
        if status == 200:
            ending = ClientOutcome.SERVED if self.genuine(body) else ClientOutcome.FOREIGN
        elif status in (429, 503):
            ending = ClientOutcome.REJECTED
        self.finish(ending)
        tool.applications[one.sidecar].give_back(link)

    def genuine(self, body: bytes) -> bool:
        """Whether a server made this body for this request."""
        head = body.partition(b"\n")[0].decode("latin-1")
        if f'"id":"{self.one.request_id}"' not in head:
            return False
        server = head.partition('"server":"')[2].partition('"')[0]
        return f'"made":"{made_by(self.client.tool.told.seed, self.one.request_id, server)}"' in head

    def broke(self, begun: bool) -> None:
        """The connection ended without a whole answer."""
        link, self.link = self.link, None
        assert link is not None
        if not begun and link.used and not self.one.resent and not self.told:
            # Closed between requests, across this one: it goes once more, over a new connection.
            self.one.resent = True
            self.client.tool.applications[self.one.sidecar].fresh(self.use)
            return
        self.finish(ClientOutcome.DROPPED)

    def patience_over(self) -> None:
        """The client stops waiting.  Most connections are watched a little longer, for the judge."""
        self.told = True
        tool = self.client.tool
        if unit(tool.told.seed, "impatient", self.one.request_id) < tool.told.scenario.clients.impatient:
            link, self.link = self.link, None
            if link is not None:
                link.close()
            self.finish(ClientOutcome.CLIENT_LEFT)
            self.client.ended(self.one, True)
            return
        self.timer = asyncio.get_running_loop().call_later(WATCHED_S, self.watch_over)
        self.client.ended(self.one, True)

    def watch_over(self) -> None:
        """Nothing came at all."""
        link, self.link = self.link, None
        if link is not None:
            link.close()
            self.finish(ClientOutcome.PENDING)
        else:
            self.finish(ClientOutcome.UNREACHABLE)

    def finish(self, ending: ClientOutcome) -> None:
        """The one entry of this try in the books."""
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        tool, one = self.client.tool, self.one
        one.outcome, one.ended_at = ending, tool.clock()
        tool.book.write(one)
        tool.pending -= 1
        if not self.told:
            self.client.ended(one, False)


class LoadTool:
    """All clients of a run."""

    def __init__(self, told: Specification) -> None:
        self.told = told
        self.schedule: Schedule = schedule.make(told.scenario, told.seed)
        self.classes = told.scenario.classes
        self.mark = mark_of(told.seed)
        self.book = EventLogWriter(Path(told.book))
        self.lateness = Lateness("load")
        self.applications = [Application(self, at) for at in range(told.scenario.fleet.sidecars)]
        self.start = 0.0
        self.pending = 0  # tries on their way or watched, and retries to come

    def clock(self) -> float:
        """Seconds since the base."""
        return time.monotonic() - self.told.base

    async def run(self) -> None:
        """Play all arrivals, then wait until the last client has lost its patience."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        # The plan is large and lives to the end: collections then stay short.
        gc.collect()
        gc.freeze()
        print("ready", flush=True)
        line = (await reader.readline()).decode().split()
        if not line or line[0] != "go":
            return
        self.start = float(line[1])
        told = loop.create_task(reader.readline())  # ``stop``, or the end of the runner
        playing = loop.create_task(self._play())
        await asyncio.wait((told, playing), return_when=asyncio.FIRST_COMPLETED)
        playing.cancel()
        self.book.write(self.lateness.record())
        self.book.close()
        print("done", flush=True)

    async def _play(self) -> None:
        flushed = 0.0
        for serial, arrival in enumerate(self.schedule.arrivals):
            due = self.start + arrival.at
            while (wait := due - self.clock()) > 0.0005:
                await asyncio.sleep(wait)
            self.lateness.add(self.clock() - due)
            Client(self, serial, arrival).begin(due)
            if due > flushed + 1:
                flushed = due
                self.book.flush()
            elif wait < -0.01:
                await asyncio.sleep(0)  # behind: answers must be read all the same
        while self.pending:  # each has an end of its own: its client's patience and the watch after it
            await asyncio.sleep(0.05)
        await asyncio.sleep(TAIL_S)
        for application in self.applications:
            application.close()


async def _main(path: str) -> None:
    await LoadTool(read_specification(path)).run()


if __name__ == "__main__":
    uvloop.run(_main(sys.argv[1]))
