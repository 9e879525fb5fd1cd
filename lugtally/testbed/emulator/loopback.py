"""Loopback addresses of a run.  Each sidecar reaches each server at a separate address.

A server therefore recognizes the sidecar by the address that it connects to, and a fault can affect the network of a
single pair.  A run locks one /16 block of 127.0.0.0/8.  Outgoing connections use the source address 127.0.0.1, so that
none of them occupies the port of a process that is down.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

PORT = 9000
LOCK_PORT = 8999  # bound by the run that uses a block
FIRST_BLOCK, BLOCK_COUNT = 16, 200  # second octets that a run may use
MAX_SERVERS, MAX_SIDECARS = 240, 254
DISCOVERY_OCTET = 250  # third octet of the addresses of the discovery service
SIDECAR_OCTET = 251  # third octet of the addresses of the sidecars


class LoopbackBlock:
    """A /16 block of loopback addresses, locked against other runs on the machine until it is closed."""

    def __init__(self) -> None:
        """Lock a free block.  Raises OSError if there is none."""
        for number in _candidate_blocks():
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


def _candidate_blocks() -> Iterator[int]:
    """Yield all blocks, beginning at one that differs between processes."""
    start = os.getpid()
    return (FIRST_BLOCK + (start + offset) % BLOCK_COUNT for offset in range(BLOCK_COUNT))


def server_host(block: int, server_index: int, sidecar: int) -> str:
    """Return the host at which a sidecar reaches the server with this index."""
    assert server_index < MAX_SERVERS, f"a block holds {MAX_SERVERS} servers"
    assert sidecar < MAX_SIDECARS, f"a block holds {MAX_SIDECARS} sidecars"
    return f"127.{block}.{server_index + 1}.{sidecar + 1}"


def discovery_host(block: int, sidecar: int) -> str:
    """Return the host at which a sidecar reaches the discovery service."""
    return f"127.{block}.{DISCOVERY_OCTET}.{sidecar + 1}"


def sidecar_host(block: int, sidecar: int) -> str:
    """Return the host at which a sidecar listens."""
    return f"127.{block}.{SIDECAR_OCTET}.{sidecar + 1}"
