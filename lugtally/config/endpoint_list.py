"""The endpoint list as discovery writes it, decoded once into the few values that the program uses.

A ``ValueError`` names the member at fault.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any

from lugtally.address import Address

UNKNOWN_ENDPOINT_ID = -1
"""In the place of an endpoint's id, where its row does not even name it."""
ENDPOINT_ID_BYTES = 6
MAX_PORT = 65535
MAX_TIMESTAMP_MS = 2**53
"""The first integer that a JSON number need not hold exactly."""


class ListedState(Enum):
    """The state of an endpoint in the endpoint list."""

    READY = "gets requests"
    DRAINING = "gets no new requests"
    REMOVED = "is no longer listed"
    UNKNOWN = "is listed in a state that this version does not know, and gets no requests"


STATES_BY_WORD = {"ready": ListedState.READY, "draining": ListedState.DRAINING, "gone": ListedState.REMOVED}
"""The states by their names in the list; every other name is ``ListedState.UNKNOWN``."""


@dataclass(slots=True)
class EndpointRecord:
    """One endpoint, decoded."""

    endpoint_id: int
    address: Address
    zone: str
    cell: int
    state: ListedState
    started_ms: int
    """Unix time of its start; 0: long ago."""


@dataclass(slots=True)
class EndpointList:
    """One list, decoded."""

    version: int
    full: bool
    records: list[EndpointRecord]
    rejected: dict[int, str] = field(default_factory=dict)
    """By endpoint id: what is wrong with a row that cannot be read."""


def parse_address(text: Any, key: str) -> Address:
    """Decode ``host:port`` with a numeric host, as there is no DNS.

    Raises:
        ValueError: it is none; the text begins with ``key``.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{key}: {text!r} is no address with a port")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{key}: {text!r} is no numeric address") from error
    return Address(host, int(port))


def endpoint_id_of(name: str) -> int:
    """Return an endpoint's number: the same in every sidecar and after a restart, as its id in the list is."""
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


def parse_endpoint_list(raw: Any, key: str, *, lenient: bool = False) -> EndpointList:
    """Decode a list.

    Raises:
        ValueError: a row cannot be read; the text names the member at fault, below ``key``.  Where it is ``lenient``,
            such a row is set apart in ``rejected`` as long as others can be read.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError(f"{key}.servers: a list is wanted")
    endpoints = EndpointList(_integer(raw.get("version"), f"{key}.version"), bool(raw.get("full")), [])
    for position, row in enumerate(raw["servers"]):
        try:
            endpoints.records.append(_parse_record(row, f"{key}.servers[{position}]"))
        except ValueError as error:
            if not lenient:
                raise
            endpoints.rejected[_id_of_faulty_row(row)] = str(error)
    if endpoints.rejected and not endpoints.records:
        raise ValueError(next(iter(endpoints.rejected.values())))
    return endpoints


def _parse_record(raw: Any, key: str) -> EndpointRecord:
    if not isinstance(raw, dict) or not isinstance(raw.get("id"), str):
        raise ValueError(f"{key}.id: a text is wanted")
    endpoint_id = endpoint_id_of(raw["id"])
    word, cell = raw.get("state"), raw.get("cell")
    if cell is None:
        cell = ~endpoint_id  # unknown: it shares no record of idempotency keys, so it is a cell by itself
    if not isinstance(word, str):
        raise ValueError(f"{key}.state: {word!r} is no text")
    state = STATES_BY_WORD.get(word, ListedState.UNKNOWN)
    cell = _integer(cell, f"{key}.cell")
    started_ms = _timestamp_ms(raw.get("started_ms") or 0, f"{key}.started_ms")
    # A removed endpoint need not have an address any more.
    has_no_address = state is ListedState.REMOVED and raw.get("addr") is None
    address = Address("", 0) if has_no_address else parse_address(raw.get("addr"), f"{key}.addr")
    return EndpointRecord(endpoint_id, address, str(raw.get("zone") or ""), cell, state, started_ms)


def _integer(value: Any, key: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{key}: {value!r} is no number")
    return value


def _timestamp_ms(value: Any, key: str) -> int:
    if not isinstance(value, (int, float)) or not abs(value) < MAX_TIMESTAMP_MS:
        raise ValueError(f"{key}: {value!r} is no number")
    return int(value)


def _id_of_faulty_row(row: Any) -> int:
    name = row.get("id") if isinstance(row, dict) else None
    return endpoint_id_of(name) if isinstance(name, str) else UNKNOWN_ENDPOINT_ID
