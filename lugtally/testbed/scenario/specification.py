"""What a process of the testbed is started with, and the ids by which the processes know a request."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from lugtally.testbed.scenario.scenario import Scenario

ID_LENGTH = 16
SERIAL_DIGITS = slice(0, 8)  # of a request's id: its place among the arrivals, in hexadecimal
RUN_DIGITS = slice(10, 16)  # and what tells this run's ids from all others


class ProcessSpecification(Struct, rename={"loopback_block": "block", "event_log_path": "book"}):
    """What the processes of the emulated fleet and of the load generator are started with."""

    scenario: Scenario
    seed: int
    loopback_block: int
    base: float  # from which all times are counted, in seconds on the monotonic clock
    event_log_path: str


def read_specification(path: str) -> ProcessSpecification:
    """Decode the file."""
    return msgspec.json.decode(Path(path).read_bytes(), type=ProcessSpecification)


def run_digits(seed: int) -> str:
    """The digits in which all request ids of a run with this seed end."""
    return f"{(seed * 0x9E3779B1) & 0xFFFFFF:06x}"


def request_id(serial: int, attempt: int, run: str) -> str:
    """The id of a client's attempt: the request's place among the arrivals, the attempt, and the run's digits."""
    return f"{serial:08x}{attempt:02x}{run}"


def serial_of(request_id: str, run: str) -> int | None:
    """The place among the arrivals that an id names; none for an id of another origin."""
    if len(request_id) != ID_LENGTH or request_id[RUN_DIGITS] != run:
        return None
    try:
        return int(request_id[SERIAL_DIGITS], 16)
    except ValueError:
        return None
