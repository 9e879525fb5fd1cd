"""Response bodies that begin with an identity and a checksum, so that a truncated or altered body is detected."""

from __future__ import annotations

import re
import zlib
from random import Random
from typing import NamedTuple

_IDENTITY_LINE_PATTERN = re.compile(
    rb"request=(?P<request>[^;\n]*);attempt=(?P<attempt>\d+);endpoint=(?P<endpoint>[^;\n]*)"
    rb";length=(?P<length>\d+);checksum=(?P<checksum>[0-9a-f]{8})\n"
)
_CHECKSUM_PLACEHOLDER = b"00000000"


class BodyIdentity(NamedTuple):
    """The attempt for which a body was made, and the endpoint that made it."""

    request_id: str
    attempt_number: int
    endpoint: str


class MalformedBodyError(ValueError):
    """A body was not made by this module, or was truncated or altered."""


def make_body(identity: BodyIdentity, length: int) -> bytes:
    """Return a body of ``length`` bytes, or only its identity line if that is longer."""
    identity_line = _make_identity_line(
        identity, max(length, len(_make_identity_line(identity, length, _CHECKSUM_PLACEHOLDER))), _CHECKSUM_PLACEHOLDER
    )
    body_bytes = max(length, len(identity_line))
    padding = _padding(identity, body_bytes - len(identity_line))
    body_without_checksum = _make_identity_line(identity, body_bytes, _CHECKSUM_PLACEHOLDER) + padding
    return _make_identity_line(identity, body_bytes, b"%08x" % zlib.crc32(body_without_checksum)) + padding


def read_identity(body: bytes) -> BodyIdentity:
    """Return the identity of a complete body.

    Raises:
        MalformedBodyError: the body is not exactly as one endpoint made it for one attempt.
    """
    match = _IDENTITY_LINE_PATTERN.match(body)
    if match is None:
        raise MalformedBodyError(f"no identity in {body[:60]!r}")
    if len(body) != int(match["length"]):
        raise MalformedBodyError(f"{len(body)} bytes instead of {int(match['length'])}")
    body_without_checksum = body[: match.start("checksum")] + _CHECKSUM_PLACEHOLDER + body[match.end("checksum") :]
    if b"%08x" % zlib.crc32(body_without_checksum) != match["checksum"]:
        raise MalformedBodyError("the checksum differs")
    return _parse_identity(match)


def read_identity_prefix(body: bytes) -> BodyIdentity | None:
    """Return the identity at the start of a truncated body; ``None`` if the identity line is truncated too."""
    match = _IDENTITY_LINE_PATTERN.match(body)
    return None if match is None else _parse_identity(match)


def _parse_identity(match: re.Match[bytes]) -> BodyIdentity:
    return BodyIdentity(match["request"].decode(), int(match["attempt"]), match["endpoint"].decode())


def _make_identity_line(identity: BodyIdentity, length: int, checksum: bytes) -> bytes:
    text = f"request={identity.request_id};attempt={identity.attempt_number};endpoint={identity.endpoint}"
    return text.encode() + b";length=%d;checksum=%s\n" % (length, checksum)


def _padding(identity: BodyIdentity, length: int) -> bytes:
    """Return bytes that depend on the attempt and the offset, so that reordered pieces are detected."""
    return Random(f"{identity.request_id}/{identity.attempt_number}").randbytes(length)
