"""The status socket: a Unix socket that sends each client the state of the sidecar as one JSON object.

The socket accepts no commands.  Only the user of the sidecar process may connect.
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
from lugtally.eventloop import READABLE, EventLoop, WakeReason, send_all
from lugtally.units import NS_PER_MS

CLIENT_WRITE_TIMEOUT_NS = 1000 * NS_PER_MS
ACCEPT_ERROR_PAUSE_NS = 50 * NS_PER_MS
"""Pause after an error of ``accept``.  Without it, the listener would remain readable and keep the event loop busy."""
LISTEN_BACKLOG = 4
GetSnapshot = Callable[[], dict[str, Any]]
"""Returns the state of the sidecar as a JSON object."""


class StatusSocket:
    """The listening socket.  Each client receives one snapshot, then the connection is closed."""

    def __init__(self, loop: EventLoop, path: str, get_snapshot: GetSnapshot) -> None:
        """Listen at ``path``, and call ``get_snapshot`` for each client.

        Raises:
            StatusSocketError: The path cannot be used, or a file that is not a socket exists there.
        """
        self._loop = loop
        self._path = path
        self._get_snapshot = get_snapshot
        try:
            _remove_stale_socket(path)
            self._listener = _listen(path)
        except OSError as error:
            reason = error.strerror or error
            raise StatusSocketError(f"operator file: control.socket: {path}: {reason}") from error
        loop.spawn(self._serve_clients)

    def close(self) -> None:
        """Stop listening and remove the socket file."""
        self._listener.close()
        try:
            os.unlink(self._path)
        except OSError:
            pass  # the file has already been removed

    def _serve_clients(self) -> None:
        """Serve one client at a time, so that slow clients use at most one descriptor."""
        while self._listener.fileno() >= 0:
            if self._loop.wait(self._listener.fileno(), READABLE) is WakeReason.READY:
                self._serve_client()

    def _serve_client(self) -> None:
        try:
            client, _ = self._listener.accept()
        except OSError:
            # The most likely cause is that no descriptor is free.
            self._loop.sleep(ACCEPT_ERROR_PAUSE_NS)
            return
        with client:
            client.setblocking(False)
            try:
                self._write_snapshot(client)
            except OSError as error:
                logger.debug(
                    "a client of the status socket disconnected: {reason}",
                    event="status.client_disconnected",
                    reason=str(error),
                )

    def _write_snapshot(self, client: socket.socket) -> None:
        """Write a snapshot.  A client that does not read within ``CLIENT_WRITE_TIMEOUT_NS`` receives a part of it."""
        data = ujson.dumps(self._get_snapshot(), escape_forward_slashes=False).encode() + b"\n"
        send_all(self._loop, client, data, self._loop.now() + CLIENT_WRITE_TIMEOUT_NS)


def _listen(path: str) -> socket.socket:
    """Return a listening socket to which only the user of this process may connect."""
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    previous_umask = os.umask(0o177)
    try:
        listener.bind(path)
    finally:
        os.umask(previous_umask)
    listener.listen(LISTEN_BACKLOG)
    return listener


def _remove_stale_socket(path: str) -> None:
    """Remove the socket of an earlier process; raise ``OSError`` if any other file exists at the path."""
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise OSError("the file exists and is not a socket")
    os.unlink(path)
