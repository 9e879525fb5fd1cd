"""The cache of parsed response heads.

Endpoints send few different heads, so the heads of most responses need no parsing.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.http1.limits import MAX_CACHED_HEADS
from lugtally.http1.message import Message


@dataclass(slots=True, frozen=True)
class CachedHead:
    """A parsed head, which is copied for each response, and the length of the body that follows it."""

    message: Message
    body_length: int


class HeadCache:
    """At most ``MAX_CACHED_HEADS`` parsed heads, by their bytes."""

    def __init__(self) -> None:
        self._heads: dict[bytes, CachedHead] = {}
        # The dictionary's own method instead of a wrapper, because it is called for each response.
        self.get = self._heads.get
        """Return the :class:`CachedHead` of the given bytes, or ``None``."""

    def add(self, head: bytes, message: Message, body_length: int) -> None:
        """Cache a copy of a parsed head, so that later changes of ``message`` do not affect other responses."""
        if len(self._heads) >= MAX_CACHED_HEADS:
            self._heads.clear()
        self._heads[head] = CachedHead(message.copy_response_head(), body_length)
