"""The usual clients of one sidecar: an open stream of requests, one at a time on each connection."""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass, field

from standins.messages import abort, read_body, read_head
from standins.record import Record
from standins.settings import GRADES, Grade

LATEST_ANSWER_S = 0.57
"""How long after its time an answer is not lost: half a second, 20 ms of slack and 50 ms on sockets."""
PATIENCE_S = LATEST_ANSWER_S + 0.13
"""How long after the time of its request a client waits until it closes."""


@dataclass
class Sent:
    """A request that a client has sent, and what came back."""

    id: str
    grade: Grade
    sent_at: float = 0.0
    status: int = 0
    """0 while there is no whole answer."""
    body: bytes = b""
    answered_at: float = 0.0
    resent: bool = False
    """Whether the sidecar closed the resting connection as the request was sent, so that it was sent once more."""
    ending: str = ""
    """How the connection ended, if there was no whole answer."""

    def lateness(self) -> float:
        """Return the seconds from the end of the request's time to its answer."""
        return self.answered_at - self.sent_at - self.grade.time_left_s

    def is_lost(self) -> bool:
        """Return whether the request got no whole answer, or got it later than the rule allows."""
        return not self.status or self.lateness() > LATEST_ANSWER_S

    def is_foreign(self) -> bool:
        """Return whether it was served with what no pledge server made for it."""
        return self.status == 200 and not self.body.startswith(self.id.encode())


def request_bytes(sent: Sent, body: bytes = b"") -> bytes:
    """Return the bytes of a request as the protocol page words them."""
    grade = sent.grade
    lines = [
        f"{grade.method} /{grade.name} HTTP/1.1",
        "Host: service.internal",
        f"X-Correlation-Id: {sent.id}",
        f"X-Service-Class: {grade.name}",
        f"X-Time-Left: {grade.time_left_s:.3f}",
    ]
    if grade.has_key:
        lines.append(f"Idempotency-Key: {uuid.uuid4().hex}")
    if grade.method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_request(grade: Grade) -> Sent:
    """Return a request with a new id."""
    return Sent(uuid.uuid4().hex[:16], grade)


@dataclass
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False


@dataclass
class UsualClients:
    """Sends requests at a steady mean rate, whatever becomes of the earlier ones."""

    record: Record
    address: tuple[str, int]
    rate: float
    rng: random.Random
    sent: list[Sent] = field(default_factory=list)
    _resting: list[_Connection] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Send for so many seconds, then wait for the last answers."""
        end = self.record.now() + seconds
        while self.record.now() < end:
            grade = self.rng.choices(GRADES, [grade.share for grade in GRADES])[0]
            task = asyncio.create_task(self.send(new_request(grade)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.expovariate(self.rate))
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def send(self, sent: Sent) -> None:
        """Send a request and wait for its answer."""
        data = request_bytes(sent, b"x" * 100 if sent.grade.method == "POST" else b"")
        try:
            connection = self._resting.pop() if self._resting else await self._connect()
        except OSError as error:
            self.record.note("unreachable", id=sent.id, reason=type(error).__name__)
            return  # no connection: the sidecar has not taken the request
        self.sent.append(sent)
        while True:
            sent.sent_at = self.record.note("sent", id=sent.id, grade=sent.grade.name)
            ending = await self._exchange(connection, sent, data)
            if not ending:
                return
            abort(connection.writer)
            if ending == "timeout" or sent.resent or not connection.used:
                sent.ending = ending
                self.record.note("no-answer", id=sent.id, ending=ending)
                return
            sent.resent = True
            try:
                connection = await self._connect()
            except OSError:
                self.sent.remove(sent)  # the sidecar is gone: nothing was taken
                return

    async def _connect(self) -> _Connection:
        return _Connection(*await asyncio.open_connection(*self.address))

    async def _exchange(self, connection: _Connection, sent: Sent, data: bytes) -> str:
        """Send a request and read its answer; return how it ended if there was none, else nothing."""
        wait = sent.grade.time_left_s + PATIENCE_S
        try:
            connection.writer.write(data)
            async with asyncio.timeout(wait):
                head = await read_head(connection.reader)
                sent.body = await read_body(connection.reader, head.headers)
        except TimeoutError:
            return "timeout"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return type(error).__name__
        sent.status = int(head.first_line.split()[1])
        sent.answered_at = self.record.note("answered", id=sent.id, status=sent.status)
        connection.used = True
        if head.headers.get("connection") == "close":
            abort(connection.writer)
        else:
            self._resting.append(connection)
        return ""

    def close(self) -> None:
        """Close the resting connections."""
        for connection in self._resting:
            abort(connection.writer)
