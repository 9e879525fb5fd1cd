"""The server list as discovery writes it, decoded once into the few values that the program uses.

A ``ValueError`` names the field at fault.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from lugtally.address import Address

UNNAMED = -1  # in the place of a destination's number, where a row does not even name it


@dataclass(slots=True)
class EndpointRecord:
    """One destination, decoded."""

    endpoint_id: int
    address: Address
    zone: str
    cell: int
    state: str
    started_ms: int


@dataclass(slots=True)
class EndpointList:
    """One list, decoded."""

    version: int
    full: bool
    records: list[EndpointRecord]
    rejected: dict[int, str] = field(default_factory=dict)  # destinations whose row cannot be read -> what is wrong


def parse_address(text: Any, field: str) -> Address:
    """``host:port`` with a numeric host, as there is no DNS."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{field}: {text!r} is no address with a port")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{field}: {text!r} is no numeric address") from error
    return Address(host, int(port))


def endpoint_id_of(name: str) -> int:
    """A destination's number: the same at every sidecar and after a restart, as its id is."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def parse_endpoint_list(raw: Any, name: str, *, lenient: bool = False) -> EndpointList:
    """Decode a list; a ``ValueError`` names the field at fault.

    Where it is ``lenient``, a row that cannot be read is set apart as long as others can.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError(f"{name}.servers: a list is wanted")
    version = raw.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        raise ValueError(f"{name}.version: {version!r} is no number")
    pool = EndpointList(version, bool(raw.get("full")), [])
    for at, row in enumerate(raw["servers"]):
        try:
            pool.records.append(_parse_record(row, f"{name}.servers[{at}]"))
        except ValueError as error:
            id = row.get("id") if isinstance(row, dict) else None
            pool.rejected[endpoint_id_of(id) if isinstance(id, str) else UNNAMED] = str(error)
            if not lenient:
                raise
    if pool.rejected and not pool.records:
        raise ValueError(next(iter(pool.rejected.values())))
    return pool


def _parse_record(raw: Any, field: str) -> EndpointRecord:
    if not isinstance(raw, dict) or not isinstance(raw.get("id"), str):
        raise ValueError(f"{field}.id: a text is wanted")
    state, cell, started = raw.get("state"), raw.get("cell"), raw.get("started_ms") or 0
    number = endpoint_id_of(raw["id"])
    if cell is None:
        cell = ~number  # not told: no group that drops repeats, so it is by itself
    if not isinstance(state, str):
        raise ValueError(f"{field}.state: {state!r} is no text")
    if not isinstance(cell, int) or isinstance(cell, bool):
        raise ValueError(f"{field}.cell: {cell!r} is no number")
    if not isinstance(started, (int, float)) or not abs(started) < 2**53:
        raise ValueError(f"{field}.started_ms: {started!r} is no number")
    gone = state == "gone" and raw.get("addr") is None
    address = Address("", 0) if gone else parse_address(raw.get("addr"), f"{field}.addr")
    return EndpointRecord(number, address, str(raw.get("zone") or ""), cell, state, int(started))
