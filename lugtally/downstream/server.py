"""Front sockets: the application's requests, and the one final answer that each of them gets."""

from __future__ import annotations

import socket
import struct

from loguru import logger

from lugtally import balancing
from lugtally.address import Address
from lugtally.dispatch.attempt_outcome import AttemptOutcome
from lugtally.dispatch.decision import Rejected, StartAttempt
from lugtally.dispatch.dispatcher import Dispatcher
from lugtally.dispatch.pending_request import UNKNOWN_TENANT, PendingRequest
from lugtally.eventloop import PEER_CLOSED, READABLE, WRITABLE, Event, EventLoop, Task, WakeReason
from lugtally.http1 import (
    METHODS,
    ForwardedRequest,
    Message,
    MessageParser,
    ProtocolError,
    serialize_response,
    serialize_streamed_head,
)
from lugtally.units import NS_PER_MS, NS_PER_S
from lugtally.upstream.pool import ResponseSink, UpstreamPool

HEALTH = "/_health"
CHUNK = 16 * 1024  # small, as each front socket may hold that much of what it has not parsed
BACKLOG = 1024
# A front socket without a request.  Clients may hold only so many, and some ask once and keep theirs for
# good: what rests for longer keeps out requests that have come.
IDLE_NS = 2_050 * NS_PER_MS
PARTIAL_NS = 2_500 * NS_PER_MS  # from a request's first byte, or from connecting, until it is whole
STALL_NS = 5_000 * NS_PER_MS  # an answer that the client does not take
LINGER_NS = 1_000 * NS_PER_MS  # of silence, and in all, of a client that was told of its fault and sends on
LINGER_MOST_NS = 2_500 * NS_PER_MS
CLOSE_NS = 300 * NS_PER_MS  # both, where the answer alone ends the connection, or the fault took long to see
CLOSING_NS = 500 * NS_PER_MS  # half a request at the end of a planned restart
ACCEPT_MOST = 16  # in one turn of the hub: hundreds at once must not hold up requests in progress
ACCEPT_AFTER_TERM_NS = 500 * NS_PER_MS  # new connections keep coming that long at a planned restart
ROOM_NS = 100 * NS_PER_MS  # how often another resting front socket gives way while there is no room
NO_DESCRIPTOR_PAUSE_NS = 20 * NS_PER_MS
SWEEP_NS = 100 * NS_PER_MS  # the last connections of a planned restart: how long to empty the backlog
FRESH_NS = 100 * NS_PER_MS  # and how long their first bytes may be on the way
RESET = struct.pack("ii", 1, 0)  # as SO_LINGER: the close resets the connection
MOST_LEFT_S = 3600.0
MOST_HEALTH = 200  # health calls a second that are answered at once, of all front sockets together
HEALTH_PAUSE_NS = 50 * NS_PER_MS  # each further one waits that long: a tight loop of them must not eat the core

# Of a destination's answer, what concerns the connection to it alone.
_OWN = frozenset(
    {
        "connection",
        "keep-alive",
        "content-length",
        "transfer-encoding",
        "trailer",
        "upgrade",
        "proxy-connection",
        "x-backend-load",
        "x-unprocessed",
    }
)

Answer = tuple[int, bytes, list[tuple[str, str]]]


def _complaint(error: ProtocolError) -> Answer:
    return error.status, f"{error}\n".encode(), [("Content-Type", "text/plain")]


def _busy(verdict: Rejected) -> Answer:
    wait = verdict.retry_after_ns / NS_PER_S
    return 503, b"busy\n", [("Retry-After", f"{wait:.3f}")] if wait else []


class DownstreamConnection:
    """One connection of the application."""

    __slots__ = ("sock", "fd", "parser", "signal", "since", "asked", "resting", "unwanted", "cut")

    def __init__(self, sock: socket.socket, loop: EventLoop) -> None:
        self.sock = sock
        self.fd = sock.fileno()
        self.parser = MessageParser(responses=False)
        self.signal = Event(loop)
        self.since = loop.now()  # when it came to rest, or its present request began
        self.asked = False  # a whole request has come on it
        self.resting = False  # nothing of a request has come
        self.unwanted = False  # it is to be closed unless a request has come
        self.cut = False  # its answer has begun and cannot be finished: the end must not look like one


