"""Response bodies of the emulated servers, signed so that a client can verify that one belongs to its request."""

from __future__ import annotations

import msgspec
import xxhash

PADDING = b"." * 160


def signature(seed: int, request_id: str, server: str) -> str:
    """Return the signature with which a server marks its response to a request."""
    return xxhash.xxh3_64_hexdigest(f"{seed}/{request_id}/{server}".encode())


def build_body(seed: int, request_id: str, server: str) -> bytes:
    """Return the body of a response with status 200: the id of the request, the server and its signature."""
    head = msgspec.json.encode({"id": request_id, "server": server, "made": signature(seed, request_id, server)})
    return head + b"\n" + PADDING


def is_genuine(body: bytes, seed: int, request_id: str) -> bool:
    """Return whether a server created this body for this request."""
    head = body.partition(b"\n")[0].decode("latin-1")
    if f'"id":"{request_id}"' not in head:
        return False
    server = head.partition('"server":"')[2].partition('"')[0]
    return f'"made":"{signature(seed, request_id, server)}"' in head
