"""Identifies an attempt."""

from __future__ import annotations

from typing import NamedTuple


class AttemptId(NamedTuple):
    """A request and the number of one of its attempts, counted from 0."""

    request_id: str
    number: int
