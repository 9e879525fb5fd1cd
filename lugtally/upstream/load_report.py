"""The load report that an endpoint may send in a response header."""

from __future__ import annotations

from math import inf

import ujson

from lugtally.http1 import Message

LOAD_REPORT_HEADER = "x-backend-load"


def parse_load_report(response: Message, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """Return the values of ``fields`` in the response's load report; ``None`` if it is missing or malformed."""
    text = response.header_map.get(LOAD_REPORT_HEADER)
    if text is None:
        return None
    try:
        report = ujson.loads(text)
        load = tuple(float(report[name]) for name in fields)
    except (ValueError, KeyError, TypeError, ArithmeticError):
        return None
    return load if all(0 <= value < inf for value in load) else None
