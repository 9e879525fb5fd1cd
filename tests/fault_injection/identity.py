"""Bodies of endpoints' responses: each has an identity of its own, and a cut one can be told from a whole one."""

from __future__ import annotations

import re
import zlib
from random import Random
from typing import NamedTuple

_HEAD = re.compile(
    rb"request=(?P<request>[^;\n]*);attempt=(?P<attempt>\d+);endpoint=(?P<endpoint>[^;\n]*)"
    rb";length=(?P<length>\d+);checksum=(?P<checksum>[0-9a-f]{8})\n"
)
_CHECKSUM_PLACE = b"00000000"


class BodyIdentity(NamedTuple):
    """For which attempt at which endpoint a body was made."""

    request_id: str
    attempt_number: int
    endpoint: str


class MalformedBodyError(ValueError):
    """A body is none of ours, is cut, or has other bytes mixed in."""


def make_body(identity: BodyIdentity, length: int) -> bytes:
    """Return a body of about that length, at least that of its head."""
    head = _head(identity, max(length, len(_head(identity, length, _CHECKSUM_PLACE))), _CHECKSUM_PLACE)
    total = max(length, len(head))
    padding = _padding(identity, total - len(head))
    unsigned = _head(identity, total, _CHECKSUM_PLACE) + padding
    return _head(identity, total, b"%08x" % zlib.crc32(unsigned)) + padding


def read_identity(body: bytes) -> BodyIdentity:
    """Return the identity of a whole body.

    Raises:
        MalformedBodyError: it is not just what one endpoint made for one attempt.
    """
    match = _HEAD.match(body)
    if match is None:
        raise MalformedBodyError(f"no identity in {body[:60]!r}")
    if len(body) != int(match["length"]):
        raise MalformedBodyError(f"{len(body)} bytes of {int(match['length'])}")
    unsigned = body[: match.start("checksum")] + _CHECKSUM_PLACE + body[match.end("checksum") :]
    if b"%08x" % zlib.crc32(unsigned) != match["checksum"]:
        raise MalformedBodyError("the checksum differs")
    return _identity(match)


def read_identity_of_beginning(body: bytes) -> BodyIdentity | None:
    """Return the identity that a cut body begins with, if that much of it came."""
    match = _HEAD.match(body)
    return None if match is None else _identity(match)


def _identity(match: re.Match[bytes]) -> BodyIdentity:
    return BodyIdentity(match["request"].decode(), int(match["attempt"]), match["endpoint"].decode())


def _head(identity: BodyIdentity, length: int, checksum: bytes) -> bytes:
    text = f"request={identity.request_id};attempt={identity.attempt_number};endpoint={identity.endpoint}"
    return text.encode() + b";length=%d;checksum=%s\n" % (length, checksum)


def _padding(identity: BodyIdentity, length: int) -> bytes:
    """Bytes that differ between attempts and from place to place, so that no two pieces can change places unseen."""
    return Random(f"{identity.request_id}/{identity.attempt_number}").randbytes(length)
