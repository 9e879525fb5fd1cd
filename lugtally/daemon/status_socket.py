"""The status socket: a Unix socket that gives whoever connects the state of the sidecar, as one JSON object.

It takes no commands: what can be read there changes nothing.  Only the sidecar's own user may open it.
"""

from __future__ import annotations

import os
import socket
import stat
from collections.abc import Callable
from typing import Any

import ujson
from loguru import logger

from lugtally.daemon.errors import StatusSocketError
from lugtally.eventloop import READABLE, WRITABLE, EventLoop, WakeReason
from lugtally.units import NS_PER_MS

CLIENT_WRITE_TIMEOUT_NS = 1000 * NS_PER_MS
ACCEPT_ERROR_PAUSE_NS = 50 * NS_PER_MS
LISTEN_BACKLOG = 4
Snapshot = Callable[[], dict[str, Any]]


class StatusSocket:
    """One listening socket; each client gets a snapshot, then the end of the connection."""

    def __init__(self, loop: EventLoop, path: str, snapshot: Snapshot) -> None:
        """Listen at the path.

        Raises:
            StatusSocketError: it cannot be listened on, or holds a file that is no socket.
        """
        self._loop = loop
        self._path = path
        self._snapshot = snapshot
        try:
            _remove_stale_socket(path)
            self._listener = _listen(path)
        except OSError as error:
            reason = error.strerror or error
            raise StatusSocketError(f"operator file: control.socket: {path}: {reason}") from error
        loop.spawn(self._serve_clients)

    def close(self) -> None:
        """Stop listening and remove the socket's file."""
        self._listener.close()
        try:
            os.unlink(self._path)
        except OSError:
            pass  # somebody removed it before

    def _serve_clients(self) -> None:
        # One at a time: a client that does not read must not pile up others, and this is for people.
        while self._listener.fileno() >= 0:
            if self._loop.wait(self._listener.fileno(), READABLE) is WakeReason.READY:
                self._serve_client()

    def _serve_client(self) -> None:
        try:
            client, _ = self._listener.accept()
        except OSError:
            # Most likely no descriptor is free: the backlog stays readable, so without a pause this would spin.
            self._loop.sleep(ACCEPT_ERROR_PAUSE_NS)
            return
        with client:
            client.setblocking(False)
            try:
                self._write_snapshot(client)
            except OSError as error:
                logger.debug(
                    "a reader of the status went away: {reason}", event="status.client_disconnected", reason=str(error)
                )

    def _write_snapshot(self, client: socket.socket) -> None:
        view = memoryview(ujson.dumps(self._snapshot(), escape_forward_slashes=False).encode() + b"\n")
        deadline_ns = self._loop.now() + CLIENT_WRITE_TIMEOUT_NS
        while view:
            try:
                view = view[client.send(view) :]
            except BlockingIOError:
                if self._loop.wait(client.fileno(), WRITABLE, deadline_ns) is not WakeReason.READY:
                    return


def _listen(path: str) -> socket.socket:
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    previous_umask = os.umask(0o177)
    try:
        listener.bind(path)
    finally:
        os.umask(previous_umask)
    listener.listen(LISTEN_BACKLOG)
    return listener


def _remove_stale_socket(path: str) -> None:
    """Remove the socket that an earlier process left; anything else at the path is somebody's file."""
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise OSError(f"{path} is there and is no socket")
    os.unlink(path)
