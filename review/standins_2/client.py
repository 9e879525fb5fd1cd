"""A stand-in client connection of the application: one request at a time, as the protocol page has it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import uuid
from dataclasses import dataclass

from standins_2.http_messages import HttpMessage, TruncatedMessageError, read_message
from standins_2.record import Record

ANSWER_SLACK_S = 0.5 + 0.05
"""How long after its time a request may still get its final answer: half a second, and 50 ms as for each limit."""
CONNECT_TIMEOUT_S = 5.0
NO_ANSWER = "no answer, and no close, in its time and half a second"
"""The end of an exchange whose request is lost."""
_numbers = itertools.count(1)


def new_correlation_id() -> str:
    """Return a correlation id that no other request has."""
    return f"{next(_numbers):06x}{uuid.uuid4().hex[:10]}"


def request_head(
    service_class: str, method: str, correlation_id: str, time_left_s: float, body_bytes: int = 0
) -> bytes:
    """Return the head of a request, which is the whole request if it has no body."""
    lines = [
        f"{method} /{service_class} HTTP/1.1",
        "Host: service.internal",
        f"X-Correlation-Id: {correlation_id}",
        f"X-Service-Class: {service_class}",
        f"X-Time-Left: {time_left_s:.3f}",
    ]
    if service_class == "pledge-record":
        lines.append(f"Idempotency-Key: {uuid.uuid4().hex}")
    if method == "POST":
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@dataclass(slots=True)
class Exchange:
    """One request and what came back.

    Attributes:
        status: The status of the final answer; 0 if there was none.
        body: The body of the answer, or what came of it.
        end: How the exchange ended.
    """

    correlation_id: str
    status: int
    body: bytes
    end: str


class ClientConnection:
    """One connection to the sidecar, which is opened anew when the sidecar has closed it."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self._address = address
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, service_class: str, method: str, time_left_s: float, body: bytes = b"") -> Exchange:
        """Send one request and return its end; a connection that was closed unread is opened anew, once."""
        correlation_id = new_correlation_id()
        request = request_head(service_class, method, correlation_id, time_left_s, len(body)) + body
        exchange = None
        for _ in range(2):
            is_reused = self._writer is not None
            exchange = await self._try(request, correlation_id, time_left_s)
            if exchange.end != "closed without an answer" or not is_reused:
                break
        assert exchange is not None
        self._record.write(f"answer  {correlation_id} {service_class} {exchange.status} {exchange.end}")
        return exchange

    async def _try(self, request: bytes, correlation_id: str, time_left_s: float) -> Exchange:
        answer = None
        try:
            reader, writer = await asyncio.wait_for(self._connect(), CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return Exchange(correlation_id, 0, b"", "not connected")
        try:
            async with asyncio.timeout(time_left_s + ANSWER_SLACK_S):
                self._record.write(f"send    {correlation_id} {request.splitlines()[0].decode()}")
                writer.write(request)
                await writer.drain()
                answer = await read_message(reader, is_response=True)
        except TimeoutError:
            self.close()
            return Exchange(correlation_id, 0, b"", NO_ANSWER)
        except TruncatedMessageError as error:
            self.close()
            return Exchange(correlation_id, 0, error.received, str(error))
        except ConnectionError:
            pass  # as for a close without an answer
        if answer is None:
            self.close()
            return Exchange(correlation_id, 0, b"", "closed without an answer")
        return self._finish(answer, correlation_id)

    def _finish(self, answer: HttpMessage, correlation_id: str) -> Exchange:
        if answer.closes_connection:
            self.close()
        return Exchange(correlation_id, answer.status, answer.body, "whole")

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is None or self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._address)
        return self._reader, self._writer

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._writer is not None:
            with contextlib.suppress(ConnectionError):
                self._writer.close()
        self._reader = self._writer = None