class Exchange:
    """One request and its attempts."""

    __slots__ = ("loop", "request", "forward", "tasks", "answer", "gone", "connection", "streamed")

    def __init__(
        self,
        loop: EventLoop,
        forward: ForwardedRequest,
        cls: int,
        deadline: int,
        is_retry: bool,
        tenant: int,
        connection: DownstreamConnection,
    ) -> None:
        self.loop = loop
        self.forward = forward
        self.tasks: dict[int, Task] = {}
        self.answer: Message | None = None  # of the step that was served first
        self.gone = False
        self.connection = connection
        self.streamed = -1  # the step that has begun to pass its answer on: no other answer may follow
        self.request = PendingRequest(loop, cls, deadline, is_retry, self.cancel, tenant)

    def cancel(self, number: int) -> None:
        """Call off an attempt; it reports its own end."""
        if (task := self.tasks.get(number)) is not None:
            self.loop.interrupt(task)

    def release(self) -> None:
        """The last verdict has come, and all steps are called off: let go of what would hold itself in a ring.

        A ring waits for the collector: 13 objects a request, and the pauses to find them, grow with the rate.
        """
        self.tasks.clear()
        self.request.cancel_attempt = _nothing


def _nothing(_: int) -> None:
    """Calls off a step of a request that is over: there is none."""


class _Passing:
    """A front socket as the sink of a streamed answer."""

    __slots__ = ("_connection", "_socket", "_sound")

    def __init__(self, connection: DownstreamServer, socket: DownstreamConnection) -> None:
        self._connection, self._socket, self._sound = connection, socket, True

    def send(self, data: bytes | memoryview) -> bool:
        self._sound = self._sound and self._connection._write(self._socket, data)
        return self._sound


