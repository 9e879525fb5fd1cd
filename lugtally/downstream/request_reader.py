"""Reads the requests of one connection, within their time limits."""

from __future__ import annotations

from lugtally.downstream.arrival import ArrivalBound
from lugtally.downstream.connection import RECEIVE_BYTES, DownstreamConnection
from lugtally.downstream.connection_state import ConnectionState, TransitionCause
from lugtally.downstream.input_throttle import InputThrottle
from lugtally.downstream.request_queue import MAX_REQUESTS_PER_READ, ReceivedRequest, RequestQueue
from lugtally.eventloop import READABLE, WakeReason
from lugtally.eventloop.tcp_socket import TRANSIENT_ERRNOS, is_empty
from lugtally.http1 import ProtocolError
from lugtally.memory import MemoryUse
from lugtally.units import NS_PER_MS

CLIENT_IDLE_TIMEOUT_NS = 2_050 * NS_PER_MS
"""How long a connection may wait for the first byte of a request.

The number of connections is limited, and some clients send one request and never close their connection.  A longer
timeout would keep new clients in the backlog.
"""
REQUEST_TIMEOUT_NS = 2_500 * NS_PER_MS
"""How long a client may take to send a request: from its first byte to its last.

For the first request of a connection the time starts when the connection is accepted.
"""
PARSE_SLICE_BYTES = 2 * 1024
"""Input is parsed in slices of this size; the reader checks before each further one whether to yield."""
MAX_PARSE_TURN_NS = NS_PER_MS
"""After this time the reader yields.  A read may contain thousands of small chunks or hundreds of small requests."""
OVERDUE_READ_NS = 100 * NS_PER_MS
"""How long an incomplete request is still read after its time limit, an eviction or the end of a shutdown.

Its rest may have arrived before that, while the process was busy or stopped.
"""

