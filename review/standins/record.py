"""The record of a run: what was sent, answered and run, one line for each event."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes the lines of a run to a file, each with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def note(self, event: str, **fields: object) -> float:
        """Write a line, and return its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:9.4f} {event} {text}\n")
        return now

    def say(self, text: str) -> None:
        """Write a line of the verdict, and print it."""
        self._file.write(f"# {text}\n")
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Write the rest and close the file."""
        self._file.close()
