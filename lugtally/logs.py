"""The daemon's log on standard error: lines for people, or one JSON object a line with stable names.

An event's name and fields, as docs/logging.md lists them, are an interface; its text is not.
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
Format = Literal["text", "json"]
UNNAMED_EVENT = "unnamed"
"""In the place of an event's name; a line without one would be a mistake in this program."""


def _write_json(message: Message) -> None:
    """Write one object: time, level, event, text, the event's fields, and the traceback of an exception."""
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


def start(level: str, log_format: Format) -> None:
    """Log events of this level and above, in this format; replaces what was set before."""
    logger.remove()
    if log_format == "json":
        logger.add(_write_json, level=level, format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, backtrace=False, diagnose=False)
