"""Pledge servers with long answers, and clients that ask for them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from standins.client import Sent, new_request, request_bytes
from standins.messages import abort, read_head
from standins.pledge_server import Call, PledgeServer
from standins.record import Record
from standins.settings import BY_NAME

GRADE = BY_NAME["receipt-issue"]
PATH = b"/receipt-issue/yearly"
WORK_S = 0.03


class LongAnswerServer(PledgeServer):
    """Answers requests for ``PATH`` with a long body, which it writes in pieces; all others as usual.

    Attributes:
        size: The length of a long answer.
        first_piece: How much of it is written at once.
        piece: How much is written then, after each pause.
        pause_s: The pause between two pieces.
    """

    size = 900_000
    first_piece = 128 * 1024
    piece = 96 * 1024
    pause_s = 0.15

    async def work(self, call: Call) -> None:
        """Do the work of a request, and write its answer."""
        if PATH.decode() not in call.head.first_line:
            await super().work(call)
            return
        await asyncio.sleep(WORK_S)
        writer = call.writer
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size)
        body = memoryview(call.id.encode().ljust(self.size, b"."))
        position = self.first_piece
        writer.write(bytes(body[:position]))
        while position < self.size:
            await writer.drain()
            await asyncio.sleep(self.pause_s)
            writer.write(bytes(body[position : position + self.piece]))
            position += self.piece
        self.record.note("run", server=self.name, id=call.id, grade=call.grade)


def long_request() -> tuple[Sent, bytes]:
    """Return a request for a long answer, and its bytes."""
    sent = new_request(GRADE)
    return sent, request_bytes(sent, b"x" * 100).replace(b"/receipt-issue", PATH, 1)


@dataclass
class Reading:
    """What a client has read of a long answer."""

    sent: Sent
    length: int = 0
    read: int = 0
    ending: str = "no answer"

    def is_whole(self) -> bool:
        """Return whether the whole answer came."""
        return self.ending == "whole"


async def read_answer(record: Record, reader: asyncio.StreamReader, reading: Reading, rate: float = 0.0) -> None:
    """Read one answer; at most ``rate`` bytes a second if it is not 0."""
    try:
        head = await read_head(reader)
        reading.sent.status = int(head.first_line.split()[1])
        reading.length = int(head.headers.get("content-length", "0"))
        started = record.now()
        while reading.read < reading.length:
            data = await reader.read(min(64 * 1024, reading.length - reading.read))
            if not data:
                raise ConnectionResetError
            reading.read += len(data)
            if rate:
                await asyncio.sleep(max(0.0, reading.read / rate - (record.now() - started)))
        reading.ending = "whole"
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        reading.ending = f"cut ({type(error).__name__})"
    record.note("answer", id=reading.sent.id, status=reading.sent.status, read=reading.read, ending=reading.ending)


async def ask(
    record: Record, address: tuple[str, int], *, commands: int, at_once: bool, patience_s: float
) -> list[Reading]:
    """Send some requests for long answers on one connection, all at once or each after the answer to the one before.

    The client leaves after ``patience_s``.
    """
    readings: list[Reading] = []
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(*address)
            requests = [long_request() for _ in range(commands)]
            readings = [Reading(sent) for sent, _ in requests]
            pieces = [b"".join(data for _, data in requests)] if at_once else [data for _, data in requests]
            for number, reading in enumerate(readings):
                if number < len(pieces):
                    writer.write(pieces[number])
                    reading.sent.sent_at = record.note("sent", id=reading.sent.id, commands=commands // len(pieces))
                await read_answer(record, reader, reading)
                if not reading.is_whole():
                    break
    except (OSError, TimeoutError) as error:
        record.note("client-left", reason=type(error).__name__)
    if writer is not None:
        abort(writer)
    return readings
