"""The record of a case: what was sent, answered and run, with the seconds since the start of the case."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes ``record.txt`` line by line, so that an interrupted case leaves what it has seen."""

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Add one line with the current time."""
        self._file.write(f"{self.now_s():9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