MIN_RECEIVE_BYTES = 4 * 1024
"""Largest number of bytes that one read returns while memory is scarce."""
MAX_READ_AHEAD_BYTES = 512 * 1024
"""Approximate memory of the requests that one read may contain."""
MAX_UNCOUNTED_BYTES = 3 * 1024
"""A request in progress of this size alone on its connection is covered by what an exchange counts."""
MAX_UNRESERVED_BYTES = 2 * 1024
"""So much of a request is received even if the memory budget cannot grant it."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestTimeoutError(ProtocolError):
    """The request was not complete in time; the message is sent as the body of the 408."""

    def __init__(self) -> None:
        super().__init__(408, "the request did not become whole in time")


class OutOfMemoryBudgetError(ProtocolError):
    """The head of a request is large and incomplete, and the memory budget cannot grant it."""

    def __init__(self) -> None:
        super().__init__(503, "out of memory")


class RequestReader:
    """Reads requests from one connection and moves it through the states up to ``PROCESSING``."""

    __slots__ = (
        "_overdue_since_ns",
        "_throttle",
        "arrival",
        "connection",
        "queue",
        "_in_progress_bytes",
        "_read_bytes",
    )

    def __init__(self, connection: DownstreamConnection, throttle: InputThrottle) -> None:
        """``throttle`` is shared by all connections of the server."""
        self.connection = connection
        self._throttle = throttle
        self._overdue_since_ns: int | None = None
        """The first read of an incomplete request whose connection is to be closed."""
        self.arrival = ArrivalBound(connection.loop, connection.connected_after_ns)
        self.queue = RequestQueue()
        """The requests received after the one in progress; the last one may be incomplete."""
        self._in_progress_bytes = 0
        """The memory of the request in progress."""
        self._read_bytes = RECEIVE_BYTES
        """The largest number of bytes that the last read could have returned."""

    def read_request(self) -> ReceivedRequest | None:
        """Block until a request is complete and return it; ``None`` if the connection is to be closed.

        Raises:
            ProtocolError: the request is malformed, or was not complete in time.
            OSError: the connection failed.
        """
        connection = self.connection
        if self.queue.has_input:
            connection.loop.sleep(0)  # let other tasks run before the next pipelined request of this client
        request = self._next_buffered_request()
        # Right after a response ``recv`` would most likely find nothing, so wait for input first.  But if a write
        # stalled, input may have arrived unnoticed, because the event loop did not watch for it during the stall.
        wait_first = connection.state is ConnectionState.IDLE and not connection.write_stalled
        connection.write_stalled = False
        if request is None:
            request = self._receive_request(wait_first)
        if request is not None:
            if request.memory_bytes > MAX_UNCOUNTED_BYTES or not self.queue.is_idle:
                self._in_progress_bytes = request.memory_bytes
                self._count_memory()
            connection.close_requested_in = None
            connection.evicted = False
        return request

    def read_ahead(self) -> bool:
        """Read available input while a request is in progress; return whether all of it was read.

        Reading ahead shows the deadlines of the further requests.  Every request that is read must be answered.
        Nothing is read ahead while memory is scarce.
        """
        if not self.connection.memory.budget.can_reserve(MemoryUse.READ_AHEAD, MAX_READ_AHEAD_BYTES):
            return False
        try:
            data = self._receive(self.connection.loop.now())
        except OSError:
            return False  # the event loop reports the close separately
        if not data:
            return data is None
        self.queue.feed(data, self.arrival.arrived_after_ns)
        self._count_memory()
        return len(data) < self._read_bytes

    def finish_request(self) -> None:
        """Give back the memory of the request in progress, whose response is known."""
        self.connection.memory.end_exchange()
        if self.connection.memory.request.byte_count or not self.queue.is_idle:
            self._in_progress_bytes = 0
            self._count_memory()

    def discard_input(self) -> None:
        """Drop what has been received, because the connection is to be closed."""
        self.queue.clear()
        self.finish_request()

    # ------------------------------------------------------------ memory

    def _count_memory(self) -> None:
        """Count the memory of what has been received, which is in use already."""
        self.connection.memory.request.force(self._in_progress_bytes + self.queue.parser.memory_bytes)
        self.connection.memory.queue.force(self.queue.queued_bytes)

    def _reserve_memory(self) -> None:
        """Reserve memory for the received part of a request.

        If the budget cannot grant it, the body is discarded as it is received and the request is rejected when it is
        complete; a large incomplete head is rejected immediately.

        Raises:
            OutOfMemoryBudgetError: The head is rejected.
        """
        parser = self.queue.parser
        if parser.is_idle and self.queue.queued_bytes <= MAX_UNCOUNTED_BYTES:
            return
        received_bytes = parser.memory_bytes
        self.connection.memory.queue.force(self.queue.queued_bytes)
        memory = self.connection.memory.request
        if received_bytes <= MAX_UNRESERVED_BYTES or memory.resize(self._in_progress_bytes + received_bytes):
            return
        if (head := parser.pending_head) is not None:
            parser.discard_body()
            head.drop_headers("x-service-class", "x-correlation-id")
        elif not self.queue.has_request:
            raise OutOfMemoryBudgetError
        self._count_memory()

    def _next_buffered_request(self) -> ReceivedRequest | None:
        """Return the next request, if it was received while the previous one was in progress.

        The connection leaves ``WRITING_RESPONSE`` whether or not it was.
        """
        connection = self.connection
        if connection.state is ConnectionState.ACCEPTED:
            connection.transition(TransitionCause.READING_STARTED)
            return None
        connection.waiting_since_ns = connection.loop.now()
        request = self.queue.pop()
        if request is not None:
            connection.transition(TransitionCause.RESPONSE_COMPLETE_REQUEST_BUFFERED)
        elif self.queue.has_input:
            connection.transition(TransitionCause.RESPONSE_COMPLETE_INPUT_BUFFERED)
        else:
            connection.transition(TransitionCause.RESPONSE_COMPLETE)
        return request

    def _receive_request(self, wait_first: bool) -> ReceivedRequest | None:
        """Read until a request is complete; return ``None`` if the connection is to be closed.

        With ``wait_first`` it waits for input before the first ``recv``.
        """
        connection = self.connection
        continue_sent = False
        self._overdue_since_ns = None
        while True:
            continue_sent = continue_sent or self._send_continue()
            called_ns = connection.loop.now()
            data = None if wait_first and not connection.close_requested else self._receive(called_ns)
            wait_first = False
            if data is None:
                if connection.close_requested:
                    self._reject_incomplete_request()
                    return None
                self._wait_for_bytes()
                continue
            if not data:
                return None
            if (request := self._parse(data, called_ns)) is not None:
                connection.transition(TransitionCause.REQUEST_COMPLETE)
                return request
            wait_first = len(data) < self._read_bytes and not connection.close_requested
            if not wait_first:  # otherwise, the wait yields
                self._yield(called_ns)

    def _parse(self, data: bytes, called_ns: int) -> ReceivedRequest | None:
        """Add the bytes that were read at ``called_ns`` to the request; return it if it is complete."""
        if self.connection.state is ConnectionState.READING_REQUEST:
            self._check_request_timeout()
        else:
            self._start_request_timeout()
        arrived_after_ns = self.arrival.arrived_after_ns
        for start in range(0, len(data), PARSE_SLICE_BYTES):
            if start and self.connection.loop.now() - called_ns >= MAX_PARSE_TURN_NS:
                self._yield(called_ns)
                called_ns = self.connection.loop.now()
            self.queue.feed(data[start : start + PARSE_SLICE_BYTES], arrived_after_ns, self._max_parsed_requests())
            self._reserve_memory()
        return self.queue.pop()

    def _max_parsed_requests(self) -> int:
        """Return how many requests of one read are parsed: one while memory is scarce."""
        if self._read_bytes != RECEIVE_BYTES:
            return 1
        can_reserve = self.connection.memory.budget.can_reserve(MemoryUse.READ_AHEAD, MAX_READ_AHEAD_BYTES)
        return MAX_REQUESTS_PER_READ if can_reserve else 1

    def _yield(self, called_ns: int) -> None:
        """Let other tasks run, after input that was read at ``called_ns`` and completes no request.

        The socket of a client that sends as fast as it is read is never empty: without this call, the event loop would
        not run any other task.
        """
        connection = self.connection
        due_ns = self._throttle.count_read(called_ns)
        deadline_ns = self._overdue_deadline_ns() if connection.close_requested else self._read_deadline_ns()
        connection.wake_up.wait(min(due_ns, deadline_ns))
        if connection.loop.now() >= deadline_ns:
            connection.close_requested_in = connection.state

    def _overdue_deadline_ns(self) -> int:
        """Return until when an incomplete request is read although its connection is to be closed.

        Raises:
            RequestTimeoutError: that time has passed, and no complete request has been received.
        """
        now_ns = self.connection.loop.now()
        if self._overdue_since_ns is None:
            self._overdue_since_ns = now_ns
        deadline_ns = self._overdue_since_ns + OVERDUE_READ_NS
        if now_ns >= deadline_ns and not self.queue.has_request:
            raise RequestTimeoutError
        return deadline_ns

    def _reject_incomplete_request(self) -> None:
        """Raise :class:`RequestTimeoutError`, unless no byte of a request has been received."""
        if self.connection.state is ConnectionState.READING_REQUEST:
            raise RequestTimeoutError

    def _send_continue(self) -> bool:
        """Send ``100 Continue`` if the client waits for it before it sends the body; return whether it was sent."""
        head = self.queue.parser.pending_head
        if head is None or not head.expects_continue:
            return False
        self.connection.write(_CONTINUE)
        return True

    def _receive(self, called_ns: int) -> bytes | None:
        """Return the available bytes; ``None`` if there are none, and ``b""`` if the client closed its sending side.

        ``called_ns`` is the current time.
        """
        can_reserve = self.connection.memory.budget.can_reserve(MemoryUse.READ_AHEAD, MAX_READ_AHEAD_BYTES)
        self._read_bytes = RECEIVE_BYTES if can_reserve else MIN_RECEIVE_BYTES
        try:
            data = self.connection.sock.recv(self._read_bytes)
        except BlockingIOError:
            self.arrival.note_empty(called_ns)
            return None
        except OSError as error:
            if error.errno in TRANSIENT_ERRNOS:
                return None
            raise
        # A short read alone does not prove that the socket is empty.
        self.arrival.note_received(called_ns, is_emptied=len(data) < self._read_bytes and is_empty(self.connection.fd))
        return data

    def _wait_for_bytes(self) -> None:
        connection = self.connection
        watched_since_ns = connection.loop.now()

        def handle_readable(_: int) -> None:
            self.arrival.note_readable(watched_since_ns)
            connection.wake_up.set()

        connection.loop.register(connection.fd, READABLE, handle_readable)
        reason = connection.wake_up.wait(self._read_deadline_ns())
        connection.loop.unregister(connection.fd)
        if reason is WakeReason.TIMEOUT:
            # Race: bytes may arrive between the poll that found none and the close, so read once more before closing.
            connection.close_requested_in = connection.state

    def _read_deadline_ns(self) -> int:
        """Return until when to wait for input.

        The time limit of a request counts from its first byte, so that a client cannot extend it by sending slowly.
        """
        connection, shutdown_state = self.connection, self.connection.shutdown_state
        is_reading = connection.state is ConnectionState.READING_REQUEST
        deadline_ns = connection.waiting_since_ns + (REQUEST_TIMEOUT_NS if is_reading else CLIENT_IDLE_TIMEOUT_NS)
        return min(deadline_ns, shutdown_state.last_request_ns) if shutdown_state.closing else deadline_ns

    def _start_request_timeout(self) -> None:
        """Start the timeout of a request at its first bytes; that of the first request started with the connection."""
        connection = self.connection
        if connection.state is ConnectionState.IDLE:
            connection.waiting_since_ns = connection.loop.now()
        connection.transition(TransitionCause.FIRST_BYTES_RECEIVED)

    def _check_request_timeout(self) -> None:
        """Raise :class:`RequestTimeoutError` if the bytes just read arrived after the request had timed out."""
        if self.arrival.arrived_after_ns > self.connection.waiting_since_ns + REQUEST_TIMEOUT_NS:
            raise RequestTimeoutError
