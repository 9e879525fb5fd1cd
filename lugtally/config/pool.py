"""The pool config as discovery writes it, decoded once into the few values that the program uses.

A ``ValueError`` names the field at fault.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any


@dataclass(slots=True)
class Row:
    """One destination, decoded."""

    number: int
    address: tuple[str, int]
    zone: str
    cell: int
    state: str
    started_ms: int


@dataclass(slots=True)
class PoolConfig:
    """One list, decoded."""

    version: int
    full: bool
    rows: list[Row]


def read_address(text: Any, field: str) -> tuple[str, int]:
    """``host:port`` with a numeric host, as there is no DNS."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{field}: {text!r} is no address with a port")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{field}: {text!r} is no numeric address") from error
    return host, int(port)


def number_of(name: str) -> int:
    """A destination's number: the same at every sidecar and after a restart, as its id is."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_pool(raw: Any, field: str) -> PoolConfig:
    """Decode a list; a ``ValueError`` names the field at fault."""
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError(f"{field}.servers: a list is wanted")
    version = raw.get("version")
    if not isinstance(version, int):
        raise ValueError(f"{field}.version: {version!r} is no number")
    return PoolConfig(version, bool(raw.get("full")), [
        _read_row(row, f"{field}.servers[{at}]") for at, row in enumerate(raw["servers"])])


def _read_row(raw: Any, field: str) -> Row:
    if not isinstance(raw, dict) or not isinstance(raw.get("id"), str):
        raise ValueError(f"{field}.id: a text is wanted")
    state, cell, started = raw.get("state"), raw.get("cell") or 0, raw.get("started_ms") or 0
    if not isinstance(state, str):
        raise ValueError(f"{field}.state: {state!r} is no text")
    if not isinstance(cell, int):
        raise ValueError(f"{field}.cell: {cell!r} is no number")
    if not isinstance(started, (int, float)) or not abs(started) < 2**53:
        raise ValueError(f"{field}.started_ms: {started!r} is no number")
    gone = state == "gone" and raw.get("addr") is None
    address = ("", 0) if gone else read_address(raw.get("addr"), f"{field}.addr")
    return Row(number_of(raw["id"]), address, str(raw.get("zone")), cell, state, int(started))
