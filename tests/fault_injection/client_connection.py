"""The client's side of one connection: it writes requests, reads answers and records their times."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections import deque

from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fault_injection.clock import latest_arrival_ns, now_ns
from tests.fault_injection.records import (
    Answer,
    ConnectionEnd,
    EndedConnection,
    RunRecords,
    SentRequest,
)
from tests.fault_injection.wire import MalformedResponseError, ParsedResponse, ResponseReader
from tests.sockets import reset_on_close

MAX_WAIT_AFTER_DEADLINE_NS = 4_200 * NS_PER_MS
"""The time that a client waits for an answer after the deadline, because a sidecar may be stopped for 3 s."""
SLOW_READ_BYTES = 4096
SLOW_READ_DELAY_S = 0.01
RECEIVE_BYTES = 64 * 1024


class ClientConnection:
    """One connection of a client, which records its requests, its answers and its end."""

    def __init__(self, records: RunRecords, sock: socket.socket, number: int, sidecar: int, reads_slowly: bool) -> None:
        self._records = records
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._reader = ResponseReader()
        self._unanswered: deque[SentRequest] = deque()
        self._positions = itertools.count()
        self._write_numbers = itertools.count()
        self._answered = asyncio.Event()
        self._is_writing = False
        self._read_task = self._loop.create_task(self._read())
        self.number = number
        self.sidecar = sidecar
        self.reads_slowly = reads_slowly
        self.sends_malformed = False
        self.is_open = True
        self.may_send = True
        """Whether a further request may be sent: no answer so far had ``Connection: close``."""

    def next_position(self) -> int:
        """Return the index of the next request on this connection."""
        return next(self._positions)

    async def send(self, pieces: list[bytes], requests: list[SentRequest], delays: list[float] | None = None) -> None:
        """Write the pieces, which concatenated are the requests, and record when the last byte was written."""
        for request in requests:
            self._records.requests[request.request_id] = request
            self._unanswered.append(request)
        for index, piece in enumerate(pieces):
            if index and delays is not None:
                await asyncio.sleep(delays[index % len(delays)])
            if not self.is_open:
                return
            write_number = next(self._write_numbers)
            if not await self._write(piece):
                return
        written_ns = now_ns()
        for request in requests:
            request.last_byte_ns, request.write_number = written_ns, write_number

    async def _write(self, data: bytes) -> bool:
        """Write; return whether that succeeded.  The read task records the end of a broken connection."""
        self._is_writing = True
        try:
            await self._loop.sock_sendall(self._sock, data)
        except OSError:
            return False
        finally:
            self._is_writing = False
            if not self.is_open:
                self._sock.close()
        return True

    async def wait_for_answers(self, timeout_s: float | None = None) -> bool:
        """Wait for the answers to all requests; return whether all arrived.

        The wait ends when the connection ends and after ``timeout_s``; without a timeout it ends
        ``MAX_WAIT_AFTER_DEADLINE_NS`` after the latest deadline.
        """
        timeout_end_ns = None if timeout_s is None else now_ns() + int(timeout_s * NS_PER_S)
        while self._unanswered and self.is_open:
            deadlines = [request.deadline_ns for request in self._unanswered if request.last_byte_ns is not None]
            latest_wait_end_ns = max(deadlines, default=now_ns()) + MAX_WAIT_AFTER_DEADLINE_NS
            remaining_ns = (latest_wait_end_ns if timeout_end_ns is None else timeout_end_ns) - now_ns()
            if remaining_ns <= 0:
                return False
            self._answered.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._answered.wait(), remaining_ns / NS_PER_S)
        return not self._unanswered

    def abandon(self, reset: bool) -> None:
        """Disconnect, even if requests are unanswered, and record the time for each of them."""
        if not self.is_open:
            return
        unanswered = list(self._unanswered)
        if reset:
            reset_on_close(self._sock)
        self.close()
        disconnected_ns = now_ns()
        for request in unanswered:
            request.disconnected_ns = disconnected_ns

    def close(self) -> None:
        """Close the connection if it is open; an answer that is partly read is recorded as truncated."""
        if self.is_open and (truncated := self._reader.end(was_reset=True)) is not None:
            self._record_answer(truncated, now_ns())
        self._end(ConnectionEnd.CLOSED_BY_CLIENT)

    def _end(self, end: ConnectionEnd) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self._read_task.cancel()
        self._loop.remove_reader(self._sock)
        if self._is_writing:
            # If the descriptor were closed now, the pending write would never be resumed.
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        else:
            self._sock.close()
        self._records.ended_connections[self.number] = EndedConnection(self.number, now_ns(), end)
        self._answered.set()

    # ------------------------------------------------------------ reading

    async def _read(self) -> None:
        read_bytes = SLOW_READ_BYTES if self.reads_slowly else RECEIVE_BYTES
        end = ConnectionEnd.CLOSED_BY_SIDECAR
        try:
            while data := await self._loop.sock_recv(self._sock, read_bytes):
                arrived_ns = latest_arrival_ns(self._sock)
                for response in self._reader.feed(data):
                    self._record_answer(response, arrived_ns)
                if self.reads_slowly:
                    await asyncio.sleep(SLOW_READ_DELAY_S)
        except OSError:
            end = ConnectionEnd.RESET_BY_SIDECAR
        except MalformedResponseError as error:
            self._record_answer(ParsedResponse(0, str(error).encode(), True, True), now_ns())
        if (truncated := self._reader.end(end is ConnectionEnd.RESET_BY_SIDECAR)) is not None:
            self._record_answer(truncated, now_ns())
        self._end(end)

    def _record_answer(self, response: ParsedResponse, arrived_ns: int) -> None:
        if self._answers_malformed_request(response):
            return
        request = self._unanswered.popleft() if self._unanswered else None
        request_id = None if request is None else request.request_id
        answer = Answer(self.number, request_id, response.status, response.body, response.is_complete, arrived_ns)
        self._records.answers.append(answer)
        self.may_send = self.may_send and not response.closes
        self._answered.set()

    def _answers_malformed_request(self, response: ParsedResponse) -> bool:
        """Return whether this is the 4xx answer to a malformed request, after answers to all earlier requests."""
        if not self.sends_malformed or not 400 <= response.status < 500:
            return False
        return not self._unanswered or self._unanswered[0].follows_malformed
