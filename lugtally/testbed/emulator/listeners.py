"""The listening sockets of an emulated server, one for each sidecar."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lugtally.testbed.emulator import loopback

BACKLOG = 512
MAX_ACCEPTS_PER_EVENT = 64
FILLERS_PER_LISTENER = 3  # connections that are enough to fill a backlog of size 0


class ServerListeners:
    """Listeners that can be closed, so that connections are refused, or blocked, so that connecting times out."""

    def __init__(self, hosts: list[str], on_accept: Callable[[socket.socket, int], None]) -> None:
        """Listen at ``hosts``, one for each sidecar; pass each connection and its sidecar to ``on_accept``."""
        self._hosts = hosts
        self._on_accept = on_accept
        self._listeners: dict[int, socket.socket] = {}
        self._fillers: list[socket.socket] = []

    def open(self) -> None:
        """Open the listeners that are closed."""
        for sidecar, host in enumerate(self._hosts):
            if sidecar in self._listeners:
                continue
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((host, loopback.PORT))
            self._listen(listener, sidecar)
            self._listeners[sidecar] = listener

    def close(self) -> None:
        """Close all listeners, so that connections are refused."""
        for listener in self._listeners.values():
            asyncio.get_running_loop().remove_reader(listener)
            listener.close()
        self._listeners.clear()
        self._close_fillers()

    def block(self) -> None:
        """Fill the backlog of each listener, so that the kernel drops the handshakes of further connections."""
        for listener in self._listeners.values():
            asyncio.get_running_loop().remove_reader(listener)
            listener.listen(0)
            for _ in range(FILLERS_PER_LISTENER):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                self._fillers.append(filler)

    def unblock(self) -> None:
        """Accept connections again.  Connections being opened while the backlog was full complete or are reset."""
        self._close_fillers()
        for sidecar, listener in self._listeners.items():
            self._listen(listener, sidecar)

    def _listen(self, listener: socket.socket, sidecar: int) -> None:
        listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(listener, self._accept, listener, sidecar)

    def _accept(self, listener: socket.socket, sidecar: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                accepted, _ = listener.accept()
            except OSError:
                return  # the backlog is empty, or the peer has already disconnected
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._on_accept(accepted, sidecar)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
