"""The endpoint's side of one connection: it reads requests and sends each response as planned."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections import Counter
from typing import NamedTuple

from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fault_injection.behaviour import EndpointBehaviour
from tests.fault_injection.clock import latest_arrival_ns, now_ns
from tests.fault_injection.identity import BodyIdentity, make_body
from tests.fault_injection.records import Attempt, ResponseKind, RunRecords
from tests.fault_injection.response_plan import LONG_BODY_BYTES, FaultPosition, Framing, ResponsePlan, plan_response
from tests.fault_injection.wire import HEAD_END, parse_head, serialize_chunk, serialize_head
from tests.sockets import reset_on_close

SILENCE_S = 6.0
SLOW_BODY_PARTS = 15
BYTES_BEFORE_PAUSE = {
    FaultPosition.BEFORE_HEAD: 0,
    FaultPosition.IN_HEAD: 1,
    FaultPosition.IN_BODY: 2_000,
    FaultPosition.AFTER: 20_000,
}
"""How many bytes of the body are sent before a pause, by the position in the plan."""
SLOW_BODY_EXCESS_S = 0.4
SECOND_COPY_DELAY_S = 0.002
MAX_SECOND_COPY_DELAY_NS = 5 * NS_PER_MS
"""No second copy is sent later than this.  A sidecar waits 8 ms for one, and this process may itself run late."""
CHUNK_BYTES = 9000
ENDLESS_PERIOD_S = 0.05
ENDLESS_SLOW_CHUNK_BYTES = 100
RECEIVE_BYTES = 64 * 1024


class _DelayedWrite(NamedTuple):
    """A write of some bytes of a response, and the pause after it."""

    data: bytes
    pause_s: float


class SharedEndpointState:
    """The state that all endpoints of a run share."""

    def __init__(self, seed: int, records: RunRecords, enabled: tuple[EndpointBehaviour, ...]) -> None:
        self.seed = seed
        self.records = records
        self.enabled = enabled
        self.attempt_numbers = itertools.count(1)
        self.received_attempts: Counter[str] = Counter()
        """The number of attempts received so far, by request id."""


class EndpointConnection:
    """Serves the requests of one connection until it closes."""

    def __init__(self, shared: SharedEndpointState, endpoint: str, sock: socket.socket, peer_port: int) -> None:
        self._shared = shared
        self._endpoint = endpoint
        self._sock = sock
        self._peer_port = peer_port
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()

    async def serve(self) -> None:
        """Respond to one request after the other; reset the connection after a fault or a cancellation."""
        reset = True
        try:
            while (attempt := await self._read_request()) is not None:
                if not await self._respond(attempt):
                    break
            else:
                reset = False
        except OSError:
            pass  # the sidecar closed the connection, or the plan resets it
        except asyncio.CancelledError:
            pass  # a fault kills the endpoint, or the run ends
        finally:
            if reset:
                with contextlib.suppress(OSError):
                    reset_on_close(self._sock)
            self._sock.close()

    # ------------------------------------------------------------ requests

    async def _read_request(self) -> Attempt | None:
        """Read one request; return ``None`` when the sidecar has closed the connection."""
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
        number = next(self._shared.attempt_numbers)
        attempt = Attempt(number, self._endpoint, "", self._peer_port, arrived_ns, latest_byte_ns=arrived_ns)
        self._shared.records.attempts.append(attempt)
        return attempt

    def _consume_request(self, attempt: Attempt) -> bool:
        """Parse the head, and remove the request from the buffer if it is complete; return whether it is."""
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return False
        headers = parse_head(bytes(self._buffer[:end])).headers
        attempt.request_id = headers.get("x-correlation-id", "?")
        attempt.time_left_ns = int(float(headers.get("x-time-left", "-1")) * NS_PER_S)
        request_bytes = end + len(HEAD_END) + int(headers.get("content-length", "0"))
        if len(self._buffer) < request_bytes:
            return False
        del self._buffer[:request_bytes]
        return True

    # ------------------------------------------------------------ responses

    async def _respond(self, attempt: Attempt) -> bool:
        """Plan the response and send it; return whether the connection stays open."""
        shared = self._shared
        attempt_index = shared.received_attempts[attempt.request_id]
        shared.received_attempts[attempt.request_id] += 1
        plan = plan_response(
            shared.seed, attempt.request_id, attempt_index, attempt.time_left_ns / NS_PER_S, shared.enabled
        )
        attempt.plan = str(plan)
        try:
            await self._wait_unless_closed(plan.latency_s)
            return await self._send_response(attempt, plan)
        finally:
            attempt.ended_ns = now_ns()

    async def _wait_unless_closed(self, duration_s: float) -> None:
        """Wait for the duration, or until the sidecar sends bytes, which are buffered.

        Raises:
            ConnectionResetError: the sidecar closed the connection.
        """
        try:
            data = await asyncio.wait_for(self._loop.sock_recv(self._sock, RECEIVE_BYTES), duration_s)
        except TimeoutError:
            return
        if not data:
            raise ConnectionResetError("the sidecar closed the connection")
        self._buffer += data  # of a further request, which is read after the response to this one

    async def _send_response(self, attempt: Attempt, plan: ResponsePlan) -> bool:
        """Send the planned response; return whether the connection stays open."""
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
                await self._send_truncated(attempt, plan)
                return False
            case EndpointBehaviour.SLOW_BODY | EndpointBehaviour.PAUSING_BODY:
                return await self._send_slowly(attempt, plan)
            case _:
                return await self._send_complete(attempt, plan)

    async def _send_slowly(self, attempt: Attempt, plan: ResponsePlan) -> bool:
        """Send a complete response in parts, the last of them after the deadline; return as ``_send_response``.

        The parts have equal pauses after them, or there are two, of which the first has only the first bytes.
        """
        response = self._serialize(attempt, plan)
        attempt.response_kind = ResponseKind.COMPLETE
        attempt.writes_slowly = True
        attempt.response_started_ns = now_ns()
        attempt.has_length = plan.framing is Framing.LENGTH
        attempt.pauses = plan.behaviour is EndpointBehaviour.PAUSING_BODY
        duration_s = max(0.0, attempt.time_left_ns / NS_PER_S) + SLOW_BODY_EXCESS_S
        try:
            for write in _split(response, plan, duration_s):
                await self._send(write.data)
                await self._wait_unless_closed(write.pause_s)
        except OSError:
            attempt.closed_early_ns = now_ns()
            raise
        if plan.framing is Framing.UNTIL_CLOSE:
            self._sock.shutdown(socket.SHUT_WR)
            await self._wait_unless_closed(SILENCE_S)
            return False
        return True

    async def _send_complete(self, attempt: Attempt, plan: ResponsePlan) -> bool:
        """Send a complete response, twice for ``DUPLICATED``; return whether the connection stays open."""
        response = self._serialize(attempt, plan)
        attempt.response_kind = ResponseKind.COMPLETE
        if plan.behaviour is EndpointBehaviour.DUPLICATED:
            await self._send_twice(response, plan)
        else:
            await self._send(response)
        if plan.framing is Framing.UNTIL_CLOSE:
            self._sock.shutdown(socket.SHUT_WR)
            await self._wait_unless_closed(SILENCE_S)
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
                starts = range(0, len(body), CHUNK_BYTES)
                chunks = (serialize_chunk(body[start : start + CHUNK_BYTES]) for start in starts)
                head = serialize_head("HTTP/1.1 200 OK", {"Transfer-Encoding": "chunked"})
                return head + b"".join(chunks) + serialize_chunk(b"")
            case Framing.UNTIL_CLOSE:
                return serialize_head("HTTP/1.1 200 OK", {"Connection": "close"}) + body

    async def _send_twice(self, response: bytes, plan: ResponsePlan) -> None:
        """Send a response twice: both copies in one write, or the second some milliseconds after the first."""
        if plan.fault_position in (FaultPosition.BEFORE_HEAD, FaultPosition.IN_HEAD):
            await self._send(response + response)
            return
        await self._send(response)
        sent_ns = now_ns()
        await asyncio.sleep(SECOND_COPY_DELAY_S)
        if now_ns() - sent_ns < MAX_SECOND_COPY_DELAY_NS:
            await self._send(response)

    async def _send_truncated(self, attempt: Attempt, plan: ResponsePlan) -> None:
        """Send a response up to the planned position, then reset, shut down or send nothing more."""
        response = self._serialize(attempt, plan)
        head_bytes = response.find(HEAD_END) + len(HEAD_END)
        length = {
            FaultPosition.BEFORE_HEAD: 0,
            FaultPosition.IN_HEAD: head_bytes // 2,
            FaultPosition.IN_BODY: (head_bytes + len(response)) // 2,
            FaultPosition.AFTER: len(response),
        }[plan.fault_position]
        # A reset discards undelivered bytes, and a body framed by the close is complete only after an orderly close.
        may_be_complete = plan.behaviour is not EndpointBehaviour.RESET and plan.framing is not Framing.UNTIL_CLOSE
        attempt.response_kind = (
            ResponseKind.COMPLETE
            if plan.fault_position is FaultPosition.AFTER and may_be_complete
            else ResponseKind.INCOMPLETE
        )
        await self._send(response[:length])
        match plan.behaviour:
            case EndpointBehaviour.RESET:
                return  # ``serve`` resets the connection
            case EndpointBehaviour.TRUNCATED if plan.framing is not Framing.UNTIL_CLOSE:
                # Not for a body that ends with the connection: the shutdown would complete it.
                self._sock.shutdown(socket.SHUT_WR)
        await self._wait_unless_closed(SILENCE_S)

    async def _send_endless(self, attempt: Attempt, plan: ResponsePlan) -> None:
        """Send a response without an end, in large or small chunks depending on the planned position."""
        attempt.response_kind = ResponseKind.INCOMPLETE
        body = self._body(attempt, LONG_BODY_BYTES[1])
        is_fast = plan.fault_position in (FaultPosition.IN_BODY, FaultPosition.AFTER)
        chunk_bytes = len(body) // 8 if is_fast else ENDLESS_SLOW_CHUNK_BYTES
        await self._send(serialize_head("HTTP/1.1 200 OK", {"Transfer-Encoding": "chunked"}))
        for start in range(0, len(body) - chunk_bytes, chunk_bytes):
            await self._send(serialize_chunk(body[start : start + chunk_bytes]))
            await self._wait_unless_closed(ENDLESS_PERIOD_S)
        await self._wait_unless_closed(SILENCE_S)


def _split(response: bytes, plan: ResponsePlan, duration_s: float) -> list[_DelayedWrite]:
    """Return the writes by which a slow response is sent within a duration."""
    if plan.behaviour is EndpointBehaviour.PAUSING_BODY:
        first_bytes = response.find(HEAD_END) + len(HEAD_END) + BYTES_BEFORE_PAUSE[plan.fault_position]
        return [_DelayedWrite(response[:first_bytes], duration_s), _DelayedWrite(response[first_bytes:], 0.0)]
    piece_bytes = -(-len(response) // SLOW_BODY_PARTS)
    pause_s = duration_s / SLOW_BODY_PARTS
    starts = range(0, len(response), piece_bytes)
    return [_DelayedWrite(response[start : start + piece_bytes], pause_s) for start in starts]
