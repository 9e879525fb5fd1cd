"""Clients of the sidecars; each draws its behaviour from the seed of the run and its own number."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lugtally.units import NS_PER_S
from tests.fault_injection.behaviour import ClientBehaviour
from tests.fault_injection.client_connection import ClientConnection
from tests.fault_injection.records import RequestClass, RunRecords, SentRequest
from tests.fault_injection.wire import serialize_head

Address = tuple[str, int]

FAULTY_SHARE = 0.6
"""The share of connections with one of the enabled faults, and of requests with a short deadline if that is enabled."""
REQUESTS_PER_CONNECTION = (1, 12)
PIPELINED_REQUESTS = (2, 6)
MAX_THINK_TIME_S = 0.12
TIME_LEFT_S = (1.0, 3.0)
SHORT_TIME_LEFT_S = (0.3, 2.0)
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 5.0
BODY_BYTES = (0, 4000)
LONG_BODY_BYTES = 60_000
LONG_BODY_SHARE = 0.03
MAX_PIECES = 5
MAX_PIECE_DELAY_S = 0.1
MAX_ABANDON_DELAY_S = 0.3
ABANDON_SHARE = 0.4
RESET_SHARE = 0.5
SMALL_PIPELINE_SHARE = 0.3
SMALL_PIPELINE_REQUESTS = (1, 3)
SEPARATE_WRITES_SHARE = 0.5
MAX_PIPELINE_GAP_S = 0.03
SLOW_RECEIVE_BUFFER_BYTES = 8192
MALFORMED_REQUESTS = (
    b"GET /campaign-read\r\n\r\n",
    b"\x16\x03\x01\x02\x00\r\n\r\n",
    b"POST /campaign-read HTTP/1.1\r\nContent-Length: many\r\n\r\n",
    b"GET /unknown-class HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: none\r\n\r\n",
    b"GET /campaign-read HTTP/1.1\r\nHost: x\r\n\r\n",
    b"PUT  \n\n",
)


class SharedClientState:
    """The state that all clients of a run share."""

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
class _PreparedRequest:
    """A request that is not yet written, and its bytes."""

    request: SentRequest
    data: bytes


class Client:
    """One client, which uses one connection after the other."""

    def __init__(self, shared: SharedClientState, number: int) -> None:
        self._shared = shared
        self._number = number
        self._random = Random(f"{shared.seed}/client/{number}")
        self._request_numbers = itertools.count(1)

    async def run(self) -> None:
        """Send requests until the run stops, and wait for the answers to those already sent."""
        while not self._shared.is_stopping():
            behaviour = self._draw_behaviour()
            sidecar = self._random.randrange(len(self._shared.sidecars))
            try:
                connection = await self._connect(sidecar, behaviour)
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._send_requests(connection, behaviour)
            finally:
                connection.close()
            await asyncio.sleep(self._random.uniform(0, MAX_THINK_TIME_S))

    def _draw_behaviour(self) -> ClientBehaviour:
        if self._shared.enabled and self._random.random() < FAULTY_SHARE:
            return self._random.choice(self._shared.enabled)
        return ClientBehaviour.NORMAL

    async def _connect(self, sidecar: int, behaviour: ClientBehaviour) -> ClientConnection:
        sock = socket.socket()
        sock.setblocking(False)
        reads_slowly = behaviour is ClientBehaviour.SLOW_READER
        if reads_slowly:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(sock, self._shared.sidecars[sidecar]), CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            sock.close()
            raise
        number = next(self._shared.connection_numbers)
        return ClientConnection(self._shared.records, sock, number, sidecar, reads_slowly)

    async def _send_requests(self, connection: ClientConnection, behaviour: ClientBehaviour) -> None:
        remaining = self._random.randint(*REQUESTS_PER_CONNECTION)
        while remaining > 0 and connection.is_open and connection.may_send and not self._shared.is_stopping():
            count = self._draw_request_count(behaviour)
            prepared = [self._prepare_request(connection, behaviour) for _ in range(count)]
            remaining -= count
            await self._write_requests(connection, behaviour, prepared)
            if behaviour is ClientBehaviour.ABANDON and self._random.random() < ABANDON_SHARE:
                await connection.wait_for_answers(self._random.uniform(0, MAX_ABANDON_DELAY_S))
                connection.abandon(reset=self._random.random() < RESET_SHARE)
                return
            if not await connection.wait_for_answers() or behaviour is ClientBehaviour.MALFORMED_REQUEST:
                return
            await asyncio.sleep(self._random.uniform(0, MAX_THINK_TIME_S))

    def _draw_request_count(self, behaviour: ClientBehaviour) -> int:
        """Return how many requests to send before the next wait for answers."""
        if behaviour in (ClientBehaviour.PIPELINE, ClientBehaviour.MALFORMED_REQUEST):
            return self._random.randint(*PIPELINED_REQUESTS)
        if behaviour is ClientBehaviour.ABANDON and self._random.random() < SMALL_PIPELINE_SHARE:
            return self._random.randint(*SMALL_PIPELINE_REQUESTS)
        return 1

    def _draw_time_left_s(self, behaviour: ClientBehaviour) -> float:
        is_short = behaviour is ClientBehaviour.SHORT_DEADLINE or (
            ClientBehaviour.SHORT_DEADLINE in self._shared.enabled and self._random.random() < FAULTY_SHARE
        )
        return round(self._random.uniform(*(SHORT_TIME_LEFT_S if is_short else TIME_LEFT_S)), 3)

    def _prepare_request(self, connection: ClientConnection, behaviour: ClientBehaviour) -> _PreparedRequest:
        request_class = self._random.choice(list(RequestClass))
        time_left_s = self._draw_time_left_s(behaviour)
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
        return _PreparedRequest(request, self._serialize_request(request, time_left_s))

    def _serialize_request(self, request: SentRequest, time_left_s: float) -> bytes:
        request_id, request_class = request.request_id, request.request_class
        headers = {"Host": "x", "X-Correlation-Id": request_id, "X-Time-Left": f"{time_left_s:.3f}"}
        if request_class is RequestClass.IDEMPOTENCY_KEY:
            headers["Idempotency-Key"] = request_id
        if request_class is RequestClass.IDEMPOTENT:
            return serialize_head(f"GET /{request_class.value} HTTP/1.1", headers)
        is_long = self._random.random() < LONG_BODY_SHARE
        body_bytes = LONG_BODY_BYTES if is_long else self._random.randint(*BODY_BYTES)
        headers["Content-Length"] = str(body_bytes)
        return serialize_head(f"POST /{request_class.value} HTTP/1.1", headers) + b"b" * body_bytes

    async def _write_requests(
        self, connection: ClientConnection, behaviour: ClientBehaviour, prepared: list[_PreparedRequest]
    ) -> None:
        match behaviour:
            case ClientBehaviour.PIECES:
                for item in prepared:
                    await connection.send(self._split(item.data), [item.request], self._piece_delays())
            case ClientBehaviour.PIPELINE if self._random.random() < SEPARATE_WRITES_SHARE:
                for item in prepared:
                    await connection.send([item.data], [item.request])
                    await asyncio.sleep(self._random.uniform(0, MAX_PIPELINE_GAP_S))
            case ClientBehaviour.MALFORMED_REQUEST:
                await self._send_with_malformed(connection, prepared)
            case _:
                data = b"".join(item.data for item in prepared)
                await connection.send([data], [item.request for item in prepared])

    async def _send_with_malformed(self, connection: ClientConnection, prepared: list[_PreparedRequest]) -> None:
        """Send valid requests in one write, with a malformed request before the last of them."""
        *before, last = prepared
        last.request.follows_malformed = True
        data = b"".join(item.data for item in before) + self._random.choice(MALFORMED_REQUESTS) + last.data
        connection.sends_malformed = True
        await connection.send([data], [item.request for item in prepared])

    def _split(self, data: bytes) -> list[bytes]:
        count = self._random.randint(1, MAX_PIECES - 1)
        offsets = sorted(self._random.randrange(1, len(data)) for _ in range(count))
        return [data[start:end] for start, end in itertools.pairwise([0, *offsets, len(data)]) if end > start]

    def _piece_delays(self) -> list[float]:
        return [self._random.uniform(0, MAX_PIECE_DELAY_S) for _ in range(MAX_PIECES)]