class DownstreamServer:
    """All front sockets of this sidecar."""

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        upstream: UpstreamPool,
        classes: tuple[balancing.RequestClass, ...],
        most: int,
        tenants: tuple[balancing.Tenant, ...] = (),
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._classes = {cls.name: (at, cls) for at, cls in enumerate(classes)}
        self._tenants = {tenant.name: at for at, tenant in enumerate(tenants)}
        self._most = most
        self._open: set[DownstreamConnection] = set()
        self._ids: set[str] = set()  # of the requests in progress
        self._listener: socket.socket | None = None
        self._accepting: Task | None = None
        self._inherited = False  # the platform holds the listener, and a successor will take its backlog
        self._room = Event(loop)  # a front socket has been closed
        self._draining = False  # every answer from now on closes its connection
        self._closing = False  # front sockets without a request are closed
        self._closed_at = 0  # since when
        self._health_since = self._health_calls = 0
        self.ready = False

    def listen(self, address: Address) -> None:
        """Accept front sockets at this address and no other."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._accepting = self._loop.spawn(self._accept, self._listener)

    def adopt(self, fd: int) -> None:
        """Accept front sockets on a listening socket that the platform passed; it is never bound here.

        A :class:`ValueError` says in one line why that descriptor cannot be used.
        """
        try:
            listener = socket.socket(fileno=fd)
        except OSError as error:
            raise ValueError(f"PROXY_SOCKET_FD: {fd}: {error.strerror}") from None
        try:
            listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            kind = listener.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
        except OSError as error:
            listener.detach()
            raise ValueError(f"PROXY_SOCKET_FD: {fd}: {error.strerror}") from None
        if listener.family not in (socket.AF_INET, socket.AF_INET6) or kind != socket.SOCK_STREAM or not listening:
            listener.detach()
            raise ValueError(f"PROXY_SOCKET_FD: {fd} is no listening TCP socket")
        listener.setblocking(False)
        self._listener, self._inherited = listener, True
        self._accepting = self._loop.spawn(self._accept, listener)

    def drain(self) -> None:
        """Planned restart: go on accepting for a while, answer all that is taken, close, stop the hub."""
        if not self._draining:
            self._draining = True
            logger.info("told to stop: draining", event="sidecar.draining")
            self._loop.spawn(self._drain)

    @property
    def draining(self) -> bool:
        """Whether a planned restart has begun."""
        return self._draining

    @property
    def open(self) -> int:
        """Front sockets that are open."""
        return len(self._open)

    # ------------------------------------------------------------ connections

    def _accept(self, listener: socket.socket) -> None:
        why = WakeReason.READY
        while why is not WakeReason.INTERRUPTED:
            if len(self._open) >= self._most:
                self._make_room()
                why = self._room.wait(self._loop.now() + ROOM_NS)  # the others wait in the backlog
            elif (why := self._loop.wait(listener.fileno(), READABLE)) is WakeReason.READY:
                self._accept_some(listener, self._most, ACCEPT_MOST)

    def _accept_some(self, listener: socket.socket, most: int, turn: int) -> None:
        while listener.fileno() >= 0 and len(self._open) < most and turn > 0:
            turn -= 1
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue  # that client has gone again
            except OSError as error:
                # Most likely no descriptor is free.  The backlog stays readable, so without a pause this
                # would spin; and it must not raise, or nothing would be accepted any more.
                logger.warning("cannot accept: {reason}", event="downstream.accept_failed", reason=error.strerror)
                self._loop.sleep(NO_DESCRIPTOR_PAUSE_NS)
                return
            sock.setblocking(False)
            connection = DownstreamConnection(sock, self._loop)
            self._open.add(connection)
            self._loop.spawn(self._serve, connection)

    def _make_room(self) -> None:
        """Close the front socket that has rested longest: resting ones must not keep new ones out."""
        resting = [f for f in self._open if f.resting and not f.unwanted]
        if resting:
            connection = min(resting, key=lambda f: f.since)
            connection.unwanted = True
            connection.signal.set()

    def _serve(self, connection: DownstreamConnection) -> None:
        try:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (message := self._read(connection)) is not None:
                try:
                    answer = self._answer(connection, message)
                except Exception:
                    # A fault of ours must not lose a request that has been taken.
                    logger.exception("answering a request failed", event="downstream.request_failed")
                    answer = 500, b"internal error\n", []
                if answer is None:
                    return
                # A request at fault ends its connection: one may bring hundreds, or repeat itself at once.
                at_fault = 400 <= answer[0] < 500
                # Where clients hold many connections, some of which will never ask again, none is worth
                # keeping: a request that comes could not be sent for want of one.
                crowded = len(self._open) > self._most // 2
                close = self._draining or not message.keep_alive or at_fault or crowded
                data = serialize_response(*answer, close=close)
                answer = None  # a slow client takes long: its answer is then held once, not twice
                if not self._write(connection, data):
                    return
                if close:
                    self._linger(connection, at_fault or not connection.parser.is_idle)
                    return
        except ProtocolError as error:
            if self._write(connection, serialize_response(*_complaint(error), close=True)):
                self._linger(connection, error.status != 408)
        except OSError as error:
            logger.debug("a front socket broke: {reason}", event="downstream.connection_failed", reason=str(error))
        finally:
            self._loop.unregister(connection.fd)
            if connection.cut:
                # A body may end where its connection does: only a reset says that this one is not whole.
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.sock.close()
            self._open.discard(connection)
            self._room.set()

    def _read(self, connection: DownstreamConnection) -> Message | None:
        """The next request; none where the connection is over."""
        if not connection.parser.is_idle:
            self._loop.sleep(0)  # one that came together with the last lets others go first
        message = connection.parser.feed(b"")
        told = False
        if connection.asked:
            connection.since = self._loop.now()
        connection.resting = connection.parser.is_idle
        calm = connection.resting and connection.asked
        while message is None:
            pending = connection.parser.pending_head
            if pending is not None and pending.expects_continue and not told:
                told = True
                self._write(connection, b"HTTP/1.1 100 Continue\r\n\r\n")
            # Counted from the request's first byte: a trickle of bytes must not hold the socket for good.
            if self._closing:
                span = FRESH_NS if connection.resting else CLOSING_NS
            else:
                span = IDLE_NS if connection.resting else PARTIAL_NS
            try:
                if calm and not connection.unwanted:
                    raise BlockingIOError  # just answered: most likely nothing is there yet, so wait first
                data = connection.sock.recv(CHUNK)
            except BlockingIOError:
                calm = False
                if connection.resting and connection.unwanted:
                    return None
                self._loop.register(connection.fd, READABLE, lambda _: connection.signal.set())
                why = connection.signal.wait(max(connection.since, self._closed_at) + span)
                self._loop.unregister(connection.fd)
                if why is not WakeReason.TIMEOUT:
                    continue
                if connection.resting:
                    connection.unwanted = True  # a request may have come since the poll: look once more
                    continue
                raise ProtocolError(408, "the request did not become whole in time") from None
            if not data:
                return None
            if connection.resting:
                connection.since, connection.resting = self._loop.now() if connection.asked else connection.since, False
            elif self._loop.now() > connection.since + PARTIAL_NS:
                raise ProtocolError(408, "the request did not become whole in time")
            message = connection.parser.feed(data)
        connection.asked, connection.resting = True, False
        connection.unwanted = False  # it was to be closed as resting, and a request has come
        return message

    def _write(self, connection: DownstreamConnection, data: bytes | memoryview) -> bool:
        """Write it all; false where the client has gone or does not take it."""
        view = memoryview(data)
        try:
            while view:
                try:
                    view = view[connection.sock.send(view) :]
                except BlockingIOError:
                    until = self._loop.now() + STALL_NS
                    if self._loop.wait(connection.fd, WRITABLE, until) is not WakeReason.READY:
                        return False
        except OSError:
            return False  # a client that closes mid-answer costs its own connection
        return True

    def _linger(self, connection: DownstreamConnection, sends_on: bool) -> None:
        """Let the client read the answer: closing over bytes that are unread, or still come, resets the connection.

        A reset takes along what the client has not read of its answer.  What it still sends is not a request that we
        have taken: it has our end of the connection before it.
        """
        silence, most = (LINGER_NS, LINGER_MOST_NS) if sends_on else (CLOSE_NS, CLOSE_NS)
        until = self._loop.now() + most
        try:
            connection.sock.shutdown(socket.SHUT_WR)
            while (
                self._loop.wait(connection.fd, READABLE, min(until, self._loop.now() + silence)) is WakeReason.READY
                and self._loop.now() < until
                and connection.sock.recv(CHUNK)
            ):
                pass  # what it still sends is not kept
        except OSError as error:
            logger.debug(
                "the client did not wait for the end: {reason}",
                event="downstream.client_disconnected",
                reason=str(error),
            )

    # ------------------------------------------------------------ requests

    def _answer(self, connection: DownstreamConnection, message: Message) -> Answer | None:
        """The final answer to one request; none where the client has gone."""
        if message.target.partition("?")[0] == HEALTH:
            self._pace_health()
            able = self.ready and not self._draining
            return (200, b"ok\n", []) if able else (503, b"not ready\n", [])
        try:
            cls, left_ns = self._check(message)
        except ProtocolError as error:
            return _complaint(error)
        if (busy := self._dispatcher.reject_if_overloaded(cls, left_ns)) is not None:
            return _busy(busy)
        id = message.header_map["x-correlation-id"]
        self._ids.add(id)
        try:
            return self._exchange(connection, message, cls, left_ns)
        finally:
            self._ids.discard(id)

    def _pace_health(self) -> None:
        """Health calls are always answered, but beyond a rate only after a pause."""
        now = self._loop.now()
        if now - self._health_since >= NS_PER_S:
            self._health_since, self._health_calls = now, 0
        self._health_calls += 1
        if self._health_calls > MOST_HEALTH:
            self._loop.sleep(HEALTH_PAUSE_NS)

    def _exchange(self, connection: DownstreamConnection, message: Message, cls: int, left_ns: int) -> Answer | None:
        exchange = Exchange(
            self._loop,
            ForwardedRequest(message),
            cls,
            self._loop.now() + left_ns,
            message.header_map.get("x-repeat") == "1",
            self._tenants.get(message.header_map.get("x-account", ""), UNKNOWN_TENANT),
            connection,
        )

        self._loop.register(connection.fd, PEER_CLOSED, lambda _: self._client_left(exchange))
        verdict = self._dispatcher.next_decision(exchange.request)
        while isinstance(verdict, StartAttempt):
            exchange.tasks[verdict.number] = self._loop.spawn(self._step, exchange, verdict)
            verdict = self._dispatcher.next_decision(exchange.request)
        self._loop.unregister(connection.fd)
        exchange.release()
        if exchange.streamed >= 0 and not exchange.gone and not connection.cut:
            self._linger(connection, False)
        if exchange.gone or exchange.streamed >= 0:
            return None  # the connection ends: its answer has been passed on, or half of it
        if isinstance(verdict, Rejected):
            return _busy(verdict)
        if exchange.answer is not None:
            return (
                200,
                exchange.answer.body,
                [(name, value) for name, value in exchange.answer.headers if name.lower() not in _OWN],
            )
        return 502, b"failed\n", []

    def _check(self, message: Message) -> tuple[int, int]:
        """The class and the time left of a request, or what is wrong with it."""
        if message.method not in METHODS:
            raise ProtocolError(405, "the method is not allowed")
        if not message.header_map.get("x-correlation-id"):
            raise ProtocolError(400, "X-Correlation-Id is missing")
        if message.header_map["x-correlation-id"] in self._ids:
            # A destination tells requests apart by their ids: this one would spoil the first.
            raise ProtocolError(409, "X-Correlation-Id is that of a request in progress")
        path = message.target.partition("?")[0]
        name = message.header_map.get("x-service-class") or path.lstrip("/").partition("/")[0]
        if name not in self._classes:
            raise ProtocolError(400, "the class is unknown")
        at, cls = self._classes[name]
        if cls.idempotency is balancing.Idempotency.IDEMPOTENCY_KEY and not message.header_map.get("idempotency-key"):
            raise ProtocolError(400, "Idempotency-Key is missing")  # without it no repeat would be dropped
        text = message.header_map.get("x-time-left")
        try:
            left = cls.deadline_ns if text is None else int(float(text) * NS_PER_S)
            if not 0 <= left <= MOST_LEFT_S * NS_PER_S:
                raise ValueError
        except (ValueError, OverflowError):
            raise ProtocolError(400, "X-Time-Left is no number of seconds") from None
        return at, left

    def _step(self, exchange: Exchange, step: StartAttempt) -> None:
        ending, answer = AttemptOutcome.CANCELLED_BEFORE_SENT, None
        if not exchange.request.finished:
            try:
                ending, answer = self._upstream.execute_attempt(
                    step.endpoint_id,
                    exchange.forward,
                    step.deadline_ns,
                    lambda head: self._claim(exchange, step, head),
                    lambda: self._may_begin(exchange, step),
                )
            except Exception:
                # Every step must report its end, or the module would wait for it.
                logger.exception("an attempt failed", event="attempt.failed")
                ending = AttemptOutcome.RESET
        if ending is AttemptOutcome.SERVED and exchange.answer is None:
            exchange.answer = answer
        elif exchange.streamed == step.number:
            exchange.connection.cut = True
        logger.debug(
            "attempt {number} at endpoint {endpoint_id}: {outcome}",
            event="attempt.finished",
            number=step.number,
            endpoint_id=step.endpoint_id,
            outcome=ending.name,
        )
        self._dispatcher.attempt_finished(exchange.request, step.number, ending, self._upstream.load_report(answer))

    def _client_left(self, exchange: Exchange) -> None:
        self._loop.unregister(exchange.connection.fd)
        exchange.gone = True
        self._dispatcher.client_disconnected(exchange.request)

    def _may_begin(self, exchange: Exchange, step: StartAttempt) -> bool:
        """Whether the request's bytes may go out now.

        A client may have left since the last poll, or before its request was read: nothing is begun for it.
        """
        if exchange.gone or exchange.request.finished:
            return False  # its front socket may be another's by now
        if self._loop.is_ready(exchange.connection.fd, PEER_CLOSED):
            self._client_left(exchange)
        return not exchange.gone and self._dispatcher.may_start(exchange.request, step.number)

    def _claim(self, exchange: Exchange, step: StartAttempt, head: Message) -> ResponseSink | None:
        """A step has a long answer: pass it on to the client as it comes, where the facade lets this step."""
        if exchange.gone or not self._dispatcher.claim_stream(exchange.request, step.number):
            return None
        exchange.streamed = step.number
        sink = _Passing(self, exchange.connection)
        sink.send(serialize_streamed_head(head, [(n, v) for n, v in head.headers if n.lower() not in _OWN]))
        return sink

    # ------------------------------------------------------------ planned restart

    def _drain(self) -> None:
        self._loop.sleep(ACCEPT_AFTER_TERM_NS)
        self._closing, self._closed_at = True, self._loop.now()
        for connection in self._open:
            connection.unwanted = connection.asked  # the first request of one that has just come may be on its way
            connection.signal.set()
        if self._accepting is not None:
            self._loop.interrupt(self._accepting)
        if self._listener is not None:
            # What waits in the backlog has been taken too: closing the listener would reset it.  An inherited one
            # is shared with the successor, which takes its backlog: closing our copy resets nothing.
            if not self._inherited:
                self._sweep(self._listener)
            self._listener.close()
        while self._open:
            self._room.wait()
        self._loop.stop()

    def _sweep(self, listener: socket.socket) -> None:
        """Accept all that waits in the backlog, as others make room."""
        until = self._loop.now() + SWEEP_NS
        most = self._most + self._most // 8
        while self._loop.is_ready(listener.fileno(), READABLE) and self._loop.now() < until:
            if len(self._open) >= most:
                self._room.wait(until)
            else:
                self._accept_some(listener, most, BACKLOG)
