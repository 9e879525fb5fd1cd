"""Specification with which a testbed process is started, and the ids of requests."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from lugtally.testbed.scenario.scenario import Scenario

ID_LENGTH = 16
ARRIVAL_INDEX_PART = slice(0, 8)  # of a request's id: index of the arrival, in hexadecimal
RUN_SUFFIX_PART = slice(10, 16)  # of a request's id: digits of the run


class ProcessSpecification(Struct, rename={"loopback_block": "block", "event_log_path": "book"}):
    """Parameters of the processes of the emulated fleet and of the load generator."""

    scenario: Scenario
    seed: int
    loopback_block: int
    base: float  # origin of all times, in seconds of the monotonic clock
    event_log_path: str


def read_specification(path: str) -> ProcessSpecification:
    """Decode a specification file."""
    return msgspec.json.decode(Path(path).read_bytes(), type=ProcessSpecification)


def run_suffix(seed: int) -> str:
    """Return the digits at the end of all request ids of a run with this seed."""
    return f"{(seed * 0x9E3779B1) & 0xFFFFFF:06x}"


def request_id(arrival_index: int, attempt: int, run: str) -> str:
    """Return the id of a client's attempt: index of the arrival, number of the attempt, digits of the run."""
    return f"{arrival_index:08x}{attempt:02x}{run}"


def arrival_index_of(request_id: str, run: str) -> int | None:
    """Return the index of the arrival that an id names, None if the id is not of this run."""
    if len(request_id) != ID_LENGTH or request_id[RUN_SUFFIX_PART] != run:
        return None
    try:
        return int(request_id[ARRIVAL_INDEX_PART], 16)
    except ValueError:
        return None
