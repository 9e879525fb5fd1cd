"""A network address in the form that the socket module uses."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """A numeric IPv4 or IPv6 host and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
