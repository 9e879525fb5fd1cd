"""Decodes the endpoint list of discovery to the values that the program uses.

A ``ValueError`` names the invalid key.
"""

from __future__ import annotations

import socket
from _blake2 import blake2b  # hashlib would also load OpenSSL, which takes more than 3 MB
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lugtally.address import Address

UNKNOWN_ENDPOINT_ID = -1
"""Stands for the endpoint id of a record without a valid ``id``."""
ENDPOINT_ID_BYTES = 6
MAX_PORT = 65535
MAX_TIMESTAMP_MS = 2**53
"""Upper limit of timestamps, exclusive: a JSON number may represent larger integers inexactly."""


class ListedState(Enum):
    """The state of an endpoint in the endpoint list.  The values are descriptions, not the names in the list."""

    READY = "gets requests"
    DRAINING = "gets no new requests"
    REMOVED = "is no longer listed"
    UNKNOWN = "is listed in a state that this version does not know, and gets no requests"


STATES_BY_NAME = {"ready": ListedState.READY, "draining": ListedState.DRAINING, "gone": ListedState.REMOVED}
"""The states by their names in the list.  Any other name stands for ``ListedState.UNKNOWN``."""


@dataclass(slots=True)
class EndpointRecord:
    """A decoded record of the list, which describes one endpoint."""

    endpoint_id: int
    address: Address
    zone: str
    cell: int
    state: ListedState
    started_ms: int
    """Unix time at which the endpoint started; 0 if that is long ago."""


@dataclass(slots=True)
class EndpointList:
    """A decoded list: all endpoints if it is ``full``, otherwise the changes since an earlier version."""

    version: int
    full: bool
    records: list[EndpointRecord]
    rejected: dict[int, str] = field(default_factory=dict)
    """By endpoint id: why its record is invalid."""


def parse_address(text: Any, key: str) -> Address:
    """Decode ``host:port``.  The host must be numeric, because the sidecar does not use DNS.

    Raises:
        ValueError: The address is invalid; the text begins with ``key``.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{key}: must be an address with a port, not {text!r}")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{key}: must be a numeric address, not {text!r}") from error
    return Address(host, int(port))


def endpoint_id_of(name: str) -> int:
    """Return the numeric id for the ``id`` in the list.  It is the same in all sidecars and after a restart."""
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


def parse_endpoint_list(raw: Any, key: str, *, lenient: bool = False) -> EndpointList:
    """Decode a list.

    If ``lenient``, invalid records are left out and listed in ``rejected``, as long as there is a valid record.

    Raises:
        ValueError: The list or a record in it is invalid; the text names the invalid key, prefixed with ``key``.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError(f"{key}.servers: must be a list")
    endpoints = EndpointList(_integer(raw.get("version"), f"{key}.version"), bool(raw.get("full")), [])
    for position, raw_record in enumerate(raw["servers"]):
        try:
            endpoints.records.append(_parse_record(raw_record, f"{key}.servers[{position}]"))
        except ValueError as error:
            if not lenient:
                raise
            endpoints.rejected[_id_of_invalid_record(raw_record)] = str(error)
    if endpoints.rejected and not endpoints.records:
        raise ValueError(next(iter(endpoints.rejected.values())))
    return endpoints


def _parse_record(raw: Any, key: str) -> EndpointRecord:
    if not isinstance(raw, dict) or not isinstance(raw.get("id"), str):
        raise ValueError(f"{key}.id: must be a string")
    endpoint_id = endpoint_id_of(raw["id"])
    state_name, cell = raw.get("state"), raw.get("cell")
    if cell is None:
        cell = ~endpoint_id  # unknown: it may share no record of idempotency keys, so it gets a cell of its own
    if not isinstance(state_name, str):
        raise ValueError(f"{key}.state: must be a string, not {state_name!r}")
    state = STATES_BY_NAME.get(state_name, ListedState.UNKNOWN)
    cell = _integer(cell, f"{key}.cell")
    started_ms = _timestamp_ms(raw.get("started_ms") or 0, f"{key}.started_ms")
    # A removed endpoint may have no address.
    has_no_address = state is ListedState.REMOVED and raw.get("addr") is None
    address = Address("", 0) if has_no_address else parse_address(raw.get("addr"), f"{key}.addr")
    return EndpointRecord(endpoint_id, address, str(raw.get("zone") or ""), cell, state, started_ms)


def _integer(value: Any, key: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{key}: must be an integer, not {value!r}")
    return value


def _timestamp_ms(value: Any, key: str) -> int:
    if not isinstance(value, (int, float)) or not abs(value) < MAX_TIMESTAMP_MS:
        raise ValueError(f"{key}: must be a timestamp in milliseconds, not {value!r}")
    return int(value)


def _id_of_invalid_record(raw_record: Any) -> int:
    name = raw_record.get("id") if isinstance(raw_record, dict) else None
    return endpoint_id_of(name) if isinstance(name, str) else UNKNOWN_ENDPOINT_ID
