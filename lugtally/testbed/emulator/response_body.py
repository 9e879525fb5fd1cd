"""Bodies of the emulated servers' responses, signed so that a client can tell for whom and by whom one was made."""

from __future__ import annotations

import msgspec
import xxhash

PADDING = b"." * 160


def signature(seed: int, request_id: str, server: str) -> str:
    """The signature that only this server puts under a response to this request."""
    return xxhash.xxh3_64_hexdigest(f"{seed}/{request_id}/{server}".encode())


def build_body(seed: int, request_id: str, server: str) -> bytes:
    """The body of a 200: the request's id, the server and its signature."""
    head = msgspec.json.encode({"id": request_id, "server": server, "made": signature(seed, request_id, server)})
    return head + b"\n" + PADDING


def is_genuine(body: bytes, seed: int, request_id: str) -> bool:
    """Whether a server made this body for this request."""
    head = body.partition(b"\n")[0].decode("latin-1")
    if f'"id":"{request_id}"' not in head:
        return False
    server = head.partition('"server":"')[2].partition('"')[0]
    return f'"made":"{signature(seed, request_id, server)}"' in head
