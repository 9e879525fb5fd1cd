"""Response bodies with an identity and a checksum, so that a truncated or altered body is detected."""

from __future__ import annotations

import re
import zlib
from random import Random
from typing import NamedTuple

_HEAD = re.compile(
    rb"request=(?P<request>[^;\n]*);attempt=(?P<attempt>\d+);endpoint=(?P<endpoint>[^;\n]*)"
    rb";length=(?P<length>\d+);checksum=(?P<checksum>[0-9a-f]{8})\n"
)
_CHECKSUM_PLACEHOLDER = b"00000000"


class BodyIdentity(NamedTuple):
    """The attempt and the endpoint for which a body was made."""

    request_id: str
    attempt_number: int
    endpoint: str


class MalformedBodyError(ValueError):
    """A body was not made by this module, is truncated, or contains other bytes."""


def make_body(identity: BodyIdentity, length: int) -> bytes:
    """Return a body of ``length`` bytes; longer where its head does not fit."""
    head = _head(identity, max(length, len(_head(identity, length, _CHECKSUM_PLACEHOLDER))), _CHECKSUM_PLACEHOLDER)
    total = max(length, len(head))
    padding = _padding(identity, total - len(head))
    unsigned = _head(identity, total, _CHECKSUM_PLACEHOLDER) + padding
    return _head(identity, total, b"%08x" % zlib.crc32(unsigned)) + padding


def read_identity(body: bytes) -> BodyIdentity:
    """Return the identity of a complete body.

    Raises:
        MalformedBodyError: the body is not exactly what one endpoint made for one attempt.
    """
    match = _HEAD.match(body)
    if match is None:
        raise MalformedBodyError(f"no identity in {body[:60]!r}")
    if len(body) != int(match["length"]):
        raise MalformedBodyError(f"{len(body)} bytes of {int(match['length'])}")
    unsigned = body[: match.start("checksum")] + _CHECKSUM_PLACEHOLDER + body[match.end("checksum") :]
    if b"%08x" % zlib.crc32(unsigned) != match["checksum"]:
        raise MalformedBodyError("the checksum differs")
    return _identity(match)


def read_identity_prefix(body: bytes) -> BodyIdentity | None:
    """Return the identity at the start of a truncated body; ``None`` if its head is truncated too."""
    match = _HEAD.match(body)
    return None if match is None else _identity(match)


def _identity(match: re.Match[bytes]) -> BodyIdentity:
    return BodyIdentity(match["request"].decode(), int(match["attempt"]), match["endpoint"].decode())


def _head(identity: BodyIdentity, length: int, checksum: bytes) -> bytes:
    text = f"request={identity.request_id};attempt={identity.attempt_number};endpoint={identity.endpoint}"
    return text.encode() + b";length=%d;checksum=%s\n" % (length, checksum)


def _padding(identity: BodyIdentity, length: int) -> bytes:
    """Return bytes that differ between attempts and between offsets, so that reordered pieces are detected."""
    return Random(f"{identity.request_id}/{identity.attempt_number}").randbytes(length)
