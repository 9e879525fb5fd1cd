"""Loopback addresses of a run: each pair of sidecar and server has an address of its own.

A server thus identifies the sidecar by the listener, and faults can affect the network between a single pair.  A run
locks one /16 of 127.0.0.0/8.  Outgoing connections use 127.0.0.1 as their source address, so that none of them takes
the port of a process that is down.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

PORT = 9000
LOCK_PORT = 8999
FIRST_BLOCK, BLOCKS = 16, 200
MAX_SERVERS, MAX_SIDECARS = 240, 254
DISCOVERY_OCTET = 250  # third octet of the addresses of the discovery service
SIDECAR_OCTET = 251  # third octet of the addresses of the sidecars


class LoopbackBlock:
    """A /16 of loopback, locked against other runs on the machine until it is closed."""

    def __init__(self) -> None:
        """Lock a free block.  Raises OSError if there is none."""
        for number in _candidates():
            lock = socket.socket()
            try:
                lock.bind((f"127.{number}.0.1", LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self.number, self._lock = number, lock
            return
        raise OSError("no free block of loopback addresses")

    def close(self) -> None:
        """Release the block."""
        self._lock.close()


def _candidates() -> Iterator[int]:
    """Yield all blocks, from one that differs by process."""
    start = os.getpid()
    return (FIRST_BLOCK + (start + offset) % BLOCKS for offset in range(BLOCKS))


def server_host(block: int, server_index: int, sidecar: int) -> str:
    """Return the host at which a sidecar reaches the server of that index."""
    assert server_index < MAX_SERVERS, f"a block holds {MAX_SERVERS} servers"
    assert sidecar < MAX_SIDECARS, f"a block holds {MAX_SIDECARS} sidecars"
    return f"127.{block}.{server_index + 1}.{sidecar + 1}"


def discovery_host(block: int, sidecar: int) -> str:
    """Return the host at which a sidecar reaches the discovery service."""
    return f"127.{block}.{DISCOVERY_OCTET}.{sidecar + 1}"


def sidecar_host(block: int, sidecar: int) -> str:
    """Return the host at which a sidecar listens."""
    return f"127.{block}.{SIDECAR_OCTET}.{sidecar + 1}"
