"""One operator call that started or ended a drain, as it is stored, and the order of such calls."""

from __future__ import annotations

import re
from dataclasses import dataclass

import ujson

FORMAT_VERSION = 1
_FILE_NAME = re.compile(r"(\d{20})-(\d{10})\.json")
"""Zero-padded, so that the order of the names is the order of the changes."""


@dataclass(frozen=True, slots=True)
class DrainChange:
    """The start or the end of an operator's drain.  The last change of an endpoint is in force.

    Attributes:
        endpoint_name: The ``id`` of the endpoint in the endpoint list.
        is_drained: Whether the drain was started, or else ended.
        order: Increases with each change of any process of one sidecar name.
        writer: The process id of the writer, which orders changes that two processes made at one moment.
    """

    endpoint_name: str
    is_drained: bool
    order: int
    writer: int

    @property
    def file_name(self) -> str:
        """The name of the file that stores the change; no other change has this name."""
        return f"{self.order:020d}-{self.writer:010d}.json"

    def is_after(self, other: DrainChange | None) -> bool:
        """Return whether this change was made after ``other``, or there is no other."""
        return other is None or (self.order, self.writer) > (other.order, other.writer)

    def encode(self) -> bytes:
        """Return the contents of the file of the change."""
        fields = {"format": FORMAT_VERSION, "endpoint": self.endpoint_name, "drained": self.is_drained}
        return ujson.dumps(fields).encode() + b"\n"


def decode_change(file_name: str, data: bytes) -> DrainChange:
    """Return the change in a file, by its name and contents.

    Raises:
        ValueError: They are not those of a change; the text names the cause.
    """
    match = _FILE_NAME.fullmatch(file_name)
    if match is None:
        raise ValueError("name: must have an order and a process id")
    raw = ujson.loads(data)
    version = raw.get("format") if isinstance(raw, dict) else None
    if not isinstance(raw, dict) or version != FORMAT_VERSION:
        raise ValueError(f"format: must be {FORMAT_VERSION}, not {version!r}")
    endpoint_name, is_drained = raw.get("endpoint"), raw.get("drained")
    if not isinstance(endpoint_name, str):
        raise ValueError("endpoint: must be an endpoint id")
    if not isinstance(is_drained, bool):
        raise ValueError("drained: must be true or false")
    return DrainChange(endpoint_name, is_drained, int(match[1]), int(match[2]))


def is_change_file(file_name: str) -> bool:
    """Return whether a file has the name of a change."""
    return _FILE_NAME.fullmatch(file_name) is not None
