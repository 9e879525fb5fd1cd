"""Heads of responses that were parsed before: endpoints send the same few again and again, so each is parsed once."""

from __future__ import annotations

from dataclasses import dataclass

from lugtally.http1.limits import MAX_CACHED_HEADS
from lugtally.http1.message import Message


@dataclass(slots=True, frozen=True)
class CachedHead:
    """A head, and the length of the body that follows it."""

    message: Message
    body_length: int

    def new_message(self) -> Message:
        """Return a message of this head that its reader may change, but for the headers, which all share."""
        return _copy_head(self.message)


class HeadCache:
    """Parsed heads by their bytes."""

    def __init__(self) -> None:
        self._heads: dict[bytes, CachedHead] = {}
        self.get = self._heads.get
        """Return the :class:`CachedHead` of these bytes, or ``None``: the dictionary's own lookup, as each response
        passes here."""

    def add(self, head: bytes, message: Message, body_length: int) -> None:
        """Keep a copy of a parsed head: what one connection learns of its message is not another's."""
        if len(self._heads) >= MAX_CACHED_HEADS:
            self._heads.clear()
        self._heads[head] = CachedHead(_copy_head(message), body_length)


def _copy_head(message: Message) -> Message:
    return Message(
        status=message.status,
        headers=message.headers,
        header_map=message.header_map,
        keep_alive=message.keep_alive,
        expects_continue=message.expects_continue,
    )
