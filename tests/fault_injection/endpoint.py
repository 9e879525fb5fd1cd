"""Endpoints with seeded faults: each response is planned from the seed, the request and the number of its attempt."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from tests.fault_injection.behaviour import EndpointBehaviour
from tests.fault_injection.clock import NS_PER_MS, NS_PER_S, latest_arrival_ns, now_ns
from tests.fault_injection.identity import BodyIdentity, make_body
from tests.fault_injection.records import Attempt, ResponseKind, RunRecords
from tests.fault_injection.wire import HEAD_END, parse_head, serialize_chunk, serialize_head

FAULTY_SHARE = 0.25
"""The share of attempts that meet one of the enabled faults."""
MIN_LATENCY_S, MEAN_LATENCY_S, MAX_LATENCY_S = 0.002, 0.025, 0.4
SHORT_BODY_BYTES = (120, 3000)
LONG_BODY_BYTES = (66_000, 400_000)
SILENCE_S = 6.0
SECOND_COPY_DELAY_S = 0.002
MAX_SECOND_COPY_DELAY_NS = 5 * NS_PER_MS
"""No second copy later than this: a sidecar waits 8 ms for one, and this process may run late itself."""
ENDLESS_PERIOD_S = 0.05
RECEIVE_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Place(Enum):
    """How much of a response goes out before a fault."""

    BEFORE_HEAD = "before its head"
    IN_HEAD = "in its head"
    IN_BODY = "in its body"
    AFTER = "after it"


class Framing(Enum):
    """How a response's body is delimited."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"


@dataclass(slots=True, frozen=True)
class ResponsePlan:
    """What an endpoint does with one attempt."""

    behaviour: EndpointBehaviour
    latency_s: float
    body_bytes: int
    framing: Framing
    place: Place

    def __str__(self) -> str:
        fault = f"{self.behaviour.value} {self.place.value}, " if self.behaviour is not EndpointBehaviour.SOUND else ""
        return f"{fault}{self.latency_s * 1000:.0f} ms, {self.body_bytes} bytes by {self.framing.value}"


def plan_response(
    seed: int, request_id: str, ordinal: int, time_left_s: float, enabled: tuple[EndpointBehaviour, ...]
) -> ResponsePlan:
    """Return the plan for the ``ordinal``-th attempt of a request, the same for the same seed."""
    random = Random(f"{seed}/{request_id}/{ordinal}")
    latency_s = min(MAX_LATENCY_S, MIN_LATENCY_S + random.expovariate(1 / MEAN_LATENCY_S))
    behaviour = EndpointBehaviour.SOUND
    if enabled and random.random() < FAULTY_SHARE:
        behaviour = random.choice(enabled)
    long_body = behaviour is EndpointBehaviour.LONG_BODY or (
        EndpointBehaviour.LONG_BODY in enabled and random.random() < FAULTY_SHARE
    )
    framing = random.choice(list(Framing)) if long_body else Framing.LENGTH
    body_bytes = random.randint(*(LONG_BODY_BYTES if long_body else SHORT_BODY_BYTES))
    place = random.choice(list(Place))
    if behaviour is EndpointBehaviour.DUPLICATED:
        framing = Framing.LENGTH  # of an unbounded body, a second copy would be a part
    if behaviour is EndpointBehaviour.LATE:
        latency_s = time_left_s + random.uniform(-0.1, 0.5)
    return ResponsePlan(behaviour, max(0.0, latency_s), body_bytes, framing, place)


class EndpointFleet:
    """What all endpoints of a run share."""

    def __init__(self, seed: int, records: RunRecords, enabled: tuple[EndpointBehaviour, ...]) -> None:
        self.seed = seed
        self.records = records
        self.enabled = enabled
        self.attempt_numbers = itertools.count(1)
        self.ordinals: Counter[str] = Counter()
        """By request id: how many attempts of it have come."""


