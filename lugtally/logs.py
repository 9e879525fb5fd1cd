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

TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message}"
Format = Literal["text", "json"]
UNNAMED = "unnamed"  # a line without an event's name would be a slip of ours


def _json(message: Message) -> None:
    """One object: time, level, event, text, the event's fields, and the trace of what was raised."""
    record = message.record
    fields = dict(record["extra"])
    line = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": fields.pop("event", UNNAMED),
        "text": record["message"],
        **fields,
    }
    if (raised := record["exception"]) is not None and raised.value is not None:
        line["raised"] = "".join(traceback.format_exception(raised.value))
    sys.stderr.write(ujson.dumps(line, default=str, escape_forward_slashes=False) + "\n")
    sys.stderr.flush()


def start(level: str, form: Format) -> None:
    """Log from ``level`` on, in that form; replaces what was set before."""
    logger.remove()
    if form == "json":
        logger.add(_json, level=level, format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT, backtrace=False, diagnose=False)
