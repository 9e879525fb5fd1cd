"""Heads of responses that were parsed before: endpoints send the same few again and again, so each is parsed once."""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.http1.limits import MAX_CACHED_HEADS
from lugtally.http1.message import Message


@dataclass(slots=True, frozen=True)
class CachedHead:
    """A head, to be copied for each reader, and the length of the body that follows it."""

    message: Message
    body_length: int


class HeadCache:
    """Parsed heads by their bytes."""

    def __init__(self) -> None:
        self._heads: dict[bytes, CachedHead] = {}
        # The dictionary's own lookup, without a call of ours in between, as each response passes here.
        self.get = self._heads.get
        """Return the :class:`CachedHead` of these bytes, or ``None``."""

    def add(self, head: bytes, message: Message, body_length: int) -> None:
        """Keep a copy of a parsed head: what one connection learns of its message is not another's."""
        if len(self._heads) >= MAX_CACHED_HEADS:
            self._heads.clear()
        self._heads[head] = CachedHead(message.copy_response_head(), body_length)
