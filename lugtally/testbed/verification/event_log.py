"""Event logs of a run: files with one JSON record per line, and the records of all files by type.

A truncated file is read up to its last complete line.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from functools import cached_property
from pathlib import Path
from typing import IO, TypeVar

import msgspec

from lugtally.testbed.verification.records import (
    ClientAttempt,
    ColdServerOverloaded,
    DiscoveryCall,
    EndpointChanged,
    EndpointNotified,
    HealthCheck,
    LoadSample,
    ProcessEvent,
    Record,
    ServerAttempt,
    TimerLagReport,
    UnknownRequest,
)

BUFFER_BYTES = 1 << 16
_RECORD_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)
_RecordType = TypeVar("_RecordType")
_RECORD_ENCODER = msgspec.json.Encoder()


class EventLogWriter:
    """Writer of records to a file, with a buffer."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("wb", buffering=BUFFER_BYTES)

    def write(self, record: Record) -> None:
        """Append a record."""
        self._file.write(_RECORD_ENCODER.encode(record) + b"\n")

    def flush(self) -> None:
        """Write the buffer to the file."""
        self._file.flush()

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


def read_records(paths: Iterable[Path]) -> list[Record]:
    """Return the complete records of these files, in their order in the files.  A missing file counts as empty."""
    records: list[Record] = []
    for path in paths:
        if path.exists():
            *complete_lines, _ = path.read_bytes().split(b"\n")
            records += [_RECORD_DECODER.decode(line) for line in complete_lines]
    return records


class EventLog:
    """All records of a run, by type.

    Client attempts are sorted by their intended time, server attempts by the arrival of their last byte.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        all_records = list(records)
        self.client_attempts = sorted(_of_type(all_records, ClientAttempt), key=lambda attempt: attempt.intended_at)
        self.server_attempts = sorted(_of_type(all_records, ServerAttempt), key=lambda attempt: attempt.last_byte_at)
        self.notifications = _of_type(all_records, EndpointNotified)
        self.endpoint_changes = _of_type(all_records, EndpointChanged)
        self.discovery_calls = _of_type(all_records, DiscoveryCall)
        self.cold_overloads = _of_type(all_records, ColdServerOverloaded)
        self.unknown_requests = _of_type(all_records, UnknownRequest)
        self.health_checks = _of_type(all_records, HealthCheck)
        self.load_samples = _of_type(all_records, LoadSample)
        self.process_events = _of_type(all_records, ProcessEvent)
        self.timer_lags = _of_type(all_records, TimerLagReport)

    @cached_property
    def server_attempts_by_request(self) -> dict[str, list[ServerAttempt]]:
        """Attempts that reached servers, by request id, sorted by the arrival of their last byte."""
        by_request: dict[str, list[ServerAttempt]] = defaultdict(list)
        for attempt in self.server_attempts:
            by_request[attempt.request_id].append(attempt)
        return dict(by_request)


def _of_type(records: list[Record], record_type: type[_RecordType]) -> list[_RecordType]:
    return [record for record in records if isinstance(record, record_type)]
