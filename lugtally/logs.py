"""The daemon's log on standard error: plain text, or one JSON object per line.

The names and fields of events are a stable interface, which docs/logging.md describes.  Texts may change.
"""

from __future__ import annotations

import sys
import traceback
from datetime import UTC
from typing import TYPE_CHECKING, Literal

import ujson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"
LogFormat = Literal["text", "json"]
UNNAMED_EVENT = "unnamed"
"""Event name of a line that was logged without one, which is a bug in the program."""


def _write_json(message: Message) -> None:
    """Write a record as one JSON object: time, level, event, text, fields of the event, traceback of an exception."""
    record = message.record
    fields = dict(record["extra"])
    line = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": fields.pop("event", UNNAMED_EVENT),
        "text": record["message"],
        **fields,
    }
    if (exception := record["exception"]) is not None and exception.value is not None:
        line["raised"] = "".join(traceback.format_exception(exception.value))
    sys.stderr.write(ujson.dumps(line, default=str, escape_forward_slashes=False) + "\n")
    sys.stderr.flush()


def configure(level: str, log_format: LogFormat) -> None:
    """Log events of ``level`` and above to standard error in ``log_format``.  Replaces the previous configuration."""
    logger.remove()
    if log_format == "json":
        logger.add(_write_json, level=level, format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, backtrace=False, diagnose=False)
