"""Specification that a testbed process gets at its start, and the ids of requests."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from lugtally.testbed.scenario.scenario import Scenario

ID_LENGTH = 16
ARRIVAL_INDEX_SLICE = slice(0, 8)  # of a request id: index of the arrival, in hexadecimal
RUN_SUFFIX_SLICE = slice(10, 16)  # of a request id: suffix that identifies the run


class ProcessSpecification(Struct, rename={"loopback_block": "block", "event_log_path": "book"}):
    """Parameters of the process of the emulated fleet, or of that of the load generator."""

    scenario: Scenario
    seed: int
    loopback_block: int  # number of the block of loopback addresses
    base: float  # base time of the run: origin of all times, in seconds of the monotonic clock
    event_log_path: str


def read_specification(path: str) -> ProcessSpecification:
    """Decode a specification file."""
    return msgspec.json.decode(Path(path).read_bytes(), type=ProcessSpecification)


def run_suffix(seed: int) -> str:
    """Return the suffix of all request ids in a run with this seed."""
    return f"{(seed * 0x9E3779B1) & 0xFFFFFF:06x}"


def request_id(arrival_index: int, attempt: int, suffix: str) -> str:
    """Return the id of an attempt: the index of the arrival, the number of the attempt and the suffix."""
    return f"{arrival_index:08x}{attempt:02x}{suffix}"


def arrival_index_of(request_id: str, suffix: str) -> int | None:
    """Return the index of the arrival to which an id belongs, None if the id has another suffix."""
    if len(request_id) != ID_LENGTH or request_id[RUN_SUFFIX_SLICE] != suffix:
        return None
    try:
        return int(request_id[ARRIVAL_INDEX_SLICE], 16)
    except ValueError:
        return None
