"""Clients of the sidecars: each draws all it does from the seed and its own number."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tests.fault_injection.behaviour import ClientBehaviour
from tests.fault_injection.clock import NS_PER_MS, NS_PER_S, latest_arrival_ns, now_ns
from tests.fault_injection.records import (
    Answer,
    ConnectionEnd,
    EndedConnection,
    RequestClass,
    RunRecords,
    SentRequest,
)
from tests.fault_injection.wire import MalformedResponseError, ReadResponse, ResponseReader, serialize_head

Address = tuple[str, int]

FAULTY_SHARE = 0.6
"""The share of connections that show one of the enabled behaviours."""
REQUESTS_PER_CONNECTION = (1, 12)
PIPELINED_REQUESTS = (2, 6)
MAX_THINK_S = 0.12
TIME_LEFT_S = (1.0, 3.0)
SHORT_TIME_LEFT_S = (0.3, 2.0)
PATIENCE_AFTER_DEADLINE_NS = 4_200 * NS_PER_MS
"""How long a client waits beyond a deadline before it gives up: a sidecar may be stopped for 3 s."""
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 5.0
BODY_BYTES = (0, 4000)
LONG_BODY_BYTES = 60_000
LONG_BODY_SHARE = 0.03
MAX_PIECES = 5
MAX_PIECE_DELAY_S = 0.1
MAX_ABANDON_DELAY_S = 0.3
SLOW_READ_BYTES = 4096
SLOW_READ_DELAY_S = 0.01
SLOW_RECEIVE_BUFFER_BYTES = 8192
RECEIVE_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MALFORMED_REQUESTS = (
    b"GET /campaign-read\r\n\r\n",
    b"\x16\x03\x01\x02\x00\r\n\r\n",
    b"POST /campaign-read HTTP/1.1\r\nContent-Length: many\r\n\r\n",
    b"GET /unknown-class HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: none\r\n\r\n",
    b"GET /campaign-read HTTP/1.1\r\nHost: x\r\n\r\n",
    b"PUT  \n\n",
)


class ClientFleet:
    """What all clients of a run share."""

    def __init__(
        self,
        seed: int,
        records: RunRecords,
        sidecars: list[Address],
        enabled: tuple[ClientBehaviour, ...],
        is_stopping: Callable[[], bool],
    ) -> None:
        self.seed = seed
        self.records = records
        self.sidecars = sidecars
        self.enabled = enabled
        self.is_stopping = is_stopping
        self.connection_numbers = itertools.count(1)


@dataclass(slots=True)
class _Prepared:
    """A request and its bytes."""

    request: SentRequest
    data: bytes


class Client:
    """One client: one connection after the other."""

    def __init__(self, fleet: ClientFleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = Random(f"{fleet.seed}/client/{number}")
        self._request_numbers = itertools.count(1)

    async def run(self) -> None:
        """Send requests until the run stops; every request sent is answered or given up then."""
        while not self._fleet.is_stopping():
            behaviour = ClientBehaviour.PLAIN
            if self._fleet.enabled and self._random.random() < FAULTY_SHARE:
                behaviour = self._random.choice(self._fleet.enabled)
            sidecar = self._random.randrange(len(self._fleet.sidecars))
            try:
                connection = await self._connect(sidecar, behaviour)
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._use(connection, behaviour)
            finally:
                connection.close()
            await asyncio.sleep(self._random.uniform(0, MAX_THINK_S))

    async def _connect(self, sidecar: int, behaviour: ClientBehaviour) -> ClientConnection:
        sock = socket.socket()
        sock.setblocking(False)
        reads_slowly = behaviour is ClientBehaviour.SLOW_READER
        if reads_slowly:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(sock, self._fleet.sidecars[sidecar]), CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            sock.close()
            raise
        number = next(self._fleet.connection_numbers)
        return ClientConnection(self._fleet.records, sock, number, sidecar, reads_slowly)

    async def _use(self, connection: ClientConnection, behaviour: ClientBehaviour) -> None:
        left = self._random.randint(*REQUESTS_PER_CONNECTION)
        while left > 0 and connection.is_open and connection.may_send and not self._fleet.is_stopping():
            batch = 1
            if behaviour in (ClientBehaviour.PIPELINE, ClientBehaviour.MALFORMED_REQUEST):
                batch = self._random.randint(*PIPELINED_REQUESTS)
            elif behaviour is ClientBehaviour.ABANDON and self._random.random() < 0.3:
                batch = self._random.randint(1, 3)
            prepared = [self._prepare(connection, behaviour) for _ in range(batch)]
            left -= batch
            await self._send(connection, behaviour, prepared)
            if behaviour is ClientBehaviour.ABANDON and self._random.random() < 0.4:
                await connection.wait_for_answers(self._random.uniform(0, MAX_ABANDON_DELAY_S))
                connection.abandon(reset=self._random.random() < 0.5)
                return
            if not await connection.wait_for_answers() or behaviour is ClientBehaviour.MALFORMED_REQUEST:
                return
            await asyncio.sleep(self._random.uniform(0, MAX_THINK_S))

    def _prepare(self, connection: ClientConnection, behaviour: ClientBehaviour) -> _Prepared:
        random = self._random
        request_class = random.choice(list(RequestClass))
        short = behaviour is ClientBehaviour.SHORT_DEADLINE or (
            ClientBehaviour.SHORT_DEADLINE in self._fleet.enabled and random.random() < FAULTY_SHARE
        )
        time_left_s = round(random.uniform(*(SHORT_TIME_LEFT_S if short else TIME_LEFT_S)), 3)
        request_id = f"c{self._number}-{next(self._request_numbers)}"
        request = SentRequest(
            request_id,
            request_class,
            connection.sidecar,
            connection.number,
            connection.next_position(),
            int(time_left_s * NS_PER_S),
            reads_slowly=connection.reads_slowly,
        )
        headers = {"Host": "x", "X-Correlation-Id": request_id, "X-Time-Left": f"{time_left_s:.3f}"}
        if request_class is RequestClass.IDEMPOTENCY_KEY:
            headers["Idempotency-Key"] = request_id
        if request_class is RequestClass.IDEMPOTENT:
            return _Prepared(request, serialize_head(f"GET /{request_class.value} HTTP/1.1", headers))
        body_bytes = LONG_BODY_BYTES if random.random() < LONG_BODY_SHARE else random.randint(*BODY_BYTES)
        headers["Content-Length"] = str(body_bytes)
        return _Prepared(request, serialize_head(f"POST /{request_class.value} HTTP/1.1", headers) + b"b" * body_bytes)

    async def _send(self, connection: ClientConnection, behaviour: ClientBehaviour, prepared: list[_Prepared]) -> None:
        match behaviour:
            case ClientBehaviour.PIECES:
                for one in prepared:
                    await connection.send(self._split(one.data), [one.request], self._piece_delays())
            case ClientBehaviour.PIPELINE if self._random.random() < 0.5:
                for one in prepared:
                    await connection.send([one.data], [one.request])
                    await asyncio.sleep(self._random.uniform(0, 0.03))
            case ClientBehaviour.MALFORMED_REQUEST:
                await self._send_with_malformed(connection, prepared)
            case _:
                data = b"".join(one.data for one in prepared)
                await connection.send([data], [one.request for one in prepared])

    async def _send_with_malformed(self, connection: ClientConnection, prepared: list[_Prepared]) -> None:
        """Send a malformed request in one write with the sound ones, before the last of them."""
        *before, last = prepared
        last.request.follows_malformed = True
        data = b"".join(one.data for one in before) + self._random.choice(MALFORMED_REQUESTS) + last.data
        connection.sends_malformed = True
        await connection.send([data], [one.request for one in prepared])

    def _split(self, data: bytes) -> list[bytes]:
        places = sorted(self._random.randrange(1, len(data)) for _ in range(self._random.randint(1, MAX_PIECES - 1)))
        return [data[start:end] for start, end in itertools.pairwise([0, *places, len(data)]) if end > start]

    def _piece_delays(self) -> list[float]:
        return [self._random.uniform(0, MAX_PIECE_DELAY_S) for _ in range(MAX_PIECES)]


class ClientConnection:
    """One connection: requests out, answers in, each recorded when it passed."""

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
        """Whether no answer has said that the connection ends."""

    def next_position(self) -> int:
        """Return the place of the next request on this connection."""
        return next(self._positions)

    async def send(self, pieces: list[bytes], requests: list[SentRequest], delays: list[float] | None = None) -> None:
        """Write these pieces, that hold the requests whole, and record when the last byte went."""
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
        """Write; return false where the connection has broken, whose end the reader sees and records."""
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

    async def wait_for_answers(self, limit_s: float | None = None) -> bool:
        """Wait until every request sent has its answer; false where the connection, patience or the limit is over."""
        limit_ns = None if limit_s is None else now_ns() + int(limit_s * NS_PER_S)
        while self._unanswered and self.is_open:
            deadlines = [request.deadline_ns for request in self._unanswered if request.last_byte_ns is not None]
            patience_ns = max(deadlines, default=now_ns()) + PATIENCE_AFTER_DEADLINE_NS
            remaining_ns = (patience_ns if limit_ns is None else limit_ns) - now_ns()
            if remaining_ns <= 0:
                return False
            self._answered.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._answered.wait(), remaining_ns / NS_PER_S)
        return not self._unanswered

    def abandon(self, reset: bool) -> None:
        """Leave while requests may be unanswered."""
        if not self.is_open:
            return
        waiting = list(self._unanswered)
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()
        disconnected_ns = now_ns()
        for request in waiting:
            request.disconnected_ns = disconnected_ns

    def close(self) -> None:
        """Close the connection, where it is open; an answer that has begun is a cut one then."""
        if self.is_open and (cut := self._reader.end(was_reset=True)) is not None:
            self._take(cut, now_ns())
        self._end(ConnectionEnd.CLOSED_BY_CLIENT)

    def _end(self, end: ConnectionEnd) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self._read_task.cancel()
        self._loop.remove_reader(self._sock)
        if self._is_writing:
            # Closed here, its descriptor would never wake the write again.
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
                    self._take(response, arrived_ns)
                if self.reads_slowly:
                    await asyncio.sleep(SLOW_READ_DELAY_S)
        except OSError:
            end = ConnectionEnd.RESET_BY_SIDECAR
        except MalformedResponseError as error:
            self._take(ReadResponse(0, str(error).encode(), True, True), now_ns())
        if (cut := self._reader.end(end is ConnectionEnd.RESET_BY_SIDECAR)) is not None:
            self._take(cut, now_ns())
        self._end(end)

    def _take(self, response: ReadResponse, arrived_ns: int) -> None:
        if self._belongs_to_malformed(response):
            return
        request = self._unanswered.popleft() if self._unanswered else None
        request_id = None if request is None else request.request_id
        answer = Answer(self.number, request_id, response.status, response.body, response.is_complete, arrived_ns)
        self._records.answers.append(answer)
        self.may_send = self.may_send and not response.closes
        self._answered.set()

    def _belongs_to_malformed(self, response: ReadResponse) -> bool:
        """Return whether this is the 4xx of a malformed request; it may come in the turn of that one alone."""
        if not self.sends_malformed or not 400 <= response.status < 500:
            return False
        return not self._unanswered or self._unanswered[0].follows_malformed
