"""Closes a connection after its last response, without losing the response to a reset.

Closing a socket that has unread bytes, or to which the client still sends, resets the connection.  A reset discards
what the client has not read of the response.  Therefore only the sending side is shut down at first, and the
socket is closed later.
"""

from __future__ import annotations

import socket

from loguru import logger

from lugtally.downstream.connection import RECEIVE_BYTES, DownstreamConnection
from lugtally.downstream.connection_state import TransitionCause
from lugtally.downstream.input_throttle import InputThrottle
from lugtally.downstream.send_progress import PROGRESS_CHECK_INTERVAL_NS, SendProgress
from lugtally.eventloop import PEER_CLOSED, READABLE, WakeReason
from lugtally.eventloop.tcp_socket import has_unread_input
from lugtally.units import NS_PER_MS

LINGER_SILENCE_TIMEOUT_NS = 1_000 * NS_PER_MS
"""While input is discarded, the socket is closed when the client has sent nothing for this long."""
MAX_LINGER_NS = 2_500 * NS_PER_MS
"""How long in total to wait before the close for a client that has sent, or still sends, further input."""
SHORT_LINGER_NS = 300 * NS_PER_MS
"""How long to wait before the close for a client that sends nothing, or whose request timed out."""
MAX_DISCARDED_BYTES = 1024 * 1024
"""How much input is discarded.  Then the connection is closed, even if the close resets it."""


def lingering_close(connection: DownstreamConnection) -> None:
    """Shut down the sending side and give the client time to read the response.

    The caller closes the socket afterwards.  Further input is not read: if it is a request, the client knows from the
    end of the stream that the request was not processed.
    """
    connection.waiting_since_ns = connection.loop.now()
    connection.transition(TransitionCause.LAST_RESPONSE_COMPLETE)
    try:
        connection.sock.shutdown(socket.SHUT_WR)
        has_closed = _wait_for_client_close(connection, connection.waiting_since_ns + SHORT_LINGER_NS)
        _wait_until_acknowledged(connection)
        if not has_unread_input(connection.sock):
            return
        connection.transition(TransitionCause.UNREAD_INPUT_FOUND)
        if not has_closed:
            has_closed = _wait_for_client_close(connection, connection.waiting_since_ns + MAX_LINGER_NS)
        if has_closed:  # the client sends nothing more, but may still be reading the response
            connection.loop.sleep(SHORT_LINGER_NS)
    except OSError as error:
        _log_disconnect(error)


def close_idle(connection: DownstreamConnection) -> None:
    """Give the client time to read its last response before the caller closes a connection that waits for a request.

    If the client sends a request after the close, the kernel resets the connection.
    """
    try:
        _wait_until_acknowledged(connection)
    except OSError as error:
        _log_disconnect(error)


def discard_input(connection: DownstreamConnection, throttle: InputThrottle, timed_out: bool) -> None:
    """Shut down the sending side and discard input until the client stops sending, closes or is evicted.

    After a malformed request the boundaries of further requests are unknown.  Input is still received, because a client
    may read its error response only after it has sent everything.  ``timed_out`` says that the request timed out; the
    wait is shorter then.
    """
    silence_timeout_ns = SHORT_LINGER_NS if timed_out else LINGER_SILENCE_TIMEOUT_NS
    max_linger_ns = SHORT_LINGER_NS if timed_out else MAX_LINGER_NS
    loop = connection.loop
    deadline_ns = connection.client_deadline_ns(loop.now() + max_linger_ns)
    remaining_bytes = MAX_DISCARDED_BYTES
    try:
        connection.sock.shutdown(socket.SHUT_WR)
        while remaining_bytes > 0 and _wait_for_input(connection, min(deadline_ns, loop.now() + silence_timeout_ns)):
            called_ns = loop.now()
            data = connection.sock.recv(RECEIVE_BYTES)
            throttle.count_read(called_ns)
            if not data or called_ns >= deadline_ns:
                return
            remaining_bytes -= len(data)
    except OSError as error:
        _log_disconnect(error)


def _wait_for_input(connection: DownstreamConnection, deadline_ns: int) -> bool:
    """Wait for input, the client's close, an eviction or the deadline; return whether there is input or a close."""
    is_readable = False

    def handle_readable(_: int) -> None:
        nonlocal is_readable
        is_readable = True
        connection.wake_up.set()

    connection.loop.register(connection.fd, READABLE, handle_readable)
    reason = WakeReason.READY
    while reason is WakeReason.READY and not is_readable and not connection.evicted:
        reason = connection.wake_up.wait(deadline_ns)  # returns immediately if the event is already set
    connection.loop.unregister(connection.fd)
    return is_readable


def _wait_for_client_close(connection: DownstreamConnection, deadline_ns: int) -> bool:
    """Wait for the client's close, an eviction or the deadline; return whether the client closed."""
    loop = connection.loop
    loop.register(connection.fd, PEER_CLOSED, lambda _: connection.wake_up.set())
    deadline_ns = connection.client_deadline_ns(deadline_ns)
    has_closed, reason = False, WakeReason.READY
    while reason is WakeReason.READY and not has_closed and not connection.evicted:
        reason = connection.wake_up.wait(deadline_ns)  # returns immediately if the event is already set
        has_closed = loop.is_ready(connection.fd, PEER_CLOSED)
    loop.unregister(connection.fd)
    return has_closed


def _wait_until_acknowledged(connection: DownstreamConnection) -> None:
    """Wait while the client reads what has been written, unless it is evicted and a close would not reset it.

    The close of a socket with unread input, or input after the close, resets the connection.  The reset discards what
    the client's kernel has not received.
    """
    progress = SendProgress(connection.sock, connection.loop.now())
    while progress.unacknowledged and not connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        now_ns = connection.loop.now()
        deadline_ns = connection.stall_deadline_ns(progress.last_ns)
        if now_ns >= deadline_ns or (connection.evicted and not has_unread_input(connection.sock)):
            return
        connection.wake_up.wait(min(deadline_ns, now_ns + PROGRESS_CHECK_INTERVAL_NS))
        progress.update(connection.loop.now())


def _log_disconnect(error: OSError) -> None:
    logger.debug(
        "the client disconnected before the close: {reason}",
        event="downstream.client_disconnected",
        reason=str(error),
    )
