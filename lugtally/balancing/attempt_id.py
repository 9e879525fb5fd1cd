"""The name of an attempt."""

from __future__ import annotations

from typing import NamedTuple


class AttemptId(NamedTuple):
    """An attempt of a request; attempts of one request are numbered from 0."""

    request_id: str
    number: int
