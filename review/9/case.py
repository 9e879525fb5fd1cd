"""Case 9: a long answer in chunks is cut off, because its pledge server pauses after the first bytes."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

from standins_2.case import CannotRunError, CaseContext, run_case
from standins_2.client import new_correlation_id, request_head
from standins_2.http_messages import HttpMessage, TruncatedMessageError, read_message
from standins_2.pledge_server import PledgeServer

SERVER_COUNT = 4
REQUEST_COUNT = 8
WORK_S = 0.02
PLEDGE_TIME_LEFT_S = 1.0
FIRST_BYTES = 2_000
ANSWER_BYTES = 200_000
"""The length of the answer; above 64 KiB only its first bytes are timed."""
PIECE_BYTES = 20_000
PAUSE_S = 2.0
"""How long the pledge server pauses after the first bytes of an answer."""
ANSWER_TIMEOUT_S = 10.0
"""How long the client waits for the end of an answer whose first bytes have come."""


def long_body(correlation_id: str) -> bytes:
    """Return the long body that every pledge server makes for a request."""
    line = f"{correlation_id}\n".encode()
    return (line * (ANSWER_BYTES // len(line) + 1))[:ANSWER_BYTES]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class PausingServer:
    """Writes each answer in chunks; with trouble, it pauses after the first of them.

    Attributes:
        cut_off: The correlation ids of the answers whose connection the sidecar closed before their end.
    """

    def __init__(self, context: CaseContext) -> None:
        self._context = context
        self.cut_off: list[str] = []

    async def respond(self, server: PledgeServer, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        """Answer a request with 200 and a long body."""
        correlation_id = request.headers.get("x-correlation-id", "")
        body = long_body(correlation_id)
        await asyncio.sleep(WORK_S)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body[:FIRST_BYTES]))
        self._context.record.write(f"first   {server.id} {FIRST_BYTES} bytes of the answer to id={correlation_id}")
        try:
            await writer.drain()
            if self._context.has_trouble:
                await asyncio.sleep(PAUSE_S)
            for start in range(FIRST_BYTES, len(body), PIECE_BYTES):
                writer.write(_chunk(body[start : start + PIECE_BYTES]))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            self.cut_off.append(correlation_id)
            raise
        self._context.record.write(f"whole   {server.id} the answer to id={correlation_id} is written")


async def play(context: CaseContext) -> None:
    """Send pledges on connections of their own, and check that each long answer comes whole."""
    server = PausingServer(context)
    await context.start_servers(
        [PledgeServer(f"s-{number}", context.record, server.respond) for number in range(SERVER_COUNT)]
    )
    sidecar = context.new_sidecar()
    await sidecar.start_process().wait_until_ready()
    forwarded = await asyncio.gather(*(_request(context, sidecar.address) for _ in range(REQUEST_COUNT)))
    if not any(forwarded):
        raise CannotRunError("no request was forwarded")


async def _request(context: CaseContext, address: tuple[str, int]) -> bool:
    """Send one pledge and check its answer; return whether a pledge server has run it."""
    correlation_id = new_correlation_id()
    reader, writer = await asyncio.open_connection(*address)
    context.record.write(f"send    {correlation_id} POST /pledge-record")
    writer.write(request_head("pledge-record", "POST", correlation_id, PLEDGE_TIME_LEFT_S))
    answer, end = None, "closed without an answer"
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await read_message(reader, is_response=True)
            end = "whole" if answer is not None else end
    except TruncatedMessageError as error:
        end = f"cut off after {len(error.received)} bytes of the body"
    except TimeoutError:
        end = "no end"
    status = answer.status if answer is not None else 0
    context.record.write(f"answer  {correlation_id} {status} {end}")
    with contextlib.suppress(ConnectionError):
        writer.close()
    has_run = any(run_id == correlation_id for server in context.servers for _, run_id in server.runs)
    if has_run and (answer is None or status != 200 or answer.body != long_body(correlation_id)):
        context.add_violation(
            f"the pledge {correlation_id} ran, its answer had begun in time, and its client got {status} {end}"
        )
    return has_run


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