class Endpoint:
    """One endpoint: a listener and its connections."""

    def __init__(self, name: str, fleet: EndpointFleet, zone: str, cell: int) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self._fleet = fleet
        self._listener = _listen(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._connections: dict[asyncio.Task[None], socket.socket] = {}
        self._accept_task: asyncio.Task[None] | None = None
        self._accepts_from_ns = 0

    def start(self) -> None:
        """Begin to accept."""
        self._accept_task = asyncio.create_task(self._accept())

    def delay_accepts(self, duration_s: float) -> None:
        """Accept nothing for that long."""
        self._accepts_from_ns = now_ns() + int(duration_s * NS_PER_S)

    async def stop(self) -> None:
        """Die: reset every connection, refuse new ones."""
        tasks = [*self._connections, *([self._accept_task] if self._accept_task else [])]
        self._listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def restart(self) -> None:
        """Come up again at the same address."""
        self._listener = _listen(self.address)
        self.start()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        listener = self._listener
        while True:
            while (wait_ns := self._accepts_from_ns - now_ns()) > 0:
                await asyncio.sleep(wait_ns / NS_PER_S)
            sock, peer = await loop.sock_accept(listener)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.create_task(_Connection(self._fleet, self.name, sock, peer[1]).serve())
            self._connections[task] = sock
            task.add_done_callback(lambda done: self._connections.pop(done, None))


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(256)
    listener.setblocking(False)
    return listener


class _Connection:
    """One connection of a sidecar to an endpoint."""

    def __init__(self, fleet: EndpointFleet, endpoint: str, sock: socket.socket, peer_port: int) -> None:
        self._fleet = fleet
        self._endpoint = endpoint
        self._sock = sock
        self._peer_port = peer_port
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()

    async def serve(self) -> None:
        """Answer one request after the other; reset the connection where that is cancelled."""
        reset = True
        try:
            while (attempt := await self._read_request()) is not None:
                if not await self._respond(attempt):
                    break
            else:
                reset = False
        except OSError:
            pass  # the sidecar has closed it, or the plan reset it
        except asyncio.CancelledError:
            pass  # the endpoint dies
        finally:
            if reset:
                with contextlib.suppress(OSError):
                    self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._sock.close()

    # ------------------------------------------------------------ requests

    async def _read_request(self) -> Attempt | None:
        """Read one request; ``None`` at the end of the connection."""
        attempt: Attempt | None = None
        while True:
            if self._buffer:
                attempt = attempt or self._begin_attempt()
                if self._consume_request(attempt):
                    attempt.last_byte_ns = attempt.latest_byte_ns
                    return attempt
            data = await self._loop.sock_recv(self._sock, RECEIVE_BYTES)
            if not data:
                return None
            self._buffer += data
            if attempt is not None:
                attempt.latest_byte_ns = latest_arrival_ns(self._sock)

    def _begin_attempt(self) -> Attempt:
        arrived_ns = latest_arrival_ns(self._sock)
        number = next(self._fleet.attempt_numbers)
        attempt = Attempt(number, self._endpoint, "", self._peer_port, arrived_ns, latest_byte_ns=arrived_ns)
        self._fleet.records.attempts.append(attempt)
        return attempt

    def _consume_request(self, attempt: Attempt) -> bool:
        """Take the head, once it is there, and drop the request from the buffer once it is whole."""
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return False
        headers = parse_head(bytes(self._buffer[:end])).headers
        attempt.request_id = headers.get("x-correlation-id", "?")
        attempt.time_left_ns = int(float(headers.get("x-time-left", "-1")) * NS_PER_S)
        whole = end + len(HEAD_END) + int(headers.get("content-length", "0"))
        if len(self._buffer) < whole:
            return False
        del self._buffer[:whole]
        return True

    # ------------------------------------------------------------ responses

    async def _respond(self, attempt: Attempt) -> bool:
        """Do what the plan says; return whether the connection goes on."""
        fleet = self._fleet
        ordinal = fleet.ordinals[attempt.request_id]
        fleet.ordinals[attempt.request_id] += 1
        plan = plan_response(fleet.seed, attempt.request_id, ordinal, attempt.time_left_ns / NS_PER_S, fleet.enabled)
        attempt.plan = str(plan)
        try:
            await self._wait_or_end(plan.latency_s)
            return await self._send_response(attempt, plan)
        finally:
            attempt.ended_ns = now_ns()

    async def _wait_or_end(self, duration_s: float) -> None:
        """Wait, at most until the sidecar closes; raises an ``OSError`` then."""
        try:
            data = await asyncio.wait_for(self._loop.sock_recv(self._sock, RECEIVE_BYTES), duration_s)
        except TimeoutError:
            return
        if not data:
            raise ConnectionResetError("the sidecar closed")
        self._buffer += data  # a second request on a busy connection: it is read as the next one

    async def _send_response(self, attempt: Attempt, plan: ResponsePlan) -> bool:
        match plan.behaviour:
            case EndpointBehaviour.UNPROCESSED:
                attempt.response_kind = ResponseKind.UNPROCESSED
                await self._send(b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
                return True
            case EndpointBehaviour.SERVER_ERROR:
                attempt.response_kind = ResponseKind.COMPLETE
                await self._send(b"HTTP/1.1 500 Fault\r\nContent-Length: 5\r\n\r\nfault")
                return True
            case EndpointBehaviour.ENDLESS:
                await self._send_endless(attempt, plan)
                return False
            case EndpointBehaviour.RESET | EndpointBehaviour.TRUNCATED | EndpointBehaviour.SILENCE:
                await self._send_broken(attempt, plan)
                return False
        response = self._serialize(attempt, plan)
        attempt.response_kind = ResponseKind.COMPLETE
        if plan.behaviour is EndpointBehaviour.DUPLICATED:
            await self._send_twice(response, plan)
        else:
            await self._send(response)
        if plan.framing is Framing.UNTIL_CLOSE:
            self._sock.shutdown(socket.SHUT_WR)
            await self._wait_or_end(SILENCE_S)
            return False
        return True

    async def _send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._sock, data)

    def _body(self, attempt: Attempt, length: int) -> bytes:
        identity = BodyIdentity(attempt.request_id, attempt.attempt_number, self._endpoint)
        return make_body(identity, length)

    def _serialize(self, attempt: Attempt, plan: ResponsePlan) -> bytes:
        body = self._body(attempt, plan.body_bytes)
        match plan.framing:
            case Framing.LENGTH:
                return serialize_head("HTTP/1.1 200 OK", {"Content-Length": str(len(body))}) + body
            case Framing.CHUNKED:
                pieces = (serialize_chunk(body[start : start + 9000]) for start in range(0, len(body), 9000))
                head = serialize_head("HTTP/1.1 200 OK", {"Transfer-Encoding": "chunked"})
                return head + b"".join(pieces) + serialize_chunk(b"")
            case Framing.UNTIL_CLOSE:
                return serialize_head("HTTP/1.1 200 OK", {"Connection": "close"}) + body

    async def _send_twice(self, response: bytes, plan: ResponsePlan) -> None:
        """Send a response twice: in one write, or the second one some milliseconds late."""
        if plan.place in (Place.BEFORE_HEAD, Place.IN_HEAD):
            await self._send(response + response)
            return
        await self._send(response)
        sent_ns = now_ns()
        await asyncio.sleep(SECOND_COPY_DELAY_S)
        if now_ns() - sent_ns < MAX_SECOND_COPY_DELAY_NS:
            await self._send(response)

    async def _send_broken(self, attempt: Attempt, plan: ResponsePlan) -> None:
        """Send a response up to the plan's place, then reset, end or be silent."""
        response = self._serialize(attempt, plan)
        head_bytes = response.find(HEAD_END) + len(HEAD_END)
        length = {
            Place.BEFORE_HEAD: 0,
            Place.IN_HEAD: head_bytes // 2,
            Place.IN_BODY: (head_bytes + len(response)) // 2,
            Place.AFTER: len(response),
        }[plan.place]
        # A reset takes along what the kernel has not delivered; only a reset tells that an unbounded body is not whole.
        may_be_whole = plan.behaviour is not EndpointBehaviour.RESET and plan.framing is not Framing.UNTIL_CLOSE
        attempt.response_kind = (
            ResponseKind.COMPLETE if plan.place is Place.AFTER and may_be_whole else ResponseKind.INCOMPLETE
        )
        await self._send(response[:length])
        match plan.behaviour:
            case EndpointBehaviour.RESET:
                return  # ``serve`` resets it
            case EndpointBehaviour.TRUNCATED if plan.framing is not Framing.UNTIL_CLOSE:
                self._sock.shutdown(socket.SHUT_WR)  # the end would make a body that ends with it look whole
        await self._wait_or_end(SILENCE_S)

    async def _send_endless(self, attempt: Attempt, plan: ResponsePlan) -> None:
        """Send a response that never ends, slowly or fast."""
        attempt.response_kind = ResponseKind.INCOMPLETE
        body = self._body(attempt, LONG_BODY_BYTES[1])
        piece = len(body) // 8 if plan.place in (Place.IN_BODY, Place.AFTER) else 100
        await self._send(serialize_head("HTTP/1.1 200 OK", {"Transfer-Encoding": "chunked"}))
        for start in range(0, len(body) - piece, piece):
            await self._send(serialize_chunk(body[start : start + piece]))
            await self._wait_or_end(ENDLESS_PERIOD_S)
        await self._wait_or_end(SILENCE_S)
