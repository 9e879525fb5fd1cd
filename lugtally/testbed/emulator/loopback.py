"""Loopback addresses of a run: each sidecar reaches each server at an address set aside for it alone.

So a server knows by the listener which sidecar sent, and the network between any two can be cut by itself.  The whole
of 127.0.0.0/8 is the machine's own; a run takes one /16 of it.  Connections leave from 127.0.0.1, so a port that was
closed (a process that is down) is never taken by another in between.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

PORT = 9000
LOCK_PORT = 8999
FIRST_BLOCK, BLOCKS = 16, 200
MAX_SERVERS, MAX_SIDECARS = 240, 254
DISCOVERY_OCTET = 250  # the third octet of the discovery service's addresses
SIDECAR_OCTET = 251  # and of the sidecars' own


class LoopbackBlock:
    """A /16 of loopback, locked until it is closed; other runs on the machine take another."""

    def __init__(self) -> None:
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
    start = os.getpid()
    return (FIRST_BLOCK + (start + turn) % BLOCKS for turn in range(BLOCKS))


def server_host(block: int, server_index: int, sidecar: int) -> str:
    """The host at which a sidecar reaches the server of that index."""
    assert server_index < MAX_SERVERS, f"a block holds {MAX_SERVERS} servers"
    assert sidecar < MAX_SIDECARS, f"a block holds {MAX_SIDECARS} sidecars"
    return f"127.{block}.{server_index + 1}.{sidecar + 1}"


def discovery_host(block: int, sidecar: int) -> str:
    """The host at which a sidecar reaches the discovery service."""
    return f"127.{block}.{DISCOVERY_OCTET}.{sidecar + 1}"


def sidecar_host(block: int, sidecar: int) -> str:
    """The host at which a sidecar listens."""
    return f"127.{block}.{SIDECAR_OCTET}.{sidecar + 1}"
